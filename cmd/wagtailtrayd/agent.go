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
	Service   string                      `help:"Service that the target serves." required:""`
	Tunnel    flagValue[netip.AddrPort]   `help:"Address that receives envelopes." required:"" placeholder:"IP:PORT"`
	Upstream  flagValue[netip.AddrPort]   `help:"Address of the upstream." required:"" placeholder:"IP:PORT"`
	Local     flagValue[netip.Addr]       `help:"Source address of flows towards the upstream; needed to hand flows over." placeholder:"IP"`
	Load      string                      `help:"IP:PORT and path of the load endpoint of the upstream." placeholder:"IP:PORT/PATH"`
	Balancers []flagValue[netip.AddrPort] `help:"Control addresses of balancers to bootstrap from." required:"" placeholder:"IP:PORT"`
}

// Run runs the agent until a signal, or until a newer process of its target
// has superseded it.
func (c *agentCommand) Run() error {
	settings, deps, err := c.settings()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tracer, stopTracer, err := c.tracer(ctx)
	if err != nil {
		return err
	}
	defer stopTracer()
	o := operations.New("agent")
	defer o.Close()
	deps.Scope, deps.Tracer = o.Scope(), tracer
	ch := notifySignals()
	a, err := agent.New(settings, deps)
	if err != nil {
		return err
	}
	if err := c.serveOperations(o, a.Ready); err != nil {
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
			if started != nil && cancelStart(cancel, started) {
				// The agent has no flows to hand over before it serves.
				a.Kill()
				deps.Log.Info().Str("event", "stopping").Msg("stopped during startup")
				return nil
			}
			deps.Log.Info().Str("event", "stopping").Msg("graceful shutdown")
			stopCtx, cancelStop := cancelOnSecondSignal(ch)
			defer cancelStop()
			a.Stop(stopCtx)
			return nil
		}
	}
}

// cancelStart cancels Start and reports whether it was still incomplete. If Start completed
// at the same moment as the signal, the agent already serves and needs a graceful shutdown.
func cancelStart(cancel context.CancelFunc, started <-chan error) bool {
	cancel()
	return <-started != nil
}

// settings validates the flags and converts them to agent settings.
func (c *agentCommand) settings() (agent.Settings, agent.Deps, error) {
	v := &validator{}
	ring := c.validate(v)
	v.require(namePattern.MatchString(c.Service), "service", "want lower-case letters, digits, dots and dashes, not %q", c.Service)
	if checkParsed(v, "tunnel", c.Tunnel, wantAddress) {
		v.require(!c.Tunnel.value.Addr().IsUnspecified(), "tunnel", "want an address at which other processes reach this VM")
	}
	if checkParsed(v, "upstream", c.Upstream, wantAddress) {
		u := c.Upstream.value
		v.require(!u.Addr().IsUnspecified() && u.Port() != 0, "upstream", "want the address and port of the upstream")
	}
	if checkParsed(v, "local", c.Local, wantIP) && c.Local.value.IsValid() && !c.Upstream.invalid {
		v.require(c.Local.value.Is4() == c.Upstream.value.Addr().Is4(), "local", "want an address of the same IP version as the upstream")
	}
	balancers := parsedValues(v, "balancers", c.Balancers, wantAddress)
	v.require(len(c.Balancers) > 0, "balancers", "want the control address of at least one balancer")
	if err := v.err(); err != nil {
		return agent.Settings{}, agent.Deps{}, err
	}
	settings := agent.Settings{
		Name: c.Name, Service: c.Service, Domain: c.Domain, Control: c.Control.value, Tunnel: c.Tunnel.value,
		Upstream: c.Upstream.value, Local: c.localAddress(), Load: c.Load, Balancers: balancers, Workers: c.Workers.value, MTU: c.MTU.value,
	}
	deps := agent.Deps{
		Ring: ring, Store: platform.NewClient(c.Platform.value.String()), Clock: clock.System(), Log: c.logger("agent"),
	}
	return settings, deps, nil
}

// localAddress defaults to the address of the upstream, on whose VM the agent runs.
func (c *agentCommand) localAddress() netip.Addr {
	if c.Local.value.IsValid() {
		return c.Local.value
	}
	return c.Upstream.value.Addr()
}
