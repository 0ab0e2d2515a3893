package stream

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// evacuating returns a balancer of failure domain a, with a target in each of some domains,
// that has run for long and knows the evacuations.
func evacuating(t *testing.T, table *routing.Table, evacuated []string, domains ...string) *Steerer {
	t.Helper()
	s := NewSteerer(testNow-clock.Minute, Settings{
		Domain: "a", Regions: map[string]string{"a": "north", "b": "north", "c": "south"}, Evacuates: true,
		Flows: 1000, FlowLife: worldLife,
	})
	s.SetTable(testNow, table)
	for i, d := range domains {
		r := ready(1, 1)
		r.Domain, r.Slots = d, 4
		s.Hear(testNow, worldAddress(2, i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
	}
	s.TakeEvacuations(testNow, evacuation.New(5, evacuated))
	s.Take()
	return s
}

// openedAt counts the openings that were sent to each target.
func openedAt(out Outcome, targets int) []int {
	counts := make([]int, targets)
	for _, send := range out.Sends {
		for i := range counts {
			if send.Parcel.Verb == wire.Verb_VERB_OPEN && send.To == worldAddress(2, i) {
				counts[i]++
			}
		}
	}
	return counts
}

// A failure domain is evacuated at the peak: from the order on nothing is opened there, by
// balancers that live in it as by others, until it is withdrawn.
func TestNothingOpensWhereEvacuated(t *testing.T) {
	s := evacuating(t, oneListener(t), []string{"a"}, "a", "b")
	for i := range 100 {
		opens(s, testNow, i)
	}
	if got := openedAt(s.Take(), 2); got[0] != 0 || got[1] != 100 {
		t.Errorf("openings went %v", got)
	}
	s.TakeEvacuations(testNow, evacuation.New(4, nil))
	opens(s, testNow, 200)
	if got := openedAt(s.Take(), 2); got[0] != 0 {
		t.Error("an older word has undone the order")
	}
	s.TakeEvacuations(testNow, evacuation.New(6, nil))
	opens(s, testNow, 201)
	if got := openedAt(s.Take(), 2); got[0] != 1 {
		t.Error("the order was withdrawn, and nothing is opened")
	}
}

// Every failure domain is evacuated, or no target is in a home region of the listener: the
// caller is told at once that nothing has run, and does not wait until its deadline.
func TestRefusedAtOnceWhereNothingMayOpen(t *testing.T) {
	homes := oneListener(t)
	homes.Listeners[0].HomeRegions = []string{"south"}
	for _, c := range []struct {
		name      string
		table     *routing.Table
		evacuated []string
		domains   []string
		refused   bool
	}{
		{"all evacuated", oneListener(t), []string{"a", "b"}, []string{"a", "b"}, true},
		{"one evacuated", oneListener(t), []string{"a"}, []string{"a", "b"}, false},
		{"no target at home", homes, nil, []string{"a", "b"}, true},
		{"home evacuated", homes, []string{"c"}, []string{"a", "c"}, true},
		{"no target at all", oneListener(t), []string{"a"}, nil, false},
	} {
		s := evacuating(t, c.table, c.evacuated, c.domains...)
		opens(s, testNow, 1)
		out := s.Take()
		if got := len(out.Resets) == 1; got != c.refused {
			t.Errorf("%s: refused %v at once, want %v", c.name, got, c.refused)
		}
	}
}

// A balancer has just started where every failure domain is evacuated. An opening waits, for
// there may be others; once it is known that there are none its caller is told, and does not
// wait until its copies are over.
func TestWaitingIsRefusedOnceCertain(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", Evacuates: true, Flows: 1000, FlowLife: worldLife})
	s.SetTable(testNow, oneListener(t))
	hearTarget(s, testNow)
	s.TakeEvacuations(testNow, evacuation.New(5, []string{"a"}))
	opens(s, testNow+10, 1)
	if out := s.Take(); len(out.Resets) != 0 {
		t.Fatal("refused before it was certain")
	}
	s.SetSettled(true)
	s.Tick(testNow + 60)
	if out := s.Take(); len(out.Resets) != 1 {
		t.Errorf("%d resets, want one at once", len(out.Resets))
	}
}

// The last target that may take a flow is gone for good while the others are evacuated.
func TestRefusedWhereTheRestIsLost(t *testing.T) {
	s := evacuating(t, oneListener(t), []string{"a"}, "a", "b")
	now := testNow
	for ; now < testNow+2*deadAfter; now += 50 {
		r := ready(1, uint64(now))
		r.Domain = "a"
		s.Hear(now, worldAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
		s.Tick(now)
	}
	s.Take()
	opens(s, now, 1)
	if out := s.Take(); len(out.Resets) != 1 {
		t.Errorf("%d resets, want one at once", len(out.Resets))
	}
}

// A listener has a home region: its flows are opened in no other, also where their
// balancer's own failure domain has room.
func TestHomeRegions(t *testing.T) {
	table := oneListener(t)
	table.Listeners[0].HomeRegions = []string{"south"}
	s := evacuating(t, table, nil, "a", "b", "c")
	for i := range 50 {
		opens(s, testNow, i)
	}
	if got := openedAt(s.Take(), 3); got[0] != 0 || got[1] != 0 || got[2] != 50 {
		t.Errorf("openings went %v", got)
	}
}

// A search hands packets to agents that do not know: what callers send does not leave the
// home regions of their listener.
func TestSearchStaysInHomeRegions(t *testing.T) {
	table := oneListener(t)
	table.Listeners[0].HomeRegions = []string{"south"}
	s := evacuating(t, table, nil, "a", "c")
	id := callerFlow(1)
	packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Ack: 9, Size: 100})
	s.Arrive(testNow, decode(packet), packet)
	for at := testNow; at < testNow+300; at += 10 {
		for i := range 2 {
			unsure := &wire.Parcel{Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, id), Holding: wire.Holding_HOLDING_UNSURE}
			s.Hear(at, worldAddress(2, i), unsure, nil)
		}
		s.Tick(at)
	}
	handed := map[netip.AddrPort]bool{}
	for _, send := range s.Take().Sends {
		if send.Parcel.Verb == wire.Verb_VERB_CARRY {
			handed[send.To] = true
		}
	}
	if handed[worldAddress(2, 0)] || !handed[worldAddress(2, 1)] {
		t.Errorf("the packet was handed to %v", handed)
	}
}

