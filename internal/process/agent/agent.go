// Package agent implements the process that runs beside each target. It owns
// the target's flows and is the only process that talks to its upstream.
//
// # Overview
//
// Balancers and the agents of the same service send envelopes to one tunnel
// socket. For each envelope the flow table decides: deliver it to the upstream,
// forward it to a peer, refuse or drop it. Answers of the upstream are returned
// through the balancer that sent the flow's last datagram.
//
// The agent announces itself to a few balancers, its contacts. Their replies
// carry the service's configuration, the other targets (the peers) and whether
// operators want this target to drain.
//
// Lock order: Agent.mu, then Agent.estimatorMu, then the locks of the table. The packet path takes
// only the last two and reads everything else through atomic values.
//
// # Usage
//
//	a, err := agent.New(settings, deps)
//	err = a.Start(ctx)
//	...
//	a.Stop(ctx) // planned: hands its flows over to its successor
package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/connection/upstream"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/process/successor"
	"github.com/wagtailtray/wagtailtray/internal/process/tasks"
	"github.com/wagtailtray/wagtailtray/internal/process/trace"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/quic"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// ErrSuperseded means that a process of the same target with a higher
// incarnation exists.
var ErrSuperseded = errs.New("agent: superseded by a later process of this target")

// Settings are the startup settings of an agent.
type Settings struct {
	// Name is the target's name, unique within its service.
	Name    string
	Service string
	Domain  string
	Control netip.AddrPort
	// Tunnel is the UDP address that receives envelopes. Port 0 selects any
	// free port.
	Tunnel   netip.AddrPort
	Upstream netip.AddrPort
	// Local is the source address of the flows towards the upstream.
	Local netip.Addr
	// Load is the address and path of the upstream's load endpoint; empty for
	// none.
	Load string
	// Balancers are the control addresses of the balancers to contact first.
	Balancers []netip.AddrPort
	Workers   int
	MTU       int
}

// Deps are the dependencies of an agent.
type Deps struct {
	Ring   key.Ring
	Store  platform.Store
	Clock  clock.Clock
	Log    zerolog.Logger
	Scope  tally.Scope
	Tracer *trace.Tracer
}

// maxRefusedCallers bounds the refused callers whose balancer is remembered
// until the QUIC library has produced the refusal.
const maxRefusedCallers = 1024

// maxFlowLogsPerSecond bounds the log lines about single flows.
const maxFlowLogsPerSecond = 100

// Agent runs one target's agent.
type Agent struct {
	settings Settings
	deps     Deps
	// flowLog logs single flows, rate limited.
	flowLog        zerolog.Logger
	count          counters
	table          *owner.Table
	loads          *owner.PeerLoads
	sealer         *envelope.Sealer
	pool           *upstream.Pool
	refuser        *quic.Refuser
	refusedCallers *lru.Cache[netip.AddrPort, netip.AddrPort]
	tunnel         *net.UDPConn
	view           atomic.Pointer[owner.View]
	lastReport     atomic.Pointer[loadReport]
	// leaseStart is when the last acknowledged heartbeat or announcement was
	// sent.
	leaseStart atomic.Int64
	// queued has the datagrams received while the agent was fenced, leaseRenewed signals
	// serveQueue to process them, and closing is closed before the tunnel.
	queued           chan queuedDatagram
	leaseRenewed     chan struct{}
	closing          chan struct{}
	leavingBalancers atomic.Pointer[map[netip.AddrPort]leavingBalancer]
	// waiting has copies of what was passed to leaving peers, for their successors.
	waiting   *successor.Waiting
	accepting atomic.Bool
	sequence  atomic.Uint64
	buffers   sync.Pool
	// leaseMillis, digestMillis and rampMillis are configuration values that
	// are read without a lock.
	leaseMillis  atomic.Int64
	digestMillis atomic.Int64
	rampMillis   atomic.Int64
	slots        atomic.Uint32
	// tookOver reports that a predecessor's flows were restored: the upstream
	// is warm.
	tookOver         atomic.Bool
	unreachableSeen  atomic.Uint64
	unreachableSince atomic.Int64
	estimatorMu      sync.Mutex
	estimator        *owner.FlowEstimator

	mu       sync.Mutex
	self     member.Member
	service  config.Service
	timing   config.Timing
	version  uint64
	viewHash uint64
	peers    []member.Member
	contacts []netip.AddrPort
	// tunnels are the contacts' tunnel addresses, in the same order.
	tunnels        []netip.AddrPort
	observer       *owner.Observer
	barred         bool
	drainRequested bool
	// joinedAt is when the target could first be announced, and
	// predecessorKnown reports that the balancers knew a predecessor then.
	joinedAt         clock.Millis
	predecessorKnown bool
	// drainingSince is when the current drain began.
	drainingSince clock.Millis
	peerLedgers   map[string]peerLedger
	leavingPeers  map[target.ID]leavingPeer
	heartbeats    heartbeatState

	startedAt clock.Millis
	server    *control.Server
	client    *control.Client
	fatal     chan error
	// outOfSync signals that the answer to a heartbeat, or a peer's digest,
	// differs from the agent's state.
	outOfSync  chan struct{}
	stopped    atomic.Bool
	closeOnce  sync.Once
	cancel     context.CancelFunc
	background tasks.Group
	// workers are the goroutines that process envelopes.
	workers tasks.Group
}

