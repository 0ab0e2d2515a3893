// Package balancer is the process that receives callers' datagrams from the
// fabric, forwards them to the targets' agents, and returns the answers.
//
// # The model
//
// A balancer keeps no state that a flow depends on. Its packet path reads two
// structures: a snapshot of the targets of each service, and the hints, a
// soft-state cache of flow owners. Its control path synchronizes the
// configuration and the members with a few neighbours and replaces the
// snapshot. Two balancers of each failure domain that the platform answers, its
// relays, watch the configuration there (relay.go); member.Relay decides which.
//
// Lifetimes, from short to long: a worker's buffers are reused for each
// datagram; an edge (the socket of one service) lives as long as the service
// has its address; the snapshot lives until the next change; the rest lives as
// long as the process.
//
// Lock order: Balancer.mu, then the locks of tunnels and edges, then a shard of
// the hints. The packet path never takes Balancer.mu.
//
// # Usage
//
//	b, err := balancer.New(settings, deps)
//	err = b.Start(ctx)
//	...
//	b.Stop(ctx) // planned: announces the leave, keeps serving, then ends
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
	"github.com/wagtailtray/wagtailtray/internal/process/failover"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/process/successor"
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

// Settings configure a balancer.
type Settings struct {
	Name   string
	Domain string
	// Control is the address of the control server. Port 0 picks a free one.
	Control netip.AddrPort
	// Tunnel is the address of the sockets towards the agents, Ports their
	// number. With several, a balancer can leave a path that has lost track
	// of a pair of ports.
	Tunnel netip.Addr
	Ports  int
	// Edge, if valid, is bound instead of the address of each service, for
	// a fabric that rewrites destinations.
	Edge netip.Addr
	// Peers are control addresses of balancers to join through.
	Peers   []netip.AddrPort
	Workers int
	// MTU is that of the path to the agents; it bounds the size of an envelope.
	MTU    int
	Limits target.Limits
}

// Deps are the dependencies of a balancer.
type Deps struct {
	Ring   key.Ring
	Store  platform.Store
	Clock  clock.Clock
	Log    zerolog.Logger
	Scope  tally.Scope
	Tracer *trace.Tracer
	// Listen opens a service's socket towards callers; nil opens a UDP socket.
	Listen func(netip.AddrPort) (*net.UDPConn, error)
	// ControlClient makes the control calls; nil means a new control.Client.
	ControlClient ControlClient
	// OnVersion is called with each version that takes effect; may be nil.
	OnVersion func(uint64)
}

// ControlClient makes calls to other processes; control.Client implements it.
type ControlClient interface {
	Call(ctx context.Context, to netip.AddrPort, m control.Method, request, reply any) error
	Drop(to netip.AddrPort)
	Close()
}

// snapshot is the immutable state that the packet path reads.
type snapshot struct {
	sets map[uint32]*target.Set
}

// Balancer is one balancer process.
type Balancer struct {
	settings Settings
	deps     Deps
	count    counters
	hints    *target.Hints
	sealer   *envelope.Sealer
	snapshot atomic.Pointer[snapshot]
	tunnels  []*tunnel
	paths    target.Paths
	// waiting has copies of what was sent to leaving targets, for their successors.
	waiting *successor.Waiting
	// publishedEdges is the copy of edges that the packet path reads.
	publishedEdges atomic.Pointer[map[uint32]*edge]

	mu         sync.Mutex
	replica    *spread.Replica
	table      *member.Table
	self       member.Member
	tracked    map[member.Key]*trackedTarget
	targetKeys map[heartbeatKey]member.Key
	// former has the control addresses of balancers whose records were removed.
	former failover.Former
	edges  map[uint32]*edge
	// balancerChanges and serviceChanges count changes of members.
	balancerChanges uint64
	serviceChanges  map[string]uint64
	nextNeighbour   int
	lastTick        clock.Millis
	// relay decides whether this balancer watches the platform. It is stale after a change of
	// a balancer's record.
	relay      member.Relay
	relayStale bool

	server     *control.Server
	client     ControlClient
	updates    chan update
	heartbeats chan queuedHeartbeat
	stopped    atomic.Bool
	cancel     context.CancelFunc
	background tasks.Group
}

