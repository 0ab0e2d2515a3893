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
	Tunnel  lenient[netip.Addr]       `help:"Address of the sockets towards the agents." required:"" placeholder:"IP"`
	Ports   lenient[int]              `help:"Sockets towards the agents." default:"4"`
	Edge    lenient[netip.Addr]       `help:"Address that replaces each service's own, where the fabric rewrites destinations." placeholder:"IP"`
	Peers   []lenient[netip.AddrPort] `help:"Control addresses of balancers to join through." placeholder:"IP:PORT"`
	Hints   lenient[int]              `help:"Flows whose owner is remembered." default:"262144"`
	Pending lenient[int]              `help:"Flows that may be asked about at a time." default:"65536"`
	Walks   lenient[int]              `help:"Walks a second for flows that are not known." default:"20000"`
}

const (
	mostPorts = 64
	mostHints = 1 << 24
	mostWalks = 1 << 20
)

// Run runs the balancer until a signal.
func (c *balancerCommand) Run() error {
	settings, deps, err := c.settings()
	if err != nil {
		return err
	}
	ctx := context.Background()
	tracer, endTraces, err := c.tracer(ctx)
	if err != nil {
		return err
	}
	defer endTraces()
	o := operations.New("balancer")
	defer o.Close()
	deps.Scope, deps.Tracer = o.Scope(), tracer
	ch := signals()
	b, err := balancer.New(settings, deps)
	if err != nil {
		return err
	}
	if err := c.operate(o, b.Ready); err != nil {
		return err
	}
	if err := b.Start(ctx); err != nil {
		return err
	}
	<-ch
	deps.Log.Info().Str("event", "stopping").Msg("planned stop")
	stop, cancel := untilSecond(ch)
	defer cancel()
	b.Stop(stop)
	return nil
}

// settings checks the flags and turns them into settings.
func (c *balancerCommand) settings() (balancer.Settings, balancer.Deps, error) {
	k := &checker{}
	ring := c.check(k)
	if readable(k, "tunnel", c.Tunnel, wantIP) {
		k.want(!c.Tunnel.value.IsUnspecified(), "tunnel", "want the address that agents reach this VM at")
	}
	readable(k, "edge", c.Edge, wantIP)
	peers := values(k, "peers", c.Peers, wantAddress)
	between(k, "ports", c.Ports, 1, mostPorts)
	between(k, "hints", c.Hints, 1, mostHints)
	between(k, "pending", c.Pending, 1, mostHints)
	between(k, "walks", c.Walks, 1, mostWalks)
	if err := k.err(); err != nil {
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
