package owner

import (
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// View is the set of targets of the agent's service as the agent sees them,
// including its own. It is immutable; the process replaces it as a whole.
type View struct {
	Set         *target.Set
	Self        target.ID
	Incarnation uint32
	// ChangedAt is, for each target of the set, when it last joined,
	// restarted, left, or changed between suspected and not.
	ChangedAt []clock.Millis
	// JoinedAt is when the present incarnation of this target began.
	JoinedAt clock.Millis
	// LastRemoved is when a target was last removed from the set.
	LastRemoved clock.Millis
	// ResendWindow is how long a caller may resend an opening datagram.
	ResendWindow clock.Millis
}

// HomeMayHaveChanged reports whether an earlier copy of the caller's opening
// datagram may have gone to another home: this target, or one before it in the
// caller's order, has changed within the resend window, or a target was removed.
func (v *View) HomeMayHaveChanged(now clock.Millis, caller []byte) bool {
	if now.Sub(v.LastRemoved) <= v.ResendWindow {
		return true
	}
	own := target.Score(caller, v.Self)
	for i := range v.Set.Targets {
		if now.Sub(v.ChangedAt[i]) > v.ResendWindow {
			continue
		}
		if target.Score(caller, v.Set.Targets[i].ID) >= own {
			return true
		}
	}
	return false
}

// formerHome reports whether this target may have been the flow's home shortly
// before its present incarnation, and has lost its records.
func (v *View) formerHome(now clock.Millis, caller []byte, home target.ID) bool {
	return now.Sub(v.JoinedAt) <= v.ResendWindow && target.Score(caller, v.Self) > target.Score(caller, home)
}

// NextSearched returns the next target of a search by a searcher.
//
// A suspected target after the searcher in the caller's order was never the
// home of this flow while the searcher was present. It is skipped: it may be
// dead, and the search would be lost there and delay new flows needlessly. A
// searcher that is not a home searches because the flow may be refused; then
// every target is asked.
//
// A suspected target may have been the home before the searcher joined, be alive and own
// the flow. So every target is also asked until the resend window after the searcher's
// last change is over.
func (v *View) NextSearched(now clock.Millis, caller []byte, visited []target.ID, searcher target.ID) (*target.Candidate, bool) {
	c, ok := v.Set.Next(caller, visited)
	if !ok {
		return nil, false
	}
	after := target.Score(caller, c.ID) < target.Score(caller, searcher)
	if c.Suspected && after && v.stableHome(now, searcher) {
		return nil, false
	}
	return c, true
}

// stableHome reports whether a target has been able to open flows for the whole
// resend window, and this target has been present for as long.
func (v *View) stableHome(now clock.Millis, id target.ID) bool {
	if now.Sub(v.JoinedAt) <= v.ResendWindow {
		return false
	}
	for i := range v.Set.Targets {
		if v.Set.Targets[i].ID == id {
			return v.Set.Targets[i].AcceptsFlows() && now.Sub(v.ChangedAt[i]) > v.ResendWindow
		}
	}
	return false
}

// appendSuspected appends the suspected targets to the visited ones.
func (v *View) appendSuspected(visited []target.ID) []target.ID {
	for i := range v.Set.Targets {
		if v.Set.Targets[i].Suspected {
			visited = append(visited, v.Set.Targets[i].ID)
		}
	}
	return visited
}
