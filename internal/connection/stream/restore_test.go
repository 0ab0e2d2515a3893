package stream

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const testWall = int64(1_700_000_000_000)

func callerFlow(i int) segment.Flow {
	return segment.Flow{
		Caller:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1025),
		Listener: worldListener,
	}
}

// left is what an earlier agent has left of a target that started at 500.
func left(flows int) *checkpoint.Entry {
	e := &checkpoint.Entry{Service: "one", Born: 500, Writer: 9, At: testWall - 3000}
	for i := range flows {
		e.Flows = e.Flows.Append(checkpoint.Flow{ID: callerFlow(i), Ack: uint32(1000 + i)})
	}
	return e
}

// returning is an agent that has just started.
func returning() *Holder {
	return NewHolder(testNow, HolderSettings{
		Service: "one", Heartbeat: worldBeat, SilentAfter: 3 * worldBeat, Flows: 1000, FlowLife: worldLife, Epoch: 10,
		Port: worldPort, Checkpoint: true,
	})
}

// serve opens a caller's flow at the agent's target.
func serve(h *Holder, at clock.Millis, i int) {
	id := callerFlow(i)
	s := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens}
	h.Hear(at, worldAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_OPEN, Service: "one", Packet: encode(s)}, &s)
	answer := segment.Segment{Source: id.Listener, Destination: id.Caller, Flags: segment.Opens | segment.Acks, Seq: 999}
	h.FromTarget(at+1, &answer, encode(answer))
	data := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Ack: 1000}
	h.Hear(at+2, worldAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: "one", Packet: encode(data)}, &data)
}

func beat(h *Holder, now clock.Millis, born, sequence uint64) {
	h.Beat(now, Beat{Service: "one", Born: born, Sequence: sequence, Age: 10, Slots: 4})
}

// All VMs lost power. The agent hears a target that has just started before it has read
// what is kept, or after: the callers of the flows of before are told at once, each with
// a number that it takes.
func TestLostFlowsAreReset(t *testing.T) {
	for _, entryFirst := range []bool{true, false} {
		h := returning()
		if entryFirst {
			h.Restore(testNow+5, testWall, left(3))
			beat(h, testNow+20, 900, 2)
		} else {
			beat(h, testNow+5, 900, 2)
			h.Restore(testNow+20, testWall, left(3))
		}
		resets := h.Take().Resets
		if len(resets) != 3 || resets[1] != (Reset{Flow: callerFlow(1), Seq: 1001}) {
			t.Errorf("entry first %v: resets %v", entryFirst, resets)
		}
		if got := h.holding(testNow+30, callerFlow(1), 1001); got != wire.Holding_HOLDING_NOT {
			t.Errorf("entry first %v: says %v of a lost flow", entryFirst, got)
		}
	}
}

// A target held thousands of flows: their callers are told some at a time, and packets
// do not wait for all of it.
func TestManyLostFlows(t *testing.T) {
	h := returning()
	h.Restore(testNow, testWall, left(2*resetsPerTick+10))
	beat(h, testNow+5, 900, 1)
	total := 0
	for i := range clock.Millis(4) {
		n := len(h.Take().Resets)
		if n > resetsPerTick {
			t.Errorf("%d resets at once", n)
		}
		total += n
		h.Tick(testNow + 10 + 50*i)
	}
	if total != 2*resetsPerTick+10 {
		t.Errorf("%d callers were told", total)
	}
}

// A caller has used its port again before the lost flows were read: the flow of now is
// well and stays.
func TestFlowOpenedAgainIsNotReset(t *testing.T) {
	h := returning()
	beat(h, testNow+5, 900, 1)
	s := segment.Segment{Source: callerFlow(1).Caller, Destination: worldListener, Flags: segment.Opens}
	h.Hear(testNow+10, worldAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_OPEN, Service: "one", Packet: encode(s)}, &s)
	h.Take()
	h.Restore(testNow+20, testWall, left(3))
	for _, r := range h.Take().Resets {
		if r.Flow == callerFlow(1) {
			t.Error("a flow that was opened since is reset")
		}
	}
}

