package owner

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// place chooses the least loaded target for a flow that no target owns.
func (t *Table) place(p *packet) Decision {
	p.local.Accepting = p.local.Accepting && !t.full()
	var skip []target.ID
	if p.e.Stage == wire.Stage_STAGE_DECLINED {
		skip = p.e.Visited
	}
	choice, ok := t.loads.Choose(p.now, p.view, p.local, skip, p.random)
	if !ok {
		return p.refuse()
	}
	if choice.ID == p.view.Self {
		return t.adopt(p, p.view.Self)
	}
	p.shard.records.Add(p.caller, record{to: choice.ID, recordedAt: p.now})
	if skip == nil {
		p.e.Visited = p.e.Visited[:0]
	}
	p.markVisited()
	p.e.Home = p.view.Self
	p.e.Stage = wire.Stage_STAGE_PLACED
	return p.pass(choice)
}

// maxCopySkew bounds the time between the arrivals of copies of one opening.
const maxCopySkew = 500 * clock.Millis(1)

// refuse refuses the flow and records that.
//
// All copies of an opening get the same answer; otherwise one could be placed after its
// caller has given up. A caller that tries again after maxCopySkew opens a new flow.
func (p *packet) refuse() Decision {
	p.shard.records.Add(p.caller, record{to: p.view.Self, recordedAt: p.now, refused: true})
	return Decision{Action: Refuse, Reason: NoTarget}
}

// handlePlaced adopts a flow that its home has placed here, or declines it: the
// target drains, sheds or is full, and the home did not know.
//
// If another home's search has overtaken the placement, that home decides: its
// search has passed here and found nothing, so it may have placed the flow
// elsewhere already.
func (t *Table) handlePlaced(p *packet) Decision {
	if r, ok := p.shard.records.Peek(p.caller); ok && r.searching && r.to != p.e.Home {
		if d, ok := t.followRecord(p); ok {
			return d
		}
	}
	if p.local.Accepting && !t.full() {
		return t.adopt(p, p.e.Home)
	}
	home, ok := p.view.Set.Find(p.e.Home)
	if !ok || home.ID == p.view.Self {
		return p.refuse()
	}
	// The home is removed from the visited targets, because it decides
	// again; this target stays in, so it is not chosen twice.
	p.markVisited()
	p.e.Visited = slices.DeleteFunc(p.e.Visited, func(id target.ID) bool { return id == home.ID })
	p.e.Stage = wire.Stage_STAGE_DECLINED
	return p.pass(home)
}

// handleDeclined chooses another target. If a search was needed, it preceded
// the first choice.
func (t *Table) handleDeclined(p *packet) Decision {
	if d, ok := t.followRecord(p); ok {
		return d
	}
	return t.place(p)
}
