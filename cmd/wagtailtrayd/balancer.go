package main

import (
	"context"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/process/balancer"
	"github.com/wagtailtray/wagtailtray/internal/process/operations"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

type balancerCommand struct {
	common
	Tunnel  flagValue[netip.Addr]       `help:"Local address of the sockets to agents." required:"" placeholder:"IP"`
	Ports   flagValue[int]              `help:"Number of sockets to agents." default:"4"`
	Edge    flagValue[netip.Addr]       `help:"Address to listen on instead of the service addresses, where the fabric rewrites destinations." placeholder:"IP"`
	Peers   []flagValue[netip.AddrPort] `help:"Control addresses of balancers to join through." placeholder:"IP:PORT"`
	Hints   flagValue[int]              `help:"Maximum number of flows whose owner is cached." default:"262144"`
	Pending flagValue[int]              `help:"Maximum number of flows with a pending owner query." default:"65536"`
	Walks   flagValue[int]              `help:"Maximum number of walks per second for unknown flows." default:"20000"`
}

const (
	maxPorts = 64
	maxHints = 1 << 24
	maxWalks = 1 << 20
)

// Run runs the balancer until a signal.
func (c *balancerCommand) Run() error {
	settings, deps, err := c.settings()
	if err != nil {
		return err
	}
	ctx := context.Background()
	tracer, stopTracer, err := c.tracer(ctx)
	if err != nil {
		return err
	}
	defer stopTracer()
	o := operations.New("balancer")
	defer o.Close()
	deps.Scope, deps.Tracer = o.Scope(), tracer
	ch := notifySignals()
	b, err := balancer.New(settings, deps)
	if err != nil {
		return err
	}
	if err := c.serveOperations(o, b.Ready); err != nil {
		return err
	}
	if err := b.Start(ctx); err != nil {
		return err
	}
	<-ch
	deps.Log.Info().Str("event", "stopping").Msg("graceful shutdown")
	stopCtx, cancel := cancelOnSecondSignal(ch)
	defer cancel()
	b.Stop(stopCtx)
	return nil
}

// settings validates the flags and converts them to balancer settings.
func (c *balancerCommand) settings() (balancer.Settings, balancer.Deps, error) {
	v := &validator{}
	ring := c.validate(v)
	if checkParsed(v, "tunnel", c.Tunnel, wantIP) {
		v.require(!c.Tunnel.value.IsUnspecified(), "tunnel", "want an address at which agents reach this VM")
	}
	checkParsed(v, "edge", c.Edge, wantIP)
	peers := parsedValues(v, "peers", c.Peers, wantAddress)
	checkRange(v, "ports", c.Ports, 1, maxPorts)
	checkRange(v, "hints", c.Hints, 1, maxHints)
	checkRange(v, "pending", c.Pending, 1, maxHints)
	checkRange(v, "walks", c.Walks, 1, maxWalks)
	if err := v.err(); err != nil {
		return balancer.Settings{}, balancer.Deps{}, err
	}
	settings := balancer.Settings{
		Name: c.Name, Domain: c.Domain, Control: c.Control.value, Tunnel: c.Tunnel.value, Ports: c.Ports.value,
		Edge: c.Edge.value, Peers: peers, Workers: c.Workers.value, MTU: c.MTU.value,
		Limits: target.Limits{MaxHints: c.Hints.value, MaxPending: c.Pending.value, WalksPerSecond: c.Walks.value},
	}
	deps := balancer.Deps{
		Ring: ring, Store: platform.NewClient(c.Platform.value.String()), Clock: clock.System(), Log: c.logger("balancer"),
	}
	return settings, deps, nil
}
