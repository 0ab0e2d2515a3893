package owner

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// handleOpen passes an opening datagram to the flow's home, or decides as the home.
func (t *Table) handleOpen(p *packet) Decision {
	if d, ok := t.followRecord(p); ok {
		return d
	}
	if p.isSearching(p.view.ResendWindow) || p.hasRecord() {
		// This target is searching, or it placed the flow on a target that
		// the copy cannot be sent to. The home in the present view knows
		// less: if the copy were passed on, two targets would decide.
		return t.startSearch(p)
	}
	home, ok := p.view.Set.Home(p.e.Caller)
	if ok && p.view.formerHome(p.now, p.e.Caller, home.ID) {
		return t.startSearch(p)
	}
	if ok && home.ID != p.view.Self && !slices.Contains(p.e.Visited, home.ID) {
		p.markVisited()
		return p.pass(home)
	}
	if p.age() > 0 || p.view.HomeMayHaveChanged(p.now, p.e.Caller) {
		return t.startSearch(p)
	}
	return t.place(p)
}

// followRecord sends a resent opening datagram to where the first copy went, as
// long as the record of that is within the resend window.
//
// An older record proves nothing: the flow may have ended and another home may
// have placed a new one of the same addresses elsewhere. It only makes the home
// search before it decides.
func (t *Table) followRecord(p *packet) (Decision, bool) {
	r, ok := p.shard.records.Get(p.caller)
	if !ok || p.now.Sub(r.recordedAt) > p.view.ResendWindow {
		return Decision{}, false
	}
	if r.refused {
		return Decision{Action: Refuse, Reason: NoTarget}, p.refusedSince(r)
	}
	if p.searcherUnavailable(r) {
		return Decision{Reason: ConcurrentSearch}, true
	}
	if r.searching {
		return p.forwardToSearcher(r)
	}
	c, ok := p.view.Set.Find(r.to)
	if !ok || c.Suspected || c.Leaving || p.declinedBy(r.to) {
		// Every copy would be lost at a dead target. The home searches
		// instead and, if no target answers, chooses again. The search asks
		// the successor of a leaving target.
		return Decision{}, false
	}
	if p.e.Stage != wire.Stage_STAGE_DECLINED {
		// Targets that a search has visited have not declined the flow.
		p.e.Visited = p.e.Visited[:0]
	}
	p.markVisited()
	p.e.Stage = wire.Stage_STAGE_PLACED
	p.e.Home = p.view.Self
	return p.pass(c), true
}

// forwardToSearcher leaves the decision to the home that a search record names.
//
// A search record names the home that decides, not the target that it chose: if
// the copy were sent there as placed, the home would adopt it in addition to the
// target that has adopted the first one. An opening that the home itself has passed
// on is not sent back: the home leaves the decision to others, so this target searches.
func (p *packet) forwardToSearcher(r record) (Decision, bool) {
	c, ok := p.view.Set.Find(r.to)
	if !ok || c.Suspected || r.to == p.view.Self {
		return Decision{}, false
	}
	if p.e.Stage == wire.Stage_STAGE_OPEN && slices.Contains(p.e.Visited, r.to) {
		return Decision{}, false
	}
	p.e.Visited = append(p.e.Visited[:0], p.view.Self)
	p.e.Stage = wire.Stage_STAGE_OPEN
	return p.pass(c), true
}

// MaxPropagationDelay bounds how long a target may not know of another one.
//
// Two targets that do not know each other would both be the home of a flow and open
// it. So a target that starts without a predecessor's flows opens none for this long:
// like a draining one it still gets owned datagrams and searches, and all targets
// learn of it.
const MaxPropagationDelay = 3 * clock.Second

// searcherUnavailable reports whether r is a recent search record of a home that
// this target does not know yet, or suspects.
//
// That home may have decided about the first copy, so this one is dropped; when
// the caller resends, this target will have learned of the home.
func (p *packet) searcherUnavailable(r record) bool {
	c, known := p.view.Set.Find(r.to)
	return r.searching && (!known || c.Suspected) && p.now.Sub(r.recordedAt) <= MaxPropagationDelay
}

// hasRecord reports whether there is a record of the flow that names another
// target. A placement that this datagram was declined for does not count.
func (p *packet) hasRecord() bool {
	r, ok := p.shard.records.Peek(p.caller)
	return ok && r.to != p.view.Self && !p.declinedBy(r.to)
}

// declinedBy reports whether the target has declined the datagram. In the other
// stages the visited targets have only passed it on.
func (p *packet) declinedBy(id target.ID) bool {
	return p.e.Stage == wire.Stage_STAGE_DECLINED && slices.Contains(p.e.Visited, id)
}
