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

// newEvacuatingSteerer returns a balancer of failure domain a with a target in each of the
// given domains. It has been running for long and knows the evacuations.
func newEvacuatingSteerer(t *testing.T, table *routing.Table, evacuated []string, domains ...string) *Steerer {
	t.Helper()
	s := NewSteerer(testNow-clock.Minute, Settings{
		Domain: "a", Regions: map[string]string{"a": "north", "b": "north", "c": "south"}, AwaitEvacuations: true,
		MaxFlows: 1000, FlowTTL: testFlowTTL,
	})
	s.SetTable(testNow, table)
	for i, d := range domains {
		r := readyReport(1, 1)
		r.Domain, r.Slots = d, 4
		s.HandleParcel(testNow, testAddress(2, i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
	}
	s.UpdateEvacuations(testNow, evacuation.New(5, evacuated))
	s.TakeOutcome()
	return s
}

// countOpeningsPerTarget returns the number of openings sent to each target.
func countOpeningsPerTarget(out Outcome, targets int) []int {
	counts := make([]int, targets)
	for _, send := range out.Sends {
		for i := range counts {
			if send.Parcel.Verb == wire.Verb_VERB_OPEN && send.To == testAddress(2, i) {
				counts[i]++
			}
		}
	}
	return counts
}

// A failure domain is evacuated under peak load. Until the evacuation ends nothing may be
// opened there, neither by balancers in that domain nor by others.
func TestNoOpeningsInEvacuatedDomain(t *testing.T) {
	s := newEvacuatingSteerer(t, newTestTable(t), []string{"a"}, "a", "b")
	for i := range 100 {
		sendOpening(s, testNow, i)
	}
	if got := countOpeningsPerTarget(s.TakeOutcome(), 2); got[0] != 0 || got[1] != 100 {
		t.Errorf("distribution of openings: %v", got)
	}
	s.UpdateEvacuations(testNow, evacuation.New(4, nil))
	sendOpening(s, testNow, 200)
	if got := countOpeningsPerTarget(s.TakeOutcome(), 2); got[0] != 0 {
		t.Error("an older snapshot has undone the evacuation")
	}
	s.UpdateEvacuations(testNow, evacuation.New(6, nil))
	sendOpening(s, testNow, 201)
	if got := countOpeningsPerTarget(s.TakeOutcome(), 2); got[0] != 1 {
		t.Error("nothing is opened after the evacuation was withdrawn")
	}
}

// Every failure domain is evacuated, or no target is in a home region of the listener. The
// caller must learn at once that nothing has run instead of waiting until its deadline.
func TestRefusedAtOnceWithoutUsableTarget(t *testing.T) {
	homes := newTestTable(t)
	homes.Listeners[0].HomeRegions = []string{"south"}
	for _, c := range []struct {
		name      string
		table     *routing.Table
		evacuated []string
		domains   []string
		refused   bool
	}{
		{"all evacuated", newTestTable(t), []string{"a", "b"}, []string{"a", "b"}, true},
		{"one evacuated", newTestTable(t), []string{"a"}, []string{"a", "b"}, false},
		{"no target at home", homes, nil, []string{"a", "b"}, true},
		{"home evacuated", homes, []string{"c"}, []string{"a", "c"}, true},
		{"no target at all", newTestTable(t), []string{"a"}, nil, false},
	} {
		s := newEvacuatingSteerer(t, c.table, c.evacuated, c.domains...)
		sendOpening(s, testNow, 1)
		out := s.TakeOutcome()
		if got := len(out.Resets) == 1; got != c.refused {
			t.Errorf("%s: refused %v at once, want %v", c.name, got, c.refused)
		}
	}
}

// A balancer has just started while every failure domain is evacuated. An opening is
// queued, since there may be other targets. Once it is known that there are none, the
// caller is reset at once instead of waiting until its retransmissions end.
func TestQueuedOpeningIsRefusedOnceSettled(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", AwaitEvacuations: true, MaxFlows: 1000, FlowTTL: testFlowTTL})
	s.SetTable(testNow, newTestTable(t))
	reportReadyTarget(s, testNow)
	s.UpdateEvacuations(testNow, evacuation.New(5, []string{"a"}))
	sendOpening(s, testNow+10, 1)
	if out := s.TakeOutcome(); len(out.Resets) != 0 {
		t.Fatal("refused before the balancer knew all targets")
	}
	s.SetSettled(true)
	s.Tick(testNow + 60)
	if out := s.TakeOutcome(); len(out.Resets) != 1 {
		t.Errorf("%d resets, want one at once", len(out.Resets))
	}
}

// The last usable target is lost while the other failure domains are evacuated.
func TestRefusedWhenRemainingTargetIsLost(t *testing.T) {
	s := newEvacuatingSteerer(t, newTestTable(t), []string{"a"}, "a", "b")
	now := testNow
	for ; now < testNow+2*lostAfter; now += 50 {
		r := readyReport(1, uint64(now))
		r.Domain = "a"
		s.HandleParcel(now, testAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
		s.Tick(now)
	}
	s.TakeOutcome()
	sendOpening(s, now, 1)
	if out := s.TakeOutcome(); len(out.Resets) != 1 {
		t.Errorf("%d resets, want one at once", len(out.Resets))
	}
}

// Flows of a listener with a home region must not be opened in another region, even if the
// balancer's own failure domain has room.
func TestHomeRegions(t *testing.T) {
	table := newTestTable(t)
	table.Listeners[0].HomeRegions = []string{"south"}
	s := newEvacuatingSteerer(t, table, nil, "a", "b", "c")
	for i := range 50 {
		sendOpening(s, testNow, i)
	}
	if got := countOpeningsPerTarget(s.TakeOutcome(), 3); got[0] != 0 || got[1] != 0 || got[2] != 50 {
		t.Errorf("distribution of openings: %v", got)
	}
}

// A search passes packets to agents that are unsure. Callers' packets must not leave the
// home regions of their listener.
func TestSearchStaysInHomeRegions(t *testing.T) {
	table := newTestTable(t)
	table.Listeners[0].HomeRegions = []string{"south"}
	s := newEvacuatingSteerer(t, table, nil, "a", "c")
	id := callerFlow(1)
	packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Ack: 9, Size: 100})
	s.HandlePacket(testNow, decode(packet), packet)
	for at := testNow; at < testNow+300; at += 10 {
		for i := range 2 {
			unsure := &wire.Parcel{Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, id), Holding: wire.Holding_HOLDING_UNSURE}
			s.HandleParcel(at, testAddress(2, i), unsure, nil)
		}
		s.Tick(at)
	}
	passed := map[netip.AddrPort]bool{}
	for _, send := range s.TakeOutcome().Sends {
		if send.Parcel.Verb == wire.Verb_VERB_CARRY {
			passed[send.To] = true
		}
	}
	if passed[testAddress(2, 0)] || !passed[testAddress(2, 1)] {
		t.Errorf("the packet was passed to %v", passed)
	}
}

