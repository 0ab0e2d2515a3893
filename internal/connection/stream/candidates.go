package stream

import (
	"math"
	"slices"
)

// candidate is a target for a new flow with its cost and the increase in cost per flow.
type candidate struct {
	target *Target
	cost   float64
	step   float64
	// share is the target's share of the next flows.
	share float64
}

// candidates are the targets for a new flow and their minimum cost.
type candidates struct {
	all  []candidate
	best float64
	// margin is the difference in cost below which targets count as equal.
	margin float64
	// placed is the largest load of the flows placed at one of the targets since its last
	// report.
	placed float64
}

// keep drops the candidates that do not fulfil a condition.
func (c *candidates) keep(wanted func(*Target) bool) {
	c.all = slices.DeleteFunc(c.all, func(x candidate) bool { return !wanted(x.target) })
	c.best = math.Inf(1)
	for i := range c.all {
		c.best = min(c.best, c.all[i].cost)
	}
}

func (c *candidates) add(x candidate) {
	if len(c.all) == 0 || x.cost < c.best {
		c.best = x.cost
	}
	c.all = append(c.all, x)
}

// choose returns a random target, or false if there is none. draw is a random number from 0
// to 1, balancers the number of balancers that place flows at these targets.
//
// All balancers know the same loads for a while, and none knows what the others place. If
// each took the least loaded target, a hundred flows could go to one target that just had
// room, and its queue would overflow beside idle targets. Each balancer therefore assumes
// that every other one places a flow as well, computes the best distribution of these
// flows, and draws its own target from it. The flows expected from the others count as
// placed until the targets report.
func (c *candidates) choose(draw, balancers float64) (*Target, bool) {
	if len(c.all) == 0 {
		return nil, false
	}
	total := c.divide(balancers)
	chosen := c.all[len(c.all)-1].target
	left := draw * total
	for i := range c.all {
		x := &c.all[i]
		if left >= 0 && left < x.share {
			chosen = x.target
		}
		left -= x.share
		x.target.placed += (balancers - 1) * x.share / total
	}
	chosen.placed++
	return chosen, true
}

// divide computes each target's share of a number of flows such that all targets with a
// share end up equally loaded, and returns the sum of the shares. Targets within
// the margin of the minimum cost count as equal.
func (c *candidates) divide(flows float64) float64 {
	level := max(c.fillLevel(flows), c.best+c.margin)
	total := 0.0
	for i := range c.all {
		x := &c.all[i]
		x.share = max(level-x.cost, 0) / x.step
		total += x.share
	}
	return total
}

// fillLevel returns the cost up to which a number of flows fills the targets
// (water-filling). Targets above it get no flows, and their flows go to the others: each
// round excludes some targets or is the last one.
func (c *candidates) fillLevel(flows float64) float64 {
	level := math.Inf(1)
	for range c.all {
		room, cost := 0.0, 0.0
		for i := range c.all {
			if x := &c.all[i]; x.cost < level {
				room += 1 / x.step
				cost += x.cost / x.step
			}
		}
		lower := (flows + cost) / room
		if !(lower < level) {
			break
		}
		level = lower
	}
	return level
}
