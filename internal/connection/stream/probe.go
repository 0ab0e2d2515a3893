package stream

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// minLocalProbeInterval is the minimum probe interval for targets in the balancer's own
	// failure domain, remoteProbeInterval the one for remote ones not covered by a summary.
	// Load changes within a mean request, some 30 ms, but a report that is 200 ms old is
	// corrected by the flows placed since. Traffic between domains is billed.
	minLocalProbeInterval = 200 * clock.Millis(1)
	remoteProbeInterval   = clock.Second
	// maxLocalProbeRate is the number of probes per second to all targets of the balancer's
	// own failure domain; with more than fifty targets the interval is longer. Both the
	// targets and the balancers of a domain grow with the fleet, and probes at a fixed
	// interval would grow with their product.
	maxLocalProbeRate = 250
	// idleProbeInterval is the probe interval for targets of a service without openings or
	// searches at this balancer for idleServiceAfter. One balancer among hundreds handles
	// only a few of the services.
	idleProbeInterval = 5 * clock.Second
	idleServiceAfter  = 20 * clock.Second
	// probeRetryInterval is the interval at which an unanswered probe is repeated, some
	// round trips between failure domains.
	probeRetryInterval = 100 * clock.Millis(1)
	// suspectedProbeInterval is the probe interval for a suspected target.
	suspectedProbeInterval = 500 * clock.Millis(1)
	// tickTolerance is the interval between two ticks beyond which this process was paused
	// or is short of CPU time.
	tickTolerance = 100 * clock.Millis(1)
	// targetRetention is the silence after which a target is removed: a flow lives no
	// longer than a minute.
	targetRetention = 70 * clock.Second
)

// DueProbes returns the targets to probe now and records the probes.
//
// Time during which this process was paused does not count as silence. Otherwise targets
// would seem lost, and their intact flows would be reset.
func (ts *Targets) DueProbes(now clock.Millis) []*Target {
	late := clock.Millis(0)
	if ts.lastTick != 0 {
		late = max(now.Sub(ts.lastTick)-tickTolerance, 0)
	}
	ts.lastTick = now
	interval := ts.localProbeInterval()
	var due []*Target
	for _, g := range ts.groups {
		resting := now.Sub(g.lastUsed) > idleServiceAfter
		for _, t := range g.targets {
			if t.unansweredSince != 0 {
				t.unansweredSince += late
			}
			if ts.coveredBySummary(now, t) || now.Sub(t.lastProbe) < ts.probeInterval(now, t, interval, resting) {
				continue
			}
			t.lastProbe = now
			if t.unansweredSince == 0 {
				t.unansweredSince = now
			}
			due = append(due, t)
		}
	}
	slices.SortFunc(due, byAddress)
	for _, t := range due {
		ts.lastProbeNumber++
		t.probeNumber = ts.lastProbeNumber
	}
	return due
}

// localProbeInterval returns the probe interval for targets in the balancer's own failure
// domain.
func (ts *Targets) localProbeInterval() clock.Millis {
	local := 0
	for _, t := range ts.known {
		if t.Domain == ts.domain {
			local++
		}
	}
	return max(minLocalProbeInterval, clock.Millis(local)*clock.Second/maxLocalProbeRate)
}

// probeInterval returns the probe interval for a target. local is the one for targets in the
// balancer's own failure domain, and resting is set if the balancer does not use the
// target's service.
func (ts *Targets) probeInterval(now clock.Millis, t *Target, local clock.Millis, resting bool) clock.Millis {
	switch {
	case t.unansweredSince != 0 && now.Sub(t.unansweredSince) > suspectAfter, t.unresponsiveAt != 0:
		return suspectedProbeInterval
	case t.unansweredSince != 0:
		return probeRetryInterval
	case resting:
		return idleProbeInterval
	case t.Domain == ts.domain:
		return local
	default:
		return remoteProbeInterval
	}
}

// RemoveSilent removes and returns the targets that were silent for longer than the
// lifetime of a flow. It also removes expired records of targets that left.
func (ts *Targets) RemoveSilent(now clock.Millis) []*Target {
	var gone []*Target
	for _, t := range ts.known {
		if t.unansweredSince != 0 && now.Sub(t.unansweredSince) > targetRetention {
			ts.remove(t)
			gone = append(gone, t)
		}
	}
	for a, d := range ts.departed {
		if now.Sub(d.at) > tombstoneTTL {
			delete(ts.departed, a)
		}
	}
	return gone
}

// Answering returns the number of targets that answer probes and the number of all targets.
func (ts *Targets) Answering(now clock.Millis) (answering, all int) {
	for _, t := range ts.known {
		if !t.Suspected(now) {
			answering++
		}
	}
	return answering, len(ts.known)
}
