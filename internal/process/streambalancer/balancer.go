// Package streambalancer implements the balancer process: it receives callers' packets of
// connections from the fabric and forwards them to the agents of targets.
//
// # Design
//
// A stream.Steerer decides where packets go, and Peers tracks the other balancers. This
// package owns the sockets, the goroutines and the clock:
//
//   - the edge socket receives callers' packets;
//   - the parcel socket exchanges parcels with agents and other balancers;
//   - a TCP listener on the same port serves the routing table to other balancers, which get
//     what theirs lacks (package replication); one that lacks a version for too long hands
//     openings to others;
//   - one balancer of each failure domain watches the configuration in the platform and
//     notifies the others (watch.go). It also watches the evacuations and stores checkpoints,
//     or announces that the platform does not answer it, and another one does that
//     (duties.go). Each of these roles rests on answers of the platform;
//   - two balancers of each failure domain are its relays: they send summaries of its targets
//     to other failure domains and distribute the summaries that they receive.
//
// A packet's buffer lives until the packet is sent. Flow state is a cache; losing it costs
// a search. The routing table lives until the next version replaces it. Everything else
// lives as long as the process.
//
// Balancer.mu is the only lock. It is held while a packet is handled and sent, which takes
// some microseconds, and never during a call to the platform or a peer.
//
// # Usage
//
//	b, err := streambalancer.Start(settings, deps)
//	...
//	b.Stop() // planned shutdown: reports not ready, keeps serving for Linger, then ends
package streambalancer

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/internal/process/decisions"
	"github.com/wagtailtray/wagtailtray/internal/process/directory"
	"github.com/wagtailtray/wagtailtray/internal/process/parcels"
	"github.com/wagtailtray/wagtailtray/internal/process/rotation"
	"github.com/wagtailtray/wagtailtray/internal/process/tasks"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/replication"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// maxFlows bounds the flow cache. An entry takes some 400 bytes. At the size planned for in
// two years a balancer sees 16,000 flows.
const maxFlows = 65536

// Source reads the routing table from the store in which operators keep it.
type Source interface {
	// Read returns the current version.
	Read(ctx context.Context) (*routing.Table, error)
	// Wait returns the next change after a revision. The platform is to hold the call for
	// WaitHold; slack is how much longer its answer may take to begin. While it arrives,
	// receiving is called again and again.
	Wait(ctx context.Context, revision uint64, slack time.Duration, receiving func()) (Change, error)
	// Ping makes a cheap call, to learn whether the store answers: unless it returns
	// platform.ErrUnavailable, the store has answered.
	Ping(ctx context.Context) error
}

// Change is the result of Source.Wait.
type Change struct {
	// Table is the latest version, or nil if there was none before the source's own
	// timeout.
	Table *routing.Table
	// Revision is the revision from which to continue the wait.
	Revision uint64
}

// Settings configure a Balancer.
type Settings struct {
	Name   string
	Domain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// CPUShare is the process's share of a core, in thousandths; zero if unknown. Balancers
	// with a larger share are preferred as relays and watchers.
	CPUShare uint32
	// Edge is the address that receives callers' packets.
	Edge netip.AddrPort
	// Parcels is the address for other processes, over UDP and TCP.
	Parcels netip.AddrPort
	// FlowTTL is the maximum lifetime of a flow.
	FlowTTL clock.Millis
	// SteadyHashing is set if the fabric moves only the flows of a balancer that joins or
	// leaves the rotation. Only then does one that lacks processor time leave it.
	SteadyHashing bool
	// Linger is how long a stopping balancer continues to serve, until the fabric has
	// noticed that it is not ready.
	Linger clock.Millis
	// Seeds are addresses of balancers for bootstrapping.
	Seeds []netip.AddrPort
	// Checkpoint limits the checkpoints of targets' flows.
	Checkpoint checkpoint.KeeperSettings
}

// Deps are the dependencies of a Balancer.
type Deps struct {
	Codec     segment.Codec
	Source    Source
	Directory *directory.Directory
	// Evacuations reads which failure domains are evacuated; nil if the deployment has no
	// evacuations.
	Evacuations EvacuationSource
	// Checkpoints stores the checkpoints of the failure domain; nil if checkpoints are off.
	Checkpoints CheckpointStore
	Clock       clock.Clock
	Log         zerolog.Logger
	Scope       tally.Scope
}

