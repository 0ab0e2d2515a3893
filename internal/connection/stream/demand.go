package stream

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Demand is a new flow that wants a target.
type Demand struct {
	Service string
	// Homes are the regions in which it may be served; any if there are none.
	Homes []string
	// Warming is how many openings a second a target of the service bears while it is slow
	// after its start; zero for no bound.
	Warming int
	// Tried are the agents that were sent the opening already.
	Tried []netip.AddrPort
}

// TakeEvacuations takes what a reader or another balancer knows of the evacuations, and
// reports whether they are others than before, or known for the first time.
func (s *Steerer) TakeEvacuations(now clock.Millis, later evacuation.Snapshot) bool {
	known := &s.Targets.evacuated
	first := !known.Known() && later.Known()
	d := known.Update(later)
	s.noteEvacuations(d.Added, "evacuated")
	s.noteEvacuations(d.Removed, "no longer evacuated")
	changed := first || d.HasChanges()
	if changed {
		s.retry(now)
	}
	return changed
}

func (s *Steerer) noteEvacuations(domains []string, reason string) {
	for _, d := range domains {
		s.out.note(Event{Kind: Evacuation, Name: d, Reason: reason, Version: s.Targets.evacuated.Revision})
	}
}

// Evacuations returns the evacuations in force, as far as they are known.
func (s *Steerer) Evacuations() evacuation.Snapshot {
	return s.Targets.evacuated
}

// blind reports that it is not known yet where nothing is to be opened.
func (s *Steerer) blind() bool {
	return s.settings.Evacuates && !s.Targets.evacuated.Known()
}

// allowed reports whether flows may be opened in a failure domain.
func (ts *Targets) allowed(domain string, d *Demand) bool {
	return !ts.evacuated.Has(domain) && ts.home(domain, d.Homes)
}

// home reports whether a failure domain lies in one of the regions, where any are given.
func (ts *Targets) home(domain string, homes []string) bool {
	return len(homes) == 0 || slices.Contains(homes, ts.regions[domain])
}

// usable reports whether the target may be chosen for the flow. failing tells to take one
// that fails requests as well.
func (ts *Targets) usable(now clock.Millis, t *Target, d *Demand, failing bool) bool {
	opens := t.Opens(now) || failing && t.failing(now)
	return opens && ts.allowed(t.Domain, d) && t.bears(now, d.Warming) && !slices.Contains(d.Tried, t.Address)
}

// bears reports whether a target that is slow after its start takes another opening, as
// far as is known here.
func (t *Target) bears(now clock.Millis, rate int) bool {
	if rate == 0 || now >= t.ColdUntil {
		return true
	}
	room := rate
	if t.room > 0 {
		room = t.room - 1
	}
	return t.placed+1 <= float64(room)
}

// barred says why no target of the service can take the flow, however long its caller
// waits, or nothing if one may.
func (ts *Targets) barred(now clock.Millis, d *Demand) string {
	reason := ""
	for _, t := range ts.want(now, d.Service) {
		staying := t.Condition != wire.Condition_CONDITION_DRAINING && !t.Lost(now)
		switch {
		case !ts.home(t.Domain, d.Homes):
			if reason == "" {
				reason = "no target in its home regions"
			}
		case ts.evacuated.Has(t.Domain):
			reason = "evacuated"
		case staying:
			return ""
		}
	}
	return reason
}

// warming reports that a target would take the flow if it had not just started.
func (ts *Targets) warming(now clock.Millis, d *Demand) bool {
	for _, t := range ts.want(now, d.Service) {
		if t.Opens(now) && ts.allowed(t.Domain, d) && now < t.ColdUntil {
			return d.Warming > 0
		}
	}
	return false
}
