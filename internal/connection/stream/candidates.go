package stream

import "math"

// candidate is a target for a new flow: its cost, and by how much a flow raises it.
type candidate struct {
	target *Target
	cost   float64
	step   float64
	// part is the target's part of the next flows.
	share float64
}

// candidates are targets for a new flow, and the least cost among them.
type candidates struct {
	all  []candidate
	best float64
}

func (c *candidates) add(x candidate) {
	if len(c.all) == 0 || x.cost < c.best {
		c.best = x.cost
	}
	c.all = append(c.all, x)
}

// choose returns a target by a draw from 0 to 1, or false if there is none. sharers is how
// many balancers place flows at these targets.
//
// They know the same loads for a while, and none knows what the others place. If each took
// the least loaded one, a hundred flows would go to the target that had room when it was
// asked, and its queue would overflow beside idle ones. So each takes for granted that the
// others place a flow as well, and draws its own target from how those flows together
// would best be divided. What the others are expected to have placed counts until the
// targets report.
func (c *candidates) choose(draw, sharers float64) (*Target, bool) {
	if len(c.all) == 0 {
		return nil, false
	}
	total := c.divide(sharers)
	chosen := c.all[len(c.all)-1].target
	left := draw * total
	for i := range c.all {
		x := &c.all[i]
		if left >= 0 && left < x.share {
			chosen = x.target
		}
		left -= x.share
		x.target.placed += (sharers - 1) * x.share / total
	}
	chosen.placed++
	return chosen, true
}

// divide gives each target its part of a number of flows, so that all that get any are
// equally loaded afterwards, and returns the sum of the parts. Targets that cost about the
// least are taken for alike.
func (c *candidates) divide(flows float64) float64 {
	level := max(c.fillLevel(flows), c.best+equalCostMargin)
	total := 0.0
	for i := range c.all {
		x := &c.all[i]
		x.share = max(level-x.cost, 0) / x.step
		total += x.share
	}
	return total
}

// level is the cost up to which a number of flows fills the targets. Those above it get none,
// and the others share what they would have got: each round leaves some out, or is the last.
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
