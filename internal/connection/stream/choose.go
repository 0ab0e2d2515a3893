package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// coldCostFactor multiplies the cost of a target that has just started and is slower
	// for some seconds.
	coldCostFactor = 1.6
	// overloadThreshold is the fraction of a target's slots in use above which its latency
	// rises noticeably. crossDomainMargin is how much lower the load of a remote target
	// must be for a flow to leave its failure domain. Traffic between domains is billed by
	// the byte for the lifetime of the flow, so a flow leaves only if its own domain is
	// overloaded and another one clearly is not.
	overloadThreshold = 0.9
	crossDomainMargin = 0.3
	// equalCostMargin is the difference in cost below which targets count as equal; their
	// load is not known more precisely.
	equalCostMargin = 0.05
	// minFlowLoad is the assumed load of a flow, in requests in progress, where no requests
	// have been seen yet.
	minFlowLoad = 0.01
	// busyScale is the unit of the load in reports: hundredths of a request.
	busyScale = 100
)

// flowLoad is the mean number of requests in progress per flow over a service's targets:
// for an open flow, and for a fresh one until its target reports. The caller of a fresh
// flow sends a request at once and may send the next one much later.
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
		l.fresh += min(float64(serving)/float64(known)/float64(minLocalProbeInterval), 1)
	}
	return l
}

// cost returns the target's cost for a new flow, the fraction of its slots in use; lower is
// better.
//
// The number of requests in progress shows how busy a target is, but varies by chance and
// is known late. The expected load of its flows is steady, but does not show that a target
// has become slow. The cost uses the mean of both. Flows placed since the last report count
// as well, so that a burst does not all go to the one target that looked idle.
func (ts *Targets) cost(now clock.Millis, t *Target, l flowLoad) float64 {
	expected := l.open * float64(t.Flows)
	c := (expected+t.Busy)/2 + l.fresh*(t.placed+t.placedBefore)
	c /= float64(max(t.Slots, 1))
	if now < t.ColdUntil {
		c *= coldCostFactor
	}
	return c
}

// costStep returns how much a new flow raises the target's cost.
func (t *Target) costStep(now clock.Millis, l flowLoad) float64 {
	s := l.fresh / float64(max(t.Slots, 1))
	if now < t.ColdUntil {
		s *= coldCostFactor
	}
	return s
}

// mostFailing reports whether more of a service's targets are failing than ready.
//
// The cause is then something shared by all, or one caller's requests; ejecting the targets
// one by one would overload the remaining ones.
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

// hasUsable reports whether there is a target for a new flow.
func (ts *Targets) hasUsable(now clock.Millis, req *PlacementRequest) bool {
	for _, t := range ts.useService(now, req.Service) {
		if ts.usable(now, t, req, true) {
			return true
		}
	}
	return false
}

// Choose returns a target for a new flow, or false if there is none: one of the least
// loaded targets of the balancer's own failure domain, unless the flow leaves it. It skips
// targets that were already tried, are suspected or not known to be ready, or must not get
// the flow, and failing ones unless most are failing.
func (ts *Targets) Choose(now clock.Millis, req PlacementRequest) (*Target, bool) {
	g := ts.useGroup(now, req.Service)
	if g == nil {
		return nil, false
	}
	load := ts.serviceLoad(now, g)
	near, far := ts.candidates(now, g.targets, load, &req)
	from := ts.selectDomain(load, &near, &far)
	from.margin = load.margin()
	return from.choose(ts.random.Float64(), ts.balancers)
}

// candidates returns the local and the remote targets that may get a flow.
func (ts *Targets) candidates(now clock.Millis, targets []*Target, load *serviceLoad, req *PlacementRequest) (near, far candidates) {
	near.all, far.all = ts.near[:0], ts.far[:0]
	l := flowLoads(targets)
	useFailing := mostFailing(now, targets)
	for _, t := range targets {
		if !ts.usable(now, t, req, useFailing) {
			continue
		}
		local := t.Domain == ts.domain
		c := candidate{target: t, cost: ts.cost(now, t, l), step: t.costStep(now, l)}
		load.adjust(now, &c, l, local)
		if !local {
			far.add(c)
			continue
		}
		near.add(c)
		near.placed = max(near.placed, l.fresh*t.placed/float64(max(t.Slots, 1)))
	}
	ts.near, ts.far = near.all, far.all
	return near, far
}
