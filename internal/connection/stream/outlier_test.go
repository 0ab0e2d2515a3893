package stream

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// faulty is an agent with a target that answers or resets requests as told.
type scriptedTarget struct {
	t       *testing.T
	tracker *Tracker
	now     clock.Millis
	port    uint16
}

func newScriptedTarget(t *testing.T) *scriptedTarget {
	f := &scriptedTarget{t: t, now: testNow, port: 1000}
	f.tracker = NewTracker(f.now, TrackerSettings{
		Service: "one", Heartbeat: 1200, HeartbeatTimeout: 3600, MaxFlows: 1000, FlowTTL: worldLife, Epoch: 1, Port: worldPort,
	})
	f.tracker.HandleHeartbeat(f.now, Heartbeat{Service: "one", Born: 1, Sequence: 1, Slots: 2})
	return f
}

// wait lets time pass, with heartbeats.
func (f *scriptedTarget) advance(d clock.Millis) {
	for end := f.now + d; f.now < end; f.now += 50 {
		f.tracker.HandleHeartbeat(f.now, Heartbeat{Service: "one", Born: 1, Sequence: uint64(f.now), Slots: 2})
		f.tracker.Tick(f.now)
	}
}

// request opens a flow and sends a request, which the target answers or resets
// 20 ms later. It reports whether the agent took the opening.
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

// ask opens a flow and sends a request, unless the agent returns the opening.
func (f *scriptedTarget) openAndRequest() (netip.AddrPort, bool) {
	f.port++
	c := worldAddress(100, int(f.port))
	f.tracker.Take()
	f.sendFromCaller(c, wire.Verb_VERB_OPEN, segment.Segment{Flags: segment.Opens})
	if len(f.tracker.Take().Deliveries) == 0 {
		return c, false
	}
	f.sendFromTarget(c, segment.Segment{Flags: segment.Opens | segment.Acks, Seq: 5})
	f.sendFromCaller(c, wire.Verb_VERB_CARRY, segment.Segment{Flags: segment.Acks, Ack: 6, Size: 200})
	return c, true
}

// hear brings a caller's packet to the agent.
func (f *scriptedTarget) sendFromCaller(c netip.AddrPort, verb wire.Verb, s segment.Segment) {
	s.Source, s.Destination = c, worldListener
	f.tracker.HandleParcel(f.now, worldAddress(1, 0), &wire.Parcel{Verb: verb, Service: "one", Packet: encode(s)}, &s)
}

// send is a packet of the target.
func (f *scriptedTarget) sendFromTarget(c netip.AddrPort, s segment.Segment) {
	s.Source, s.Destination = worldListener, c
	f.tracker.HandleTargetPacket(f.now, &s, encode(s))
}

func (f *scriptedTarget) condition() wire.Condition {
	return f.tracker.report(f.now, 0).Condition
}

// A target goes on sending heartbeats and accepts every flow, but resets each as
// soon as a request comes. The callers that were reset come back at once, and
// nothing looks as idle as this target. After three requests the agent says that
// it fails; it is tried with two flows after a second, and then rarer.
func TestEjectTargetThatResets(t *testing.T) {
	f := newScriptedTarget(t)
	for range 20 {
		f.request(true)
	}
	for range 3 {
		f.request(false)
	}
	if got := f.condition(); got != wire.Condition_CONDITION_FAILING {
		t.Fatalf("after three requests that were reset the target is %v", got)
	}
	failed := 3
	for end := f.now + 20*clock.Second; f.now < end; {
		f.advance(50)
		for f.condition() == wire.Condition_CONDITION_READY && f.request(false) {
			failed++
		}
	}
	if failed > 15 {
		t.Errorf("%d requests failed at a target that has reset all for 20 s", failed)
	}
	f.advance(maxEjectionTime)
	if got := f.condition(); got != wire.Condition_CONDITION_READY || !f.request(true) {
		t.Fatalf("the target is not tried again: %v", got)
	}
	for range 10 {
		if !f.request(true) {
			t.Error("a target that answers on trial does not get all flows again")
		}
	}
}

// A failing target is tried again, and a burst of openings reaches it before it has
// answered one. Two of them show whether it has recovered; the others are returned,
// or they would all fail with it. If the two never get as far as a request, others
// may try a second later.
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

// Everybody comes at once, and a target that is full resets what is over its cap,
// several in a row, while it works on the others. It is as well as any: to take new
// flows from it would only fill the next one.
func TestFullTargetIsNotEjected(t *testing.T) {
	f := newScriptedTarget(t)
	for range 26 {
		f.openAndRequest()
	}
	for range 10 {
		f.request(false)
	}
	if got := f.condition(); got != wire.Condition_CONDITION_READY {
		t.Errorf("a target with 26 requests under way that resets ten more is %v", got)
	}
}

// A request fails now and then: callers break off, or a target restarts a worker.
// That is no reason to take the target away from those that are well.
func TestRareResetsDoNotEject(t *testing.T) {
	f := newScriptedTarget(t)
	for i := range 200 {
		f.request(i%4 != 0)
		f.advance(50)
		if got := f.condition(); got != wire.Condition_CONDITION_READY {
			t.Fatalf("after %d requests, every fourth of which failed, the target is %v", i+1, got)
		}
	}
}

// A target ends flows that are idle, and answers what still comes on them with a
// reset, as the protocol wants it: it is well.
func TestResetOfEndedFlowIsNoFailure(t *testing.T) {
	f := newScriptedTarget(t)
	c := worldAddress(100, 1)
	for range 10 {
		f.sendFromTarget(c, segment.Segment{Flags: segment.Ends, Seq: 6})
		f.sendFromCaller(c, wire.Verb_VERB_CARRY, segment.Segment{Flags: segment.Acks, Ack: 6, Size: 200})
		f.sendFromTarget(c, segment.Segment{Flags: segment.Resets, Seq: 6})
	}
	if got := f.condition(); got != wire.Condition_CONDITION_READY {
		t.Errorf("a target that ended a flow is %v", got)
	}
}

// failing marks targets of loaded as ejected.
func markFailing(ts *Targets, which ...int) {
	for _, i := range which {
		t, _ := ts.Find(worldAddress(2, i))
		t.Condition = wire.Condition_CONDITION_FAILING
	}
}

// One target of three fails all requests and therefore looks idle. It gets no new
// flows. Where most targets fail, the cause is elsewhere, and leaving them out
// would only bring down the rest: all are used.
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
