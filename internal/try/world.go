// Package try runs a whole deployment in one process on loopback and watches
// what callers and upstreams see of it while everything beneath them changes.
//
// # The model
//
// A World has the platform, the fabric and the upstreams as stand-ins, and
// real balancers and agents between them. A Run opens sessions all the time
// and works through a list of changes: targets drain and are replaced, agents
// and balancers are restarted, configurations are approved, the platform goes
// down. The verdict comes from the two ends alone.
//
// # Usage
//
//	report, err := try.Run(ctx, try.Options{Deployment: "valuvorm", Seed: 1, For: 20 * time.Second}, progress)
package try

import (
	"context"
	"embed"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/process/agent"
	"github.com/wagtailtray/wagtailtray/internal/process/balancer"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/standin/exchange"
	"github.com/wagtailtray/wagtailtray/internal/standin/fabric"
	standin "github.com/wagtailtray/wagtailtray/internal/standin/platform"
	"github.com/wagtailtray/wagtailtray/internal/standin/upstream"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/answers"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

//go:embed deployments/*.yaml
var deployments embed.FS

// Deployments returns the names of the built-in deployments.
func Deployments() []string {
	return []string{"valuvorm", "porto"}
}

// Answers returns the answers file of a built-in deployment.
func Answers(deployment string) ([]byte, error) {
	data, err := deployments.ReadFile("deployments/" + deployment + ".yaml")
	if err != nil {
		return nil, errs.New("try: no deployment %q; there are %v", deployment, Deployments())
	}
	return data, nil
}

const (
	// balancersPerDomain is the number of entry VMs of a failure domain.
	balancersPerDomain = 2
	// targetCounts are the brief's: the first service has seven targets,
	// the second three.
	firstTargets  = 7
	secondTargets = 3
	mtu           = 1500
	// The third octet of an address tells what it belongs to.
	octetLock     = 255
	octetBalancer = 1
	octetCaller   = 2
	octetUpstream = 10
	octetAgent    = 20
	lockPort      = 61000
	firstNet      = 21
	lastNet       = 250
)

// World is a deployment on loopback.
type World struct {
	answers  *answers.Answers
	net      byte
	lock     net.Listener
	ring     key.Ring
	clock    clock.Clock
	log      zerolog.Logger
	oracle   *exchange.Oracle
	store    *platform.Client
	platform *standin.Server
	listener net.Listener
	fabric   *fabric.Fabric
	watch    *versions

	mu        sync.Mutex
	balancers map[string]*running
	targets   map[string]*targetUnit
	order     []string
	made      int
}

// running is one balancer with its place.
type running struct {
	balancer *balancer.Balancer
	domain   string
	edge     netip.Addr
}

// targetUnit is one target: its upstream and its agent.
type targetUnit struct {
	name     string
	service  string
	domain   string
	octet    byte
	index    byte
	upstream *upstream.Upstream
	agent    *agent.Agent
	draining bool
}

// NewWorld prepares a deployment without processes.
func NewWorld(deployment string, seed uint64, log zerolog.Logger) (*World, error) {
	data, err := Answers(deployment)
	if err != nil {
		return nil, err
	}
	a, err := answers.Parse(data)
	if err != nil {
		return nil, err
	}
	ring, err := key.Parse(key.Generate())
	if err != nil {
		return nil, err
	}
	w := &World{
		answers: a, ring: ring, clock: clock.System(), log: log, oracle: exchange.NewOracle(),
		balancers: map[string]*running{}, targets: map[string]*targetUnit{}, watch: newVersions(),
	}
	if err := w.reserve(); err != nil {
		return nil, err
	}
	w.move()
	if err := w.startPlatform(); err != nil {
		return nil, err
	}
	faults := fabric.Faults{
		Delay: clock.Of(durationOf(a.Delays.Callers)).Duration(), Jitter: clock.Millis(1).Duration(),
		Loss: 0.002, Duplicate: 0.002,
	}
	w.fabric = fabric.New(faults, seed)
	return w, nil
}

// reserve takes a loopback network that no other run uses. The lock ends with
// the process, however it ends.
func (w *World) reserve() error {
	for n := firstNet; n <= lastNet; n++ {
		address := fmt.Sprintf("127.%d.%d.1:%d", n, octetLock, lockPort)
		l, err := listen(address)
		if err == nil {
			w.lock, w.net = l, byte(n)
			return nil
		}
	}
	return errs.New("try: every loopback network from 127.%d to 127.%d is in use", firstNet, lastNet)
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

// move brings the answers' addresses into the reserved network.
func (w *World) move() {
	for i := range w.answers.Services {
		s := &w.answers.Services[i]
		s.Address.AddrPort = netip.AddrPortFrom(w.into(s.Address.Addr()), s.Address.Port())
		for j, p := range s.Upstreams {
			s.Upstreams[j].Prefix = netip.PrefixFrom(w.into(p.Addr()), p.Bits())
		}
	}
}

func (w *World) into(a netip.Addr) netip.Addr {
	b := a.As4()
	b[1] = w.net
	return netip.AddrFrom4(b)
}

func (w *World) address(octet, index byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.net, octet, index})
}

func (w *World) startPlatform() error {
	l, err := listen(netip.AddrPortFrom(w.address(octetLock, 1), 0).String())
	if err != nil {
		return errs.Wrap(err)
	}
	w.listener = l
	w.platform = standin.NewServer()
	server := &http.Server{Handler: w.platform, ReadHeaderTimeout: clock.Second.Duration()}
	go func() { _ = server.Serve(l) }()
	w.store = platform.NewClient(l.Addr().String())
	return nil
}

