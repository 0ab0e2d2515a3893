package agent

import (
	"maps"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// leavingBalancer is a balancer that sent this agent a leave message.
type leavingBalancer struct {
	heardAt clock.Millis
	// other is the balancer to answer through instead.
	other netip.AddrPort
}

// balancerLeaveTime is how long a balancer counts as leaving. It covers the linger time; later
// the address may belong to another process.
const balancerLeaveTime = 10 * clock.Second

// handleBalancerLeave moves the flows that are answered through a leaving balancer to another
// one, and records the balancer for datagrams that it still forwards.
func (a *Agent) handleBalancerLeave(now clock.Millis, balancer netip.AddrPort) {
	other, ok := a.otherBalancer(balancer.Addr())
	if !ok {
		return
	}
	a.table.ReplaceVia(func(v netip.AddrPort) bool { return v == balancer }, other)
	a.mu.Lock()
	defer a.mu.Unlock()
	leaving := map[netip.AddrPort]leavingBalancer{}
	if old := a.leavingBalancers.Load(); old != nil {
		leaving = maps.Clone(*old)
	}
	maps.DeleteFunc(leaving, func(_ netip.AddrPort, l leavingBalancer) bool { return now.Sub(l.heardAt) > balancerLeaveTime })
	leaving[balancer] = leavingBalancer{heardAt: now, other: other}
	a.leavingBalancers.Store(&leaving)
}

// returnVia returns the balancer to answer through for a datagram that came through via.
func (a *Agent) returnVia(now clock.Millis, via netip.AddrPort) netip.AddrPort {
	leaving := a.leavingBalancers.Load()
	if leaving == nil {
		return via
	}
	// The other one may leave too.
	for range *leaving {
		l, ok := (*leaving)[via]
		if !ok || now.Sub(l.heardAt) > balancerLeaveTime {
			break
		}
		via = l.other
	}
	return via
}
