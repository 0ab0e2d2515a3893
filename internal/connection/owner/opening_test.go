package owner_test

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const window = 10 * clock.Second

// agent is one target's table with a view that the test sets.
type agent struct {
	name  string
	id    target.ID
	table *owner.Table
	loads *owner.Loads
	view  *owner.View
	seen  *owner.Observer
	own   owner.Own
}

func (a *agent) Dial(*owner.Flow, uint16) (owner.Link, error) { return link{}, nil }

type link struct{}

func (link) Send([]byte) error { return nil }
func (link) Port() uint16      { return 1 }
func (link) Close()            {}

// group is a few targets that the test moves envelopes between by hand, in
// whatever order it wants.
type group struct {
	t      *testing.T
	now    clock.Millis
	agents []*agent
	caller netip.AddrPort
	adopts int
}

// newGroup returns agents in the order in which the caller ranks them.
func newGroup(t *testing.T, n int) *group {
	g := &group{t: t, now: clock.Hour, caller: netip.MustParseAddrPort("203.0.113.9:4433")}
	names := []string{"a", "b", "c", "d", "e"}[:n]
	set := target.NewSet(1, candidates(names, nil))
	var visited []target.ID
	for range names {
		c, _ := set.Next(g.wire(), visited)
		visited = append(visited, c.ID)
		g.agents = append(g.agents, &agent{name: c.Name, id: c.ID, seen: owner.NewObserver(c.ID), own: owner.Own{Accepting: true, Warmth: 1000}})
	}
	for _, a := range g.agents {
		a.loads = owner.NewLoads(clock.Hour)
		a.table = owner.NewTable(owner.Limits{Flows: 100, Memory: 1000, Idle: clock.Hour, Opening: clock.Hour}, a.loads)
		g.look(a, names, nil, g.now-2*window)
	}
	return g
}

func candidates(names []string, change func(*target.Candidate)) []target.Candidate {
	var all []target.Candidate
	for _, name := range names {
		c := target.Candidate{ID: target.IDFromName(name), Name: name, Incarnation: 1}
		if change != nil {
			change(&c)
		}
		all = append(all, c)
	}
	return all
}

// look gives an agent a view of some targets, changed where the test wants.
func (g *group) look(a *agent, names []string, change func(*target.Candidate), at clock.Millis) {
	a.view = a.seen.View(at, target.NewSet(1, candidates(names, change)), 1, window)
}

// busy makes an agent believe that the others have more flows than it, or
// fewer, so that the test knows where it places.
func (g *group) busy(a *agent, flows uint32, others ...*agent) {
	for _, o := range others {
		a.loads.Note(g.now, o.id, 1, &wire.Digest{Sequence: uint64(g.now), Flows: flows, Warmth: 1000, Accepting: true})
	}
}

func (g *group) wire() []byte {
	return envelope.AppendCaller(nil, g.caller)
}

// opening is a copy of the caller's opening datagram, addressed to an agent.
func (g *group) opening(to *agent) *wire.Envelope {
	return &wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: wire.Stage_STAGE_OPEN, Service: 1, Target: to.id, Incarnation: 1,
		Caller: g.wire(), Budget: 100, Payload: []byte{0x80},
	}
}

// step lets the addressed agent decide. It returns false at the end of the way.
func (g *group) step(e *wire.Envelope) bool {
	for _, a := range g.agents {
		if a.id != e.Target {
			continue
		}
		d := a.table.Take(owner.Arrival{Now: g.now, Envelope: e, Random: 0.5}, a.view, a.own, a)
		if d.Adopted {
			g.adopts++
		}
		return d.Action == owner.Pass
	}
	g.t.Fatalf("nobody is %d", e.Target)
	return false
}

// finish lets a datagram go on to the end of its way.
func (g *group) finish(e *wire.Envelope) {
	for range 100 {
		if !g.step(e) {
			return
		}
	}
	g.t.Fatal("the datagram goes round for ever")
}

func (g *group) oneOwner() {
	g.t.Helper()
	if g.adopts != 1 {
		g.t.Errorf("%d targets have adopted the flow", g.adopts)
	}
}

// The first copy of an opening makes a joined target search and be marked at
// the former home, and the joined target places the flow elsewhere. The second
// copy comes to the former home through a balancer that has not heard of the
// new one. It follows the mark; sent on as a placement, it would be adopted by
// the joined target beside the owner.
func TestMarkIsNoPlacement(t *testing.T) {
	g := newGroup(t, 3)
	joined, former, third := g.agents[0], g.agents[1], g.agents[2]
	g.look(joined, []string{"a", "b", "c"}, func(c *target.Candidate) { c.Sequence = 1 }, g.now)
	joined.own.Flows = 50
	g.busy(joined, 0, third)
	g.finish(g.opening(joined))
	g.look(former, []string{former.name, third.name}, nil, g.now-window*2)
	g.look(former, []string{"a", "b", "c"}, nil, g.now)
	g.finish(g.opening(former))
	g.oneOwner()
}

