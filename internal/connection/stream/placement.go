package stream

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// PlacementRequest describes a new flow that needs a target.
type PlacementRequest struct {
	Service string
	// HomeRegions are the regions in which the flow may be served; empty for any.
	HomeRegions []string
	// WarmingRate is the number of openings a second that a target of the service accepts
	// while it is slow after its start; zero for no limit.
	WarmingRate int
	// Class describes the flow's requests; nil if it is not known.
	Class *routing.Class
	// IgnoreRefusals also permits targets that refuse the class by their last report.
	IgnoreRefusals bool
	// RemoteOnly excludes the targets of the balancer's own failure domain.
	RemoteOnly bool
	// Tried are the agents to which the opening was already sent.
	Tried []netip.AddrPort
}

// UpdateEvacuations applies evacuations read from the store or received from another
// balancer. It reports whether they changed or are known for the first time.
func (s *Steerer) UpdateEvacuations(now clock.Millis, later evacuation.Snapshot) bool {
	known := &s.Targets.evacuated
	first := !known.Known() && later.Known()
	d := known.Update(later)
	s.recordEvacuations(d.Added, "evacuated")
	s.recordEvacuations(d.Removed, "no longer evacuated")
	changed := first || d.HasChanges()
	if changed {
		s.retryQueued(now)
	}
	return changed
}

func (s *Steerer) recordEvacuations(domains []string, reason string) {
	for _, d := range domains {
		s.out.record(Event{Kind: Evacuation, Name: d, Reason: reason, Version: s.Targets.evacuated.Revision})
	}
}

// Evacuations returns the known evacuations in force.
func (s *Steerer) Evacuations() evacuation.Snapshot {
	return s.Targets.evacuated
}

// evacuationsUnknown reports whether the balancer does not know yet which failure domains
// are evacuated.
func (s *Steerer) evacuationsUnknown() bool {
	return s.settings.AwaitEvacuations && !s.Targets.evacuated.Known()
}

// allowed reports whether flows may be opened in a failure domain.
func (ts *Targets) allowed(domain string, req *PlacementRequest) bool {
	return !ts.evacuated.Has(domain) && ts.inHomeRegion(domain, req.HomeRegions)
}

// inHomeRegion reports whether a failure domain lies in one of the regions; true if there
// are none.
func (ts *Targets) inHomeRegion(domain string, homes []string) bool {
	return len(homes) == 0 || slices.Contains(homes, ts.regions[domain])
}

// usable reports whether the target may be chosen for the flow. failing also permits
// targets that fail requests.
func (ts *Targets) usable(now clock.Millis, t *Target, req *PlacementRequest, failing bool) bool {
	opens := t.AcceptsFlows(now) || failing && t.failing(now)
	admits := req.IgnoreRefusals || !t.refuses(now, req.Class)
	reachable := !req.RemoteOnly || t.Domain != ts.domain
	return opens && admits && reachable && ts.allowed(t.Domain, req) && t.hasRoom(now, req.WarmingRate) && !slices.Contains(req.Tried, t.Address)
}

// hasRoom reports whether a target that is slow after its start accepts another opening, as
// far as this balancer knows.
func (t *Target) hasRoom(now clock.Millis, rate int) bool {
	if rate == 0 || now >= t.ColdUntil {
		return true
	}
	room := rate
	if t.room > 0 {
		room = t.room - 1
	}
	return t.placed+1 <= float64(room)
}

// blockedReason returns why no target of the service can ever accept the flow, or "" if one
// may.
func (ts *Targets) blockedReason(now clock.Millis, req *PlacementRequest) string {
	reason := ""
	for _, t := range ts.useService(now, req.Service) {
		staying := t.Condition != wire.Condition_CONDITION_DRAINING && !t.Lost(now)
		switch {
		case !ts.inHomeRegion(t.Domain, req.HomeRegions):
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

// anyWarming reports whether a target would accept the flow if it had not just started.
func (ts *Targets) anyWarming(now clock.Millis, req *PlacementRequest) bool {
	for _, t := range ts.useService(now, req.Service) {
		if t.AcceptsFlows(now) && ts.allowed(t.Domain, req) && now < t.ColdUntil {
			return req.WarmingRate > 0
		}
	}
	return false
}
