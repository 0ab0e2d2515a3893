// Package try runs a whole deployment in one process on loopback and checks what
// callers and upstreams observe while processes and configuration change.
//
// # The model
//
// An Environment simulates the platform, the fabric and the upstreams, and has
// real balancers and agents between them. Run opens sessions throughout and
// makes a list of changes: targets drain and are replaced, agents and balancers
// are restarted, configurations are approved, the platform is unavailable. The
// report is based only on what callers and upstreams observe.
//
// # Usage
//
//	report, err := try.Run(ctx, try.Options{Deployment: "valuvorm", Seed: 1, Duration: 20 * time.Second}, progress)
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
	// balancersPerDomain is the number of balancers of a failure domain.
	balancersPerDomain = 2
	// The target counts are those given by the users: seven for the first service,
	// three for the second.
	firstServiceTargets  = 7
	secondServiceTargets = 3
	mtu                  = 1500
	// The third octet of an address identifies the kind of process.
	octetLock     = 255
	octetBalancer = 1
	octetCaller   = 2
	octetUpstream = 10
	octetAgent    = 20
	lockPort      = 61000
	firstNetwork  = 21
	lastNetwork   = 250
)

// Environment is a deployment on loopback.
type Environment struct {
	answers  *answers.Answers
	network  byte
	lock     net.Listener
	ring     key.Ring
	clock    clock.Clock
	log      zerolog.Logger
	oracle   *exchange.Oracle
	store    *platform.Client
	platform *standin.Server
	listener net.Listener
	fabric   *fabric.Fabric
	versions *versionTracker

	mu               sync.Mutex
	balancers        map[string]*balancerInstance
	targets          map[string]*targetInstance
	targetNames      []string
	balancersStarted int
}

// balancerInstance is a running balancer with its failure domain and address.
type balancerInstance struct {
	balancer *balancer.Balancer
	domain   string
	edge     netip.Addr
}

// targetInstance is a running target: its upstream and its agent.
type targetInstance struct {
	name     string
	service  string
	domain   string
	octet    byte
	index    byte
	upstream *upstream.Upstream
	agent    *agent.Agent
	draining bool
}

// NewEnvironment starts the simulated platform and fabric, but no balancers or
// targets.
func NewEnvironment(deployment string, seed uint64, log zerolog.Logger) (*Environment, error) {
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
	e := &Environment{
		answers: a, ring: ring, clock: clock.System(), log: log, oracle: exchange.NewOracle(),
		balancers: map[string]*balancerInstance{}, targets: map[string]*targetInstance{}, versions: newVersionTracker(),
	}
	if err := e.reserveNetwork(); err != nil {
		return nil, err
	}
	e.moveAddresses()
	if err := e.startPlatform(); err != nil {
		return nil, err
	}
	faults := fabric.Faults{
		Delay: clock.FromDuration(durationOf(a.Delays.Callers)).Duration(), Jitter: clock.Millis(1).Duration(),
		Loss: 0.002, Duplicate: 0.002,
	}
	e.fabric = fabric.New(faults, seed)
	return e, nil
}

// reserveNetwork reserves a loopback network that no other run uses, by listening
// on a port of it. The operating system releases it when the process exits, also
// after a crash.
func (e *Environment) reserveNetwork() error {
	for n := firstNetwork; n <= lastNetwork; n++ {
		address := fmt.Sprintf("127.%d.%d.1:%d", n, octetLock, lockPort)
		l, err := listen(address)
		if err == nil {
			e.lock, e.network = l, byte(n)
			return nil
		}
	}
	return errs.New("try: every loopback network from 127.%d to 127.%d is in use", firstNetwork, lastNetwork)
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

// moveAddresses moves the addresses in the answers into the reserved network.
func (e *Environment) moveAddresses() {
	for i := range e.answers.Services {
		s := &e.answers.Services[i]
		s.Address.AddrPort = netip.AddrPortFrom(e.inNetwork(s.Address.Addr()), s.Address.Port())
		for j, p := range s.Upstreams {
			s.Upstreams[j].Prefix = netip.PrefixFrom(e.inNetwork(p.Addr()), p.Bits())
		}
	}
}

func (e *Environment) inNetwork(a netip.Addr) netip.Addr {
	b := a.As4()
	b[1] = e.network
	return netip.AddrFrom4(b)
}

func (e *Environment) address(octet, index byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, e.network, octet, index})
}

func (e *Environment) startPlatform() error {
	l, err := listen(netip.AddrPortFrom(e.address(octetLock, 1), 0).String())
	if err != nil {
		return errs.Wrap(err)
	}
	e.listener = l
	e.platform = standin.NewServer()
	server := &http.Server{Handler: e.platform, ReadHeaderTimeout: clock.Second.Duration()}
	go func() { _ = server.Serve(l) }()
	e.store = platform.NewClient(l.Addr().String())
	return nil
}

// generate returns the configuration generated from the current answers.
func (e *Environment) generate(base *config.State) *config.State {
	g := config.Generate(e.answers, base)
	return &g.State
}

