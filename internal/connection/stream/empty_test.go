package stream

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// newAgentWithoutTarget returns an agent that has just started and knows of no target.
func newAgentWithoutTarget() *Tracker {
	return NewTracker(testNow, TrackerSettings{
		Service: "one", Heartbeat: 1200, HeartbeatTimeout: 3600, MaxFlows: 10, FlowTTL: testFlowTTL, Epoch: 1, Port: simPort,
	})
}

// askHolding asks an agent about a flow.
func askHolding(h *Tracker, now clock.Millis) wire.Holding {
	h.TakeOutcome()
	q := newQuestions(0, alwaysSearching)
	q.add(now, testAddress(2, 0), false, segment.Flow{Caller: testAddress(100, 0), Listener: testListener}, 7)
	var out Outcome
	q.flush(now, 0, &out)
	h.HandleParcel(now, testAddress(1, 0), out.Sends[0].Parcel, nil)
	return wire.Holding(h.TakeOutcome().Sends[0].Parcel.Holdings[0])
}

// returnPacket gives the agent a packet of that flow that the VM returned.
func returnPacket(h *Tracker, now clock.Millis) {
	s := segment.Segment{
		Source: testAddress(100, 0), Destination: testListener, Flags: segment.Acks | segment.Returned, Ack: 7,
	}
	h.HandleTargetPacket(now, &s, encode(s))
}

// All VMs lost power, including one whose target had left for good. Its agent starts
// again without a target; the VM refuses connections, but returns forwarded packets.
// Callers are reset only after this agent denies their flows: it must deny all flows once
// two connection attempts were refused, whatever packets the VM returns meanwhile.
func TestAgentWithoutTargetDeniesFlows(t *testing.T) {
	h := newAgentWithoutTarget()
	if got := askHolding(h, testNow+10); got != wire.Holding_HOLDING_UNKNOWN {
		t.Errorf("an agent that has just started answers %v", got)
	}
	for i := range clock.Millis(minFailedDials) {
		h.RecordDial(testNow+50+i*dialInterval, Refusing)
		returnPacket(h, testNow+60+i*dialInterval)
	}
	if got := askHolding(h, testNow+300); got != wire.Holding_HOLDING_NOT {
		t.Errorf("after refused connections the agent answers %v", got)
	}
}

// The same when connection attempts get no answer at all, which is inconclusive: the agent
// must answer unknown, so that it is not forwarded packets that would be neither taken nor
// returned, until two heartbeats were due. Then it must report that there is no target, so
// that no balancer waits for it when its VM is removed.
func TestUnansweredChecksAreInconclusive(t *testing.T) {
	h := newAgentWithoutTarget()
	for i := range clock.Millis(3) {
		h.RecordDial(testNow+50+i*dialInterval, Unanswered)
	}
	if got := askHolding(h, testNow+700); got != wire.Holding_HOLDING_UNKNOWN {
		t.Errorf("after unanswered connection attempts the agent answers %v", got)
	}
	if got := h.report(testNow+2300, 0).Condition; got != wire.Condition_CONDITION_UNKNOWN {
		t.Errorf("before two heartbeats were due the target is reported as %v", got)
	}
	later := testNow + firstHeartbeatWait*1200 + 1
	if got := h.report(later, 0).Condition; got != wire.Condition_CONDITION_GONE {
		t.Errorf("after two heartbeats were due the target is reported as %v", got)
	}
	if got := askHolding(h, later); got != wire.Holding_HOLDING_NOT {
		t.Errorf("after two heartbeats were due the agent answers %v", got)
	}
	h.HandleHeartbeat(later+1, Heartbeat{Service: "one", Born: 5, Sequence: 1, Slots: 2})
	if !h.Accepting(later + 1) {
		t.Error("a target that starts late gets no flows")
	}
}

// An agent has just started beside a running target, or one that is just starting. Only
// if a process listens may a search forward a packet to find out whether the target holds
// its flow. A starting target resets flows that it does not know. That reset must not reach
// the caller, whose flow is healthy at another target; the balancer must get a denial.
func TestResetOfUnknownFlowIsDropped(t *testing.T) {
	h := newAgentWithoutTarget()
	h.RecordDial(testNow+1, Listening)
	if got := askHolding(h, testNow+10); got != wire.Holding_HOLDING_UNSURE {
		t.Errorf("an agent beside a listening process answers %v", got)
	}
	packet := segment.Segment{Source: testAddress(100, 0), Destination: testListener, Flags: segment.Acks, Ack: 7, Size: 100}
	h.HandleParcel(testNow+11, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: "one", Packet: encode(packet)}, &packet)
	if got := len(h.TakeOutcome().Deliveries); got != 1 {
		t.Fatalf("the packet was delivered %d times", got)
	}
	reset := segment.Segment{Source: testListener, Destination: testAddress(100, 0), Flags: segment.Resets, Seq: 8}
	h.HandleTargetPacket(testNow+12, &reset, encode(reset))
	out := h.TakeOutcome()
	if len(out.Answers) > 0 || len(out.Resets) > 0 {
		t.Error("the caller was reset by a target that does not hold its flow")
	}
	if len(out.Sends) != 1 || out.Sends[0].Parcel.Holding != wire.Holding_HOLDING_NOT {
		t.Errorf("the balancer was sent %v", out.Sends)
	}
}
