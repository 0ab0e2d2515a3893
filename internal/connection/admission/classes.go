package admission

import (
	"math"
	"math/bits"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// objectiveShare is the share of its objective that a request of the most urgent class may
	// take on average: the work of requests varies.
	objectiveShare = 0.5
	// LeastShare is the share of the admitted openings that each present class gets, however
	// loaded the target is.
	LeastShare = 0.1
	// shareWindow is the time over which shares of openings are measured.
	shareWindow = clock.Second
	// capacityTTL is how long the capacity counts as known after a target last rejected a
	// request for lack of room.
	capacityTTL = 10 * clock.Second
)

// Load is the load of a target.
type Load struct {
	Slots int
	// Running is the number of requests in progress, and Awaited that of admitted openings
	// whose first request has not arrived.
	Running int
	Awaited int
	// Mean is the mean number of requests in progress during the last second.
	Mean float64
	// Work is the mean time in milliseconds that the target works on a request, without the
	// time that the request waits there; zero if unknown.
	Work float64
}

// next returns the number of requests at the target once it has admitted another one.
func (l *Load) next() float64 {
	return float64(l.Running + l.Awaited + 1)
}

// ClassLimiter decides which openings a loaded target admits, by the class of their
// requests. The zero value knows no class and admits everything.
type ClassLimiter struct {
	presence   Presence
	priorities [routing.MaxPriority + 1]priorityState
	// decayedAt is when the counts of admitted openings were last decayed.
	decayedAt clock.Millis
	// capacity is the largest number of requests at the target when it rejected one for lack
	// of room, the last time at capacityAt; zero if it never did.
	capacity   int
	capacityAt clock.Millis
}

// priorityState is the state of the classes of one priority at a target.
type priorityState struct {
	// objective is that of the class seen last, at seenAt.
	objective clock.Millis
	seenAt    clock.Millis
	// elsewhere are the more urgent priorities among the openings for all targets, as a set of
	// bits.
	elsewhere uint32
	// admitted is the exponentially decayed number of admitted openings.
	admitted float64
}

// ObserveRequest records a request of a class.
func (c *ClassLimiter) ObserveRequest(now clock.Millis, class *routing.Class) {
	c.presence.Observe(now, class.Priority)
	p := &c.priorities[class.Priority]
	p.objective, p.seenAt = class.Objective, now
}

// ObserveOpening records an opening of a class. elsewhere are the more urgent priorities among
// the openings for all targets. Balancers send urgent openings to targets with less load, so
// this one may see none of them, and must keep room for them all the same.
func (c *ClassLimiter) ObserveOpening(now clock.Millis, class *routing.Class, elsewhere uint32) {
	c.ObserveRequest(now, class)
	c.priorities[class.Priority].elsewhere = elsewhere
}

// RecordAdmission records an opening that was delivered to the target.
func (c *ClassLimiter) RecordAdmission(now clock.Millis, class *routing.Class) {
	c.decay(now)
	c.priorities[class.Priority].admitted++
}

// RecordRejection records that the target rejected a request for lack of room, with a number
// of others at the target.
func (c *ClassLimiter) RecordRejection(now clock.Millis, others int) {
	if !c.knowsCapacity(now) {
		c.capacity = 0
	}
	c.capacity = max(c.capacity, others)
	c.capacityAt = now
}

// RecordAnswer records that the target answered a request that arrived while a number of
// others were at the target.
func (c *ClassLimiter) RecordAnswer(others int) {
	if c.capacity > 0 {
		c.capacity = max(c.capacity, others+1)
	}
}

func (c *ClassLimiter) knowsCapacity(now clock.Millis) bool {
	return c.capacity > 0 && now.Sub(c.capacityAt) <= capacityTTL
}

// Admits reports whether the target admits another opening of a class. insist is set if other
// targets have returned it although there is room at some: a late answer is better for the
// callers of the most urgent class than none.
func (c *ClassLimiter) Admits(now clock.Millis, load Load, class *routing.Class, insist bool) bool {
	if c.fits(now, load, class.Priority) {
		return true
	}
	insist = insist && c.rank(class.Priority) == 0
	return load.next() <= c.room(now, load) && (insist || c.isBelowLeastShare(now, class.Priority))
}

// fits reports whether there is room for another opening of a priority.
//
// A flow may carry further requests and must not be reset once it is open. If more urgent
// classes are present, a short queue is therefore not enough: the mean load must be low too.
func (c *ClassLimiter) fits(now clock.Millis, load Load, priority int) bool {
	next := load.next()
	if c.rank(priority) > 0 {
		next = max(next, load.Mean)
	}
	return next <= c.Limit(now, load, priority)
}

// Limit returns the number of requests at the target up to which it admits openings of a
// priority.
//
// At the limit, a request takes a share of its class's objective: one that is served late takes
// the place of one that would be served in time. The share shrinks with the number of more
// urgent classes present, so that there is room for these.
func (c *ClassLimiter) Limit(now clock.Millis, load Load, priority int) float64 {
	limit := c.room(now, load)
	if load.Slots == 0 {
		return limit
	}
	share := 1 / float64(1+c.rank(priority))
	slots := float64(load.Slots)
	limit = slots + (limit-slots)*share
	if objective := c.objective(priority); objective > 0 && load.Work > 0 {
		// By Little's law, requests take slots*t/work of the target's time in t.
		limit = min(limit, slots*float64(objective)*objectiveShare*share/load.Work)
	}
	return max(limit, slots)
}

// objective returns the shortest objective of a priority and the more urgent ones present. A
// class with a longer objective than a more urgent one would otherwise get as much room.
func (c *ClassLimiter) objective(priority int) clock.Millis {
	shortest := c.priorities[priority].objective
	present := c.presence.MoreUrgent(priority)
	for i := range priority {
		o := c.priorities[i].objective
		if present&(1<<i) != 0 && o > 0 && (shortest == 0 || o < shortest) {
			shortest = o
		}
	}
	return shortest
}

// Refused returns the priorities of which the target admits no openings, as a set of bits.
func (c *ClassLimiter) Refused(now clock.Millis, load Load) uint32 {
	refused := uint32(0)
	for priority := range c.priorities {
		p := &c.priorities[priority]
		recent := p.seenAt != 0 && now.Sub(p.seenAt) <= presenceWindow
		if recent && !c.fits(now, load, priority) {
			refused |= 1 << priority
		}
	}
	return refused
}

// room returns the number of requests that fit the target, infinity if it is not known.
func (c *ClassLimiter) room(now clock.Millis, load Load) float64 {
	if load.Slots == 0 || !c.knowsCapacity(now) {
		return math.Inf(1)
	}
	return float64(max(c.capacity, load.Slots))
}

// rank returns the number of more urgent priorities that are present.
func (c *ClassLimiter) rank(priority int) int {
	return bits.OnesCount32(c.presence.MoreUrgent(priority) | c.priorities[priority].elsewhere)
}

// isBelowLeastShare reports whether openings of a priority have got less than LeastShare of
// those admitted lately, or of one if there were none.
func (c *ClassLimiter) isBelowLeastShare(now clock.Millis, priority int) bool {
	c.decay(now)
	total := 0.0
	for i := range c.priorities {
		total += c.priorities[i].admitted
	}
	return c.priorities[priority].admitted < LeastShare*max(total, 1)
}

func (c *ClassLimiter) decay(now clock.Millis) {
	factor := decayFactor(now.Sub(c.decayedAt), shareWindow)
	for i := range c.priorities {
		c.priorities[i].admitted *= factor
	}
	c.decayedAt = now
}
