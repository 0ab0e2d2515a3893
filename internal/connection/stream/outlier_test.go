package stream

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// scriptedTarget is an agent with a target that answers or resets requests as the test
// demands.
type scriptedTarget struct {
	t       *testing.T
	tracker *Tracker
	now     clock.Millis
	port    uint16
}

func newScriptedTarget(t *testing.T) *scriptedTarget {
	f := &scriptedTarget{t: t, now: testNow, port: 1000}
	f.tracker = NewTracker(f.now, TrackerSettings{
		Service: "one", Heartbeat: 1200, HeartbeatTimeout: 3600, MaxFlows: 1000, FlowTTL: testFlowTTL, Epoch: 1, Port: simPort,
	})
	f.tracker.HandleHeartbeat(f.now, Heartbeat{Service: "one", Born: 1, Sequence: 1, Slots: 2})
	return f
}

// advance lets time pass, with heartbeats.
func (f *scriptedTarget) advance(d clock.Millis) {
	for end := f.now + d; f.now < end; f.now += 50 {
		f.tracker.HandleHeartbeat(f.now, Heartbeat{Service: "one", Born: 1, Sequence: uint64(f.now), Slots: 2})
		f.tracker.Tick(f.now)
	}
}

// request opens a flow and sends a request, which the target answers or resets 20 ms later.
// It reports whether the agent accepted the opening.
func (f *scriptedTarget) request(answered bool) bool {
	c, ok := f.openAndRequest()
	if !ok {
		return false
	}
	f.now += 20
	if answered {
		f.sendFromTarget(c, segment.Segment{Flags: segment.Acks, Seq: 6, Size: 900})
	} else {
		f.sendFromTarget(c, segment.Segment{Flags: segment.Resets, Seq: 6})
	}
	return true
}

// openAndRequest opens a flow and sends a request, unless the agent returns the opening.
func (f *scriptedTarget) openAndRequest() (netip.AddrPort, bool) {
	f.port++
	c := testAddress(100, int(f.port))
	f.tracker.TakeOutcome()
	f.sendFromCaller(c, wire.Verb_VERB_OPEN, segment.Segment{Flags: segment.Opens})
	if len(f.tracker.TakeOutcome().Deliveries) == 0 {
		return c, false
	}
	f.sendFromTarget(c, segment.Segment{Flags: segment.Opens | segment.Acks, Seq: 5})
	f.sendFromCaller(c, wire.Verb_VERB_CARRY, segment.Segment{Flags: segment.Acks, Ack: 6, Size: 200})
	return c, true
}

// sendFromCaller delivers a caller's packet to the agent.
func (f *scriptedTarget) sendFromCaller(c netip.AddrPort, verb wire.Verb, s segment.Segment) {
	s.Source, s.Destination = c, testListener
	f.tracker.HandleParcel(f.now, testAddress(1, 0), &wire.Parcel{Verb: verb, Service: "one", Packet: encode(s)}, &s)
}

// sendFromTarget delivers a packet of the target to the agent.
func (f *scriptedTarget) sendFromTarget(c netip.AddrPort, s segment.Segment) {
	s.Source, s.Destination = testListener, c
	f.tracker.HandleTargetPacket(f.now, &s, encode(s))
}

func (f *scriptedTarget) condition() wire.Condition {
	return f.tracker.report(f.now, 0).Condition
}

// A target sends heartbeats and accepts every flow, but resets each one at its first
// request. The callers reconnect at once, and the target looks idlest of all. After three
// requests the agent reports it as failing; it is tried with two flows after a second, and
// then less often.
func TestEjectTargetThatResets(t *testing.T) {
	f := newScriptedTarget(t)
	for range 20 {
		f.request(true)
	}
	for range 3 {
		f.request(false)
	}
	if got := f.condition(); got != wire.Condition_CONDITION_FAILING {
		t.Fatalf("condition after three reset requests: %v", got)
	}
	failed := 3
	for end := f.now + 20*clock.Second; f.now < end; {
		f.advance(50)
		for f.condition() == wire.Condition_CONDITION_READY && f.request(false) {
			failed++
		}
	}
	if failed > 15 {
		t.Errorf("%d requests failed at a target that reset all requests for 20 s", failed)
	}
	f.advance(maxEjectionTime)
	if got := f.condition(); got != wire.Condition_CONDITION_READY || !f.request(true) {
		t.Fatalf("the target is not ready again: %v", got)
	}
	for range 10 {
		if !f.request(true) {
			t.Error("a target that answered on trial does not get all flows again")
		}
	}
}