// New returns an agent that is not started.
func New(settings Settings, deps Deps) (*Agent, error) {
	client, err := control.NewClient(deps.Ring)
	if err != nil {
		return nil, err
	}
	refused, err := lru.New[netip.AddrPort, netip.AddrPort](maxRefusedCallers)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	a := &Agent{
		settings: settings, deps: deps, count: newCounters(deps.Scope),
		flowLog: deps.Log.Sample(&zerolog.BurstSampler{Burst: maxFlowLogsPerSecond, Period: time.Second}),
		queued:  make(chan queuedDatagram, maxQueued), leaseRenewed: make(chan struct{}, 1), closing: make(chan struct{}),
		leavingPeers: map[target.ID]leavingPeer{},
		client:       client, refusedCallers: refused,
		sealer:   envelope.NewSealer(deps.Ring, envelope.MaxSize(settings.MTU, settings.Tunnel.Addr())),
		observer: owner.NewObserver(target.IDFromName(settings.Name)), peerLedgers: map[string]peerLedger{}, fatal: make(chan error, 1), outOfSync: make(chan struct{}, 1),
	}
	a.waiting = a.newWaiting()
	a.buffers.New = func() any {
		b := make([]byte, 0, envelope.MaxDatagramSize)
		return &b
	}
	return a, nil
}

// Start obtains the service's configuration, takes over a predecessor's flows
// and starts serving. It blocks until a balancer answers and the service is
// configured, or the context ends.
func (a *Agent) Start(ctx context.Context) error {
	a.startedAt = a.deps.Clock.Now()
	ctx, a.cancel = context.WithCancel(ctx)
	server, err := control.Serve(ctx, a.settings.Control, a.deps.Ring, a)
	if err != nil {
		return err
	}
	a.server = server
	a.self = member.Member{
		Key:    member.Key{Kind: member.Target, Service: a.settings.Service, Name: a.settings.Name},
		Domain: a.settings.Domain, Control: server.Address(),
		Upstream: a.settings.Upstream, State: member.Joining, Sequence: 1,
	}
	if err := a.bootstrap(ctx); err != nil {
		return err
	}
	if err := a.initPacketPath(); err != nil {
		return err
	}
	// The ledger's local ports are bound first: a tunnel on any free port
	// could otherwise get one of them, and that flow would be lost.
	if err := a.restoreLedger(ctx); err != nil {
		return err
	}
	if err := a.openTunnel(); err != nil {
		return err
	}
	a.join()
	a.serve(ctx)
	a.background.Go(func() {
		a.announce(ctx)
		a.removeLedger(ctx)
	})
	a.deps.Log.Info().Str("event", "started").Uint32("incarnation", a.self.Incarnation).
		Int("flows", a.table.Len()).Msg("agent started")
	return nil
}

// join records that the target can be announced from now on.
func (a *Agent) join() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	a.leaseStart.Store(int64(now))
	a.joinedAt = now
	a.self.Tunnels = []netip.AddrPort{a.Tunnel()}
	a.updateState()
	a.accepting.Store(a.self.State == member.Alive)
	a.rebuildViewLocked()
}

// initPacketPath creates the tables and sockets whose sizes depend on the
// service's configuration.
func (a *Agent) initPacketPath() error {
	a.loads = owner.NewPeerLoads(maxMissedDigests * a.service.DigestInterval)
	a.table = owner.NewTable(a.limits(), a.loads)
	a.estimator = owner.NewFlowEstimator(a.service.IdleTimeout)
	pool, err := upstream.NewPool(a.settings.Local, a.settings.Upstream, a.settings.Workers, a.handleAnswer)
	if err != nil {
		return err
	}
	a.pool = pool
	a.refuser, err = quic.NewRefuser(a.returnRefusal)
	return err
}

// limits returns the limits of the flow table for the service's configuration.
func (a *Agent) limits() owner.Limits {
	return owner.Limits{
		MaxFlows: a.service.MaxFlows, MaxPlacements: a.service.MaxFlows * placementsPerFlow,
		IdleTimeout: a.service.IdleTimeout, UnansweredTimeout: a.service.UnansweredTimeout,
	}
}

const (
	// placementsPerFlow is how many placements a home remembers for each flow
	// that a target may have: as many as two targets' flows.
	placementsPerFlow = 2
	// maxMissedDigests is how many consecutive digests may be missing before
	// a peer's load counts as unknown.
	maxMissedDigests = 4
)

func (a *Agent) serve(ctx context.Context) {
	for range max(a.settings.Workers, 1) {
		a.workers.Go(a.serveTunnel)
	}
	a.workers.Go(a.serveQueue)
	a.workers.Go(a.serveWaiting)
	a.background.Go(func() { a.runHeartbeats(ctx) })
	a.background.Go(func() { a.runDigests(ctx) })
	a.background.Go(func() { a.runSweeps(ctx) })
}

// Tunnel returns the address that receives envelopes.
func (a *Agent) Tunnel() netip.AddrPort {
	address := a.tunnel.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Flows returns the number of open flows.
func (a *Agent) Flows() int {
	return a.table.Len()
}

// Version returns the version of the agent's configuration.
func (a *Agent) Version() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// Fatal returns a channel that receives ErrSuperseded when the agent must end.
func (a *Agent) Fatal() <-chan error {
	return a.fatal
}

// Ready returns the reason why the agent is not ready, or an empty string.
func (a *Agent) Ready() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.version == 0:
		return "no configuration yet"
	case a.barred:
		return "the service does not admit this target"
	case a.fenced(a.deps.Clock.Now()):
		return "no balancer has answered within the lease"
	case a.self.State == member.Joining:
		return "joining: the others must hear of this target before it opens flows"
	default:
		return ""
	}
}

// Kill stops the agent without handing its flows over, and closes the sockets.
// It may be called for an agent whose Start has failed.
func (a *Agent) Kill() {
	if a.stopped.Swap(true) {
		return
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.server != nil {
		a.server.Close()
	}
	a.closeTunnel()
	a.background.Wait()
	if a.pool != nil {
		a.pool.Close()
	}
	if a.refuser != nil {
		a.refuser.Close()
	}
	a.client.Close()
}
