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
	nearProbe = 200 * clock.Millis(1)
	farProbe  = clock.Second
	// restProbe is how often targets of a service are probed that had no
	// openings or searches here for restAfter: a balancer among hundreds sees
	// few of the services.
	restProbe = 5 * clock.Second
	restAfter = 20 * clock.Second
	// againProbe is the pause before a probe without answer is repeated, some
	// round trips between failure domains.
	againProbe = 100 * clock.Millis(1)
	// lostProbe is the pause between probes of a suspected target.
	lostProbe = 500 * clock.Millis(1)
	// tickLate is a pause between two ticks that is longer than planned: this
	// process stood still, or is short of processor time.
	tickLate = 100 * clock.Millis(1)
	// forgetAfter is the silence after which a target is no longer known: a
	// flow lives no longer than a minute.
	forgetAfter = 70 * clock.Second
)

// Due returns the targets to probe now and notes that they are.
//
// The time that this process itself was late does not count: its targets would seem
// silent, and flows that are well would be reset.
func (ts *Targets) Due(now clock.Millis) []*Target {
	late := clock.Millis(0)
	if ts.ticked != 0 {
		late = max(now.Sub(ts.ticked)-tickLate, 0)
	}
	ts.ticked = now
	var due []*Target
	for _, g := range ts.groups {
		resting := now.Sub(g.wanted) > restAfter
		for _, t := range g.targets {
			if t.waiting != 0 {
				t.waiting += late
			}
			if ts.covered(now, t) || now.Sub(t.probed) < ts.pause(now, t, resting) {
				continue
			}
			t.probed = now
			if t.waiting == 0 {
				t.waiting = now
			}
			due = append(due, t)
		}
	}
	slices.SortFunc(due, byAddress)
	for _, t := range due {
		ts.number++
		t.probe = ts.number
	}
	return due
}

func (ts *Targets) pause(now clock.Millis, t *Target, resting bool) clock.Millis {
	switch {
	case t.waiting != 0 && now.Sub(t.waiting) > suspectAfter, t.doubted != 0:
		return lostProbe
	case t.waiting != 0:
		return againProbe
	case resting:
		return restProbe
	case t.Domain == ts.domain:
		return nearProbe
	default:
		return farProbe
	}
}

// Forget removes the targets that were silent for longer than a flow lives, and
// old notes of targets that left.
func (ts *Targets) Forget(now clock.Millis) []*Target {
	var gone []*Target
	for _, t := range ts.known {
		if t.waiting != 0 && now.Sub(t.waiting) > forgetAfter {
			ts.remove(t)
			gone = append(gone, t)
		}
	}
	for a, d := range ts.left {
		if now.Sub(d.at) > tombFor {
			delete(ts.left, a)
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
