// Package streambalancer is the process that takes callers' packets of
// connections from the fabric and brings them to the targets' agents.
//
// # The model
//
// Decisions about packets are a stream.Steerer's, those about other balancers
// are in Peers. This package has the sockets and the clock:
//
//   - the edge takes callers' packets;
//   - the parcel socket speaks to agents and other balancers;
//   - a listener at the same port gives the routing table to other balancers;
//   - the configuration is watched in the platform by one balancer of each
//     failure domain, and told to the others;
//   - two balancers of each failure domain are its relays: they tell the other ones
//     of its targets, and hand on what those tell.
//
// Life spans: a packet's buffer lives until it is sent on; what is remembered of
// a flow is soft, and losing it costs a search; the routing table lives until
// the next version; the rest lives as long as the process.
//
// Lock order: Balancer.mu only. It is held while a packet is decided about and
// sent, which are some microseconds, and never while the platform or a peer is
// called.
//
// # Usage
//
//	b, err := streambalancer.Start(settings, deps)
//	...
//	b.Stop() // planned: not ready at once, serves on, then ends
package streambalancer

import (
	"context"
	"net"
	"net/netip"
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
	"github.com/wagtailtray/wagtailtray/internal/process/tasks"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// mostFlows bounds the flows that are remembered, some 400 bytes each. At the size
// of two years from now a balancer sees 16,000.
const mostFlows = 65536

// Source reads the routing table from where operators keep it.
type Source interface {
	// Read returns the present version.
	Read(ctx context.Context) (*routing.Table, error)
	// Wait returns the next change after a revision.
	Wait(ctx context.Context, revision uint64) (Change, error)
}

// Change is what a Source has seen after a revision.
type Change struct {
	// Table is the latest version; nil where none came within the source's own
	// patience.
	Table *routing.Table
	// Revision is where the next wait goes on.
	Revision uint64
}

// Settings are what a balancer is told at start.
type Settings struct {
	Name   string
	Domain string
	// Regions tells in which region each failure domain lies.
	Regions map[string]string
	// Share is the process's part of a core, in thousandths; zero when not known. Those
	// with more take duties first.
	Share uint32
	// Edge takes callers' packets.
	Edge netip.AddrPort
	// Parcels is where other processes reach this one, over UDP and TCP.
	Parcels netip.AddrPort
	// FlowLife is how long a flow may live.
	FlowLife clock.Millis
	// Linger is how long a stopping balancer serves on, until the fabric has
	// noticed that it is not ready.
	Linger clock.Millis
	// Seeds are balancers to join through.
	Seeds []netip.AddrPort
	// Checkpoint bounds what is kept of targets' flows.
	Checkpoint checkpoint.KeeperSettings
}

// Deps are what a balancer works with.
type Deps struct {
	Codec     segment.Codec
	Source    Source
	Directory *directory.Directory
	// Orders tells which failure domains are evacuated; nil where none ever is.
	Orders Orders
	// Sheets keeps the checkpoints of the failure domain; nil if they are not kept.
	Sheets Sheets
	Clock  clock.Clock
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Balancer is one balancer.
type Balancer struct {
	settings Settings
	deps     Deps
	edge     *net.UDPConn
	parcels  *parcels.Socket
	link     link
	callers  writer
	calls    net.Listener

	mu      sync.Mutex
	steerer *stream.Steerer
	peers   *Peers
	record  *decisions.Recorder
	leaving bool
	// told is the digest of the last news to all neighbours, at toldAt.
	told   uint64
	toldAt clock.Millis
	// unannounced are new targets that the neighbours are not told of yet, and
	// announced is when they were told of some last.
	unannounced []*wire.Contact
	announced   clock.Millis
	relaying    relaying
	// settled tells that this balancer knows all targets that others do.
	settled bool
	// watching tells that the last call of the watch was answered.
	watching bool
	// ordered is when it was last learned that the evacuations are those that are known.
	ordered clock.Millis
	// seen is up to which revision the platform's changes were seen; only configure
	// uses it.
	seen uint64
	// stepped is when what was due was looked at last.
	stepped clock.Millis
	// keeper collects the checkpoints of the failure domain.
	keeper *checkpoint.Keeper
	// keeping tells that this balancer writes them; only keeps uses it.
	keeping bool

	malformed *decisions.MalformedRecorder
	unsent    tally.Counter
	traffic   *parcels.Traffic
	forwarded tally.Counter
	// refused counts questions of other failure domains that were not handed on.
	refused tally.Counter
	// updated wakes the loop that reads the platform.
	updated chan struct{}
	cancel  context.CancelFunc
	parts   tasks.Group
}

// link sends parcels.
type link interface {
	// Send returns the size of what it sent.
	Send(to netip.AddrPort, p *wire.Parcel) (int, error)
}

// writer sends packets to callers.
type writer interface {
	WriteToUDPAddrPort(packet []byte, to netip.AddrPort) (int, error)
}

// Start opens the sockets, joins the others and begins to serve.
func Start(settings Settings, deps Deps) (*Balancer, error) {
	b := newBalancer(settings, deps, uint64(time.Now().UnixMilli()))
	if err := b.listen(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.parts.Go(b.serveEdge)
	b.parts.Go(func() { b.parcels.Serve(b.hear) })
	b.parts.Go(func() { b.serveCalls(ctx) })
	b.parts.Go(func() { b.ticks(ctx) })
	b.parts.Go(func() { b.configure(ctx) })
	b.parts.Go(func() { b.register(ctx) })
	if deps.Orders != nil {
		b.parts.Go(func() { b.evacuations(ctx) })
	}
	if deps.Sheets != nil {
		b.parts.Go(func() { b.keeps(ctx) })
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
			Domain: settings.Domain, Regions: settings.Regions, Share: settings.Share, Address: settings.Parcels,
			Evacuates: deps.Orders != nil,
			Seed:      xxh3.HashString(settings.Name), Flows: mostFlows, FlowLife: settings.FlowLife,
		}),
		record:    decisions.NewRecorder(deps.Log, deps.Scope),
		malformed: decisions.NewMalformedRecorder(deps.Log, deps.Scope), unsent: deps.Scope.Counter("unsent"),
		traffic:   parcels.NewTraffic(deps.Log, deps.Scope),
		forwarded: deps.Scope.Counter("packets"), refused: deps.Scope.Counter("handon_refused"),
		updated: make(chan struct{}, 1),
	}
	b.keeper = checkpoint.NewKeeper(settings.Checkpoint)
	b.peers = NewPeers(deps.Clock.Now(), Peer{
		Address: settings.Parcels, Name: settings.Name, Domain: settings.Domain, Share: settings.Share, Epoch: epoch,
	}, settings.Seeds)
	return b
}

func (b *Balancer) listen() error {
	var err error
	if b.edge, err = parcels.ListenUDP(b.settings.Edge); err != nil {
		return err
	}
	if b.parcels, err = parcels.Listen(b.settings.Parcels, b.deps.Codec, b.unreadable); err != nil {
		return errs.Combine(err, b.edge.Close())
	}
	b.link, b.callers = b.parcels, b.edge
	if b.calls, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(b.settings.Parcels)); err != nil {
		return errs.Combine(errs.Wrap(err), b.edge.Close(), b.parcels.Close())
	}
	return nil
}

