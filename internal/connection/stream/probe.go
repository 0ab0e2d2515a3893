package stream

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// nearProbe is how often targets in the balancer's own failure domain are probed, and
	// farProbe how often those in others of which no summary tells. Load changes within a
	// mean request, some 30 ms, but a report that is 200 ms old is corrected by what was
	// placed since; traffic between domains is paid for.
	localProbeInterval  = 200 * clock.Millis(1)
	remoteProbeInterval = clock.Second
	// restProbe is how often targets of a service are probed that had no
	// openings or searches here for restAfter: a balancer among hundreds sees
	// few of the services.
	idleProbeInterval = 5 * clock.Second
	idleServiceAfter  = 20 * clock.Second
	// againProbe is the pause before a probe without answer is repeated, some
	// round trips between failure domains.
	probeRetryInterval = 100 * clock.Millis(1)
	// lostProbe is the pause between probes of a suspected target.
	suspectedProbeInterval = 500 * clock.Millis(1)
	// tickLate is a pause between two ticks that is longer than planned: this
	// process stood still, or is short of processor time.
	tickTolerance = 100 * clock.Millis(1)
	// forgetAfter is the silence after which a target is no longer known: a
	// flow lives no longer than a minute.
	targetRetention = 70 * clock.Second
)

// Due returns the targets to probe now and notes that they are.
//
// The time that this process itself was late does not count: its targets would seem
// silent, and flows that are well would be reset.
func (ts *Targets) DueProbes(now clock.Millis) []*Target {
	late := clock.Millis(0)
	if ts.lastTick != 0 {
		late = max(now.Sub(ts.lastTick)-tickTolerance, 0)
	}
	ts.lastTick = now
	var due []*Target
	for _, g := range ts.groups {
		resting := now.Sub(g.lastUsed) > idleServiceAfter
		for _, t := range g.targets {
			if t.unansweredSince != 0 {
				t.unansweredSince += late
			}
			if ts.coveredBySummary(now, t) || now.Sub(t.lastProbe) < ts.probeInterval(now, t, resting) {
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

func (ts *Targets) probeInterval(now clock.Millis, t *Target, resting bool) clock.Millis {
	switch {
	case t.unansweredSince != 0 && now.Sub(t.unansweredSince) > suspectAfter, t.unresponsiveAt != 0:
		return suspectedProbeInterval
	case t.unansweredSince != 0:
		return probeRetryInterval
	case resting:
		return idleProbeInterval
	case t.Domain == ts.domain:
		return localProbeInterval
	default:
		return remoteProbeInterval
	}
}

// Forget removes the targets that were silent for longer than a flow lives, and
// old notes of targets that left.
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

// Answering returns how many targets answer probes, and how many there are.
func (ts *Targets) Answering(now clock.Millis) (answering, all int) {
	for _, t := range ts.known {
		if !t.Suspected(now) {
			answering++
		}
	}
	return answering, len(ts.known)
}