// A burst of openings reaches a failing target on trial before it has answered one. Two of
// them show whether it has recovered; the others are returned, or they would all fail with
// it. If the two never send a request, others are admitted a second later.
func TestTrialIsLimited(t *testing.T) {
	f := newScriptedTarget(t)
	for range 3 {
		f.request(false)
	}
	f.advance(baseEjectionTime + 100)
	count := func() int {
		taken := 0
		for range 10 {
			if _, ok := f.openAndRequest(); ok {
				taken++
			}
		}
		return taken
	}
	if got := count(); got != trialFlows {
		t.Errorf("%d of 10 openings reached a target on trial, want %d", got, trialFlows)
	}
	f.advance(trialTimeout + 100)
	if got := count(); got != trialFlows {
		t.Errorf("a second later %d of 10 openings reached it, want %d", got, trialFlows)
	}
}

// Under a burst a full target resets several requests in a row that exceed its limit while
// it works on the others. It is healthy; ejecting it would overload the next target.
func TestFullTargetIsNotEjected(t *testing.T) {
	f := newScriptedTarget(t)
	for range 26 {
		f.openAndRequest()
	}
	for range 10 {
		f.request(false)
	}
	if got := f.condition(); got != wire.Condition_CONDITION_READY {
		t.Errorf("condition of a target with 26 requests in progress that resets ten more: %v", got)
	}
}

// Requests fail now and then because callers disconnect or a target restarts a worker. This
// must not eject the target.
func TestRareResetsDoNotEject(t *testing.T) {
	f := newScriptedTarget(t)
	for i := range 200 {
		f.request(i%4 != 0)
		f.advance(50)
		if got := f.condition(); got != wire.Condition_CONDITION_READY {
			t.Fatalf("condition after %d requests, every fourth of which failed: %v", i+1, got)
		}
	}
}

// A target closes idle flows and answers later packets on them with a reset, as the
// protocol demands. It is healthy.
func TestResetOfEndedFlowIsNoFailure(t *testing.T) {
	f := newScriptedTarget(t)
	c := testAddress(100, 1)
	for range 10 {
		f.sendFromTarget(c, segment.Segment{Flags: segment.Ends, Seq: 6})
		f.sendFromCaller(c, wire.Verb_VERB_CARRY, segment.Segment{Flags: segment.Acks, Ack: 6, Size: 200})
		f.sendFromTarget(c, segment.Segment{Flags: segment.Resets, Seq: 6})
	}
	if got := f.condition(); got != wire.Condition_CONDITION_READY {
		t.Errorf("condition of a target that ended a flow: %v", got)
	}
}

// markFailing marks some of the targets as ejected.
func markFailing(ts *Targets, which ...int) {
	for _, i := range which {
		t, _ := ts.Find(testAddress(2, i))
		t.Condition = wire.Condition_CONDITION_FAILING
	}
}

// One target of three fails all requests and therefore looks idle. It gets no new flows. If
// most targets fail, the cause lies elsewhere and skipping them would overload the rest, so
// all are used.
func TestChooseSkipsFailing(t *testing.T) {
	loads := []targetLoad{{"a", 30, 1, 0}, {"a", 30, 1, 0}, {"a", 0, 0, 0}}
	ts := newLoadedTargets(loads...)
	markFailing(ts, 2)
	if counts := placeOpenings(ts, 30); counts[2] != 0 {
		t.Errorf("the failing target got %d of 30 openings", counts[2])
	}
	ts = newLoadedTargets(loads...)
	markFailing(ts, 1, 2)
	if counts := placeOpenings(ts, 30); counts[1]+counts[2] == 0 {
		t.Errorf("one target gets all openings while the other two fail: %v", counts)
	}
}

// Guards against answers being taken for none where the end of the flow overtakes its data: a
// target on trial would stay there although it answers.
func TestAnswerWhoseEndOvertakesItsData(t *testing.T) {
	f := newScriptedTarget(t)
	for range 3 {
		f.request(false)
	}
	f.advance(baseEjectionTime + 100)
	c, ok := f.openAndRequest()
	if !ok {
		t.Fatal("no flow was admitted on trial")
	}
	f.now += 20
	f.sendFromTarget(c, segment.Segment{Flags: segment.Ends | segment.Acks, Seq: 906})
	f.sendFromTarget(c, segment.Segment{Flags: segment.Acks, Seq: 6, Size: 900})
	for range 2 * trialFlows {
		if _, ok := f.openAndRequest(); !ok {
			t.Fatal("the target is still on trial after its answer")
		}
	}
}

// Guards against a full target that refuses requests at once being taken for the fastest one.
func TestRefusedRequestsAreNoWork(t *testing.T) {
	f := newScriptedTarget(t)
	f.advance(50)
	for range 3 {
		f.openAndRequest()
	}
	for range 20 {
		f.request(true)
		f.tracker.Tick(f.now)
	}
	if work := f.tracker.work.mean(); work != 0 {
		t.Errorf("the target has finished no request, and its work is taken for %.0f ms", work)
	}
}
