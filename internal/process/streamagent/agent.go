// Package streamagent is the process beside a target whose flows are
// connections. It hands packets to the target and the target's packets to the
// callers.
//
// # The model
//
// Decisions are a stream.Holder's. This package has the sockets: one that takes
// parcels of balancers, and one through which the target sends everything.
// Packets for callers leave the VM straight away; they need no balancer.
//
// Lock order: Agent.mu only. It is held while a packet is decided about and
// sent, which are some microseconds.
//
// # Usage
//
//	a, err := streamagent.Start(settings, deps)
//	a.Beat(beat) // before the heartbeat is acknowledged
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
	// tick is the pause between two looks at what is due: the time that a
	// target has to return a packet is of this order.
	tick = 50 * time.Millisecond
	// keeperFor is the silence after which no balancer is there that keeps checkpoints.
	keeperFor = 2 * clock.Second
	// findEvery is how often the directory is asked for balancers while none
	// probes this target, and firstFind the first pause after a call that failed; it
	// doubles.
	findEvery = 5 * clock.Second
	firstFind = 200 * clock.Millis(1)
)

// Finder finds balancers to report to: those of a failure domain, and all.
type Finder interface {
	Balancers(ctx context.Context, domain string) (near, all []netip.AddrPort, err error)
}

// Settings are what an agent is told at start.
type Settings struct {
	Name    string
	Domain  string
	Service string
	// Parcels is where balancers reach the agent; all balancers use the same
	// port for theirs.
	Parcels netip.AddrPort
	// Outbound is where the target sends its packets, and Target where it
	// takes them.
	Outbound netip.AddrPort
	Target   netip.AddrPort
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
	FlowLife   clock.Millis
	// Heartbeat is the pause between two heartbeats of the target.
	Heartbeat clock.Millis
	// Seeds are balancers to report to at first.
	Seeds []netip.AddrPort
}

// Deps are what an agent works with.
type Deps struct {
	Codec  segment.Codec
	Finder Finder
	// Checkpoints keeps the target's flows; nil if they are not to be kept.
	Checkpoints Checkpoints
	Clock       clock.Clock
	Log         zerolog.Logger
	Scope       tally.Scope
}

// mostFlows bounds the flows that an agent remembers: a target holds a few
// thousand, and flows that have ended are kept for some seconds.
const mostFlows = 32768

// missedBeats is how many heartbeats a target may miss until it gets no new flows.
const missedBeats = 3

// lookTimeout bounds a look whether the target listens; it is on the same VM, which
// answers within a millisecond.
const lookTimeout = 100 * time.Millisecond

// Agent is one agent.
type Agent struct {
	settings Settings
	deps     Deps
	parcels  *parcels.Socket
	outbound *net.UDPConn

	mu        sync.Mutex
	holder    *stream.Tracker
	record    *decisions.Recorder
	balancers *Balancers
	// kept is when a balancer that keeps checkpoints has probed last; zero if none did.
	kept    clock.Millis
	started clock.Millis

	// readable wakes the part that reads what an earlier process has kept.
	readable chan struct{}

	malformed *decisions.Malformed
	unsent    tally.Counter
	traffic   *parcels.Traffic
	served    tally.Histogram
	cancel    context.CancelFunc
	parts     tasks.Group
}

