// Package streamagent runs the agent of a target whose flows are connections. It
// forwards packets of balancers to the target and the target's packets to the
// callers.
//
// # The model
//
// Package stream makes the decisions. This package owns the sockets: one receives
// the parcels of balancers, the other all packets that the target sends. Packets
// for callers leave the VM directly, without passing a balancer.
//
// The only lock is Agent.mu. It is held while a packet is processed and sent, for
// some microseconds.
//
// # Usage
//
//	a, err := streamagent.Start(settings, deps)
//	a.HandleHeartbeat(heartbeat) // before the heartbeat is acknowledged
//	a.Stop()
package streamagent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/internal/process/decisions"
	"github.com/wagtailtray/wagtailtray/internal/process/parcels"
	"github.com/wagtailtray/wagtailtray/internal/process/tasks"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// tickInterval is of the order of the time that a target has to return a packet.
	tickInterval = 50 * time.Millisecond
	// keeperTimeout is how long after the last probe of a balancer that stores
	// checkpoints no such balancer counts as present.
	keeperTimeout = 2 * clock.Second
)

// Finder looks up the balancers to report to.
type Finder interface {
	// Balancers returns the balancers of a failure domain, and those of all.
	Balancers(ctx context.Context, domain string) (local, all []netip.AddrPort, err error)
	// CurrentBalancers returns the same from a list that is not stale, at a higher cost.
	CurrentBalancers(ctx context.Context, domain string) (local, all []netip.AddrPort, err error)
}

// Settings configures an agent.
type Settings struct {
	Name    string
	Domain  string
	Service string
	// Parcels is the address at which the agent receives parcels; all balancers
	// receive theirs on the same port.
	Parcels netip.AddrPort
	// Outbound is the address to which the target sends its packets, and Target
	// the one at which it receives packets.
	Outbound netip.AddrPort
	Target   netip.AddrPort
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	FlowTTL    clock.Millis
	// Heartbeat is the interval between two heartbeats of the target.
	Heartbeat clock.Millis
	// Seeds are the balancers to report to at start.
	Seeds []netip.AddrPort
}

// Deps are the dependencies of an agent.
type Deps struct {
	Codec  segment.Codec
	Finder Finder
	// Checkpoints holds the stored flows of the target; nil disables checkpoints.
	Checkpoints CheckpointReader
	Clock       clock.Clock
	Log         zerolog.Logger
	Scope       tally.Scope
}

// maxFlows bounds the flows that an agent tracks: a target holds a few
// thousand, and flows that have ended are retained for some seconds.
const maxFlows = 32768

// maxMissedHeartbeats is how many heartbeats a target may miss before it gets no
// new flows.
const maxMissedHeartbeats = 3

// dialTimeout bounds a dial that checks whether the target listens. The target is on
// the same VM, which answers within a millisecond.
const dialTimeout = 100 * time.Millisecond

// Agent is the agent of one target.
type Agent struct {
	settings Settings
	deps     Deps
	parcels  *parcels.Socket
	outbound *net.UDPConn

	mu        sync.Mutex
	tracker   *stream.Tracker
	recorder  *decisions.Recorder
	balancers *Balancers
	// keeperProbedAt is the time of the last probe from a balancer that stores
	// checkpoints; zero if there was none.
	keeperProbedAt clock.Millis
	startedAt      clock.Millis

	// restoreWake wakes runRestore before its retry delay is over.
	restoreWake chan struct{}

	malformed  *decisions.MalformedRecorder
	unsent     tally.Counter
	traffic    *parcels.Traffic
	latencies  tally.Histogram
	cancel     context.CancelFunc
	background tasks.Group
}

