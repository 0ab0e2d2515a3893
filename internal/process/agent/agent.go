// Package agent is the process beside each target. It owns the target's flows
// and is the only one that speaks to its upstream.
//
// # The model
//
// Envelopes arrive on one tunnel socket from balancers and from the agents of
// the same service. The table of flows decides about each: hand it to the
// upstream, pass it to a peer, refuse or drop it. Answers of the upstream go
// back through the balancer that the flow's last datagram came from.
//
// The agent announces itself to a few balancers. Their replies bring the
// service's record, the other targets and what the operators want of this one.
//
// Lock order: Agent.mu, then Agent.trustMu, then the locks of the table. The packet path takes
// only the latter and reads the rest through atomic pointers.
//
// # Usage
//
//	a, err := agent.New(settings, deps)
//	err = a.Start(ctx)
//	...
//	a.Stop(ctx) // planned: leaves its flows to its successor
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

// ErrSuperseded means that a later process of the same target is known.
var ErrSuperseded = errs.New("agent: another process of this target has taken over")

// Settings are what an agent is told at start.
type Settings struct {
	// Name is the target's name, unique within its service.
	Name    string
	Service string
	Domain  string
	Control netip.AddrPort
	// Tunnel is where envelopes are taken. Port 0 takes any.
	Tunnel   netip.AddrPort
	Upstream netip.AddrPort
	// Local is the address that the upstream sees the flows come from.
	Local netip.Addr
	// Load is the address of the upstream's load endpoint; empty for none.
	Load string
	// Balancers are control addresses for first contact.
	Balancers []netip.AddrPort
	Workers   int
	MTU       int
}

// Deps are what an agent works with.
type Deps struct {
	Ring   key.Ring
	Store  platform.Store
	Clock  clock.Clock
	Log    zerolog.Logger
	Scope  tally.Scope
	Tracer *trace.Tracer
}

// refusedKept is how many callers are remembered whose refusal the QUIC
// library is making, with the balancer to answer through.
const refusedKept = 1024

// mostLines is how many lines about single flows are logged in a second.
const mostLines = 100

// Agent is one agent.
type Agent struct {
	settings Settings
	deps     Deps
	// lines logs single flows, so many a second at most.
	lines   zerolog.Logger
	count   counters
	table   *owner.Table
	loads   *owner.Loads
	sealer  *envelope.Sealer
	pool    *upstream.Pool
	refuser *quic.Refuser
	refused *lru.Cache[netip.AddrPort, netip.AddrPort]
	tunnel  *net.UDPConn
	view    atomic.Pointer[owner.View]
	report  atomic.Pointer[report]
	// confirmed is when the last answered heartbeat was sent.
	confirmed atomic.Int64
	// held is what came while the agent was fenced, confirmations wakes who takes it up,
	// and closing is closed with the tunnel.
	held          chan held
	confirmations chan struct{}
	closing       chan struct{}
	accepting     atomic.Bool
	sequence      atomic.Uint64
	buffers       sync.Pool
	// leaseTime, digestTime and rampTime are values of the configuration
	// that the packet path reads, in milliseconds.
	leaseTime  atomic.Int64
	digestTime atomic.Int64
	rampTime   atomic.Int64
	slots      atomic.Uint32
	// inherited tells that flows were taken over: the upstream is warm.
	inherited atomic.Bool
	deafSeen  atomic.Uint64
	deafSince atomic.Int64
	trustMu   sync.Mutex
	trust     *owner.Trust

	mu       sync.Mutex
	self     member.Member
	record   config.Service
	timing   config.Timing
	version  uint64
	viewHash uint64
	peers    []member.Member
	contacts []netip.AddrPort
	// tunnels are the contacts' sockets for envelopes, in their order.
	tunnels  []netip.AddrPort
	observer *owner.Observer
	barred   bool
	drained  bool
	// joined is when the target was announced first, and familiar that the
	// balancers knew a predecessor then.
	joined   clock.Millis
	familiar bool
	// draining is when the present drain began.
	draining clock.Millis
	kept     map[string]keptLedger
	beats    beats

	started clock.Millis
	server  *control.Server
	client  *control.Client
	fatal   chan error
	// differs tells that a beat's answer showed a difference.
	differs  chan struct{}
	stopped  atomic.Bool
	shutting sync.Once
	cancel   context.CancelFunc
	parts    tasks.Group
	// workers are the parts that take envelopes.
	workers tasks.Group
}

