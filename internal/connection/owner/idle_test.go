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