// A balancer starts during an evacuation while the store is unavailable. Its first openings
// wait until a peer sends it the evacuations, and then go to permitted domains.
func TestStartWaitsForEvacuations(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", AwaitEvacuations: true, MaxFlows: 1000, FlowTTL: testFlowTTL})
	s.SetTable(testNow, newTestTable(t))
	reportReadyTarget(s, testNow)
	sendOpening(s, testNow+10, 1)
	if n := countOpenings(s); n != 0 {
		t.Fatal("an opening was sent before the evacuations were known")
	}
	s.UpdateEvacuations(testNow+60, evacuation.New(5, nil))
	if n := countOpenings(s); n != 1 {
		t.Errorf("%d openings were sent once the evacuations were known", n)
	}
}

// The store is unavailable and all balancers have just started, so none can learn the
// evacuations. Callers must be served after a while.
func TestOpensWithoutEvacuationsAfterStartup(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", AwaitEvacuations: true, MaxFlows: 1000, FlowTTL: testFlowTTL})
	s.SetTable(testNow, newTestTable(t))
	reportReadyTarget(s, testNow+startupPeriod)
	sendOpening(s, testNow+startupPeriod+1, 1)
	if n := countOpenings(s); n != 1 {
		t.Errorf("%d openings were sent after %d ms", n, startupPeriod)
	}
}

// newReadyTracker returns an agent's Tracker whose target is ready.
func newReadyTracker() *Tracker {
	now := testNow
	tr := NewTracker(now, TrackerSettings{
		Domain: "a", Service: "one", Port: simPort, MaxFlows: 100, FlowTTL: testFlowTTL, Heartbeat: 1200, HeartbeatTimeout: 3600,
	})
	tr.HandleHeartbeat(now, Heartbeat{Service: "one", Born: 1, Sequence: 1, Slots: 2})
	return tr
}