// Balancer is a balancer process.
type Balancer struct {
	settings      Settings
	deps          Deps
	edge          *net.UDPConn
	parcels       *parcels.Socket
	parcelSender  parcelSender
	callerWriter  packetWriter
	tableListener net.Listener

	mu       sync.Mutex
	steerer  *stream.Steerer
	peers    *Peers
	recorder *decisions.Recorder
	leaving  bool
	// rotation decides whether this balancer takes part in the fabric's rotation;
	// rotationCheckedAt is when that was last checked.
	rotation          *rotation.Rotation
	rotationCheckedAt clock.Millis
	// sentDigest is the target digest that was last broadcast, and sentDigestAt the time.
	sentDigest   uint64
	sentDigestAt clock.Millis
	// unannounced holds new targets that have not been announced yet, and announcedAt is
	// the time of the last announcement.
	unannounced []*wire.Contact
	announcedAt clock.Millis
	relay       relayState
	// settled reports whether this balancer knows all targets that the others know.
	settled bool
	// lag tracks the versions of the configuration that peers hold and this balancer does not.
	lag lag
	// handsOn is set while openings are handed to balancers with a later version.
	handsOn bool
	// watching reports whether this balancer watches the platform and was answered within the
	// lease, and watchingSince since when. answeredAt is the time of the last answer, and answerTime how long the platform
	// takes for one; zero if it is not slow.
	watching      bool
	watchingSince clock.Millis
	answeredAt    clock.Millis
	answerTime    clock.Millis
	// retryWatchAt is the time before which the platform is not tried again after a
	// failure; zero if it has answered since, or another balancer's watch has ended.
	retryWatchAt clock.Millis
	// storeEmpty is set if the platform has last answered a read with that there is no
	// configuration yet.
	storeEmpty bool
	// duties are those that this balancer performs, and failing those that it is to perform
	// and for which the platform does not answer it.
	duties, failing Duties
	// cancelEvacuationWait cancels the pending wait for evacuations; nil if there is none.
	cancelEvacuationWait context.CancelFunc
	// evacuationsCheckedAt is when the known evacuations were last confirmed to be current.
	evacuationsCheckedAt clock.Millis
	// seenRevision is the latest platform revision that was seen; only syncConfig uses it.
	seenRevision uint64
	// tickDue is when the next tick is due, tickInterval after the last one.
	tickDue      clock.Millis
	tickInterval time.Duration
	// keeper collects the checkpoints of the failure domain.
	keeper      *checkpoint.Keeper
	keeperState keeperState

	malformed *decisions.MalformedRecorder
	unsent    tally.Counter
	traffic   *parcels.Traffic
	forwarded tally.Counter
	// refusedQuestions counts questions from other failure domains that were not relayed.
	refusedQuestions tally.Counter
	// configWake wakes the loop that syncs the configuration.
	configWake chan struct{}
	// evacuationWake wakes the loop that syncs the evacuations.
	evacuationWake chan struct{}
	// registerAgain makes the registration check this balancer's entry.
	registerAgain chan struct{}
	// fetchTable gets a version later than the given one from a peer, whose answer is to begin
	// in time.
	fetchTable func(ctx context.Context, from netip.AddrPort, above uint64, begin time.Duration) (*routing.Table, error)
	// transfer holds what has arrived of a version; only syncConfig uses it.
	transfer replication.Transfer
	// archive holds what versions have replaced lately, for peers that still read those.
	archive    replication.Archive
	cancel     context.CancelFunc
	background tasks.Group
}

// parcelSender sends parcels.
type parcelSender interface {
	// Send returns the number of bytes sent.
	Send(to netip.AddrPort, p *wire.Parcel) (int, error)
}

// packetWriter sends packets to callers.
type packetWriter interface {
	WriteToUDPAddrPort(packet []byte, to netip.AddrPort) (int, error)
}

