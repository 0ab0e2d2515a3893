package owner_test

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// The idle timeout of flows is shorter than that of their connections. Datagrams of a flow
// that breaks because of it must not look like those of an unknown flow: its target reports
// them, once.
func TestDatagramOfExpiredFlowIsReported(t *testing.T) {
	g := newGroup(t, 2)
	a := g.agents[0]
	take := func(stage wire.Stage) owner.Decision {
		e := &wire.Envelope{Service: 1, Target: a.id, Incarnation: 1, Caller: g.callerBytes(), Stage: stage, Budget: 9, Payload: []byte{0x40}}
		return a.table.Take(owner.Arrival{Now: g.now, Envelope: e, Via: g.caller}, a.view, a.local, a)
	}
	if d := take(wire.Stage_STAGE_OPEN); d.Action != owner.Deliver {
		t.Fatalf("the flow was not opened: %v", d.Action)
	}
	g.now += clock.Hour + 1
	if len(a.table.Expire(g.now, false)) != 1 {
		t.Fatal("the flow has not expired")
	}
	g.now += clock.Second
	if d := take(wire.Stage_STAGE_OWNED); d.ExpiredIdle != clock.Hour+1+clock.Second || d.Action != owner.Pass {
		t.Errorf("reported as silent for %d, action %v", d.ExpiredIdle, d.Action)
	}
	if d := take(wire.Stage_STAGE_OWNED); d.ExpiredIdle != 0 {
		t.Error("reported twice")
	}
}

// A drain reaches its limit, and the caller of a flow that it has ended continues. This must
// not be reported to operators as an idle timeout that is too short.
func TestDrainedFlowIsNotReportedAsExpired(t *testing.T) {
	g := newGroup(t, 2)
	a := g.agents[0]
	e := func(stage wire.Stage) *wire.Envelope {
		return &wire.Envelope{Service: 1, Target: a.id, Incarnation: 1, Caller: g.callerBytes(), Stage: stage, Budget: 9, Payload: []byte{0x40}}
	}
	a.table.Take(owner.Arrival{Now: g.now, Envelope: e(wire.Stage_STAGE_OPEN), Via: g.caller}, a.view, a.local, a)
	if len(a.table.Expire(g.now, true)) != 1 {
		t.Fatal("the flow has not been removed")
	}
	g.now += clock.Second
	if d := a.table.Take(owner.Arrival{Now: g.now, Envelope: e(wire.Stage_STAGE_OWNED), Via: g.caller}, a.view, a.local, a); d.ExpiredIdle != 0 {
		t.Errorf("reported as expired after %d of silence", d.ExpiredIdle)
	}
}

// Copies of a caller were lost while its agent was restarted, and it waits twice as long
// before the next one. Its flow must not be ended as idle before that one arrives, and a flow
// without a caller must not stay forever.
func TestRestoredFlowAwaitsItsCaller(t *testing.T) {
	g := newGroup(t, 1)
	a := g.agents[0]
	idle := 5 * clock.Second
	successor := owner.NewTable(owner.Limits{MaxFlows: 9, MaxPlacements: 9, IdleTimeout: idle, UnansweredTimeout: clock.Hour}, a.loads)
	entry := owner.Entry{Caller: g.caller, Port: 4, OpeningNumber: 1, Answered: true, Idle: 4 * clock.Second}
	if lost := successor.Import(g.now, &owner.Ledger{Flows: []owner.Entry{entry}}, a); len(lost) != 0 {
		t.Fatalf("not restored: %v", lost)
	}
	g.now += 13 * clock.Second
	if ended := successor.Expire(g.now, false); len(ended) != 0 {
		t.Fatal("ended although its caller may still be waiting for an answer that the restart has cost it")
	}
	e := &wire.Envelope{Service: 1, Target: a.id, Incarnation: 1, Caller: g.callerBytes(), Stage: wire.Stage_STAGE_OWNED, Budget: 9, Payload: []byte{0x40}}
	if d := successor.Take(owner.Arrival{Now: g.now, Envelope: e, Via: g.caller}, a.view, a.local, a); d.Action != owner.Deliver {
		t.Errorf("the caller's next copy: %v", d.Action)
	}
	if len(successor.Expire(g.now+idle+clock.Minute, false)) != 1 {
		t.Error("a flow without a caller does not end")
	}
}

// A caller still tries to open its flow, with pauses longer than the idle timeout. The flow must
// not be ended before the caller gives up: its next copy would open another one elsewhere.
func TestOpeningFlowIsNotIdle(t *testing.T) {
	g := newGroup(t, 1)
	a := g.agents[0]
	tries := 10 * clock.Second
	a.table.SetLimits(owner.Limits{MaxFlows: 9, IdleTimeout: 5 * clock.Second, UnansweredTimeout: tries})
	g.deliver(g.opening(a))
	if ended := a.table.Expire(g.now+tries, false); len(ended) != 0 {
		t.Error("ended while its caller may still be opening it")
	}
	if ended := a.table.Expire(g.now+tries+1, false); len(ended) != 1 {
		t.Error("not ended after its caller has given up")
	}
}

// A machine is short of processor time, a caller's round trips take seconds, and its pauses many.
// Its flow must not be ended although the service's idle timeout is shorter.
func TestPausingCallerIsNotIdle(t *testing.T) {
	g := newGroup(t, 1)
	a := g.agents[0]
	a.table.SetLimits(owner.Limits{MaxFlows: 9, IdleTimeout: 5 * clock.Second, UnansweredTimeout: 10 * clock.Second})
	take := func() owner.Decision {
		return a.table.Take(owner.Arrival{Now: g.now, Envelope: g.opening(a), Via: g.caller}, a.view, a.local, a)
	}
	if _, ok := a.table.RecordAnswer(g.now, take().Flow, []byte{0x40}); !ok {
		t.Fatal("the flow was not opened")
	}
	g.now += 11 * clock.Second
	take()
	if ended := a.table.Expire(g.now+13*clock.Second, false); len(ended) != 0 {
		t.Error("ended while its caller may be pausing")
	}
	if ended := a.table.Expire(g.now+18*clock.Second, false); len(ended) != 1 {
		t.Error("not ended after a pause that no caller makes")
	}
}
