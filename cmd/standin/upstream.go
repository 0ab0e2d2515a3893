package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/exchange"
	"github.com/wagtailtray/wagtailtray/internal/standin/upstream"
)

type upstreamCommand struct {
	Name      string         `help:"Name of the target." required:""`
	Service   string         `help:"Service of the target." required:""`
	Listen    netip.AddrPort `help:"Address for flows." required:""`
	Load      netip.AddrPort `help:"Address of the load endpoint." required:""`
	Slots     int            `help:"Maximum number of concurrent revisions." default:"4"`
	ColdStart time.Duration  `help:"Warm-up time." default:"0s"`
	LoadLag   time.Duration  `help:"Response delay of the load endpoint." default:"0s"`
	Lie       bool           `help:"Make the load endpoint report all slots as free at all times."`
}

// Run serves until a signal.
func (c *upstreamCommand) Run(ctx context.Context) error {
	if err := requireLoopback(c.Listen.Addr(), c.Load.Addr()); err != nil {
		return err
	}
	u, err := upstream.Start(upstream.Settings{
		Name: c.Name, Service: c.Service, Address: c.Listen, LoadAddress: c.Load, Slots: c.Slots,
		ColdStart: c.ColdStart, LoadDelay: c.LoadLag, FalseReports: c.Lie,
	}, exchange.NewOracle())
	if err != nil {
		return err
	}
	defer u.Close()
	<-ctx.Done()
	return nil
}
