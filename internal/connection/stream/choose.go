package stream

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// busyWeight is how many open flows a request under way counts for. A
	// flow has a request under way for some 3 % of its time, so a target whose
	// requests pile up shows in Busy long before it shows in Flows.
	busyWeight = 3.0
	// coldFactor is how much dearer a target is that has just started and
	// works slower for some seconds.
	coldFactor = 1.6
	// crossing and crossingFactor keep flows in their failure domain until its
	// targets are clearly busier than others: each packet between domains
	// costs delay and money, and small differences are chance.
	crossing       = 2.0
	crossingFactor = 1.25
)

// cost compares targets for a new flow; lower is better.
func (ts *Targets) cost(now clock.Millis, t *Target) float64 {
	c := (float64(t.Flows+t.placed) + busyWeight*float64(t.Busy)) / float64(max(t.Slots, 1))
	if now < t.ColdUntil {
		c *= coldFactor
	}
	if t.Domain != ts.domain {
		c = c*crossingFactor + crossing
	}
	return c
}

// Choose returns the target for a new flow of a service that was not tried yet:
// the one that costs least. Targets that are suspected or not known to be ready
// are left out; with none left, the result is false.
func (ts *Targets) Choose(now clock.Millis, service string, tried []netip.AddrPort) (*Target, bool) {
	var best *Target
	var least float64
	for _, t := range ts.known {
		if t.Service != service || !t.Opens(now) || slices.Contains(tried, t.Address) {
			continue
		}
		c := ts.cost(now, t)
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
