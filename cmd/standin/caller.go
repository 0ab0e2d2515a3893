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
	Service  string         `help:"Service to call." required:""`
	Address  netip.AddrPort `help:"Address of the service." required:""`
	Local    netip.Addr     `help:"Address to call from." default:"127.0.0.1"`
	Sessions int            `help:"Number of sessions, opened evenly over the first half of the run." default:"20"`
	For      time.Duration  `help:"Duration of the run." default:"10s"`
}

const maxSessions = 5000

// Run opens the sessions and checks their results. It checks only the callers'
// side: which requests the upstreams, in other processes, ran is unknown here.
func (c *callerCommand) Run(ctx context.Context) error {
	if err := requireLoopback(c.Address.Addr(), c.Local); err != nil {
		return err
	}
	if c.Sessions < 1 || c.Sessions > maxSessions {
		return fmt.Errorf("caller: --sessions: want 1 to %d, not %d", maxSessions, c.Sessions)
	}
	oracle := exchange.NewOracle()
	var sessions sync.WaitGroup
	for n := range c.Sessions {
		plan := caller.Plan{
			Service: c.Service, Address: c.Address, Local: c.Local, Duration: c.For / 2, RevisionDelay: 200 * time.Millisecond,
		}
		if n%2 == 0 {
			plan.FeedIntervalMillis, plan.FeedTicks = 100, int(c.For/2/(100*time.Millisecond))
		}
		sessions.Go(func() { _ = caller.RunSession(ctx, plan, oracle) })
		time.Sleep(c.For / 2 / time.Duration(c.Sessions))
	}
	sessions.Wait()
	v := oracle.Verdict()
	fmt.Printf("%d sessions: %d opened, %d refused, %d broken; %d requests: %d crossed, %d lost, %d partial\n",
		v.Flows, v.Opened, v.Refused, v.Broken, v.Requests, v.Crossed, v.Lost, v.Partial)
	if v.Broken+v.Crossed+v.Lost+v.Partial > 0 || v.Opened < v.Flows-v.Refused {
		return errViolation
	}
	return nil
}
