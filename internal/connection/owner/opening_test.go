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

// agent is the table of one target with a view that the test sets.
type agent struct {
	name     string
	id       target.ID
	table    *owner.Table
	loads    *owner.PeerLoads
	view     *owner.View
	observer *owner.Observer
	local    owner.LocalState
}

func (a *agent) Dial(*owner.Flow, uint16) (owner.Link, error) { return link{}, nil }

type link struct{}

func (link) Send([]byte) error { return nil }
func (link) Port() uint16      { return 1 }
func (link) Close()            {}

// group is a set of targets between which the test forwards envelopes, in any
// order.
type group struct {
	t         *testing.T
	now       clock.Millis
	agents    []*agent
	caller    netip.AddrPort
	adoptions int
}

// newGroup returns a group with its agents in the caller's rendezvous order.
func newGroup(t *testing.T, n int) *group {
	g := &group{t: t, now: clock.Hour, caller: netip.MustParseAddrPort("203.0.113.9:4433")}
	names := []string{"a", "b", "c", "d", "e"}[:n]
	set := target.NewSet(1, candidates(names, nil))
	var visited []target.ID
	for range names {
		c, _ := set.Next(g.callerBytes(), visited)
		visited = append(visited, c.ID)
		g.agents = append(g.agents, &agent{name: c.Name, id: c.ID, observer: owner.NewObserver(c.ID), local: owner.LocalState{Accepting: true, Warmth: 1000}})
	}
	for _, a := range g.agents {
		a.loads = owner.NewPeerLoads(clock.Hour)
		a.table = owner.NewTable(owner.Limits{MaxFlows: 100, MaxPlacements: 1000, IdleTimeout: clock.Hour, UnansweredTimeout: clock.Hour}, a.loads)
		g.setView(a, names, nil, g.now-2*window)
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

// setView sets an agent's view of some targets, which change may modify.
func (g *group) setView(a *agent, names []string, change func(*target.Candidate), at clock.Millis) {
	a.view = a.observer.View(at, target.NewSet(1, candidates(names, change)), 1, window)
}

// setPeerFlows sets the number of flows that an agent knows of the others, which
// determines where it places a flow.
func (g *group) setPeerFlows(a *agent, flows uint32, others ...*agent) {
	for _, o := range others {
		a.loads.Update(g.now, o.id, 1, &wire.Digest{Sequence: uint64(g.now), Flows: flows, Warmth: 1000, Accepting: true})
	}
}

func (g *group) callerBytes() []byte {
	return envelope.AppendCaller(nil, g.caller)
}

// opening returns a copy of the caller's opening datagram, addressed to an agent.
func (g *group) opening(to *agent) *wire.Envelope {
	return &wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: wire.Stage_STAGE_OPEN, Service: 1, Target: to.id, Incarnation: 1,
		Caller: g.callerBytes(), Budget: 100, Payload: []byte{0x80},
	}
}

// step lets the addressed agent decide. It returns false if the datagram is not
// passed on.
func (g *group) step(e *wire.Envelope) bool {
	for _, a := range g.agents {
		if a.id != e.Target {
			continue
		}
		d := a.table.Take(owner.Arrival{Now: g.now, Envelope: e, Random: 0.5}, a.view, a.local, a)
		if d.Adopted {
			g.adoptions++
		}
		return d.Action == owner.Pass
	}
	g.t.Fatalf("no agent has the ID %d", e.Target)
	return false
}

// deliver forwards a datagram until it is not passed on any more.
func (g *group) deliver(e *wire.Envelope) {
	for range 100 {
		if !g.step(e) {
			return
		}
	}
	g.t.Fatal("the datagram is forwarded without end")
}

func (g *group) checkOneOwner() {
	g.t.Helper()
	if g.adoptions != 1 {
		g.t.Errorf("%d targets have adopted the flow, want 1", g.adoptions)
	}
}

// The first copy of an opening makes a joined target search, which leaves a search
// record at the former home, and the joined target places the flow elsewhere. The
// second copy reaches the former home through a balancer that does not know the
// joined target yet. It must go to the joined target as an opening; as a placement,
// the joined target would adopt it although the flow has an owner.
func TestSearchRecordIsNoPlacement(t *testing.T) {
	g := newGroup(t, 3)
	joined, former, third := g.agents[0], g.agents[1], g.agents[2]
	g.setView(joined, []string{"a", "b", "c"}, func(c *target.Candidate) { c.Sequence = 1 }, g.now)
	joined.local.Flows = 50
	g.setPeerFlows(joined, 0, third)
	g.deliver(g.opening(joined))
	g.setView(former, []string{former.name, third.name}, nil, g.now-window*2)
	g.setView(former, []string{"a", "b", "c"}, nil, g.now)
	g.deliver(g.opening(former))
	g.checkOneOwner()
}

// A home has placed a flow, and before its envelope arrives another home's
// search passes both targets and finds nothing. The searching home must decide,
// because it may have placed the flow elsewhere in the meantime.
func TestSearchOvertakesPlacement(t *testing.T) {
	g := newGroup(t, 3)
	first, second, third := g.agents[0], g.agents[1], g.agents[2]
	second.local.Flows = 50
	g.setPeerFlows(second, 0, third)
	g.setView(second, []string{second.name, third.name}, nil, g.now-2*window)
	placed := g.opening(second)
	g.step(placed) // second has placed on third; the envelope is in flight
	g.setView(first, []string{"a", "b", "c"}, func(c *target.Candidate) { c.Sequence = 1 }, g.now)
	g.setView(second, []string{"a", "b", "c"}, nil, g.now)
	g.deliver(g.opening(first))
	g.deliver(placed)
	g.checkOneOwner()
}

// A home searches, and during the search its view changes: another target is the
// home now. The first home must still decide about a further copy that reaches it,
// because the other one would decide without a search.
func TestSearchOutlivesViewChange(t *testing.T) {
	g := newGroup(t, 3)
	home, other := g.agents[0], g.agents[1]
	bump := func(c *target.Candidate) { c.Sequence = 1 }
	g.setView(home, []string{"a", "b", "c"}, bump, g.now)
	search := g.opening(home)
	g.step(search)
	g.setView(home, []string{"a", "b", "c"}, func(c *target.Candidate) {
		c.Sequence = 2
		c.Draining = c.ID == home.id
	}, g.now)
	copied := g.opening(home)
	g.step(copied)
	if copied.Stage != wire.Stage_STAGE_SEARCH {
		t.Errorf("the copy was passed on as %s to %d (other home %d)", copied.Stage, copied.Target, other.id)
	}
	g.deliver(search)
	g.deliver(copied)
	g.checkOneOwner()
}

// Two copies of a placement are declined by a draining target and return to the
// home. The second one must go where the first one went.
func TestDeclinedTwice(t *testing.T) {
	g := newGroup(t, 4)
	home, draining := g.agents[0], g.agents[1]
	home.local.Flows = 50
	g.setPeerFlows(home, 40, g.agents[2], g.agents[3])
	g.setPeerFlows(home, 0, draining)
	draining.local.Accepting = false
	one, two := g.opening(home), g.opening(home)
	g.step(one)
	g.step(two)
	g.step(one)
	g.step(two)
	g.deliver(one)
	g.deliver(two)
	g.checkOneOwner()
}

// All targets shed. The caller is refused, the datagram is not delivered to any
// upstream, and no flow is created.
func TestRefusedFlowIsNotDelivered(t *testing.T) {
	g := newGroup(t, 3)
	for _, a := range g.agents {
		a.local.Accepting = false
		for _, o := range g.agents {
			a.loads.Update(g.now, o.id, 1, &wire.Digest{Sequence: 1})
		}
	}
	e := g.opening(g.agents[0])
	d := g.agents[0].table.Take(owner.Arrival{Now: g.now, Envelope: e}, g.agents[0].view, g.agents[0].local, g.agents[0])
	if d.Action != owner.Refuse || g.agents[0].table.Len() != 0 {
		t.Errorf("%s with %d flows", d.Action, g.agents[0].table.Len())
	}
}

// A restarted agent imports its predecessor's flows with their ports, and its
// records of placements, so a later copy reaches the same owner.
func TestLedger(t *testing.T) {
	g := newGroup(t, 2)
	home, other := g.agents[0], g.agents[1]
	home.local.Flows = 50
	g.setPeerFlows(home, 0, other)
	g.deliver(g.opening(home))
	ledger := home.table.NewLedger(g.now, home.name, home.view)
	kept := other.table.NewLedger(g.now, other.name, other.view)
	for a, l := range map[*agent]*owner.Ledger{home: ledger, other: kept} {
		a.table = owner.NewTable(owner.Limits{MaxFlows: 100, MaxPlacements: 1000, IdleTimeout: clock.Hour, UnansweredTimeout: clock.Hour}, a.loads)
		a.table.Import(g.now, l, a)
		a.table.Import(g.now, l, a)
	}
	if other.table.Len() != 1 || len(ledger.Records) != 1 {
		t.Errorf("%d flows, %d records", other.table.Len(), len(ledger.Records))
	}
	g.deliver(g.opening(home))
	g.checkOneOwner()
}

// In a burst one target looked idle at the last digest. Each home adds what it has
// placed since, once for every home, so the burst spreads.
func TestBurstDoesNotHerd(t *testing.T) {
	g := newGroup(t, 5)
	home := g.agents[0]
	home.local.Flows = 20
	g.setPeerFlows(home, 20, g.agents[2:]...)
	g.setPeerFlows(home, 0, g.agents[1])
	placed := map[target.ID]int{}
	for range 20 {
		c, ok := home.loads.Choose(g.now, home.view, home.local, nil, 0.5)
		if !ok {
			t.Fatal("no choice")
		}
		placed[c.ID]++
	}
	if idle := placed[g.agents[1].id]; idle > 6 {
		t.Errorf("%d of 20 flows were placed on the idle target; five homes would place five times as many", idle)
	}
}

// twoSearches lets the first two targets of three each start a search for the flow, and returns
// the datagrams that carry them.
func (g *group) twoSearches(first, second *agent) (one, two *wire.Envelope) {
	g.t.Helper()
	names := []string{"a", "b", "c"}
	g.setView(first, names, func(c *target.Candidate) { c.Sequence = 1 }, g.now)
	g.setView(second, names, func(c *target.Candidate) { c.Suspected = c.ID == first.id }, g.now)
	one, two = g.opening(first), g.opening(second)
	g.step(one)
	g.step(two)
	if one.Stage != wire.Stage_STAGE_SEARCH || two.Stage != wire.Stage_STAGE_SEARCH || one.Home != first.id || two.Home != second.id {
		g.t.Fatalf("no two searches: %s of %d, %s of %d", one.Stage, one.Home, two.Stage, two.Home)
	}
	return one, two
}

// An opening is two datagrams, and a target has just joined: one reaches it, the other one the
// former home. The two searches meet. Both datagrams must reach the flow's owner: without one of
// them the upstream cannot answer, and the caller waits for its next copies.
func TestMeetingSearchesLoseNoDatagram(t *testing.T) {
	g := newGroup(t, 3)
	joined, former := g.agents[0], g.agents[1]
	one, two := g.twoSearches(joined, former)
	for two.Target != joined.id {
		g.step(two)
	}
	delivered := 0
	for _, e := range []*wire.Envelope{two, one} {
		g.deliver(e)
		for _, a := range g.agents {
			if a.table.Owns(g.caller) && e.Target == a.id {
				delivered++
			}
		}
	}
	g.checkOneOwner()
	if delivered != 2 {
		t.Errorf("%d of 2 datagrams were delivered to the owner", delivered)
	}
}

// Two homes search for one flow, and both searches are held up on their way. Neither home may
// leave the decision to the other: an opening would go back and forth between them.
func TestSlowSearchesDoNotYieldToEachOther(t *testing.T) {
	g := newGroup(t, 3)
	first, second, third := g.agents[0], g.agents[1], g.agents[2]
	one, two := g.twoSearches(first, second)
	g.now += clock.Second
	g.setView(second, []string{"a", "b", "c"}, nil, g.now)
	two.Target = first.id
	g.step(two)
	g.now += clock.Second
	one.Target, one.Visited = second.id, []target.ID{first.id, third.id}
	g.step(one)
	for _, e := range []*wire.Envelope{g.opening(first), g.opening(second), one, two} {
		g.deliver(e)
		if e.Budget < 50 {
			t.Errorf("a datagram took %d hops", 100-e.Budget)
		}
	}
	g.checkOneOwner()
}

// Two targets have records of each other's search, which were delivered late. An opening that
// comes back must be searched for, and not go back and forth.
func TestMutualSearchRecordsAreResolved(t *testing.T) {
	g := newGroup(t, 3)
	first, second := g.agents[0], g.agents[1]
	search := func(to, from *agent) {
		e := g.opening(to)
		e.Stage, e.Home, e.Visited = wire.Stage_STAGE_SEARCH, from.id, []target.ID{from.id}
		g.step(e)
	}
	search(first, second)
	search(second, first)
	e := g.opening(first)
	g.deliver(e)
	if e.Budget < 50 {
		t.Errorf("the opening took %d hops", 100-e.Budget)
	}
	g.deliver(g.opening(second))
	g.checkOneOwner()
}