func sendEvacuation(tr *Tracker, now clock.Millis, revision uint64, evacuated bool) {
	probe := &wire.Report{Probe: 1, Orders: revision, Evacuated: evacuated}
	tr.HandleParcel(now, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_PROBE, Report: probe}, nil)
	tr.TakeOutcome()
}

// offerOpening sends an opening to an agent and returns the cause of its rejection, if any.
func offerOpening(tr *Tracker, now clock.Millis, i, warming int) wire.Cause {
	id := callerFlow(i)
	packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens})
	p := &wire.Parcel{Verb: wire.Verb_VERB_OPEN, Service: "one", Packet: packet, Warming: uint32(warming)}
	tr.HandleParcel(now, testAddress(1, 0), p, decode(packet))
	out := tr.TakeOutcome()
	if len(out.Deliveries) > 0 {
		return wire.Cause_CAUSE_NONE
	}
	return out.Sends[0].Parcel.Cause
}

// A balancer does not know the evacuation yet. The agent returns its openings, so that
// another target gets them, and keeps its existing flows.
func TestAgentReturnsOpeningsWhenEvacuated(t *testing.T) {
	tr := newReadyTracker()
	if got := offerOpening(tr, testNow, 1, 0); got != wire.Cause_CAUSE_NONE {
		t.Fatalf("before the order: %v", got)
	}
	sendEvacuation(tr, testNow+1, 7, true)
	if got := offerOpening(tr, testNow+2, 2, 0); got != wire.Cause_CAUSE_EVACUATED {
		t.Errorf("after the order: %v", got)
	}
	if got := offerOpening(tr, testNow+3, 1, 0); got != wire.Cause_CAUSE_NONE {
		t.Errorf("copy of an opening accepted before the order: %v", got)
	}
	sendEvacuation(tr, testNow+4, 6, false)
	if got := offerOpening(tr, testNow+5, 2, 0); got != wire.Cause_CAUSE_EVACUATED {
		t.Errorf("after an older revision: %v", got)
	}
	sendEvacuation(tr, testNow+6, 8, false)
	if got := offerOpening(tr, testNow+7, 2, 0); got != wire.Cause_CAUSE_NONE {
		t.Errorf("after the withdrawal: %v", got)
	}
}

// A target has become slow during an evacuation, which its next heartbeat will report. Until
// then it gets no more openings than a target that has just started.
func TestTargetsWarmUpAfterEvacuation(t *testing.T) {
	tr := newReadyTracker()
	sendEvacuation(tr, testNow, 7, true)
	sendEvacuation(tr, testNow+1, 8, false)
	accepted := 0
	for i := range 50 {
		if offerOpening(tr, testNow+2, i, 17) == wire.Cause_CAUSE_NONE {
			accepted++
		}
	}
	if accepted != 17 {
		t.Errorf("a target got %d openings at once after the withdrawal, want 17", accepted)
	}
	tr.HandleHeartbeat(testNow+100, Heartbeat{Service: "one", Born: 1, Sequence: 2, Slots: 2})
	if got := offerOpening(tr, testNow+101, 99, 17); got != wire.Cause_CAUSE_NONE {
		t.Errorf("after a heartbeat without a cold period: %v", got)
	}
}

