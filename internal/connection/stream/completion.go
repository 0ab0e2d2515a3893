package stream

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// lowLoad and highLoad are the fractions of a target's slots in use between which the
	// cost of its service's targets passes from the fraction of slots in use to the
	// expected time of completion.
	lowLoad  = 0.75
	highLoad = 1.0
	// serviceLoadInterval is the interval at which the load of a service is computed.
	serviceLoadInterval = 50 * clock.Millis(1)
	// completionMargin is the difference in expected times of completion below which
	// targets count as equal: the time that a request takes varies by more.
	completionMargin = 0.25
)

// serviceLoad is what the reports of a service's targets show of its load.
type serviceLoad struct {
	computedAt clock.Millis
	// work is the median of the times in milliseconds that targets work on a request; zero
	// if none is known.
	work float64
	// pressure is the weight of the expected time of completion in the cost: 0 while each
	// target has free slots, 1 once one has none.
	pressure float64
	split    split
	// works holds the targets' known works, of which work is the median.
	works []float64
}

// serviceLoad returns the load of a service, computed at most serviceLoadInterval ago.
func (ts *Targets) serviceLoad(now clock.Millis, g *serviceGroup) *serviceLoad {
	l := &g.load
	if l.computedAt != 0 && now.Sub(l.computedAt) < serviceLoadInterval {
		return l
	}
	l.computedAt, l.works = now, l.works[:0]
	highest := 0.0
	var near domainLoad
	var far [numDistances]domainLoad
	for _, t := range g.targets {
		if !t.AcceptsFlows(now) || ts.evacuated.Has(t.Domain) {
			continue
		}
		highest = max(highest, t.Busy/float64(max(t.Slots, 1)))
		if t.Work > 0 {
			l.works = append(l.works, t.Work)
		}
		if t.Domain == ts.domain {
			near.add(t)
		} else {
			far[ts.distanceTo(t.Domain)].add(t)
		}
	}
	l.split.update(now, near, far)
	l.updatePressure(highest)
	return l
}

// updatePressure updates the median work and the pressure, given the highest fraction of a
// target's slots in use. Without a known work there is no expected time of completion.
func (l *serviceLoad) updatePressure(highest float64) {
	if len(l.works) == 0 {
		l.work, l.pressure = 0, 0
		return
	}
	slices.Sort(l.works)
	l.work = l.works[len(l.works)/2]
	l.pressure = min(max((highest-lowLoad)/(highLoad-lowLoad), 0), 1)
}

// slotWork returns by how much a request at the target delays the next one, as a multiple of
// the service's median work.
func (l *serviceLoad) slotWork(now clock.Millis, t *Target) float64 {
	work := 1.0
	switch {
	case t.Work > 0:
		work = t.Work / l.work
	case now < t.ColdUntil:
		work = coldCostFactor
	}
	return work / float64(max(t.Slots, 1))
}

// completion returns the time until the target has answered what it has got, as a multiple
// of the service's median work, and by how much another flow extends it.
//
// A slow target with the same fraction of its slots in use as a fast one lets its callers
// wait longer. The time is the mean of two estimates. One uses the mean number of requests
// in progress, which is steady. The other uses the number at the last report together with
// the flows placed since, less what the target has answered by now; for a remote target
// most of these flows are unknown.
func (l *serviceLoad) completion(now clock.Millis, t *Target, f flowLoad, local bool) (cost, step float64) {
	work := l.slotWork(now, t)
	placed := t.placed + t.placedBefore
	steady := (t.Busy + f.fresh*placed) * work
	current := steady
	if local && t.RunningKnown {
		current = max((float64(t.Running)+placed)*work-float64(now.Sub(t.HeardAt))/l.work, 0)
	}
	return (steady + current) / 2, work
}

// adjust moves a candidate's cost to the expected time of completion as far as the service
// is under pressure.
func (l *serviceLoad) adjust(now clock.Millis, c *candidate, f flowLoad, local bool) {
	if l.pressure == 0 {
		return
	}
	cost, step := l.completion(now, c.target, f, local)
	c.cost += l.pressure * (cost - c.cost)
	c.step += l.pressure * (step - c.step)
}

// margin returns the difference in cost below which targets count as equal.
func (l *serviceLoad) margin() float64 {
	return equalCostMargin + l.pressure*(completionMargin-equalCostMargin)
}