// A balancer starts while a failure domain is evacuated, and the store is away: its first
// openings wait for a peer's word, and go where they may.
func TestStartWaitsForEvacuations(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", Evacuates: true, Flows: 1000, FlowLife: worldLife})
	s.SetTable(testNow, oneListener(t))
	hearTarget(s, testNow)
	opens(s, testNow+10, 1)
	if n := opened(s); n != 0 {
		t.Fatal("an opening was sent before it was known where")
	}
	s.TakeEvacuations(testNow+60, evacuation.New(5, nil))
	if n := opened(s); n != 1 {
		t.Errorf("%d openings were sent once the evacuations were known", n)
	}
}

// Nobody can tell a balancer where nothing may be opened, for the store is away and all
// have just started: callers are served after a while.
func TestServesWithoutEvacuationsInTheEnd(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", Evacuates: true, Flows: 1000, FlowLife: worldLife})
	s.SetTable(testNow, oneListener(t))
	hearTarget(s, testNow+startFor)
	opens(s, testNow+startFor+1, 1)
	if n := opened(s); n != 1 {
		t.Errorf("%d openings were sent after %d ms", n, startFor)
	}
}

// evacuatedAgent is an agent whose target is ready.
func evacuatedAgent() *Holder {
	now := testNow
	h := NewHolder(now, HolderSettings{
		Domain: "a", Service: "one", Port: worldPort, Flows: 100, FlowLife: worldLife, Heartbeat: 1200, SilentAfter: 3600,
	})
	h.Beat(now, Beat{Service: "one", Born: 1, Sequence: 1, Slots: 2})
	return h
}