// Start opens the sockets, joins the other balancers and begins to serve.
func Start(settings Settings, deps Deps) (*Balancer, error) {
	b := newBalancer(settings, deps, uint64(time.Now().UnixMilli()))
	if err := b.listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.background.Go(b.serveEdge)
	b.background.Go(func() { b.parcels.Serve(b.handleParcel) })
	b.background.Go(func() { b.serveTables(ctx) })
	b.background.Go(func() { b.runTicker(ctx) })
	b.background.Go(func() { b.syncConfig(ctx) })
	b.background.Go(func() { b.runRegistration(ctx) })
	if deps.Evacuations != nil {
		b.background.Go(func() { b.syncEvacuations(ctx) })
	}
	if deps.Checkpoints != nil {
		b.background.Go(func() { b.runKeeper(ctx) })
		b.background.Go(func() { b.runListing(ctx) })
	}
	deps.Log.Info().Str("event", "start").Str("domain", settings.Domain).Stringer("edge", settings.Edge).
		Stringer("parcels", settings.Parcels).Int("seeds", len(settings.Seeds)).Msg("balancer started")
	return b, nil
}

// newBalancer returns a balancer without sockets.
func newBalancer(settings Settings, deps Deps, epoch uint64) *Balancer {
	b := &Balancer{
		settings: settings, deps: deps,
		steerer: stream.NewSteerer(deps.Clock.Now(), stream.Settings{
			Domain: settings.Domain, Regions: settings.Regions, CPUShare: settings.CPUShare, Address: settings.Parcels,
			AwaitEvacuations: deps.Evacuations != nil,
			Seed:             xxh3.HashString(settings.Name), MaxFlows: maxFlows, FlowTTL: settings.FlowTTL,
		}),
		recorder:  decisions.NewRecorder(deps.Log, deps.Scope),
		malformed: decisions.NewMalformedRecorder(deps.Log, deps.Scope), unsent: deps.Scope.Counter("unsent"),
		traffic:   parcels.NewTraffic(deps.Log, deps.Scope),
		forwarded: deps.Scope.Counter("packets"), refusedQuestions: deps.Scope.Counter("handon_refused"),
		configWake: make(chan struct{}, 1), evacuationWake: make(chan struct{}, 1), registerAgain: make(chan struct{}, 1),
		rotation: rotation.New(deps.Clock.Now(), settings.Name),
	}
	b.fetchTable = b.fetchFromPeerConn
	b.keeper = checkpoint.NewKeeper(settings.Checkpoint)
	b.peers = NewPeers(deps.Clock.Now(), Peer{
		Address: settings.Parcels, Name: settings.Name, Domain: settings.Domain, CPUShare: settings.CPUShare, Epoch: epoch,
	}, settings.Seeds)
	if deps.Checkpoints != nil {
		b.peers.listing = newListing(slices.Sorted(maps.Keys(settings.Regions)))
	}
	return b
}

func (b *Balancer) listen() error {
	var err error
	if b.edge, err = parcels.ListenUDP(b.settings.Edge); err != nil {
		return err
	}
	if b.parcels, err = parcels.Listen(b.settings.Parcels, b.deps.Codec, b.noteMalformed); err != nil {
		return errs.Combine(err, b.edge.Close())
	}
	b.parcelSender, b.callerWriter = b.parcels, b.edge
	if b.tableListener, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(b.settings.Parcels)); err != nil {
		return errs.Combine(errs.Wrap(err), b.edge.Close(), b.parcels.Close())
	}
	return nil
}

// SetSeeds adds balancers for bootstrapping.
func (b *Balancer) SetSeeds(seeds []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.AddSeeds(b.deps.Clock.Now(), seeds)
}

// serveEdge handles callers' packets.
func (b *Balancer) serveEdge() {
	noteMalformed := func(from netip.AddrPort, err error) { b.malformed.Record("edge", from, err) }
	parcels.ServePackets(b.edge, b.deps.Codec, noteMalformed, func(seg *segment.Segment, packet []byte) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.steerer.HandlePacket(b.deps.Clock.Now(), seg, packet)
		b.flush()
	})
}

// noteMalformed records a datagram that is not a valid parcel.
func (b *Balancer) noteMalformed(from netip.AddrPort, err error) {
	b.malformed.Record("parcels", from, err)
}