// SetSeeds adds balancers to join through.
func (b *Balancer) SetSeeds(seeds []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.Seed(b.deps.Clock.Now(), seeds)
}

// serveEdge takes callers' packets.
func (b *Balancer) serveEdge() {
	unreadable := func(from netip.AddrPort, err error) { b.malformed.Record("edge", from, err) }
	parcels.ServePackets(b.edge, b.deps.Codec, unreadable, func(seg *segment.Segment, packet []byte) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.steerer.Arrive(b.deps.Clock.Now(), seg, packet)
		b.flush()
	})
}

// unreadable notes a datagram that is no parcel.
func (b *Balancer) unreadable(from netip.AddrPort, err error) {
	b.malformed.Record("parcels", from, err)
}

// hear takes a parcel of an agent or a balancer.
func (b *Balancer) hear(from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	switch p.Verb {
	case wire.Verb_VERB_NEWS:
		b.takeNews(now, from, p.News)
	case wire.Verb_VERB_OWNERS:
		if p.Owners != nil {
			n := b.steerer.Inherit(now, p.Owners.Owners)
			if n == 0 {
				break
			}
			b.deps.Log.Info().Str("event", "inherited").Stringer("from", from).Int("flows", n).Send()
		}
	case wire.Verb_VERB_KEEP:
		b.takeCheckpoint(from, p.Checkpoint)
	case wire.Verb_VERB_SUMMARY:
		b.hearSummary(now, from, p.Summary)
	case wire.Verb_VERB_ASK:
		if !b.steerer.HandOn(now, from, p) {
			b.refused.Inc(1)
		}
	default:
		if t, added := b.steerer.Hear(now, from, p, seg); added {
			b.announce(now, t)
		}
	}
	b.flush()
}