// Start opens the sockets and begins to serve.
func Start(settings Settings, deps Deps) (*Agent, error) {
	now := deps.Clock.Now()
	a := &Agent{
		settings: settings, deps: deps, balancers: NewBalancers(now, settings.Domain), started: now,
		readable:  make(chan struct{}, 1),
		record:    decisions.NewRecorder(deps.Log, deps.Scope),
		malformed: decisions.NewMalformed(deps.Log, deps.Scope), unsent: deps.Scope.Counter("unsent"),
		traffic: parcels.NewTraffic(deps.Log, deps.Scope),
		served:  deps.Scope.Histogram("served", decisions.Buckets),
	}
	a.holder = stream.NewTracker(now, stream.TrackerSettings{
		Name: settings.Name, Domain: settings.Domain, Service: settings.Service,
		Epoch: uint64(time.Now().UnixMilli()), Port: settings.Parcels.Port(), MaxFlows: mostFlows,
		FlowTTL: settings.FlowLife, Heartbeat: settings.Heartbeat, HeartbeatTimeout: missedBeats * settings.Heartbeat,
		Checkpoint: deps.Checkpoints != nil,
	})
	a.balancers.Learn(now, settings.Seeds, "")
	var err error
	if a.parcels, err = parcels.Listen(settings.Parcels, a.deps.Codec, a.unreadable); err != nil {
		return nil, err
	}
	if a.outbound, err = parcels.ListenUDP(settings.Outbound); err != nil {
		return nil, errs.Combine(err, a.parcels.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.parts.Go(func() { a.parcels.Serve(a.hear) })
	a.parts.Go(a.serveTarget)
	a.parts.Go(func() { a.ticks(ctx) })
	a.parts.Go(func() { a.finds(ctx) })
	if deps.Checkpoints != nil {
		a.parts.Go(func() { a.restores(ctx) })
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

// unreadable notes a datagram that is no parcel.
func (a *Agent) unreadable(from netip.AddrPort, err error) {
	a.malformed.Note("parcels", from, err)
}

// hear takes a parcel of a balancer.
func (a *Agent) hear(from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	a.balancers.Heard(now, from)
	if p.Verb == wire.Verb_VERB_PROBE && p.Report != nil {
		a.probe(now, from, p.Report)
	}
	a.holder.HandleParcel(now, from, p, seg)
	a.flush()
}

// probe notes that a balancer has probed. One that keeps checkpoints reaches the
// platform, so what was kept can be read.
func (a *Agent) probe(now clock.Millis, from netip.AddrPort, r *wire.Report) {
	a.balancers.Probed(now, from, r.Domain)
	if !r.Keeper {
		return
	}
	if now.Sub(a.kept) > keeperFor {
		select {
		case a.readable <- struct{}{}:
		default:
		}
	}
	a.kept = now
}

// serveTarget takes the packets of the target.
func (a *Agent) serveTarget() {
	unreadable := func(from netip.AddrPort, err error) { a.malformed.Note("outbound", from, err) }
	parcels.Packets(a.outbound, a.deps.Codec, unreadable, func(seg *segment.Segment, packet []byte) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.holder.HandleTargetPacket(a.deps.Clock.Now(), seg, packet)
		a.flush()
	})
}

// flush does what was decided, and tells the balancers if the target's condition
// has changed. The lock is held: packets of one flow stay in order.
func (a *Agent) flush() {
	if now := a.deps.Clock.Now(); a.holder.ConditionChanged(now) {
		a.holder.SendReport(now, a.balancers.All(now))
	}
	out := a.holder.Take()
	for _, d := range out.Deliveries {
		a.deps.Codec.Mark(d.Packet, d.Echo)
		a.write(d.Packet, a.settings.Target)
	}
	for _, packet := range out.Answers {
		a.answer(packet)
	}
	// Balancers hear of the target before callers come back to them.
	for _, s := range out.Sends {
		if s.Parcel.Verb == wire.Verb_VERB_RETURN {
			a.deps.Codec.Mark(s.Parcel.Packet, 0)
		}
		a.send(s.To, s.Parcel)
	}
	for _, r := range out.Resets {
		a.write(a.deps.Codec.Reset(r.Flow, r.Seq), a.caller(r.Flow.Caller.Addr()))
	}
	for _, d := range out.Latencies {
		a.served.RecordDuration(d.Duration())
	}
	a.record.Record(out.Events)
}

func (a *Agent) send(to netip.AddrPort, p *wire.Parcel) {
	size, err := a.parcels.Send(to, p)
	if err != nil {
		a.unsent.Inc(1)
		return
	}
	a.traffic.Sent(p.Verb, a.balancers.Domain(to) != a.settings.Domain, size)
}

func (a *Agent) answer(packet []byte) {
	seg, err := a.deps.Codec.Decode(packet)
	if err != nil {
		a.malformed.Note("outbound", a.settings.Target, err)
		return
	}
	a.write(packet, a.caller(seg.Destination.Addr()))
}

func (a *Agent) caller(ip netip.Addr) netip.AddrPort {
	return netip.AddrPortFrom(ip, a.settings.CallerPort)
}

func (a *Agent) write(packet []byte, to netip.AddrPort) {
	if _, err := a.outbound.WriteToUDPAddrPort(packet, to); err != nil {
		a.unsent.Inc(1)
	}
}

// Beat takes a heartbeat. What it changes is told to the balancers; the gate for
// new flows is closed before it returns.
func (a *Agent) Beat(b stream.Heartbeat) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b.Service != a.settings.Service {
		return errs.New("streamagent: heartbeat of service %q, not %q", b.Service, a.settings.Service)
	}
	a.holder.HandleHeartbeat(a.deps.Clock.Now(), b)
	a.flush()
	return nil
}

// Leave notes that the target ends.
func (a *Agent) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.RecordLeave(a.deps.Clock.Now())
	a.flush()
}

func (a *Agent) ticks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(tick)
		a.mu.Lock()
		now := a.deps.Clock.Now()
		a.holder.Tick(now)
		a.holder.SendReport(now, a.balancers.Due(now, a.holder.Loaded()))
		doubts := a.holder.DialDue(now)
		a.flush()
		a.traffic.Tell(now, false)
		a.mu.Unlock()
		if doubts {
			a.look(ctx)
		}
	}
}

// Silence closes the sockets without a word, as a loss of power does.
func (a *Agent) Silence() error {
	a.cancel()
	return errs.Combine(a.parcels.Close(), errs.Wrap(a.outbound.Close()))
}

// Ready says why the agent is not ready, or nothing.
func (a *Agent) Ready() string {
	return ""
}

// Stop ends the agent. Balancers are told; the callers of a target that has
// ended are told as well.
func (a *Agent) Stop() {
	a.mu.Lock()
	now := a.deps.Clock.Now()
	a.holder.Stop(now)
	a.holder.SendReport(now, a.balancers.All(now))
	a.flush()
	a.traffic.Tell(now, true)
	left, flows := a.holder.Gone(), a.holder.Flows()
	a.mu.Unlock()
	a.deps.Log.Info().Str("event", "stop").Bool("left", left).Int("flows", flows).Msg("agent stopped")
	a.cancel()
	err := errs.Combine(a.parcels.Close(), errs.Wrap(a.outbound.Close()))
	if err != nil {
		a.deps.Log.Warn().Str("event", "stop").Err(err).Msg("sockets did not close")
	}
	a.parts.Wait()
}
