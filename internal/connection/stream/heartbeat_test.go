package stream

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// An agent receives its target's heartbeat for the first time. Whether it knows all flows
// must not depend on how quickly processes are restarted: an agent that follows another at
// once, with a target that has just started, would deny intact flows.
func TestFirstHeartbeat(t *testing.T) {
	flow := segment.Flow{Caller: testAddress(100, 0), Listener: testListener}
	for _, c := range []struct {
		name     string
		sequence uint64
		age      clock.Millis
		want     wire.Holding
	}{
		{"the first one", 1, 10, wire.Holding_HOLDING_NOT},
		{"the others were not acknowledged", 4, 200, wire.Holding_HOLDING_NOT},
		{"another agent may have acknowledged, an interval ago", 2, simHeartbeat + 20, wire.Holding_HOLDING_UNSURE},
		{"many were sent", 9, 600, wire.Holding_HOLDING_UNSURE},
		{"the clock was set back", 3, -5, wire.Holding_HOLDING_UNSURE},
		{"the first one of an earlier target, late", 1, 13 * clock.Second, wire.Holding_HOLDING_UNSURE},
	} {
		tr := newAgentWithoutTarget()
		now := testNow + c.age
		tr.HandleHeartbeat(now, Heartbeat{Service: "one", Born: 900, Sequence: c.sequence, Age: c.age, Slots: 4})
		if got := tr.holding(now, flow, 7); got != c.want {
			t.Errorf("%s: holding %v, want %v", c.name, got, c.want)
		}
	}
}

// A target restarts, and its heartbeats are delayed for long. Flows opened after the
// earlier incarnation's last heartbeat may be the new one's and must stay, however old;
// earlier ones are gone, however young.
func TestTargetRestart(t *testing.T) {
	tr := newAgentWithoutTarget()
	tr.HandleHeartbeat(testNow, Heartbeat{Service: "one", Born: 500, Sequence: 1, Age: 10, Slots: 4})
	openFlow(tr, testNow+100, 1)
	tr.HandleHeartbeat(testNow+1200, Heartbeat{Service: "one", Born: 500, Sequence: 2, Age: 1210, Slots: 4})
	openFlow(tr, testNow+1500, 2)
	tr.TakeOutcome()
	tr.HandleHeartbeat(testNow+9000, Heartbeat{Service: "one", Born: 2500, Sequence: 3, Age: 7800, Slots: 4})
	resets := tr.TakeOutcome().Resets
	if len(resets) != 1 || resets[0].Flow != callerFlow(1) {
		t.Errorf("resets %v, want the flow that was opened before the last heartbeat", resets)
	}
}

// An agent has just restarted. The first heartbeat that it gets is a late one of its target's
// earlier incarnation, so the next one of the living target must not be taken for a restart:
// that would reset open flows.
func TestLateHeartbeatOfEarlierTarget(t *testing.T) {
	for _, c := range []struct {
		name string
		age  clock.Millis
	}{{"the clock was not set", 7 * clock.Second}, {"the clock was set back", -clock.Second}} {
		tr := newRestartedTracker()
		carryUnseenFlow(tr, testNow+100, 1)
		tr.HandleHeartbeat(testNow+550, Heartbeat{Service: "one", Born: 500, Sequence: 9, Age: 20 * clock.Second, Slots: 4})
		carryUnseenFlow(tr, testNow+600, 2)
		tr.HandleHeartbeat(testNow+900, Heartbeat{Service: "one", Born: 900, Sequence: 6, Age: c.age, Slots: 4})
		if out := tr.TakeOutcome(); len(out.Resets) > 0 {
			t.Errorf("%s: resets %v", c.name, out.Resets)
		}
		for i, want := range []wire.Holding{wire.Holding_HOLDING_UNSURE, wire.Holding_HOLDING_OWNED, wire.Holding_HOLDING_OWNED} {
			if got := tr.holding(testNow+910, callerFlow(i), 1000); got != want {
				t.Errorf("%s: flow %d: holding %v, want %v", c.name, i, got, want)
			}
		}
	}
}

// A target restarts beside an agent that runs on, and its first heartbeats are lost. The agent
// has seen all openings since: it must not be unsure, or each search costs a packet.
func TestRestartHeardLate(t *testing.T) {
	tr := newAgentWithoutTarget()
	tr.HandleHeartbeat(testNow, Heartbeat{Service: "one", Born: 500, Sequence: 9, Age: 11 * clock.Second, Slots: 4})
	if got := tr.holding(testNow+10, callerFlow(1), 7); got != wire.Holding_HOLDING_UNSURE {
		t.Fatalf("holding of an unseen flow before the restart: %v", got)
	}
	tr.HandleHeartbeat(testNow+9000, Heartbeat{Service: "one", Born: 2500, Sequence: 7, Age: 7800, Slots: 4})
	if got := tr.holding(testNow+9010, callerFlow(1), 7); got != wire.Holding_HOLDING_NOT {
		t.Errorf("holding of an unseen flow after the restart: %v", got)
	}
}

// carryUnseenFlow passes a packet of a flow on whose opening the agent has not seen, and the
// target answers it.
func carryUnseenFlow(tr *Tracker, now clock.Millis, i int) {
	id := callerFlow(i)
	data := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Ack: 1000, Size: 10}
	tr.HandleParcel(now, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: "one", Packet: encode(data)}, &data)
	answer := segment.Segment{Source: id.Listener, Destination: id.Caller, Flags: segment.Acks, Seq: 1000, Size: 10}
	tr.HandleTargetPacket(now+5, &answer, encode(answer))
}
