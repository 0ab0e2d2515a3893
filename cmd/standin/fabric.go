package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/fabric"
)

type fabricCommand struct {
	Service   []netip.AddrPort `help:"Addresses of the services." required:""`
	Balancers []netip.Addr     `help:"Edge addresses of the balancers." required:""`
	Delay     time.Duration    `help:"One-way delay." default:"3ms"`
	Jitter    time.Duration    `help:"Maximum of the uniform random addition to the delay." default:"1ms"`
	Loss      float64          `help:"Share of datagrams that are lost." default:"0"`
	Duplicate float64          `help:"Share of datagrams that are duplicated." default:"0"`
	Seed      uint64           `help:"Random seed of the faults." default:"1"`
}

// Run forwards datagrams until a signal.
func (c *fabricCommand) Run(ctx context.Context) error {
	if err := requireLoopback(c.Balancers...); err != nil {
		return err
	}
	f := fabric.New(fabric.Faults{Delay: c.Delay, Jitter: c.Jitter, Loss: c.Loss, Duplicate: c.Duplicate}, c.Seed)
	defer f.Close()
	f.SetBalancers(c.Balancers)
	for _, s := range c.Service {
		if err := requireLoopback(s.Addr()); err != nil {
			return err
		}
		if err := f.Listen(s); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}