// New returns a balancer that has not started.
func New(settings Settings, deps Deps) (*Balancer, error) {
	client := deps.ControlClient
	if client == nil {
		var err error
		if client, err = control.NewClient(deps.Ring); err != nil {
			return nil, err
		}
	}
	b := &Balancer{
		settings: settings, deps: deps, count: newCounters(deps.Scope),
		hints:   target.NewHints(settings.Limits),
		sealer:  envelope.NewSealer(deps.Ring, envelope.MaxSize(settings.MTU, settings.Tunnel)-envelope.WalkReserve),
		replica: spread.NewReplica(), table: member.NewTable(),
		tracked: map[member.Key]*trackedTarget{}, targetKeys: map[heartbeatKey]member.Key{}, serviceChanges: map[string]uint64{}, edges: map[uint32]*edge{}, relayStale: true,
		client: client, updates: make(chan update, maxQueuedUpdates), heartbeats: make(chan queuedHeartbeat, maxQueuedHeartbeats),
	}
	b.waiting = b.newWaiting()
	b.snapshot.Store(&snapshot{sets: map[uint32]*target.Set{}})
	return b, nil
}

// Start opens the sockets, joins the other balancers and starts serving.
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
	b.startControl(ctx)
	b.run(ctx, b.serveWaiting)
	b.run(ctx, b.serveHeartbeats)
	b.serveTunnels()
	b.deps.Log.Info().Str("event", "started").Stringer("control", b.self.Control).Msg("balancer started")
	return nil
}

// startControl starts the tasks that exchange members and configurations.
func (b *Balancer) startControl(ctx context.Context) {
	b.run(ctx, b.servePushes)
	b.run(ctx, b.runTicker)
	b.run(ctx, b.runRelay)
}

// run starts a background task that ends with the context.
func (b *Balancer) run(ctx context.Context, task func(context.Context)) {
	b.background.Go(func() { task(ctx) })
}

// Preload applies a configuration and members as if a peer had sent them, before
// the balancer starts. Measurements use it.
func (b *Balancer) Preload(state *config.State, members []member.Member) {
	if len(members) > 0 {
		all := make([]*wire.Member, len(members))
		for i := range members {
			all[i] = members[i].Wire()
		}
		b.mergeMembers(all)
	}
	if state != nil {
		b.applyState(state)
	}
}

// Control returns the address of the control server.
func (b *Balancer) Control() netip.AddrPort {
	return b.server.Address()
}

// Tunnels returns the addresses of the sockets towards the agents.
func (b *Balancer) Tunnels() []netip.AddrPort {
	return b.tunnelAddresses()
}

// Version returns the version of the configuration in force.
func (b *Balancer) Version() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replica.Version()
}

// Ready returns why the balancer is not ready, or an empty string.
func (b *Balancer) Ready() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.replica.Version() == 0 {
		return "no configuration yet"
	}
	if b.self.State != member.Alive {
		return "leaving"
	}
	return ""
}

// Stop announces the leave, so that agents answer through another balancer,
// keeps serving for the configured linger time, and then ends.
func (b *Balancer) Stop(ctx context.Context) {
	b.setLeaving()
	b.mu.Lock()
	linger := b.replica.State().Root.Timing.LingerTime
	b.mu.Unlock()
	b.sendLeaves(ctx, linger)
	b.removeRosterEntry(ctx)
	b.Kill()
}

// Kill ends at once, without announcing the leave, and closes the sockets.
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
	b.background.Wait()
	b.client.Close()
}

// random returns a uniformly distributed number in [0, 1).
func random() float64 {
	return rand.Float64()
}