// A home has placed a flow, and before its envelope arrives another home's
// search passes both of them and finds nothing. The placement is left to the
// searching home, which may have placed the flow elsewhere by then.
func TestSearchOvertakesPlacement(t *testing.T) {
	g := newGroup(t, 3)
	first, second, third := g.agents[0], g.agents[1], g.agents[2]
	second.own.Flows = 50
	g.busy(second, 0, third)
	g.look(second, []string{second.name, third.name}, nil, g.now-2*window)
	placed := g.opening(second)
	g.step(placed) // second has placed on third; the envelope is under way
	g.look(first, []string{"a", "b", "c"}, func(c *target.Candidate) { c.Sequence = 1 }, g.now)
	g.look(second, []string{"a", "b", "c"}, nil, g.now)
	g.finish(g.opening(first))
	g.finish(placed)
	g.oneOwner()
}

// A home searches, and while its search is under way its view changes: another
// target is the home now. A further copy that comes to it is still its own to
// decide, for the other one would decide at once.
func TestClaimIsKept(t *testing.T) {
	g := newGroup(t, 3)
	home, other := g.agents[0], g.agents[1]
	bump := func(c *target.Candidate) { c.Sequence = 1 }
	g.look(home, []string{"a", "b", "c"}, bump, g.now)
	search := g.opening(home)
	g.step(search)
	g.look(home, []string{"a", "b", "c"}, func(c *target.Candidate) {
		c.Sequence = 2
		c.Draining = c.ID == home.id
	}, g.now)
	copied := g.opening(home)
	g.step(copied)
	if copied.Stage != wire.Stage_STAGE_SEARCH {
		t.Errorf("the copy went on as %s to %d (other home %d)", copied.Stage, copied.Target, other.id)
	}
	g.finish(search)
	g.finish(copied)
	g.oneOwner()
}

// Two copies of a placement are declined by a draining target, and both come
// back. The second one goes where the first one went.
func TestDeclinedTwice(t *testing.T) {
	g := newGroup(t, 4)
	home, draining := g.agents[0], g.agents[1]
	home.own.Flows = 50
	g.busy(home, 40, g.agents[2], g.agents[3])
	g.busy(home, 0, draining)
	draining.own.Accepting = false
	one, two := g.opening(home), g.opening(home)
	g.step(one)
	g.step(two)
	g.step(one)
	g.step(two)
	g.finish(one)
	g.finish(two)
	g.oneOwner()
}

// All targets shed. The caller is refused, and no upstream has been handed
// anything; the refused datagram leaves no flow behind.
func TestRefusedRanNowhere(t *testing.T) {
	g := newGroup(t, 3)
	for _, a := range g.agents {
		a.own.Accepting = false
		for _, o := range g.agents {
			a.loads.Note(g.now, o.id, 1, &wire.Digest{Sequence: 1})
		}
	}
	e := g.opening(g.agents[0])
	d := g.agents[0].table.Take(owner.Arrival{Now: g.now, Envelope: e}, g.agents[0].view, g.agents[0].own, g.agents[0])
	if d.Action != owner.Refuse || g.agents[0].table.Len() != 0 {
		t.Errorf("%s with %d flows", d.Action, g.agents[0].table.Len())
	}
}

// A restarted agent takes its predecessor's flows up with their ports, and what
// it remembers of placements, so a copy that follows ends at the same owner.
func TestLedger(t *testing.T) {
	g := newGroup(t, 2)
	home, other := g.agents[0], g.agents[1]
	home.own.Flows = 50
	g.busy(home, 0, other)
	g.finish(g.opening(home))
	ledger := home.table.NewLedger(g.now, home.name, home.view)
	kept := other.table.NewLedger(g.now, other.name, other.view)
	for a, l := range map[*agent]*owner.Ledger{home: ledger, other: kept} {
		a.table = owner.NewTable(owner.Limits{Flows: 100, Memory: 1000, Idle: clock.Hour, Opening: clock.Hour}, a.loads)
		a.table.Import(g.now, l, a)
		a.table.Import(g.now, l, a)
	}
	if other.table.Len() != 1 || len(ledger.Notes) != 1 {
		t.Errorf("%d flows, %d notes", other.table.Len(), len(ledger.Notes))
	}
	g.finish(g.opening(home))
	g.oneOwner()
}

// A burst meets one target that looked idle at the last digest. Each home adds
// what it placed since, once for every home, so the burst spreads.
func TestBurstDoesNotHerd(t *testing.T) {
	g := newGroup(t, 5)
	home := g.agents[0]
	home.own.Flows = 20
	g.busy(home, 20, g.agents[2:]...)
	g.busy(home, 0, g.agents[1])
	placed := map[target.ID]int{}
	for range 20 {
		c, ok := home.loads.Choose(g.now, home.view, home.own, nil, 0.5)
		if !ok {
			t.Fatal("no choice")
		}
		placed[c.ID]++
	}
	if idle := placed[g.agents[1].id]; idle > 6 {
		t.Errorf("%d of 20 flows went to the idle one; five homes would send five times as many", idle)
	}
}
