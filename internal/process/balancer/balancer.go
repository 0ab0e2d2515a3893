// Package balancer is the process that takes callers' datagrams from the
// fabric and brings them to the targets' agents, and the answers back.
//
// # The model
//
// A balancer holds nothing that a flow depends on. Its packet path reads two
// things: a snapshot of the targets of each service, and the hints, a soft
// memory of who owns which flow. Its control path keeps the configuration and
// the members up to date with a few neighbours and replaces the snapshot.
//
// Life spans, from short to long: a worker's buffers live for a datagram; an
// edge (the socket of one service) lives as long as the service has its
// address; the snapshot lives until the next change; the rest lives as long as
// the process.
//
// Lock order: Balancer.mu, then the locks of tunnels and edges, then a shard of
// the hints. The packet path never takes Balancer.mu.
//
// # Usage
//
//	b, err := balancer.New(settings, deps)
//	err = b.Start(ctx)
//	...
//	b.Stop(ctx) // planned: announces the leave, serves on, then ends
package balancer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/process/tasks"
	"github.com/wagtailtray/wagtailtray/internal/process/trace"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/internal/version/spread"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Settings are what a balancer is told at start.
type Settings struct {
	Name   string
	Domain string
	// Control is where control calls are taken. Port 0 takes any.
	Control netip.AddrPort
	// Tunnel is the address of the sockets towards the agents, Ports their
	// number. Several let a balancer leave a path that forgot it.
	Tunnel netip.Addr
	Ports  int
	// Edge replaces the address of every service, for a fabric that
	// rewrites destinations. An invalid one binds the service's own.
	Edge netip.Addr
	// Peers are control addresses of balancers to join through.
	Peers   []netip.AddrPort
	Workers int
	// MTU of the path to the agents, and of what it leaves to an envelope.
	MTU    int
	Limits target.Limits
}

// Deps are what a balancer works with.
type Deps struct {
	Ring   key.Ring
	Store  platform.Store
	Clock  clock.Clock
	Log    zerolog.Logger
	Scope  tally.Scope
	Tracer *trace.Tracer
	// Listen opens a service's socket towards callers; nil opens a UDP one.
	Listen func(netip.AddrPort) (*net.UDPConn, error)
	// Caller makes the calls; nil makes a control.Client.
	Caller Caller
	// OnVersion is told of each version that comes into force; may be nil.
	OnVersion func(uint64)
}

// Caller makes calls to other processes, as control.Client does.
type Caller interface {
	Call(ctx context.Context, to netip.AddrPort, m control.Method, request, reply any) error
	Drop(to netip.AddrPort)
	Close()
}

// snapshot is what the packet path reads. It is immutable.
type snapshot struct {
	sets map[uint32]*target.Set
}

// Balancer is one balancer.
type Balancer struct {
	settings Settings
	deps     Deps
	count    counters
	hints    *target.Hints
	sealer   *envelope.Sealer
	snapshot atomic.Pointer[snapshot]
	tunnels  []*tunnel
	paths    target.Paths
	// answers is the edges as the packet path sees them.
	answers atomic.Pointer[map[uint32]*edge]

	mu     sync.Mutex
	book   *spread.Replica
	table  *member.Table
	self   member.Member
	heard  map[member.Key]*contact
	byBeat map[beaten]member.Key
	edges  map[uint32]*edge
	// balancersChanged and serviceChanged count changes of members.
	balancersChanged uint64
	serviceChanged   map[string]uint64
	next             int
	ticked           clock.Millis
	watch            context.CancelFunc

	server  *control.Server
	client  Caller
	news    chan news
	beats   chan arrived
	stopped atomic.Bool
	cancel  context.CancelFunc
	parts   tasks.Group
}

