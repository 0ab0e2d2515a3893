package main

import (
	"context"
	"net/netip"
	"os"

	"github.com/wagtailtray/wagtailtray/internal/process/agent"
	"github.com/wagtailtray/wagtailtray/internal/process/operations"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

type agentCommand struct {
	common
	Service   string                    `help:"Service that the target serves." required:""`
	Tunnel    lenient[netip.AddrPort]   `help:"Address that takes envelopes." required:"" placeholder:"IP:PORT"`
	Upstream  lenient[netip.AddrPort]   `help:"Address of the upstream." required:"" placeholder:"IP:PORT"`
	Local     lenient[netip.Addr]       `help:"Address that the upstream sees flows come from; needed to hand flows over." placeholder:"IP"`
	Load      string                    `help:"IP:PORT and path of the upstream's load endpoint." placeholder:"IP:PORT/PATH"`
	Balancers []lenient[netip.AddrPort] `help:"Control addresses of balancers for first contact." required:"" placeholder:"IP:PORT"`
}

// Run runs the agent until a signal, or until a later process of its target
// has taken over.
func (c *agentCommand) Run() error {
	settings, deps, err := c.settings()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tracer, endTraces, err := c.tracer(ctx)
	if err != nil {
		return err
	}
	defer endTraces()
	o := operations.New("agent")
	defer o.Close()
	deps.Scope, deps.Tracer = o.Scope(), tracer
	ch := signals()
	a, err := agent.New(settings, deps)
	if err != nil {
		return err
	}
	if err := c.operate(o, a.Ready); err != nil {
		return err
	}
	return c.serve(ctx, cancel, a, ch, deps)
}

func (c *agentCommand) serve(ctx context.Context, cancel context.CancelFunc, a *agent.Agent, ch chan os.Signal, deps agent.Deps) error {
	started := make(chan error, 1)
	go func() { started <- a.Start(ctx) }()
	for {
		select {
		case err := <-started:
			if err != nil {
				return err
			}
			started = nil
		case err := <-a.Fatal():
			a.Kill()
			return err
		case <-ch:
			if started != nil && stoppedBefore(cancel, started) {
				// Nothing is served yet, so nothing is handed over.
				a.Kill()
				deps.Log.Info().Str("event", "stopping").Msg("stopped before it served")
				return nil
			}
			deps.Log.Info().Str("event", "stopping").Msg("planned stop")
			stop, end := untilSecond(ch)
			defer end()
			a.Stop(stop)
			return nil
		}
	}
}

// stoppedBefore ends a start, and reports that it had not come to its end: the signal and
// the end may come together, and what serves already must be stopped as planned.
func stoppedBefore(cancel context.CancelFunc, started <-chan error) bool {
	cancel()
	return <-started != nil
}

// settings checks the flags and turns them into settings.
func (c *agentCommand) settings() (agent.Settings, agent.Deps, error) {
	k := &checker{}
	ring := c.check(k)
	k.want(name.MatchString(c.Service), "service", "want lower-case letters, digits, dots and dashes, not %q", c.Service)
	if readable(k, "tunnel", c.Tunnel, wantAddress) {
		k.want(!c.Tunnel.value.Addr().IsUnspecified(), "tunnel", "want the address that others reach this VM at")
	}
	if readable(k, "upstream", c.Upstream, wantAddress) {
		u := c.Upstream.value
		k.want(!u.Addr().IsUnspecified() && u.Port() != 0, "upstream", "want the upstream's address and port")
	}
	if readable(k, "local", c.Local, wantIP) && c.Local.value.IsValid() && !c.Upstream.bad {
		k.want(c.Local.value.Is4() == c.Upstream.value.Addr().Is4(), "local", "want an address of the upstream's family")
	}
	balancers := values(k, "balancers", c.Balancers, wantAddress)
	k.want(len(c.Balancers) > 0, "balancers", "want at least one balancer's control address")
	if err := k.err(); err != nil {
		return agent.Settings{}, agent.Deps{}, err
	}
	settings := agent.Settings{
		Name: c.Name, Service: c.Service, Domain: c.Domain, Control: c.Control.value, Tunnel: c.Tunnel.value,
		Upstream: c.Upstream.value, Local: c.local(), Load: c.Load, Balancers: balancers, Workers: c.Workers.value, MTU: c.MTU.value,
	}
	deps := agent.Deps{
		Ring: ring, Store: platform.NewClient(c.Platform.value.String()), Clock: clock.System(), Log: c.logger("agent"),
	}
	return settings, deps, nil
}

// local is the upstream's own address unless given: the agent runs beside it.
func (c *agentCommand) local() netip.Addr {
	if c.Local.value.IsValid() {
		return c.Local.value
	}
	return c.Upstream.value.Addr()
}
