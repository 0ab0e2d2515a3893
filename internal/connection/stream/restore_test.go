package stream

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const testWallClock = int64(1_700_000_000_000)

func callerFlow(i int) segment.Flow {
	return segment.Flow{
		Caller:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), 1025),
		Listener: testListener,
	}
}

// previousEntry returns the checkpoint of an earlier agent whose target started at 500.
func previousEntry(flows int) *checkpoint.Entry {
	e := &checkpoint.Entry{Service: "one", Born: 500, Writer: 9, At: testWallClock - 3000}
	for i := range flows {
		e.Flows = e.Flows.Append(checkpoint.Flow{ID: callerFlow(i), Ack: uint32(1000 + i)})
	}
	return e
}

// newRestartedTracker returns the Tracker of an agent that has just started.
func newRestartedTracker() *Tracker {
	return NewTracker(testNow, TrackerSettings{
		Service: "one", Heartbeat: simHeartbeat, HeartbeatTimeout: 3 * simHeartbeat, MaxFlows: 1000, FlowTTL: testFlowTTL, Epoch: 10,
		Port: simPort, Checkpoint: true,
	})
}

// openFlow opens a caller's flow at the agent's target.
func openFlow(tr *Tracker, at clock.Millis, i int) {
	id := callerFlow(i)
	s := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens}
	tr.HandleParcel(at, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_OPEN, Service: "one", Packet: encode(s)}, &s)
	answer := segment.Segment{Source: id.Listener, Destination: id.Caller, Flags: segment.Opens | segment.Acks, Seq: 999}
	tr.HandleTargetPacket(at+1, &answer, encode(answer))
	data := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Ack: 1000}
	tr.HandleParcel(at+2, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: "one", Packet: encode(data)}, &data)
}

func sendHeartbeat(tr *Tracker, now clock.Millis, born, sequence uint64) {
	tr.HandleHeartbeat(now, Heartbeat{Service: "one", Born: born, Sequence: sequence, Age: 10, Slots: 4})
}

// All VMs lost power. The agent receives a heartbeat of the restarted target before or
// after it has read the checkpoint. The callers of the earlier flows must be reset at once,
// each with a sequence number that it accepts.
func TestLostFlowsAreReset(t *testing.T) {
	for _, entryFirst := range []bool{true, false} {
		tr := newRestartedTracker()
		if entryFirst {
			tr.Restore(testNow+5, testWallClock, previousEntry(3))
			sendHeartbeat(tr, testNow+20, 900, 2)
		} else {
			sendHeartbeat(tr, testNow+5, 900, 2)
			tr.Restore(testNow+20, testWallClock, previousEntry(3))
		}
		resets := tr.TakeOutcome().Resets
		if len(resets) != 3 || resets[1] != (Reset{Flow: callerFlow(1), Seq: 1001}) {
			t.Errorf("entry first %v: resets %v", entryFirst, resets)
		}
		if got := tr.holding(testNow+30, callerFlow(1), 1001); got != wire.Holding_HOLDING_NOT {
			t.Errorf("entry first %v: holding of a lost flow: %v", entryFirst, got)
		}
	}
}

// A target held thousands of flows. Their callers are reset some at a time, so that packets
// are not delayed.
func TestManyLostFlows(t *testing.T) {
	tr := newRestartedTracker()
	tr.Restore(testNow, testWallClock, previousEntry(2*maxResetsPerTick+10))
	sendHeartbeat(tr, testNow+5, 900, 1)
	total := 0
	for i := range clock.Millis(4) {
		n := len(tr.TakeOutcome().Resets)
		if n > maxResetsPerTick {
			t.Errorf("%d resets at once", n)
		}
		total += n
		tr.Tick(testNow + 10 + 50*i)
	}
	if total != 2*maxResetsPerTick+10 {
		t.Errorf("%d flows were reset", total)
	}
}

// A caller has reused its port before the checkpoint was read. The new flow is intact and
// must not be reset.
func TestFlowOpenedAgainIsNotReset(t *testing.T) {
	tr := newRestartedTracker()
	sendHeartbeat(tr, testNow+5, 900, 1)
	s := segment.Segment{Source: callerFlow(1).Caller, Destination: testListener, Flags: segment.Opens}
	tr.HandleParcel(testNow+10, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_OPEN, Service: "one", Packet: encode(s)}, &s)
	tr.TakeOutcome()
	tr.Restore(testNow+20, testWallClock, previousEntry(3))
	for _, r := range tr.TakeOutcome().Resets {
		if r.Flow == callerFlow(1) {
			t.Error("a flow that was opened again is reset")
		}
	}
}