// StartBalancer starts a balancer in a failure domain.
func (e *Environment) StartBalancer(ctx context.Context, domain string) (string, error) {
	e.mu.Lock()
	e.balancersStarted++
	n := byte(e.balancersStarted)
	name := fmt.Sprintf("%s-%d", domain, n)
	var peers []netip.AddrPort
	for _, b := range e.balancers {
		peers = append(peers, b.balancer.Control())
	}
	e.mu.Unlock()
	edge := e.address(octetBalancer, n)
	settings := balancer.Settings{
		Name: name, Domain: domain, Control: netip.AddrPortFrom(edge, 0), Tunnel: edge, Ports: 2,
		Edge: edge, Peers: peers, Workers: 2, MTU: mtu,
		Limits: target.Limits{MaxHints: 1 << 16, MaxPending: 1 << 14, WalksPerSecond: 20000},
	}
	b, err := balancer.New(settings, balancer.Deps{
		Ring: e.ring, Store: e.store, Clock: e.clock, Log: e.log.With().Str("process", name).Logger(),
		Scope: tally.NoopScope, OnVersion: func(v uint64) { e.versions.setVersion(domain, name, v) },
	})
	if err != nil {
		return "", err
	}
	e.versions.addBalancer(domain, name)
	if err := b.Start(ctx); err != nil {
		return "", err
	}
	e.mu.Lock()
	e.balancers[name] = &balancerInstance{balancer: b, domain: domain, edge: edge}
	e.mu.Unlock()
	e.updateFabric("")
	return name, nil
}

// StopBalancer stops a balancer gracefully, after removing it from the fabric.
func (e *Environment) StopBalancer(ctx context.Context, name string) {
	e.mu.Lock()
	b := e.balancers[name]
	delete(e.balancers, name)
	e.mu.Unlock()
	if b == nil {
		return
	}
	e.versions.removeBalancer(name)
	e.updateFabric(name)
	b.balancer.Stop(ctx)
}

func (e *Environment) updateFabric(string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var edges []netip.Addr
	for _, b := range e.balancers {
		edges = append(edges, b.edge)
	}
	slices.SortFunc(edges, netip.Addr.Compare)
	e.fabric.SetBalancers(edges)
}

// StartTarget starts a target's upstream and agent.
func (e *Environment) StartTarget(ctx context.Context, service, name, domain string, octet, index byte) error {
	t := &targetInstance{name: name, service: service, domain: domain, octet: octet, index: index}
	if err := e.startUpstream(t); err != nil {
		return err
	}
	if err := e.startAgent(ctx, t); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.targets[name] = t
	if !slices.Contains(e.targetNames, name) {
		e.targetNames = append(e.targetNames, name)
	}
	return nil
}

// waitUntilReady waits until every target accepts flows.
func (e *Environment) waitUntilReady(ctx context.Context) error {
	e.mu.Lock()
	targets := slices.Collect(maps.Values(e.targets))
	e.mu.Unlock()
	for _, t := range targets {
		for t.agent.Ready() != "" {
			select {
			case <-ctx.Done():
				return errs.New("target %s is not ready: %s", t.name, t.agent.Ready())
			case <-time.After(sampleInterval):
			}
		}
	}
	return nil
}

func (e *Environment) startUpstream(t *targetInstance) error {
	address := e.address(octetUpstream+t.octet, t.index)
	s := e.serviceAnswers(t.service)
	u, err := upstream.Start(upstream.Settings{
		Name: t.name, Service: t.service, Address: netip.AddrPortFrom(address, 0),
		LoadAddress: netip.AddrPortFrom(address, 0), Slots: s.Slots, ColdStart: durationOf(s.ColdStart),
	}, e.oracle)
	t.upstream = u
	return err
}

func (e *Environment) serviceAnswers(name string) *answers.Service {
	i := slices.IndexFunc(e.answers.Services, func(s answers.Service) bool { return s.Name == name })
	return &e.answers.Services[i]
}

// startAgent starts the agent of a target whose upstream runs.
func (e *Environment) startAgent(ctx context.Context, t *targetInstance) error {
	local := e.address(octetAgent+t.octet, t.index)
	e.mu.Lock()
	var contacts []netip.AddrPort
	for _, b := range e.balancers {
		contacts = append(contacts, b.balancer.Control())
	}
	e.mu.Unlock()
	a, err := agent.New(agent.Settings{
		Name: t.name, Service: t.service, Domain: t.domain, Control: netip.AddrPortFrom(local, 0),
		Tunnel: netip.AddrPortFrom(local, 0), Upstream: t.upstream.Address(), Local: local,
		Load: t.upstream.LoadAddress(), Balancers: contacts[:min(len(contacts), 3)], Workers: 2, MTU: mtu,
	}, agent.Deps{
		Ring: e.ring, Store: e.store, Clock: e.clock, Scope: tally.NoopScope,
		Log: e.log.With().Str("process", t.service+"."+t.name).Logger(),
	})
	if err != nil {
		return err
	}
	if err := a.Start(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	t.agent = a
	e.mu.Unlock()
	return nil
}

// Close stops everything at once, without draining.
func (e *Environment) Close() {
	e.fabric.Close()
	e.mu.Lock()
	balancers, targets := e.balancers, e.targets
	e.mu.Unlock()
	var all sync.WaitGroup
	for _, t := range targets {
		all.Go(func() {
			t.agent.Kill()
			t.upstream.Close()
		})
	}
	for _, b := range balancers {
		all.Go(b.balancer.Kill)
	}
	all.Wait()
	e.store.Close()
	_ = e.listener.Close()
	_ = e.lock.Close()
}
