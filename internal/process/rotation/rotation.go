package rotation

import (
	"math"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// settleTime is how long the fabric takes to follow a change of readiness, and the load
	// of the other balancers to show it.
	settleTime = 1500 * clock.Millis(1)
	// startupTime is how long after its start a process may be late because of the start.
	startupTime = 4 * clock.Second
	// confirmTime is how long a balancer must be late before it rests: it learns meanwhile
	// whether others are late as well.
	confirmTime = 400 * clock.Millis(1)
	// turnTimeout is how long a balancer waits for another one that is to rest first.
	turnTimeout = clock.Second
	// minRest is the duration of the first rest. It doubles with each rest that begins
	// within relapseTime after the end of one, up to maxRest.
	minRest     = 5 * clock.Second
	maxRest     = 60 * clock.Second
	relapseTime = 15 * clock.Second
	// inTimeShare is the share of the maximum lateness up to which a balancer is in time.
	inTimeShare = 0.6
)

// UnknownLateness is the lateness of a peer that does not tell it. Such a peer does not count
// as in time.
const UnknownLateness = -1.0

// Peer is another balancer of the failure domain that is being heard from.
type Peer struct {
	Name string
	// Resting is set if it does not take part in the rotation, and ChangedAt is when that
	// was last seen to change.
	Resting   bool
	ChangedAt clock.Millis
	// Lateness is its mean lateness in milliseconds, or UnknownLateness.
	Lateness float64
}

// Domain is what a balancer knows of the balancers of its failure domain.
type Domain struct {
	// Known is the number of balancers there, including this one and silent ones.
	Known int
	// Peers are the others that are being heard from.
	Peers []Peer
}

// Change is what Update has changed. The peers must be told of it at once.
type Change int

const (
	// Unchanged is returned if there is nothing to tell.
	Unchanged Change = iota
	// BecameLate means that the balancer is late from now on, and may rest soon.
	BecameLate
	// Rested means that it has left the rotation.
	Rested
	// Returned means that it has joined the rotation again.
	Returned
)

// String returns the change's name in logs and counters.
func (c Change) String() string {
	switch c {
	case BecameLate:
		return "rotation_late"
	case Rested:
		return "rotation_rest"
	case Returned:
		return "rotation_return"
	default:
		return "rotation_unchanged"
	}
}

// Rotation is a balancer's own state. It is not safe for concurrent use.
type Rotation struct {
	Lateness Lateness

	name      string
	startedAt clock.Millis
	// late is set once the balancer is late, until it is in time again. waitingSince is
	// since when it could have rested, but for the others; zero if it could not.
	late         bool
	waitingSince clock.Millis
	// resting is set if it has left the rotation, the last time at changedAt for the
	// duration of rest. relapses is set if a rest that begins soon is to be longer.
	resting   bool
	changedAt clock.Millis
	rest      clock.Millis
	relapses  bool
}

// New returns the Rotation of a balancer that has just started and takes part.
func New(now clock.Millis, name string) *Rotation {
	return &Rotation{name: name, startedAt: now}
}

// Resting reports whether the balancer does not take part.
func (r *Rotation) Resting() bool {
	return r.resting
}

// Update decides whether the balancer takes part from now on. maxLateness is the mean
// lateness in milliseconds above which it is late.
func (r *Rotation) Update(now clock.Millis, maxLateness float64, d Domain) Change {
	if r.resting {
		return r.updateResting(now, maxLateness, d)
	}
	becameLate := r.updateLate(maxLateness)
	r.updateWaiting(now, d)
	switch {
	case r.shouldRest(now, maxLateness, d):
		r.startRest(now)
		return Rested
	case becameLate:
		return BecameLate
	}
	return Unchanged
}

// updateLate reports whether the balancer has become late.
func (r *Rotation) updateLate(maxLateness float64) bool {
	was := r.late
	r.late = r.Lateness.exceeds(maxLateness) || was && r.Lateness.Mean() > inTimeShare*maxLateness
	return r.late && !was
}

func (r *Rotation) updateWaiting(now clock.Millis, d Domain) {
	started := now.Sub(r.startedAt) >= startupTime
	switch {
	case !r.late || !started || r.changedRecently(now, d):
		r.waitingSince = 0
	case r.waitingSince == 0:
		r.waitingSince = now
	}
}

// changedRecently reports whether a balancer has left or joined the rotation so lately that
// its effect does not show yet.
func (r *Rotation) changedRecently(now clock.Millis, d Domain) bool {
	if r.changedAt != 0 && now.Sub(r.changedAt) < settleTime {
		return true
	}
	for _, p := range d.Peers {
		if p.ChangedAt != 0 && now.Sub(p.ChangedAt) < settleTime {
			return true
		}
	}
	return false
}

func (r *Rotation) shouldRest(now clock.Millis, maxLateness float64, d Domain) bool {
	if r.waitingSince == 0 || !r.Lateness.exceeds(maxLateness) {
		return false
	}
	waited := now.Sub(r.waitingSince)
	if waited < confirmTime || waited < turnTimeout && r.hasEarlierPeer(maxLateness, d) {
		return false
	}
	return 2*d.countInTime(maxLateness) > d.Known
}

// hasEarlierPeer reports whether another late balancer is to rest first: one that is clearly
// later, or as late and first by name. What peers have told of themselves is up to half a
// second old, so only the order of magnitude is compared.
func (r *Rotation) hasEarlierPeer(maxLateness float64, d Domain) bool {
	own := magnitude(r.Lateness.Mean())
	for _, p := range d.Peers {
		theirs := magnitude(p.Lateness)
		if !p.Resting && p.Lateness > maxLateness && (theirs > own || theirs == own && p.Name < r.name) {
			return true
		}
	}
	return false
}

func magnitude(lateness float64) int {
	return math.Ilogb(max(lateness, 1))
}

func (r *Rotation) startRest(now clock.Millis) {
	if r.relapses && now.Sub(r.changedAt) < relapseTime {
		r.rest = min(2*r.rest, maxRest)
	} else {
		r.rest = minRest
	}
	r.resting, r.changedAt, r.waitingSince = true, now, 0
}

// updateResting ends a rest that is over, or that the other balancers do not allow any more.
func (r *Rotation) updateResting(now clock.Millis, maxLateness float64, d Domain) Change {
	rested := now.Sub(r.changedAt)
	over := rested >= r.rest && (r.Lateness.Mean() <= maxLateness || rested >= maxRest)
	fewInTime := rested >= settleTime && 2*d.countInTime(maxLateness) <= d.Known
	fewActive := 2*d.countActive() <= d.Known
	if !over && !fewInTime && !fewActive {
		return Unchanged
	}
	r.resting, r.changedAt, r.relapses, r.late = false, now, over, false
	return Returned
}

// countActive returns the number of other balancers that take part.
func (d Domain) countActive() int {
	n := 0
	for _, p := range d.Peers {
		if !p.Resting {
			n++
		}
	}
	return n
}

// countInTime returns the number of other balancers that take part and are in time.
func (d Domain) countInTime(maxLateness float64) int {
	n := 0
	for _, p := range d.Peers {
		if !p.Resting && p.Lateness >= 0 && p.Lateness <= inTimeShare*maxLateness {
			n++
		}
	}
	return n
}
