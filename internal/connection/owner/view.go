package owner

import (
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// View is the targets of the agent's service as the agent sees them, itself
// included. It is immutable; the process replaces it as a whole.
type View struct {
	Set         *target.Set
	Self        target.ID
	Incarnation uint32
	// Changed gives, for each target of the set, when it last joined,
	// restarted, left, or changed between suspected and not.
	Changed []clock.Millis
	// Joined is when this incarnation of the target itself began.
	Joined clock.Millis
	// Removed is when a target last went out of the set.
	Removed clock.Millis
	// Window is how long a caller may resend an opening datagram.
	Window clock.Millis
}

// Unsettled reports whether an earlier copy of the caller's opening datagram
// may have found another home: some target before this one in the caller's
// order has changed within the window, or this one itself.
func (v *View) Unsettled(now clock.Millis, caller []byte) bool {
	if now.Sub(v.Removed) <= v.Window {
		return true
	}
	own := target.Score(caller, v.Self)
	for i := range v.Set.Targets {
		if now.Sub(v.Changed[i]) > v.Window {
			continue
		}
		if target.Score(caller, v.Set.Targets[i].ID) >= own {
			return true
		}
	}
	return false
}

// formerHome reports that this target may have been the flow's home shortly
// before its present incarnation, and has lost its notes.
func (v *View) formerHome(now clock.Millis, caller []byte, home target.ID) bool {
	return now.Sub(v.Joined) <= v.Window && target.Score(caller, v.Self) > target.Score(caller, home)
}

// Asked returns the next target of a search by a claimant.
//
// A suspected target behind the claimant in the caller's order never was the
// home of this flow while the claimant was there. It is left out: it may be
// dead and would swallow the search, and new flows would wait for nothing. A
// claimant that is no home itself searches because the flow may be refused;
// then everybody is asked.
//
// A suspected target may have been the home before the claimant came, be alive and own
// the flow. So everybody is asked as well for as long as a caller may send again after
// the claimant's last change.
func (v *View) Asked(now clock.Millis, caller []byte, visited []target.ID, claimant target.ID) (*target.Candidate, bool) {
	c, ok := v.Set.Next(caller, visited)
	if !ok {
		return nil, false
	}
	behind := target.Score(caller, c.ID) < target.Score(caller, claimant)
	if c.Suspected && behind && v.longHome(now, claimant) {
		return nil, false
	}
	return c, true
}

// longHome reports that a target has been a home for as long as a caller may
// send an opening datagram again, and that this one was there to see it.
func (v *View) longHome(now clock.Millis, id target.ID) bool {
	if now.Sub(v.Joined) <= v.Window {
		return false
	}
	for i := range v.Set.Targets {
		if v.Set.Targets[i].ID == id {
			return v.Set.Targets[i].AcceptsFlows() && now.Sub(v.Changed[i]) > v.Window
		}
	}
	return false
}

// suspected adds the suspected targets to the visited ones.
func (v *View) suspected(visited []target.ID) []target.ID {
	for i := range v.Set.Targets {
		if v.Set.Targets[i].Suspected {
			visited = append(visited, v.Set.Targets[i].ID)
		}
	}
	return visited
}