// Start opens the sockets and starts serving.
func Start(settings Settings, deps Deps) (*Agent, error) {
	now := deps.Clock.Now()
	a := &Agent{
		settings: settings, deps: deps, balancers: NewBalancers(now, settings.Domain), startedAt: now,
		restoreWake: make(chan struct{}, 1),
		recorder:    decisions.NewRecorder(deps.Log, deps.Scope),
		malformed:   decisions.NewMalformedRecorder(deps.Log, deps.Scope), unsent: deps.Scope.Counter("unsent"),
		traffic:   parcels.NewTraffic(deps.Log, deps.Scope),
		latencies: deps.Scope.Histogram("served", decisions.Buckets),
	}
	a.tracker = stream.NewTracker(now, stream.TrackerSettings{
		Name: settings.Name, Domain: settings.Domain, Service: settings.Service,
		Epoch: uint64(time.Now().UnixMilli()), Port: settings.Parcels.Port(), MaxFlows: maxFlows,
		FlowTTL: settings.FlowTTL, Heartbeat: settings.Heartbeat, HeartbeatTimeout: maxMissedHeartbeats * settings.Heartbeat,
		Checkpoint: deps.Checkpoints != nil,
	})
	a.balancers.Learn(now, settings.Seeds, "")
	var err error
	if a.parcels, err = parcels.Listen(settings.Parcels, a.deps.Codec, a.noteMalformed); err != nil {
		return nil, err
	}
	if a.outbound, err = parcels.ListenUDP(settings.Outbound); err != nil {
		return nil, errs.Combine(err, a.parcels.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.background.Go(func() { a.parcels.Serve(a.handleParcel) })
	a.background.Go(a.serveTarget)
	a.background.Go(func() { a.runTicker(ctx) })
	a.background.Go(func() { a.runLookups(ctx) })
	if deps.Checkpoints != nil {
		a.background.Go(func() { a.runRestore(ctx) })
	}
	deps.Log.Info().Str("event", "start").Str("service", settings.Service).Str("domain", settings.Domain).
		Stringer("parcels", settings.Parcels).Int("seeds", len(settings.Seeds)).Msg("agent started")
	return a, nil
}

// SetSeeds adds balancers to report to.
func (a *Agent) SetSeeds(seeds []netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.balancers.Learn(a.deps.Clock.Now(), seeds, "")
}

// noteMalformed logs and counts a datagram that is not a valid parcel.
func (a *Agent) noteMalformed(from netip.AddrPort, err error) {
	a.malformed.Record("parcels", from, err)
}

// handleParcel processes a parcel from a balancer.
func (a *Agent) handleParcel(from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	a.balancers.RecordHeard(now, from)
	if p.Verb == wire.Verb_VERB_PROBE && p.Report != nil {
		a.recordProbe(now, from, p.Report)
	}
	a.tracker.HandleParcel(now, from, p, seg)
	a.flush()
}

// recordProbe records a probe from a balancer. If that balancer stores checkpoints, it
// reaches the platform, so runRestore is woken to read the checkpoint.
func (a *Agent) recordProbe(now clock.Millis, from netip.AddrPort, r *wire.Report) {
	a.balancers.RecordProbe(now, from, r.Domain)
	if !r.Keeper {
		return
	}
	if now.Sub(a.keeperProbedAt) > keeperTimeout {
		select {
		case a.restoreWake <- struct{}{}:
		default:
		}
	}
	a.keeperProbedAt = now
}

// serveTarget processes the packets that the target sends.
func (a *Agent) serveTarget() {
	noteMalformed := func(from netip.AddrPort, err error) { a.malformed.Record("outbound", from, err) }
	parcels.ServePackets(a.outbound, a.deps.Codec, noteMalformed, func(seg *segment.Segment, packet []byte) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.tracker.HandleTargetPacket(a.deps.Clock.Now(), seg, packet)
		a.flush()
	})
}

// flush carries out the pending decisions, and sends the balancers a report if the
// target's condition has changed. The caller holds a.mu, which keeps the packets of
// one flow in order.
func (a *Agent) flush() {
	if now := a.deps.Clock.Now(); a.tracker.ConditionChanged(now) {
		a.tracker.SendReport(now, a.balancers.All(now))
	}
	out := a.tracker.TakeOutcome()
	for _, d := range out.Deliveries {
		a.deps.Codec.Mark(d.Packet, d.PacketMark)
		a.write(d.Packet, a.settings.Target)
	}
	for _, packet := range out.Answers {
		a.writeToCaller(packet)
	}
	// Reports to balancers go out before the resets, which make callers come back
	// to the balancers.
	for _, s := range out.Sends {
		if s.Parcel.Verb == wire.Verb_VERB_RETURN {
			a.deps.Codec.Mark(s.Parcel.Packet, 0)
		}
		a.send(s.To, s.Parcel)
	}
	for _, r := range out.Resets {
		a.write(a.deps.Codec.Reset(r.Flow, r.Seq), a.callerAddress(r.Flow.Caller.Addr()))
	}
	for _, d := range out.Latencies {
		a.latencies.RecordDuration(d.Duration())
	}
	a.recorder.Record(out.Events)
}

func (a *Agent) send(to netip.AddrPort, p *wire.Parcel) {
	size, err := a.parcels.Send(to, p)
	if err != nil {
		a.unsent.Inc(1)
		return
	}
	a.traffic.RecordSent(p.Verb, a.balancers.Domain(to) != a.settings.Domain, size)
}

func (a *Agent) writeToCaller(packet []byte) {
	seg, err := a.deps.Codec.Decode(packet)
	if err != nil {
		a.malformed.Record("outbound", a.settings.Target, err)
		return
	}
	a.write(packet, a.callerAddress(seg.Destination.Addr()))
}

func (a *Agent) callerAddress(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, a.settings.CallerPort)
}

