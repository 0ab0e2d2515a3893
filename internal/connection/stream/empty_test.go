package stream

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// alone is an agent that has just started and has not heard of a target.
func alone() *Tracker {
	return NewTracker(testNow, TrackerSettings{
		Service: "one", Heartbeat: 1200, HeartbeatTimeout: 3600, MaxFlows: 10, FlowTTL: worldLife, Epoch: 1, Port: worldPort,
	})
}

// says asks an agent about a flow.
func says(h *Tracker, now clock.Millis) wire.Holding {
	h.Take()
	q := newQuestions(0, always)
	q.add(now, worldAddress(2, 0), false, segment.Flow{Caller: worldAddress(100, 0), Listener: worldListener}, 7)
	var out Outcome
	q.flush(now, 0, &out)
	h.HandleParcel(now, worldAddress(1, 0), out.Sends[0].Parcel, nil)
	return wire.Holding(h.Take().Sends[0].Parcel.Holdings[0])
}

// handed hands the agent a packet of that flow, which the VM returns.
func handed(h *Tracker, now clock.Millis) {
	s := segment.Segment{
		Source: worldAddress(100, 0), Destination: worldListener, Flags: segment.Acks | segment.Returned, Ack: 7,
	}
	h.HandleTargetPacket(now, &s, encode(s))
}

// All VMs lost power, also one whose target had left for good. Its agent starts
// again, with no target. Its VM refuses connections, but returns packets that are
// handed over. Callers wait for a reset that needs this agent's word: it has to
// deny all flows once two looks were refused, whatever the VM returns meanwhile.
func TestNoTargetDeniesFlows(t *testing.T) {
	h := alone()
	if got := says(h, testNow+10); got != wire.Holding_HOLDING_UNKNOWN {
		t.Errorf("an agent that has just started says %v", got)
	}
	for i := range clock.Millis(minFailedDials) {
		h.RecordDial(testNow+50+i*dialInterval, Refusing)
		handed(h, testNow+60+i*dialInterval)
	}
	if got := says(h, testNow+300); got != wire.Holding_HOLDING_NOT {
		t.Errorf("after refused looks the agent says %v", got)
	}
}

// The same where connections are not answered at all. That is no proof, so the
// agent says nothing rather than be handed packets that nobody takes or returns,
// until two heartbeats were due. Then it tells the balancers that there is no
// target, and nobody waits for it when its VM is taken away.
func TestUnansweredLooksAreNoProof(t *testing.T) {
	h := alone()
	for i := range clock.Millis(3) {
		h.RecordDial(testNow+50+i*dialInterval, Unanswered)
	}
	if got := says(h, testNow+700); got != wire.Holding_HOLDING_UNKNOWN {
		t.Errorf("after looks without an answer the agent says %v", got)
	}
	if got := h.report(testNow+2300, 0).Condition; got != wire.Condition_CONDITION_UNKNOWN {
		t.Errorf("before two heartbeats were due the target is %v", got)
	}
	later := testNow + firstHeartbeatWait*1200 + 1
	if got := h.report(later, 0).Condition; got != wire.Condition_CONDITION_GONE {
		t.Errorf("after two heartbeats were due the target is %v", got)
	}
	if got := says(h, later); got != wire.Holding_HOLDING_NOT {
		t.Errorf("after two heartbeats were due the agent says %v", got)
	}
	h.HandleHeartbeat(later+1, Heartbeat{Service: "one", Born: 5, Sequence: 1, Slots: 2})
	if !h.Accepting(later + 1) {
		t.Error("a target that starts late gets no flows")
	}
}

// An agent has just started beside a target that lives, or beside one that is just
// starting. Only where somebody listens may a search hand over a packet to find out
// whether the target holds its flow. A target that is starting resets what it does
// not know. The caller must not hear that: the flow is well at another target. The
// balancer hears that this one does not hold it.
func TestResetOfStrangerStaysHere(t *testing.T) {
	h := alone()
	h.RecordDial(testNow+1, Listening)
	if got := says(h, testNow+10); got != wire.Holding_HOLDING_UNSURE {
		t.Errorf("an agent beside a process that listens says %v", got)
	}
	packet := segment.Segment{Source: worldAddress(100, 0), Destination: worldListener, Flags: segment.Acks, Ack: 7, Size: 100}
	h.HandleParcel(testNow+11, worldAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: "one", Packet: encode(packet)}, &packet)
	if got := len(h.Take().Deliveries); got != 1 {
		t.Fatalf("the packet was handed over %d times", got)
	}
	reset := segment.Segment{Source: worldListener, Destination: worldAddress(100, 0), Flags: segment.Resets, Seq: 8}
	h.HandleTargetPacket(testNow+12, &reset, encode(reset))
	out := h.Take()
	if len(out.Answers) > 0 || len(out.Resets) > 0 {
		t.Error("the caller was reset by a target that does not hold its flow")
	}
	if len(out.Sends) != 1 || out.Sends[0].Parcel.Holding != wire.Holding_HOLDING_NOT {
		t.Errorf("the balancer was told %v", out.Sends)
	}
}
