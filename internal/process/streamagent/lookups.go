package streamagent

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// probedCheckInterval is how often an agent that a balancer probes checks whether that
	// is still so.
	probedCheckInterval = clock.Second
	// unlistedCheckInterval is the same for an agent whose target is not listed by the store.
	unlistedCheckInterval = 200 * clock.Millis(1)
	// lookupTime bounds a lookup: a slow store answers in some 400 ms.
	lookupTime = 800 * clock.Millis(1)
	// lookupInterval is how often balancers are looked up in the directory while none
	// probes this target. After a failed lookup the delay starts at minLookupRetryDelay
	// and doubles, and after a lookup of an abandoned agent at minAbandonedDelay.
	lookupInterval      = 5 * clock.Second
	minLookupRetryDelay = 200 * clock.Millis(1)
	minAbandonedDelay   = clock.Second
)

// Lookup is a way to look up balancers in the directory.
type Lookup int

const (
	// NoLookup means that none is needed.
	NoLookup Lookup = iota
	// CheapLookup reads a list that may be many seconds old.
	CheapLookup
	// CurrentLookup reads a list that is not stale, at a higher cost.
	CurrentLookup
)

// Lookups decides when an agent looks up balancers in the directory: while none probes it.
// It does no I/O and takes time and randomness as arguments.
//
// If all balancers were replaced, a cheap list names only those that have left, and flows
// wait until the agent is known to the new ones; so an abandoned agent reads a current list.
type Lookups struct {
	retryDelay     clock.Millis
	abandonedDelay clock.Millis
}

// NewLookups returns the state of an agent that has made no lookup.
func NewLookups() *Lookups {
	return &Lookups{retryDelay: minLookupRetryDelay, abandonedDelay: minAbandonedDelay}
}

// Due returns the lookup to make now.
func (l *Lookups) Due(now clock.Millis, bs *Balancers) Lookup {
	abandoned := bs.UntilAbandoned(now) <= 0
	if !abandoned {
		l.abandonedDelay = minAbandonedDelay
	}
	switch {
	case !bs.Unprobed(now):
		return NoLookup
	case abandoned:
		return CurrentLookup
	default:
		return CheapLookup
	}
}

// Delay returns how long after a lookup, which was answered or not, Due is to be called
// again. random is from 0 to 1.
//
// A failed lookup is retried soon: after a loss of power only the platform knows the
// balancers' addresses.
func (l *Lookups) Delay(now clock.Millis, bs *Balancers, made Lookup, answered bool, random float64) clock.Millis {
	if made != NoLookup && !answered {
		delay := l.retryDelay/2 + share(l.retryDelay/2, random)
		l.retryDelay = min(2*l.retryDelay, lookupInterval)
		return delay
	}
	l.retryDelay = minLookupRetryDelay
	switch made {
	case CheapLookup:
		return min(max(bs.UntilAbandoned(now), 0), lookupInterval)
	case CurrentLookup:
		delay := l.abandonedDelay/2 + share(l.abandonedDelay, random)
		l.abandonedDelay = min(2*l.abandonedDelay, lookupInterval)
		if bs.unlisted {
			l.abandonedDelay = minAbandonedDelay
		}
		return delay
	default:
		if bs.unlisted {
			return unlistedCheckInterval
		}
		return probedCheckInterval
	}
}

// share returns a fraction of a time.
func share(d clock.Millis, fraction float64) clock.Millis {
	return clock.Millis(fraction * float64(d))
}
