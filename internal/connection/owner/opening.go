package owner

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// open brings an opening datagram to the flow's home, or decides as the home.
func (t *Table) open(p *packet) Decision {
	if d, ok := t.follow(p); ok {
		return d
	}
	if p.claimed(p.view.Window) || p.remembered() {
		// This target's search is under way, or it placed the flow on a
		// target that it cannot follow to. Whoever is the home in today's
		// view knows less: passed on, the copy would be decided about twice.
		return t.claim(p)
	}
	home, ok := p.view.Set.Home(p.e.Caller)
	if ok && p.view.formerHome(p.now, p.e.Caller, home.ID) {
		return t.claim(p)
	}
	if ok && home.ID != p.view.Self && !slices.Contains(p.e.Visited, home.ID) {
		p.visit()
		return p.pass(home)
	}
	if p.view.Unsettled(p.now, p.e.Caller) {
		return t.claim(p)
	}
	return t.place(p)
}

// follow sends a resent opening datagram after the first copy, as long as the
// note of it is young.
//
// An old note proves nothing: the flow may have ended and a new one of the
// same addresses been placed elsewhere by another home. It only makes the home
// search before it decides.
func (t *Table) follow(p *packet) (Decision, bool) {
	n, ok := p.shard.memory.Get(p.caller)
	if !ok || p.now.Sub(n.at) > p.view.Window {
		return Decision{}, false
	}
	if n.refused {
		return Decision{Action: Refuse, Reason: NoTarget}, p.now.Sub(n.at) <= together
	}
	if p.strange(n) {
		return Decision{Reason: Contested}, true
	}
	if n.mark {
		return p.yield(n)
	}
	c, ok := p.view.Set.Find(n.to)
	if !ok || c.Suspected || p.declinedBy(n.to) {
		// A dead target would swallow every copy. The home searches
		// instead and, if nobody answers, chooses again.
		return Decision{}, false
	}
	if p.e.Stage != wire.Stage_STAGE_DECLINED {
		// What a search has visited has declined nothing.
		p.e.Visited = p.e.Visited[:0]
	}
	p.visit()
	p.e.Stage = wire.Stage_STAGE_PLACED
	p.e.Home = p.view.Self
	return p.pass(c), true
}

// yield leaves the decision to the home that a mark names.
//
// A mark names the home that decides, not the target that it chose: sent there
// as placed, the copy would be adopted by the home itself beside the target
// that has adopted the first one. The copy may have come through that home
// already, before it began to search, so it goes there all the same; this
// target stays in the list of visited ones, so it does not come back here.
func (p *packet) yield(n note) (Decision, bool) {
	c, ok := p.view.Set.Find(n.to)
	if !ok || c.Suspected || n.to == p.view.Self {
		return Decision{}, false
	}
	p.e.Visited = append(p.e.Visited[:0], p.view.Self)
	p.e.Stage = wire.Stage_STAGE_OPEN
	return p.pass(c), true
}

// NewsLag bounds how long a target may not know of another one.
//
// Two that do not know each other would each be the home of a flow and open it. So a
// target that starts without a predecessor's flows opens none for this long: it is
// walked and asked like a draining one, and all hear of it.
const NewsLag = 3 * clock.Second

// strange reports a young mark of a home that this target has not heard of yet,
// or suspects.
//
// That home may have decided about the first copy, so this one is dropped; by the
// caller's next one the news is here.
func (p *packet) strange(n note) bool {
	c, known := p.view.Set.Find(n.to)
	return n.mark && (!known || c.Suspected) && p.now.Sub(n.at) <= NewsLag
}

// remembered reports an old note of the flow. A placement that was declined
// is no such note: its target is among the visited ones.
func (p *packet) remembered() bool {
	n, ok := p.shard.memory.Peek(p.caller)
	return ok && n.to != p.view.Self && !p.declinedBy(n.to)
}

// declinedBy reports that the datagram comes back from a target that did not
// take it. In the other stages the visited targets only passed it on.
func (p *packet) declinedBy(id target.ID) bool {
	return p.e.Stage == wire.Stage_STAGE_DECLINED && slices.Contains(p.e.Visited, id)
}
