package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/caller"
	"github.com/wagtailtray/wagtailtray/internal/standin/exchange"
)

type callerCommand struct {
	Service  string         `help:"Service that is called." required:""`
	Address  netip.AddrPort `help:"The service's address." required:""`
	Local    netip.Addr     `help:"Address to call from." default:"127.0.0.1"`
	Sessions int            `help:"Sessions, opened evenly over the first half." default:"20"`
	For      time.Duration  `help:"How long the run takes." default:"10s"`
}

const mostSessions = 5000

// Run opens the sessions and judges what they saw. What upstreams in other
// processes ran is not known here, so only the callers' end is judged.
func (c *callerCommand) Run(ctx context.Context) error {
	if err := loopback(c.Address.Addr(), c.Local); err != nil {
		return err
	}
	if c.Sessions < 1 || c.Sessions > mostSessions {
		return fmt.Errorf("caller: --sessions: want 1 to %d, not %d", mostSessions, c.Sessions)
	}
	oracle := exchange.NewOracle()
	var all sync.WaitGroup
	for n := range c.Sessions {
		plan := caller.Plan{
			Service: c.Service, Address: c.Address, Local: c.Local, Duration: c.For / 2, RevisionDelay: 200 * time.Millisecond,
		}
		if n%2 == 0 {
			plan.FeedIntervalMillis, plan.FeedTicks = 100, int(c.For/2/(100*time.Millisecond))
		}
		all.Go(func() { _ = caller.RunSession(ctx, plan, oracle) })
		time.Sleep(c.For / 2 / time.Duration(c.Sessions))
	}
	all.Wait()
	v := oracle.Verdict()
	fmt.Printf("%d sessions: %d opened, %d refused, %d broken; %d requests: %d crossed, %d lost, %d partial\n",
		v.Flows, v.Opened, v.Refused, v.Broken, v.Requests, v.Crossed, v.Lost, v.Partial)
	if v.Broken+v.Crossed+v.Lost+v.Partial > 0 || v.Opened < v.Flows-v.Refused {
		return errBroken
	}
	return nil
}