// New returns a balancer that has not started.
func New(settings Settings, deps Deps) (*Balancer, error) {
	client := deps.Caller
	if client == nil {
		var err error
		if client, err = control.NewClient(deps.Ring); err != nil {
			return nil, err
		}
	}
	b := &Balancer{
		settings: settings, deps: deps, count: newCounters(deps.Scope),
		hints:  target.NewHints(settings.Limits),
		sealer: envelope.NewSealer(deps.Ring, envelope.MaxSize(settings.MTU, settings.Tunnel)-envelope.WalkReserve),
		book:   spread.NewReplica(), table: member.NewTable(),
		heard: map[member.Key]*contact{}, byBeat: map[beaten]member.Key{}, serviceChanged: map[string]uint64{}, edges: map[uint32]*edge{},
		client: client, news: make(chan news, newsQueue), beats: make(chan arrived, beatQueue),
	}
	b.snapshot.Store(&snapshot{sets: map[uint32]*target.Set{}})
	return b, nil
}

// Start opens the sockets, joins the others and begins to serve.
func (b *Balancer) Start(ctx context.Context) error {
	ctx, b.cancel = context.WithCancel(ctx)
	if err := b.openTunnels(); err != nil {
		return err
	}
	server, err := control.Serve(ctx, b.settings.Control, b.deps.Ring, b)
	if err != nil {
		return err
	}
	b.server = server
	b.self = member.Member{
		Key:    member.Key{Kind: member.Balancer, Name: b.settings.Name},
		Domain: b.settings.Domain, Control: server.Address(), Tunnels: b.tunnelAddresses(),
		Incarnation: 1, Sequence: 1, State: member.Alive,
	}
	b.join(ctx)
	b.run(ctx, b.serveNews)
	b.run(ctx, b.serveBeats)
	b.run(ctx, b.tick)
	b.serveTunnels()
	b.deps.Log.Info().Str("event", "started").Stringer("control", b.self.Control).Msg("balancer started")
	return nil
}

// run starts a part of the process that ends with the context.
func (b *Balancer) run(ctx context.Context, part func(context.Context)) {
	b.parts.Go(func() { part(ctx) })
}

// Fill takes a configuration and members as if a peer had told them, before the
// balancer starts. Measurements begin with it.
func (b *Balancer) Fill(state *config.State, members []member.Member) {
	if len(members) > 0 {
		all := make([]*wire.Member, len(members))
		for i := range members {
			all[i] = members[i].Wire()
		}
		b.takeMembers(all)
	}
	if state != nil {
		b.takeState(state)
	}
}

// Control returns the address of control calls.
func (b *Balancer) Control() netip.AddrPort {
	return b.server.Address()
}

// Tunnels returns the sockets towards the agents.
func (b *Balancer) Tunnels() []netip.AddrPort {
	return b.tunnelAddresses()
}

// Version returns the version of the configuration in force.
func (b *Balancer) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.book.Version()
}

// Ready says why the balancer is not ready, or nothing.
func (b *Balancer) Ready() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.book.Version() == 0 {
		return "no configuration yet"
	}
	if b.self.State != member.Alive {
		return "leaving"
	}
	return ""
}

// Stop leaves: others learn of it and answer through another balancer, while
// this one serves on for as long as the configuration says. Then it ends.
func (b *Balancer) Stop(ctx context.Context) {
	b.leave()
	b.mu.Lock()
	linger := b.book.State().Root.Timing.LingerTime
	b.mu.Unlock()
	b.sayLeave(ctx, linger)
	b.forgetRoster(ctx)
	b.Kill()
}

// Kill ends at once, as a failure would, but closes the sockets.
func (b *Balancer) Kill() {
	if b.stopped.Swap(true) {
		return
	}
	if b.cancel != nil {
		b.cancel()
	}
	if b.server != nil {
		b.server.Close()
	}
	b.closeTunnels()
	b.mu.Lock()
	for _, e := range b.edges {
		_ = e.conn.Close()
	}
	b.mu.Unlock()
	b.parts.Wait()
	b.client.Close()
}

// random is even in [0, 1).
func random() float64 {
	return rand.Float64()
}
