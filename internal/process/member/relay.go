package member

import (
	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/process/failover"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// relaysPerDomain is the number of balancers of a domain that watch the platform.
	relaysPerDomain = 2
	// minRelayRetry is the delay after a first failure, which doubles with each further one.
	// maxFirstRetry bounds it for balancers of the first ranks, which are to notice soon
	// that the platform answers again, and maxRelayRetry for the others.
	minRelayRetry = 250 * clock.Millis(1)
	maxFirstRetry = clock.Second
	maxRelayRetry = 4 * clock.Second
	// minPingTimeout and maxPingTimeout bound how long a ping of the platform may take.
	minPingTimeout = 600 * clock.Millis(1)
	maxPingTimeout = 2400 * clock.Millis(1)
)

// Relay decides whether a balancer watches the platform for its domain: those of the first
// ranks that the platform answers do. A balancer announces in its record that it is
// answered; while fewer than relaysPerDomain announce it, the others try in the order of
// their ranks. It is pure: time is an argument.
//
// Processes with different views may select different relays: an additional watch is
// harmless, and the digest exchange compensates for a missing one.
type Relay struct {
	counts relayCounts
	// lackingSince is since when there have been too few relays; zero if there are enough.
	lackingSince clock.Millis
	// isFirst reports whether this balancer has one of the first ranks.
	isFirst  bool
	failures int
	retryAt  clock.Millis
}

// SetBalancers records the known balancers after any of them has changed.
func (r *Relay) SetBalancers(balancers []Observed, self *Member) {
	r.counts = countRelays(balancers, self)
}

// Wanted reports whether it is the turn of the balancer to watch the platform, or to try to;
// watching is what it announces. It is to be called regularly.
func (r *Relay) Wanted(now clock.Millis, watching bool) bool {
	c := r.counts
	r.isFirst = c.higherRelays+c.higherOthers < relaysPerDomain
	enough := c.higherRelays >= relaysPerDomain
	if !watching && !r.isFirst {
		enough = c.higherRelays+c.lowerRelays >= relaysPerDomain
	}
	if enough {
		r.lackingSince, r.failures, r.retryAt = 0, 0, 0
		return false
	}
	if r.lackingSince == 0 {
		r.lackingSince = now
	}
	switch {
	case watching:
		return true
	case r.isFirst:
		return now >= r.retryAt
	default:
		return now >= max(r.retryAt, r.lackingSince+failover.Delay(c.higherOthers))
	}
}

// Failed records that the platform has not answered the balancer. jitter is a random number
// from 0 to 1.
func (r *Relay) Failed(now clock.Millis, jitter float64) {
	limit := maxRelayRetry
	if r.isFirst {
		limit = maxFirstRetry
	}
	delay := min(minRelayRetry<<min(r.failures, 8), limit)
	r.failures++
	r.retryAt = now + delay/2 + clock.Millis(jitter*float64(delay/2))
}

// PingTimeout returns how long a ping of the platform may take. It doubles with each failure,
// as a slow platform must not be taken for a silent one forever.
func (r *Relay) PingTimeout() clock.Millis {
	return min(minPingTimeout<<min(r.failures, 8), maxPingTimeout)
}

// Answered records that the platform has answered the balancer.
func (r *Relay) Answered() {
	r.failures, r.retryAt = 0, 0
}

// relayCounts counts the live balancers of a domain besides one: those of higher rank that
// watch the platform and those that do not, and those of lower rank that watch it.
type relayCounts struct {
	higherRelays, higherOthers, lowerRelays int
}

func countRelays(balancers []Observed, self *Member) relayCounts {
	var c relayCounts
	seed := xxh3.HashString("relay")
	own := weight(self, seed)
	for i := range balancers {
		b := &balancers[i]
		if b.Domain != self.Domain || b.Name == self.Name || !b.Live() {
			continue
		}
		switch higher := weight(&b.Member, seed) > own; {
		case higher && b.Watching:
			c.higherRelays++
		case higher:
			c.higherOthers++
		case b.Watching:
			c.lowerRelays++
		}
	}
	return c
}
