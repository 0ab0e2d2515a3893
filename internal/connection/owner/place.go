package owner

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// place chooses the least loaded target for a flow that nobody owns.
func (t *Table) place(p *packet) Decision {
	p.own.Accepting = p.own.Accepting && !t.full()
	var skip []target.ID
	if p.e.Stage == wire.Stage_STAGE_DECLINED {
		skip = p.e.Visited
	}
	choice, ok := t.loads.Choose(p.now, p.view, p.own, skip, p.random)
	if !ok {
		return p.refuse()
	}
	if choice.ID == p.view.Self {
		return t.adopt(p, p.view.Self)
	}
	p.shard.memory.Add(p.caller, note{to: choice.ID, at: p.now})
	if skip == nil {
		p.e.Visited = p.e.Visited[:0]
	}
	p.visit()
	p.e.Home = p.view.Self
	p.e.Stage = wire.Stage_STAGE_PLACED
	return p.pass(choice)
}

// together is how long copies of one opening may be under way side by side.
const together = 500 * clock.Millis(1)

// refuse tells the caller that nothing ran, and remembers it.
//
// All copies of an opening get the same answer, or one would be placed after its caller
// has given up. A caller that tries again after that is a new flow.
func (p *packet) refuse() Decision {
	p.shard.memory.Add(p.caller, note{to: p.view.Self, at: p.now, refused: true})
	return Decision{Action: Refuse, Reason: NoTarget}
}

// placed adopts a flow that its home has placed here, or declines it: the
// target drains, sheds or is full, and the home did not know.
//
// A placement that was overtaken by another home's search is that home's to
// decide: the search has passed here and found nothing, so the other one may
// have placed the flow elsewhere already.
func (t *Table) placed(p *packet) Decision {
	if n, ok := p.shard.memory.Peek(p.caller); ok && n.mark && n.to != p.e.Home {
		if d, ok := t.follow(p); ok {
			return d
		}
	}
	if p.own.Accepting && !t.full() {
		return t.adopt(p, p.e.Home)
	}
	home, ok := p.view.Set.Find(p.e.Home)
	if !ok || home.ID == p.view.Self {
		return p.refuse()
	}
	// The home takes its own identity out of the visited ones by deciding
	// again; this target stays in, so it is not chosen twice.
	p.visit()
	p.e.Visited = slices.DeleteFunc(p.e.Visited, func(id target.ID) bool { return id == home.ID })
	p.e.Stage = wire.Stage_STAGE_DECLINED
	return p.pass(home)
}

// declined chooses another target. The search, where one was due, has been
// made before the first choice.
func (t *Table) declined(p *packet) Decision {
	if d, ok := t.follow(p); ok {
		return d
	}
	return t.place(p)
}