func tellEvacuation(h *Holder, now clock.Millis, revision uint64, evacuated bool) {
	probe := &wire.Report{Probe: 1, Orders: revision, Evacuated: evacuated}
	h.Hear(now, worldAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_PROBE, Report: probe}, nil)
	h.Take()
}

// offer sends an opening to an agent, and tells what became of it.
func offer(h *Holder, now clock.Millis, i, warming int) wire.Cause {
	id := callerFlow(i)
	packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens})
	p := &wire.Parcel{Verb: wire.Verb_VERB_OPEN, Service: "one", Packet: packet, Warming: uint32(warming)}
	h.Hear(now, worldAddress(1, 0), p, decode(packet))
	out := h.Take()
	if len(out.Deliveries) > 0 {
		return wire.Cause_CAUSE_NONE
	}
	return out.Sends[0].Parcel.Cause
}

// One balancer does not know of the order yet: the agent hands its openings back, so that
// another target takes them, and keeps the flows that it has.
func TestAgentHandsBackWhereEvacuated(t *testing.T) {
	h := evacuatedAgent()
	if got := offer(h, testNow, 1, 0); got != wire.Cause_CAUSE_NONE {
		t.Fatalf("before the order: %v", got)
	}
	tellEvacuation(h, testNow+1, 7, true)
	if got := offer(h, testNow+2, 2, 0); got != wire.Cause_CAUSE_EVACUATED {
		t.Errorf("after the order: %v", got)
	}
	if got := offer(h, testNow+3, 1, 0); got != wire.Cause_CAUSE_NONE {
		t.Errorf("a copy of an opening that was taken before the order: %v", got)
	}
	tellEvacuation(h, testNow+4, 6, false)
	if got := offer(h, testNow+5, 2, 0); got != wire.Cause_CAUSE_EVACUATED {
		t.Errorf("after an older word: %v", got)
	}
	tellEvacuation(h, testNow+6, 8, false)
	if got := offer(h, testNow+7, 2, 0); got != wire.Cause_CAUSE_NONE {
		t.Errorf("after the withdrawal: %v", got)
	}
}

// An order is withdrawn and the target has become slow meanwhile, which its next heartbeat
// tells: until then it gets no more than a target that has just started.
func TestWithdrawnTargetsWarmUp(t *testing.T) {
	h := evacuatedAgent()
	tellEvacuation(h, testNow, 7, true)
	tellEvacuation(h, testNow+1, 8, false)
	taken := 0
	for i := range 50 {
		if offer(h, testNow+2, i, 17) == wire.Cause_CAUSE_NONE {
			taken++
		}
	}
	if taken != 17 {
		t.Errorf("a target of a domain that was taken back got %d openings at once, want 17", taken)
	}
	h.Beat(testNow+100, Beat{Service: "one", Born: 1, Sequence: 2, Slots: 2})
	if got := offer(h, testNow+101, 99, 17); got != wire.Cause_CAUSE_NONE {
		t.Errorf("after a heartbeat that says that it is not slow: %v", got)
	}
}