// generate returns the configuration that the answers give now.
func (w *World) generate(base *config.State) *config.State {
	g := config.Generate(w.answers, base)
	return &g.State
}

// StartBalancer starts a balancer in a failure domain.
func (w *World) StartBalancer(ctx context.Context, domain string) (string, error) {
	w.mu.Lock()
	w.made++
	n := byte(w.made)
	name := fmt.Sprintf("%s-%d", domain, n)
	var peers []netip.AddrPort
	for _, r := range w.balancers {
		peers = append(peers, r.balancer.Control())
	}
	w.mu.Unlock()
	edge := w.address(octetBalancer, n)
	settings := balancer.Settings{
		Name: name, Domain: domain, Control: netip.AddrPortFrom(edge, 0), Tunnel: edge, Ports: 2,
		Edge: edge, Peers: peers, Workers: 2, MTU: mtu,
		Limits: target.Limits{Hints: 1 << 16, Pending: 1 << 14, Walks: 20000},
	}
	b, err := balancer.New(settings, balancer.Deps{
		Ring: w.ring, Store: w.store, Clock: w.clock, Log: w.log.With().Str("process", name).Logger(),
		Scope: tally.NoopScope, OnVersion: func(v uint64) { w.watch.saw(domain, name, v) },
	})
	if err != nil {
		return "", err
	}
	w.watch.join(domain, name)
	if err := b.Start(ctx); err != nil {
		return "", err
	}
	w.mu.Lock()
	w.balancers[name] = &running{balancer: b, domain: domain, edge: edge}
	w.mu.Unlock()
	w.spray("")
	return name, nil
}

// StopBalancer stops a balancer as planned. The fabric is told after the
// balancer has begun to leave, as a real one learns late.
func (w *World) StopBalancer(ctx context.Context, name string) {
	w.mu.Lock()
	r := w.balancers[name]
	delete(w.balancers, name)
	w.mu.Unlock()
	if r == nil {
		return
	}
	w.watch.leave(name)
	w.spray(name)
	r.balancer.Stop(ctx)
}

func (w *World) spray(string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var edges []netip.Addr
	for _, r := range w.balancers {
		edges = append(edges, r.edge)
	}
	slices.SortFunc(edges, netip.Addr.Compare)
	w.fabric.SetBalancers(edges)
}

// StartTarget starts a target's upstream and agent.
func (w *World) StartTarget(ctx context.Context, service, name, domain string, octet, index byte) error {
	t := &targetUnit{name: name, service: service, domain: domain, octet: octet, index: index}
	if err := w.startUpstream(t); err != nil {
		return err
	}
	if err := w.startAgent(ctx, t); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets[name] = t
	if !slices.Contains(w.order, name) {
		w.order = append(w.order, name)
	}
	return nil
}

// ready waits until every target opens flows.
func (w *World) ready(ctx context.Context) error {
	w.mu.Lock()
	targets := slices.Collect(maps.Values(w.targets))
	w.mu.Unlock()
	for _, t := range targets {
		for t.agent.Ready() != "" {
			select {
			case <-ctx.Done():
				return errs.New("%s: %s", t.name, t.agent.Ready())
			case <-time.After(sampleEvery):
			}
		}
	}
	return nil
}

func (w *World) startUpstream(t *targetUnit) error {
	address := w.address(octetUpstream+t.octet, t.index)
	s := w.serviceAnswers(t.service)
	u, err := upstream.Start(upstream.Settings{
		Name: t.name, Service: t.service, Address: netip.AddrPortFrom(address, 0),
		LoadAddress: netip.AddrPortFrom(address, 0), Slots: s.Slots, ColdStart: durationOf(s.ColdStart),
	}, w.oracle)
	t.upstream = u
	return err
}

func (w *World) serviceAnswers(name string) *answers.Service {
	i := slices.IndexFunc(w.answers.Services, func(s answers.Service) bool { return s.Name == name })
	return &w.answers.Services[i]
}

// startAgent starts the agent of a target whose upstream runs.
func (w *World) startAgent(ctx context.Context, t *targetUnit) error {
	local := w.address(octetAgent+t.octet, t.index)
	w.mu.Lock()
	var contacts []netip.AddrPort
	for _, r := range w.balancers {
		contacts = append(contacts, r.balancer.Control())
	}
	w.mu.Unlock()
	a, err := agent.New(agent.Settings{
		Name: t.name, Service: t.service, Domain: t.domain, Control: netip.AddrPortFrom(local, 0),
		Tunnel: netip.AddrPortFrom(local, 0), Upstream: t.upstream.Address(), Local: local,
		Load: t.upstream.LoadAddress(), Balancers: contacts[:min(len(contacts), 3)], Workers: 2, MTU: mtu,
	}, agent.Deps{
		Ring: w.ring, Store: w.store, Clock: w.clock, Scope: tally.NoopScope,
		Log: w.log.With().Str("process", t.service+"."+t.name).Logger(),
	})
	if err != nil {
		return err
	}
	if err := a.Start(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	t.agent = a
	w.mu.Unlock()
	return nil
}

// Close ends everything at once.
func (w *World) Close() {
	w.fabric.Close()
	w.mu.Lock()
	balancers, targets := w.balancers, w.targets
	w.mu.Unlock()
	var all sync.WaitGroup
	for _, t := range targets {
		all.Go(func() {
			t.agent.Kill()
			t.upstream.Close()
		})
	}
	for _, r := range balancers {
		all.Go(r.balancer.Kill)
	}
	all.Wait()
	w.store.Close()
	_ = w.listener.Close()
	_ = w.lock.Close()
}