func (a *Agent) write(packet []byte, to netip.AddrPort) {
	if _, err := a.outbound.WriteToUDPAddrPort(packet, to); err != nil {
		a.unsent.Inc(1)
	}
}

// HandleHeartbeat processes a heartbeat of the target and reports changes to the
// balancers. A heartbeat that stops new flows takes effect before the method returns.
func (a *Agent) HandleHeartbeat(b stream.Heartbeat) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.Service != a.settings.Service {
		return errs.New("streamagent: heartbeat of another service than %q", a.settings.Service)
	}
	a.tracker.HandleHeartbeat(a.deps.Clock.Now(), b)
	a.flush()
	return nil
}

// RecordLeave records that the target is stopping.
func (a *Agent) RecordLeave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.RecordLeave(a.deps.Clock.Now())
	a.flush()
}

func (a *Agent) runTicker(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(tickInterval)
		a.mu.Lock()
		now := a.deps.Clock.Now()
		a.tracker.Tick(now)
		a.updateUnlisted(now)
		a.tracker.SendReport(now, a.balancers.DueForReport(now, a.tracker.Loaded()))
		dialDue := a.tracker.DialDue(now)
		a.flush()
		a.traffic.LogIfDue(now, false)
		a.mu.Unlock()
		if dialDue {
			a.checkTarget(ctx)
		}
	}
}

// updateUnlisted passes on whether the store lists the target. The caller holds a.mu.
func (a *Agent) updateUnlisted(now clock.Millis) {
	unlisted := a.tracker.Unlisted(now)
	if a.balancers.SetUnlisted(unlisted) {
		a.deps.Log.Info().Str("event", "unlisted").Bool("unlisted", unlisted).Int("flows", a.tracker.Flows()).Send()
	}
}

// Kill closes the sockets without notifying anyone, like a loss of power.
func (a *Agent) Kill() error {
	a.cancel()
	return errs.Combine(a.parcels.Close(), errs.Wrap(a.outbound.Close()))
}

// Ready returns why the agent is not ready, or an empty string.
func (a *Agent) Ready() string {
	return ""
}

// Stop stops the agent. It notifies the balancers and, if the target has ended, the
// callers.
func (a *Agent) Stop() {
	a.mu.Lock()
	now := a.deps.Clock.Now()
	a.tracker.Stop(now)
	a.tracker.SendReport(now, a.balancers.All(now))
	a.flush()
	a.traffic.LogIfDue(now, true)
	left, flows := a.tracker.Gone(), a.tracker.Flows()
	a.mu.Unlock()
	a.deps.Log.Info().Str("event", "stop").Bool("left", left).Int("flows", flows).Msg("agent stopped")
	a.cancel()
	err := errs.Combine(a.parcels.Close(), errs.Wrap(a.outbound.Close()))
	if err != nil {
		a.deps.Log.Warn().Str("event", "stop").Err(err).Msg("closing the sockets failed")
	}
	a.background.Wait()
}