// The agent was killed beside a living target: it resets nothing, and is unsure of what
// it did not see begin, whether it was kept or not.
func TestFlowsOfALivingTargetStay(t *testing.T) {
	h := returning()
	h.Restore(testNow, testWall, left(3))
	beat(h, testNow+5, 500, 80)
	if resets := h.Take().Resets; len(resets) != 0 {
		t.Errorf("resets %v", resets)
	}
	for _, i := range []int{1, 7} {
		if got := h.holding(testNow+10, callerFlow(i), 1001); got != wire.Holding_HOLDING_UNSURE {
			t.Errorf("says %v of flow %d", got, i)
		}
	}
}

// A request was opened right before the target started anew, which its agent has not
// heard yet: the flow may be the new target's. It must not be kept as the old one's.
func TestFlowsOfAnUncertainTargetAreNotKept(t *testing.T) {
	h := returning()
	h.Restore(testNow, testWall, nil)
	beat(h, testNow+5, 500, 1)
	serve(h, testNow+10, 1)
	if e := h.entry(); e.Flows.Len() != 0 {
		t.Errorf("%d flows are kept before a heartbeat came", e.Flows.Len())
	}
	beat(h, testNow+1200, 500, 2)
	serve(h, testNow+1300, 2)
	e := h.entry()
	for f := range e.Flows.All() {
		if f != (checkpoint.Flow{ID: callerFlow(1), Ack: 1000}) {
			t.Errorf("kept: %v", f)
		}
	}
	if e.Flows.Len() != 1 || e.Born != 500 || e.Writer != 10 {
		t.Errorf("the entry is %+v", e)
	}
}

// A keeper asks, and the agent has not read yet what an earlier one has left: what it
// sent now would replace that.
func TestNothingIsKeptBeforeThePastIsRead(t *testing.T) {
	h := returning()
	beat(h, testNow+5, 500, 80)
	probe := &wire.Parcel{Verb: wire.Verb_VERB_PROBE, Report: &wire.Report{Probe: 1, Keeper: true}}
	serve(h, testNow+6, 9)
	beat(h, testNow+1200, 500, 81)
	sent := func(now clock.Millis) int {
		h.Hear(now, worldAddress(1, 0), probe, nil)
		h.Take()
		h.Tick(now)
		parts := 0
		for _, s := range h.Take().Sends {
			if s.Parcel.Verb == wire.Verb_VERB_KEEP {
				parts++
			}
		}
		return parts
	}
	if sent(testNow+1300) != 0 {
		t.Error("an entry is sent before the earlier one was read")
	}
	h.Restore(testNow+1350, testWall, left(5))
	if sent(testNow+1400) != 1 {
		t.Error("no entry is sent after the earlier one was read")
	}
	if sent(testNow+1500) != 0 {
		t.Error("an entry is sent again at once")
	}
	if sent(testNow+2600) != 1 {
		t.Error("an entry is not sent again although nobody has said that it is kept")
	}
	h.Hear(testNow+2650, worldAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_KEPT, Checkpoint: &wire.Checkpoint{Number: 2}}, nil)
	if sent(testNow+4000) != 0 {
		t.Error("an entry is sent again although it is kept")
	}
}

// The agent has read what is there, but its target has spoken once only and may be a
// process of before: nothing is judged, and nothing may be replaced yet.
func TestNothingIsKeptBeforeThePastIsJudged(t *testing.T) {
	h := returning()
	h.Restore(testNow, testWall, left(3))
	beat(h, testNow+5, 900, 70)
	serve(h, testNow+6, 9)
	h.upstream.beat = testNow + 10
	h.Hear(testNow+20, worldAddress(1, 0), &wire.Parcel{
		Verb: wire.Verb_VERB_PROBE, Report: &wire.Report{Probe: 1, Keeper: true},
	}, nil)
	h.Take()
	h.Tick(testNow + 30)
	for _, s := range h.Take().Sends {
		if s.Parcel.Verb == wire.Verb_VERB_KEEP {
			t.Error("an entry is sent before the earlier one was judged")
		}
	}
}
