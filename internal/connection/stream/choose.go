package stream

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// coldFactor is how much dearer a target is that has just started and
	// works slower for some seconds.
	coldFactor = 1.6
	// crossing is by how much of its slots the least loaded target of the own
	// failure domain must be busier before a flow leaves the domain. Packets
	// between domains are paid for by the byte, for as long as the flow lives:
	// at half load a target answers as fast as an idle one, so a flow goes out
	// only where its own domain would be overloaded.
	crossing = 0.5
	// leastFlowLoad is what a flow counts for where no requests were seen yet,
	// in requests under way.
	leastFlowLoad = 0.01
	// busyScale is the unit of the load in reports: hundredths of a request.
	busyScale = 100
)

// flowLoad is how many requests an open flow has under way on the mean over a
// service's targets.
func flowLoad(targets map[netip.AddrPort]*Target) float64 {
	flows, busy := 0, 0.0
	for _, t := range targets {
		flows += t.Flows
		busy += t.Busy
	}
	if flows == 0 {
		return leastFlowLoad
	}
	return max(busy/float64(flows), leastFlowLoad)
}

// cost compares targets for a new flow; lower is better. It is the part of the
// target's slots that is in use.
//
// What is under way at a target says how busy it is, but it varies by chance and
// is known late; what its flows need on the mean is steady, but does not show
// that a target has become slow. The mean of both is taken. Flows that were
// placed since the last report count as well, so that a burst does not go to the
// one target that looked idle.
func (ts *Targets) cost(now clock.Millis, t *Target, each float64) float64 {
	expected := each * float64(t.Flows)
	c := (expected+t.Busy)/2 + each*float64(t.placed)
	c /= float64(max(t.Slots, 1))
	if now < t.ColdUntil {
		c *= coldFactor
	}
	if t.Domain != ts.domain {
		c += crossing
	}
	return c
}

// Choose returns the target for a new flow of a service that was not tried yet:
// the one that costs least. Targets that are suspected or not known to be ready
// are left out; with none left, the result is false.
func (ts *Targets) Choose(now clock.Millis, service string, tried []netip.AddrPort) (*Target, bool) {
	var best *Target
	var least float64
	targets := ts.want(now, service)
	each := flowLoad(targets)
	for _, t := range targets {
		if !t.Opens(now) || slices.Contains(tried, t.Address) {
			continue
		}
		c := ts.cost(now, t, each)
		if best == nil || c < least || c == least && t.Address.Compare(best.Address) < 0 {
			best, least = t, c
		}
	}
	if best == nil {
		return nil, false
	}
	best.placed++
	return best, true
}