// handleParcel handles a parcel from an agent or a balancer.
func (b *Balancer) handleParcel(from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	switch p.Verb {
	case wire.Verb_VERB_NEWS:
		b.handleNews(now, from, p.News)
	case wire.Verb_VERB_OWNERS:
		if p.Owners != nil {
			n := b.steerer.AddOwners(now, p.Owners.Owners)
			if n == 0 {
				break
			}
			b.deps.Log.Info().Str("event", "inherited").Stringer("from", from).Int("flows", n).Send()
		}
	case wire.Verb_VERB_KEEP:
		b.handleCheckpoint(from, p.Checkpoint)
	case wire.Verb_VERB_HANDED:
		b.steerer.HandleHanded(now, from, seg, p.Packet)
	case wire.Verb_VERB_SUMMARY:
		b.handleSummary(now, from, p.Summary)
	case wire.Verb_VERB_ASK:
		if !b.steerer.RelayQuestions(now, from, p) {
			b.refusedQuestions.Inc(1)
		}
	default:
		if t, added := b.steerer.HandleParcel(now, from, p, seg); added {
			b.queueAnnouncement(now, t)
		}
	}
	b.flush()
}

// flush sends what the steerer has decided. The caller holds the lock, so that packets of a
// flow stay in order.
func (b *Balancer) flush() {
	out := b.steerer.TakeOutcome()
	for _, s := range out.Sends {
		if s.Parcel.Verb == wire.Verb_VERB_CARRY || s.Parcel.Verb == wire.Verb_VERB_OPEN {
			b.forwarded.Inc(1)
		}
		b.send(s.To, s.Parcel)
	}
	for _, r := range out.Resets {
		packet := b.deps.Codec.Reset(r.Flow, r.Seq)
		to := netip.AddrPortFrom(r.Flow.Caller.Addr(), b.settings.Edge.Port())
		if _, err := b.callerWriter.WriteToUDPAddrPort(packet, to); err != nil {
			b.unsent.Inc(1)
		}
	}
	b.recorder.Record(out.Events)
}

func (b *Balancer) send(to netip.AddrPort, p *wire.Parcel) {
	size, err := b.parcelSender.Send(to, p)
	if err != nil {
		b.unsent.Inc(1)
		return
	}
	b.traffic.RecordSent(p.Verb, b.domainOf(to) != b.settings.Domain, size)
}

// domainOf returns the failure domain of an agent or a balancer, or "" if it is unknown.
func (b *Balancer) domainOf(at netip.AddrPort) string {
	if t, ok := b.steerer.Targets.Find(at); ok {
		return t.Domain
	}
	return b.peers.Domain(at)
}

// Ready returns why the balancer is not ready, or "" if it is ready.
//
// A balancer that knows targets but reaches none is partitioned from them. It reports not
// ready, so that the fabric sends callers to another balancer.
func (b *Balancer) Ready() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	answering, all := b.steerer.Targets.Answering(b.deps.Clock.Now())
	switch {
	case b.leaving:
		return "leaving"
	case b.steerer.Table() == nil:
		return "no configuration yet"
	case all == 0:
		return "no targets known"
	case answering == 0:
		return "no target answers"
	case b.rotation.Resting():
		return "short of processor time"
	default:
		return ""
	}
}

// Stop shuts down gracefully: it reports not ready at once, keeps serving until the fabric
// has noticed, and sends the known owners of flows to the other balancers.
func (b *Balancer) Stop() {
	b.mu.Lock()
	b.leaving = true
	b.peers.SetLeaving()
	now := b.deps.Clock.Now()
	b.sendLeave(now)
	flows := b.steerer.Flows()
	b.mu.Unlock()
	b.deps.Log.Info().Str("event", "stop").Int("flows", flows).Msg("balancer stopping")
	time.Sleep(b.settings.Linger.Duration())
	b.mu.Lock()
	now = b.deps.Clock.Now()
	b.sendLeave(now)
	b.traffic.LogIfDue(now, true)
	b.mu.Unlock()
	b.cancel()
	err := errs.Combine(errs.Wrap(b.edge.Close()), b.parcels.Close(), errs.Wrap(b.tableListener.Close()))
	if err != nil {
		b.deps.Log.Warn().Str("event", "stop").Err(err).Msg("closing the sockets failed")
	}
	b.background.Wait()
}