// The agent was killed while its target kept running. It must reset nothing, and is unsure
// of flows whose opening it did not see, whether they are in the checkpoint or not.
func TestFlowsOfRunningTargetAreKept(t *testing.T) {
	tr := newRestartedTracker()
	tr.Restore(testNow, testWallClock, previousEntry(3))
	sendHeartbeat(tr, testNow+5, 500, 80)
	if resets := tr.TakeOutcome().Resets; len(resets) != 0 {
		t.Errorf("resets %v", resets)
	}
	for _, i := range []int{1, 7} {
		if got := tr.holding(testNow+10, callerFlow(i), 1001); got != wire.Holding_HOLDING_UNSURE {
			t.Errorf("holding %v for flow %d", got, i)
		}
	}
}

// A flow is opened after the target's last heartbeat. The target may have restarted since
// without the agent knowing, so the flow may belong to the new incarnation and must not be
// stored as one of the old.
func TestUnconfirmedFlowsAreNotCheckpointed(t *testing.T) {
	tr := newRestartedTracker()
	tr.Restore(testNow, testWallClock, nil)
	sendHeartbeat(tr, testNow+5, 500, 1)
	openFlow(tr, testNow+10, 1)
	if e := tr.checkpointEntry(); e.Flows.Len() != 0 {
		t.Errorf("%d flows are in the checkpoint before a heartbeat arrived", e.Flows.Len())
	}
	sendHeartbeat(tr, testNow+1200, 500, 2)
	openFlow(tr, testNow+1300, 2)
	e := tr.checkpointEntry()
	for f := range e.Flows.All() {
		if f != (checkpoint.Flow{ID: callerFlow(1), Ack: 1000}) {
			t.Errorf("unexpected flow in the checkpoint: %v", f)
		}
	}
	if e.Flows.Len() != 1 || e.Born != 500 || e.Writer != 10 {
		t.Errorf("checkpoint: %+v", e)
	}
}

// A keeper probes the agent before it has read the checkpoint of an earlier process. A
// checkpoint sent now would overwrite that one.
func TestNoCheckpointBeforePreviousIsRead(t *testing.T) {
	tr := newRestartedTracker()
	sendHeartbeat(tr, testNow+5, 500, 80)
	probe := &wire.Parcel{Verb: wire.Verb_VERB_PROBE, Report: &wire.Report{Probe: 1, Keeper: true}}
	openFlow(tr, testNow+6, 9)
	sendHeartbeat(tr, testNow+1200, 500, 81)
	sent := func(now clock.Millis) int {
		tr.HandleParcel(now, testAddress(1, 0), probe, nil)
		tr.TakeOutcome()
		tr.Tick(now)
		parts := 0
		for _, s := range tr.TakeOutcome().Sends {
			if s.Parcel.Verb == wire.Verb_VERB_KEEP {
				parts++
			}
		}
		return parts
	}
	if sent(testNow+1300) != 0 {
		t.Error("a checkpoint is sent before the earlier one was read")
	}
	tr.Restore(testNow+1350, testWallClock, previousEntry(5))
	if sent(testNow+1400) != 1 {
		t.Error("no checkpoint is sent after the earlier one was read")
	}
	if sent(testNow+1500) != 0 {
		t.Error("a checkpoint is sent again at once")
	}
	if sent(testNow+2600) != 1 {
		t.Error("a checkpoint is not sent again although it was not acknowledged")
	}
	tr.HandleParcel(testNow+2650, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_KEPT, Checkpoint: &wire.Checkpoint{Number: 2}}, nil)
	if sent(testNow+4000) != 0 {
		t.Error("a checkpoint is sent again although it was acknowledged")
	}
}

// The agent has read the checkpoint, but has received a single heartbeat, which may be from
// an earlier target process. There is no verdict yet, and the checkpoint must not be
// overwritten.
func TestNoCheckpointBeforePreviousIsJudged(t *testing.T) {
	tr := newRestartedTracker()
	tr.Restore(testNow, testWallClock, previousEntry(3))
	sendHeartbeat(tr, testNow+5, 900, 70)
	openFlow(tr, testNow+6, 9)
	tr.upstream.lastHeartbeat = testNow + 10
	tr.HandleParcel(testNow+20, testAddress(1, 0), &wire.Parcel{
		Verb: wire.Verb_VERB_PROBE, Report: &wire.Report{Probe: 1, Keeper: true},
	}, nil)
	tr.TakeOutcome()
	tr.Tick(testNow + 30)
	for _, s := range tr.TakeOutcome().Sends {
		if s.Parcel.Verb == wire.Verb_VERB_KEEP {
			t.Error("a checkpoint is sent before there is a verdict on the earlier one")
		}
	}
}