// New returns an agent that has not started.
func New(settings Settings, deps Deps) (*Agent, error) {
	client, err := control.NewClient(deps.Ring)
	if err != nil {
		return nil, err
	}
	refused, err := lru.New[netip.AddrPort, netip.AddrPort](refusedKept)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	a := &Agent{
		settings: settings, deps: deps, count: newCounters(deps.Scope),
		lines: deps.Log.Sample(&zerolog.BurstSampler{Burst: mostLines, Period: time.Second}),
		held:  make(chan held, mostHeld), confirmations: make(chan struct{}, 1), closing: make(chan struct{}),
		client: client, refused: refused,
		sealer:   envelope.NewSealer(deps.Ring, envelope.MaxSize(settings.MTU, settings.Tunnel.Addr())),
		observer: owner.NewObserver(target.IDFromName(settings.Name)), kept: map[string]keptLedger{}, fatal: make(chan error, 1), differs: make(chan struct{}, 1),
	}
	a.buffers.New = func() any {
		b := make([]byte, 0, envelope.MaxDatagramSize)
		return &b
	}
	return a, nil
}

// Start learns the service's record, takes up a predecessor's flows and begins
// to serve. It waits until a balancer answers and the service is configured,
// or the context ends.
func (a *Agent) Start(ctx context.Context) error {
	a.started = a.deps.Clock.Now()
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
	if err := a.learn(ctx); err != nil {
		return err
	}
	if err := a.open(); err != nil {
		return err
	}
	// The ledger's local ports are taken first: a tunnel on any free port
	// could otherwise get one of them, and that flow would be lost.
	if err := a.takeLedger(ctx); err != nil {
		return err
	}
	if err := a.openTunnel(); err != nil {
		return err
	}
	a.join()
	a.serve(ctx)
	a.parts.Go(func() {
		a.announce(ctx)
		a.removeLedger(ctx)
	})
	a.deps.Log.Info().Str("event", "started").Uint32("incarnation", a.self.Incarnation).
		Int("flows", a.table.Len()).Msg("agent started")
	return nil
}

// join is the moment from which the target can be announced.
func (a *Agent) join() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	a.confirmed.Store(int64(now))
	a.joined = now
	a.self.Tunnels = []netip.AddrPort{a.Tunnel()}
	a.setState()
	a.accepting.Store(a.self.State == member.Alive)
	a.rebuildLocked()
}

// open makes the tables and sockets that the service's record sizes.
func (a *Agent) open() error {
	a.loads = owner.NewLoads(staleDigests * a.record.DigestInterval)
	a.table = owner.NewTable(a.limits(), a.loads)
	a.trust = owner.NewTrust(a.record.IdleTimeout)
	pool, err := upstream.NewPool(a.settings.Local, a.settings.Upstream, a.settings.Workers, a.answer)
	if err != nil {
		return err
	}
	a.pool = pool
	a.refuser, err = quic.NewRefuser(a.refusal)
	return err
}

// limits are those of the table by the service's record.
func (a *Agent) limits() owner.Limits {
	return owner.Limits{
		Flows: a.record.MaxFlows, Memory: a.record.MaxFlows * memoryFactor,
		Idle: a.record.IdleTimeout, Opening: a.record.UnansweredTimeout,
	}
}

const (
	// memoryFactor is how many placements a home remembers for each flow
	// that a target may have: as many as two targets' flows.
	memoryFactor = 2
	// staleDigests is how many digests in a row may be missing before a
	// peer's load counts as unknown.
	staleDigests = 4
)

func (a *Agent) serve(ctx context.Context) {
	for range max(a.settings.Workers, 1) {
		a.workers.Go(a.serveTunnel)
	}
	a.workers.Go(a.releases)
	a.parts.Go(func() { a.heartbeats(ctx) })
	a.parts.Go(func() { a.digests(ctx) })
	a.parts.Go(func() { a.sweeps(ctx) })
}

// Tunnel returns where the agent takes envelopes.
func (a *Agent) Tunnel() netip.AddrPort {
	address := a.tunnel.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// Flows returns the number of open flows.
func (a *Agent) Flows() int {
	return a.table.Len()
}

// Version returns the version of the configuration that the agent holds.
func (a *Agent) Version() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// Fatal tells when the agent must end: a later process of the target exists.
func (a *Agent) Fatal() <-chan error {
	return a.fatal
}

// Ready says why the agent is not ready, or nothing.
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

// Kill ends at once, as a failure would, but closes the sockets. It may be
// called for an agent that has not come to its end of Start.
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
	a.shut()
	a.parts.Wait()
	if a.pool != nil {
		a.pool.Close()
	}
	if a.refuser != nil {
		a.refuser.Close()
	}
	a.client.Close()
}
