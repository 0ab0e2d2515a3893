package owner_test

import (
	"slices"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// What a home has decided before a target was restarted may be outdated when the target's
// successor receives it: it would open a flow that another target has.
func TestRetainedCopiesDecideNothing(t *testing.T) {
	const home, visited = target.ID(7), target.ID(8)
	for _, c := range []struct {
		stage, want wire.Stage
		visited     []target.ID
		retained    bool
	}{
		{wire.Stage_STAGE_OWNED, wire.Stage_STAGE_OWNED, []target.ID{visited}, true},
		{wire.Stage_STAGE_OPEN, wire.Stage_STAGE_OPEN, []target.ID{visited}, true},
		{wire.Stage_STAGE_SEARCH, wire.Stage_STAGE_SEARCH, []target.ID{home}, true},
		{wire.Stage_STAGE_SEARCHED, wire.Stage_STAGE_OPEN, nil, true},
		{wire.Stage_STAGE_DECLINED, wire.Stage_STAGE_OPEN, nil, true},
		{wire.Stage_STAGE_PLACED, wire.Stage_STAGE_PLACED, []target.ID{visited}, false},
	} {
		e := &wire.Envelope{Stage: c.stage, Home: home, Visited: []target.ID{visited}}
		if got := owner.PrepareRetained(e); got != c.retained || e.Stage != c.want || !slices.Equal(e.Visited, c.visited) {
			t.Errorf("%s: %t as %s, visited %v", c.stage, got, e.Stage, e.Visited)
		}
	}
}

// A caller is refused, and a copy of its opening still waits for a restarted target. It must not
// be opened later, neither by the home that has refused nor by that home's successor.
func TestLateCopyOfRefusedFlowIsNotOpened(t *testing.T) {
	g := newGroup(t, 2)
	home := g.agents[0]
	for _, a := range g.agents {
		a.local.Accepting = false
	}
	g.deliver(g.opening(home))
	ledger := home.table.NewLedger(g.now, home.name, home.view)
	successor := owner.NewTable(owner.Limits{MaxFlows: 100, MaxPlacements: 1000, IdleTimeout: clock.Hour, UnansweredTimeout: clock.Hour}, home.loads)
	successor.Import(g.now, ledger, home)
	for _, a := range g.agents {
		a.local.Accepting = true
	}
	g.now += 2 * clock.Second
	for _, table := range []*owner.Table{home.table, successor} {
		home.table = table
		late := g.opening(home)
		late.Age = 2000
		g.deliver(late)
		search := g.opening(home)
		search.Stage, search.Home, search.Age = wire.Stage_STAGE_SEARCH, g.agents[1].id, 2000
		g.deliver(search)
		if g.adoptions != 0 {
			t.Error("a flow was opened after its caller was refused")
		}
	}
	g.deliver(g.opening(home))
	g.checkOneOwner()
}

// The process that held a flow's owner in suspicion is told nothing by a copy that has waited:
// its caller has not sent it again. The search must ask the suspected target, which has the flow.
func TestLateCopyAsksSuspectedTarget(t *testing.T) {
	g := newGroup(t, 2)
	home, other := g.agents[0], g.agents[1]
	names := []string{"a", "b"}
	g.setView(home, names, func(c *target.Candidate) { c.Sequence = 1 }, g.now)
	home.local.Flows = 50
	g.setPeerFlows(home, 0, other)
	g.step(g.opening(home))
	placed := g.opening(other)
	placed.Stage, placed.Home = wire.Stage_STAGE_PLACED, home.id
	g.deliver(placed)
	g.now += clock.Second
	g.setView(home, names, func(c *target.Candidate) { c.Sequence, c.Suspected = 1, c.ID == other.id }, g.now)
	late := g.opening(home)
	late.Age = 1000
	g.deliver(late)
	g.checkOneOwner()
}