// A balancer that starts takes from the store which targets there are. An agent must know
// when its target holds flows and is missing there: not stored yet, or expired.
func TestTargetWithFlowsIsUnlistedUntilStored(t *testing.T) {
	tr := newRestartedTracker()
	tr.Restore(testNow, testWallClock, nil)
	sendHeartbeat(tr, testNow, 900, 1)
	check := func(what string, now clock.Millis, want bool) {
		t.Helper()
		if got := tr.Unlisted(now); got != want {
			t.Errorf("%s: unlisted %v", what, got)
		}
	}
	check("no flow was opened", testNow+5, false)
	openFlow(tr, testNow+10, 1)
	check("a flow is open", testNow+20, true)
	sendHeartbeat(tr, testNow+1000, 900, 2)
	sent := testNow + 1100
	tr.HandleParcel(sent, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_PROBE, Report: &wire.Report{Keeper: true}}, nil)
	tr.sendCheckpoint(sent)
	check("the keeper has not answered", sent+100, true)
	tr.HandleParcel(sent+200, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_KEPT, Checkpoint: &wire.Checkpoint{Number: 1}}, nil)
	check("the keeper has stored it", sent+200, false)
	check("the entry may have expired", sent+testFlowTTL+1, true)
	tr.RecordLeave(sent + 300)
	check("the target has left", sent+300, false)
}

// A target has left, so keepers remove its entry, and another one starts at its agent: that
// one is not listed by what was stored before.
func TestNextTargetIsUnlisted(t *testing.T) {
	tr := newRestartedTracker()
	tr.Restore(testNow, testWallClock, nil)
	sendHeartbeat(tr, testNow, 900, 1)
	tr.HandleParcel(testNow+10, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_PROBE, Report: &wire.Report{Keeper: true}}, nil)
	tr.sendCheckpoint(testNow + 10)
	tr.HandleParcel(testNow+20, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_KEPT, Checkpoint: &wire.Checkpoint{Number: 1}}, nil)
	tr.RecordLeave(testNow + 100)
	tr.Tick(testNow + 150)
	sendHeartbeat(tr, testNow+2000, 2900, 1)
	openFlow(tr, testNow+2010, 1)
	if !tr.Unlisted(testNow + 2020) {
		t.Error("counts as listed")
	}
}

// An agent that was restarted has not seen the target's flows; until the store lists it again,
// it must count as holding some.
func TestRestartedAgentIsUnlisted(t *testing.T) {
	tr := newRestartedTracker()
	sendHeartbeat(tr, testNow, 900, 40)
	if !tr.Unlisted(testNow + 10) {
		t.Error("counts as listed")
	}
}

// An agent has just restarted, and several late heartbeats of an earlier incarnation are the
// first that it gets. They must not count as proof that the target of the checkpoint, which
// lives, is gone: its flows would be reset.
func TestLateHeartbeatsAndCheckpoint(t *testing.T) {
	for _, lives := range []bool{true, false} {
		tr := newRestartedTracker()
		tr.Restore(testNow+5, testWallClock, previousEntry(3))
		for i := range 4 {
			at := testNow + 100 + 300*clock.Millis(i)
			tr.HandleHeartbeat(at, Heartbeat{Service: "one", Born: 300, Sequence: uint64(9 + i), Age: 20 * clock.Second, Slots: 4})
		}
		if out := tr.TakeOutcome(); len(out.Resets) > 0 {
			t.Errorf("lives %v: resets %v after late heartbeats", lives, out.Resets)
		}
		born := uint64(300)
		if lives {
			born = 500
		}
		for i := range 5 {
			at := testNow + 1200*clock.Millis(i+1)
			tr.HandleHeartbeat(at, Heartbeat{Service: "one", Born: born, Sequence: uint64(20 + i), Age: 20 * clock.Second, Slots: 4})
		}
		if got := len(tr.TakeOutcome().Resets); (got > 0) == lives {
			t.Errorf("lives %v: %d resets", lives, got)
		}
	}
}