// Nineteen balancers discover a target that has just started at the same moment. All
// openings together must not exceed its rate in any second, and balancers that receive its
// report choose other targets before openings are returned.
func TestColdTargetUnderManyBalancers(t *testing.T) {
	const rate, balancers = 17, 19
	tr := newReadyTracker()
	tr.HandleHeartbeat(testNow, Heartbeat{Service: "one", Born: 1, Sequence: 2, Slots: 2, Cold: 2000})
	accepted, returned := 0, 0
	for i := range 10 * balancers {
		switch got := offerOpening(tr, testNow+clock.Millis(i/balancers), i, rate); got {
		case wire.Cause_CAUSE_NONE:
			accepted++
		case wire.Cause_CAUSE_WARMING:
			returned++
		default:
			t.Fatalf("got %v", got)
		}
	}
	if accepted != rate || returned != 10*balancers-rate {
		t.Errorf("%d accepted, %d returned", accepted, returned)
	}
	table := newTestTable(t)
	table.Services = []routing.Service{{Name: "one", WarmingRate: rate}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	s := newEvacuatingSteerer(t, table, nil, "b")
	tr.SendReport(testNow+20, []netip.AddrPort{testAddress(1, 0)})
	report := tr.TakeOutcome().Sends[0].Parcel
	s.HandleParcel(testNow+20, testAddress(2, 9), report, nil)
	s.TakeOutcome()
	for i := range 30 {
		sendOpening(s, testNow+21, i)
	}
	for _, send := range s.TakeOutcome().Sends {
		if send.Parcel.Verb == wire.Verb_VERB_OPEN && send.To == testAddress(2, 9) {
			t.Fatal("an opening went to a target that has no room")
		}
	}
}

// A configuration version introduces a limit for cold targets. Openings from balancers that
// do not have the version yet carry no limit, but count against it.
func TestColdTargetBetweenVersions(t *testing.T) {
	tr := newReadyTracker()
	tr.HandleHeartbeat(testNow, Heartbeat{Service: "one", Born: 1, Sequence: 2, Slots: 2, Cold: 2000})
	for i := range 17 {
		if got := offerOpening(tr, testNow, i, 0); got != wire.Cause_CAUSE_NONE {
			t.Fatalf("without a limit: %v", got)
		}
	}
	if got := offerOpening(tr, testNow+1, 99, 17); got != wire.Cause_CAUSE_WARMING {
		t.Errorf("an opening over the limit: %v", got)
	}
}

// A target that has just started reports room but returns each opening, because others came
// first. The opening is retried for as long as openings may be queued; then the caller is
// reset.
func TestRepeatedlyReturnedOpeningIsRefused(t *testing.T) {
	table := newTestTable(t)
	table.Services = []routing.Service{{Name: "one", WarmingRate: 4}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	s := newEvacuatingSteerer(t, table, nil)
	refused := clock.Millis(0)
	for now := testNow; now < testNow+3*queueTimeout; now += 20 {
		r := readyReport(1, uint64(now-testNow)+1)
		r.Domain, r.Cold, r.Room = "a", 5000, 4
		report := &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}
		s.HandleParcel(now, testAddress(2, 0), report, nil)
		if now == testNow {
			sendOpening(s, now, 1)
		}
		s.Tick(now)
		out := s.TakeOutcome()
		for _, send := range out.Sends {
			if p := send.Parcel; p.Verb == wire.Verb_VERB_OPEN {
				back := &wire.Parcel{Verb: wire.Verb_VERB_RETURN, Cause: wire.Cause_CAUSE_WARMING, Packet: p.Packet}
				s.HandleParcel(now, send.To, back, decode(p.Packet))
				out.Resets = append(out.Resets, s.TakeOutcome().Resets...)
			}
		}
		if len(out.Resets) > 0 && refused == 0 {
			refused = now.Sub(testNow)
		}
	}
	if refused == 0 || refused > queueTimeout+50 {
		t.Errorf("refused after %d ms", refused)
	}
	if len(s.queued) > 0 {
		t.Errorf("%d openings are still queued", len(s.queued))
	}
}

// All targets have just started and accept fewer openings than callers send. The excess is
// queued instead of refused.
func TestOpeningsQueueForColdTargets(t *testing.T) {
	const rate = 4
	table := newTestTable(t)
	table.Services = []routing.Service{{Name: "one", WarmingRate: rate}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	s := newEvacuatingSteerer(t, table, nil)
	cold := func(at clock.Millis, sequence uint64) {
		r := readyReport(1, sequence)
		r.Domain, r.Cold, r.Room = "a", 2000, rate+1
		s.HandleParcel(at, testAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
	}
	cold(testNow, 1)
	s.TakeOutcome()
	for i := range 2 * rate {
		sendOpening(s, testNow, i)
	}
	out := s.TakeOutcome()
	if got := countOpeningsPerTarget(out, 1)[0]; got != rate || len(out.Resets) != 0 {
		t.Errorf("%d were opened and %d refused, want %d and none", got, len(out.Resets), rate)
	}
	cold(testNow+200, 2)
	s.Tick(testNow + 200)
	if got := countOpeningsPerTarget(s.TakeOutcome(), 1)[0]; got != rate {
		t.Errorf("%d of the queued openings were sent after the next report", got)
	}
}