// flush does what was decided. The lock is held: packets of one flow stay in
// order.
func (b *Balancer) flush() {
	out := b.steerer.Take()
	for _, s := range out.Sends {
		if s.Parcel.Verb == wire.Verb_VERB_CARRY || s.Parcel.Verb == wire.Verb_VERB_OPEN {
			b.forwarded.Inc(1)
		}
		b.send(s.To, s.Parcel)
	}
	for _, r := range out.Resets {
		packet := b.deps.Codec.Reset(r.Flow, r.Seq)
		to := netip.AddrPortFrom(r.Flow.Caller.Addr(), b.settings.Edge.Port())
		if _, err := b.callers.WriteToUDPAddrPort(packet, to); err != nil {
			b.unsent.Inc(1)
		}
	}
	b.record.Record(out.Events)
}

func (b *Balancer) send(to netip.AddrPort, p *wire.Parcel) {
	size, err := b.link.Send(to, p)
	if err != nil {
		b.unsent.Inc(1)
		return
	}
	b.traffic.RecordSent(p.Verb, b.domain(to) != b.settings.Domain, size)
}

// domain returns the failure domain of an agent or a balancer, or nothing if that is not
// known.
func (b *Balancer) domain(at netip.AddrPort) string {
	if t, ok := b.steerer.Targets.Find(at); ok {
		return t.Domain
	}
	return b.peers.Domain(at)
}

// Ready says why the balancer is not ready, or nothing.
//
// A balancer that reaches no target while it knows some is cut off from them. It
// says so, and the fabric sends callers to another one.
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
	default:
		return ""
	}
}

// Stop leaves: the balancer is not ready at once, serves on until the fabric
// has noticed, and tells the others which flows it knows the owners of.
func (b *Balancer) Stop() {
	b.mu.Lock()
	b.leaving = true
	b.peers.Leave()
	now := b.deps.Clock.Now()
	b.leave(now)
	flows := b.steerer.Flows()
	b.mu.Unlock()
	b.deps.Log.Info().Str("event", "stop").Int("flows", flows).Msg("balancer stops")
	time.Sleep(b.settings.Linger.Duration())
	b.mu.Lock()
	now = b.deps.Clock.Now()
	b.leave(now)
	b.traffic.LogIfDue(now, true)
	b.mu.Unlock()
	b.cancel()
	err := errs.Combine(errs.Wrap(b.edge.Close()), b.parcels.Close(), errs.Wrap(b.calls.Close()))
	if err != nil {
		b.deps.Log.Warn().Str("event", "stop").Err(err).Msg("sockets did not close")
	}
	b.parts.Wait()
}