// Nineteen balancers see a target that has just started at the same moment. All openings
// together are no more than it bears in any second, and balancers that hear its report go
// elsewhere before they are handed back.
func TestColdTargetUnderManyBalancers(t *testing.T) {
	const rate, balancers = 17, 19
	h := evacuatedAgent()
	h.Beat(testNow, Beat{Service: "one", Born: 1, Sequence: 2, Slots: 2, Cold: 2000})
	taken, handed := 0, 0
	for i := range 10 * balancers {
		switch got := offer(h, testNow+clock.Millis(i/balancers), i, rate); got {
		case wire.Cause_CAUSE_NONE:
			taken++
		case wire.Cause_CAUSE_WARMING:
			handed++
		default:
			t.Fatalf("got %v", got)
		}
	}
	if taken != rate || handed != 10*balancers-rate {
		t.Errorf("%d taken, %d handed back", taken, handed)
	}
	table := oneListener(t)
	table.Services = []routing.Service{{Name: "one", WarmingRate: rate}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	s := evacuating(t, table, nil, "b")
	h.Tell(testNow+20, []netip.AddrPort{worldAddress(1, 0)})
	report := h.Take().Sends[0].Parcel
	s.Hear(testNow+20, worldAddress(2, 9), report, nil)
	s.Take()
	for i := range 30 {
		opens(s, testNow+21, i)
	}
	for _, send := range s.Take().Sends {
		if send.Parcel.Verb == wire.Verb_VERB_OPEN && send.To == worldAddress(2, 9) {
			t.Fatal("an opening went to a target that has no room")
		}
	}
}

// A version brings a bound on cold targets. Balancers that do not have it yet send openings
// without one: those count as well for the others.
func TestColdTargetBetweenVersions(t *testing.T) {
	h := evacuatedAgent()
	h.Beat(testNow, Beat{Service: "one", Born: 1, Sequence: 2, Slots: 2, Cold: 2000})
	for i := range 17 {
		if got := offer(h, testNow, i, 0); got != wire.Cause_CAUSE_NONE {
			t.Fatalf("without a bound: %v", got)
		}
	}
	if got := offer(h, testNow+1, 99, 17); got != wire.Cause_CAUSE_WARMING {
		t.Errorf("an opening over the bound: %v", got)
	}
}

// A target that has just started reports room, and turns each opening away when it comes, for
// others were faster. The opening is tried again for as long as openings wait, and then its
// caller is told.
func TestTurnedAwayAgainAndAgain(t *testing.T) {
	table := oneListener(t)
	table.Services = []routing.Service{{Name: "one", WarmingRate: 4}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	s := evacuating(t, table, nil)
	refused := clock.Millis(0)
	for now := testNow; now < testNow+3*waitFor; now += 20 {
		r := ready(1, uint64(now-testNow)+1)
		r.Domain, r.Cold, r.Room = "a", 5000, 4
		report := &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}
		s.Hear(now, worldAddress(2, 0), report, nil)
		if now == testNow {
			opens(s, now, 1)
		}
		s.Tick(now)
		out := s.Take()
		for _, send := range out.Sends {
			if p := send.Parcel; p.Verb == wire.Verb_VERB_OPEN {
				back := &wire.Parcel{Verb: wire.Verb_VERB_RETURN, Cause: wire.Cause_CAUSE_WARMING, Packet: p.Packet}
				s.Hear(now, send.To, back, decode(p.Packet))
				out.Resets = append(out.Resets, s.Take().Resets...)
			}
		}
		if len(out.Resets) > 0 && refused == 0 {
			refused = now.Sub(testNow)
		}
	}
	if refused == 0 || refused > waitFor+50 {
		t.Errorf("refused after %d ms", refused)
	}
	if len(s.waiting) > 0 {
		t.Errorf("%d openings wait", len(s.waiting))
	}
}

// All targets have just started, and bear less than callers want: what does not fit waits
// for the next moment instead of being refused.
func TestCrowdWaitsForWarmTargets(t *testing.T) {
	const rate = 4
	table := oneListener(t)
	table.Services = []routing.Service{{Name: "one", WarmingRate: rate}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	s := evacuating(t, table, nil)
	cold := func(at clock.Millis, sequence uint64) {
		r := ready(1, sequence)
		r.Domain, r.Cold, r.Room = "a", 2000, rate+1
		s.Hear(at, worldAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
	}
	cold(testNow, 1)
	s.Take()
	for i := range 2 * rate {
		opens(s, testNow, i)
	}
	out := s.Take()
	if got := openedAt(out, 1)[0]; got != rate || len(out.Resets) != 0 {
		t.Errorf("%d were opened and %d refused, want %d and none", got, len(out.Resets), rate)
	}
	cold(testNow+200, 2)
	s.Tick(testNow + 200)
	if got := openedAt(s.Take(), 1)[0]; got != rate {
		t.Errorf("%d of those that wait were opened after the next report", got)
	}
}
