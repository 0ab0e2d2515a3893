package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// coldFactor is how much dearer a target is that has just started and
	// works slower for some seconds.
	coldCostFactor = 1.6
	// overload is the part of its slots in use from which a target answers
	// noticeably later, and crossing by how much less a target elsewhere must be
	// loaded for a flow to leave its failure domain. Packets between domains are
	// paid for by the byte for as long as the flow lives, so a flow goes out only
	// where its own domain is overloaded and another one clearly is not.
	overloadThreshold = 0.9
	crossDomainMargin = 0.3
	// evenly is by how much the costs of targets may differ that are taken for alike:
	// what is known of their load is no more exact.
	equalCostMargin = 0.05
	// leastFlowLoad is what a flow counts for where no requests were seen yet,
	// in requests under way.
	minFlowLoad = 0.01
	// busyScale is the unit of the load in reports: hundredths of a request.
	busyScale = 100
)

// flowLoad is how many requests a flow has under way on the mean over a service's targets:
// an open one, and one that has just been opened, until its target reports. The latter's
// caller has a request at once, and may have the next one much later.
type flowLoad struct {
	open, fresh float64
}

func flowLoads(targets []*Target) flowLoad {
	flows, known := 0, 0
	busy, serving := 0.0, clock.Millis(0)
	for _, t := range targets {
		flows += t.Flows
		busy += t.Busy
		if t.MeanLatency > 0 {
			serving += t.MeanLatency
			known++
		}
	}
	l := flowLoad{open: minFlowLoad}
	if flows > 0 {
		l.open = max(busy/float64(flows), minFlowLoad)
	}
	l.fresh = l.open
	if known > 0 {
		l.fresh += min(float64(serving)/float64(known)/float64(localProbeInterval), 1)
	}
	return l
}

// cost compares targets for a new flow; lower is better. It is the part of the
// target's slots that is in use.
//
// What is under way at a target says how busy it is, but it varies by chance and
// is known late; what its flows need on the mean is steady, but does not show
// that a target has become slow. The mean of both is taken. Flows that were
// placed since the last report count as well, so that a burst does not go to the
// one target that looked idle.
func (ts *Targets) cost(now clock.Millis, t *Target, l flowLoad) float64 {
	expected := l.open * float64(t.Flows)
	c := (expected+t.Busy)/2 + l.fresh*(t.placed+t.placedBefore)
	c /= float64(max(t.Slots, 1))
	if now < t.ColdUntil {
		c *= coldCostFactor
	}
	return c
}

// step is by how much a new flow raises the target's cost.
func (t *Target) costStep(now clock.Millis, l flowLoad) float64 {
	s := l.fresh / float64(max(t.Slots, 1))
	if now < t.ColdUntil {
		s *= coldCostFactor
	}
	return s
}

// mostFail reports that more of a service's targets fail than are ready.
//
// Then the cause is something that all need, or one caller's requests; leaving them out
// one by one would break the last ones down under all flows.
func mostFailing(now clock.Millis, targets []*Target) bool {
	ready, fail := 0, 0
	for _, t := range targets {
		switch {
		case t.AcceptsFlows(now):
			ready++
		case t.failing(now):
			fail++
		}
	}
	return fail > ready
}

// ready reports whether there is a target for a new flow.
func (ts *Targets) hasUsable(now clock.Millis, d *PlacementRequest) bool {
	for _, t := range ts.useService(now, d.Service) {
		if ts.usable(now, t, d, true) {
			return true
		}
	}
	return false
}

// Choose returns the target for a new flow that was not tried yet: one of the least
// loaded ones of the balancer's own failure domain, unless that is overloaded and one
// elsewhere is not. Targets that are suspected, not known to be ready or where the flow
// may not be opened are left out, and so are those that fail while others do not; with
// none left, the result is false.
//
// What was placed at home since the last reports counts elsewhere too: when all callers
// come back at once, other balancers place as many at theirs.
func (ts *Targets) Choose(now clock.Millis, d PlacementRequest) (*Target, bool) {
	near, far := candidates{all: ts.near[:0]}, candidates{all: ts.far[:0]}
	targets := ts.useService(now, d.Service)
	l := flowLoads(targets)
	all := mostFailing(now, targets)
	placed := 0.0
	for _, t := range targets {
		if !ts.usable(now, t, &d, all) {
			continue
		}
		c := candidate{target: t, cost: ts.cost(now, t, l), step: t.costStep(now, l)}
		if t.Domain != ts.domain {
			far.add(c)
			continue
		}
		near.add(c)
		placed = max(placed, l.fresh*t.placed/float64(max(t.Slots, 1)))
	}
	ts.near, ts.far = near.all, far.all
	from := &near
	if len(near.all) == 0 || near.best > overloadThreshold && len(far.all) > 0 && far.best+placed+crossDomainMargin < near.best {
		from = &far
	}
	return from.choose(ts.random.Float64(), ts.balancers)
}
