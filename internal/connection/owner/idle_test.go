package owner_test

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// The answers give flows less idle time than their connections have. A flow that breaks for
// it must not look like a stranger's datagrams: its target says so, once.
func TestFlowThatGoesOnAfterItsEndIsTold(t *testing.T) {
	g := newGroup(t, 2)
	a := g.agents[0]
	take := func(stage wire.Stage) owner.Decision {
		e := &wire.Envelope{Service: 1, Target: a.id, Incarnation: 1, Caller: g.wire(), Stage: stage, Budget: 9, Payload: []byte{0x40}}
		return a.table.Take(owner.Arrival{Now: g.now, Envelope: e, Via: g.caller}, a.view, a.own, a)
	}
	if d := take(wire.Stage_STAGE_OPEN); d.Action != owner.Deliver {
		t.Fatalf("the flow was not opened: %v", d.Action)
	}
	g.now += clock.Hour + 1
	if len(a.table.Expire(g.now, false)) != 1 {
		t.Fatal("the flow is not over")
	}
	g.now += clock.Second
	if d := take(wire.Stage_STAGE_OWNED); d.Outlived != clock.Hour+1+clock.Second || d.Action != owner.Pass {
		t.Errorf("outlived by %d, %v", d.Outlived, d.Action)
	}
	if d := take(wire.Stage_STAGE_OWNED); d.Outlived != 0 {
		t.Error("told twice")
	}
}

// A drain has reached its limit, and a flow that it has ended goes on. The operators must
// not be told that the service's idle time is too short.
func TestDrainedFlowIsNotIdle(t *testing.T) {
	g := newGroup(t, 2)
	a := g.agents[0]
	e := func(stage wire.Stage) *wire.Envelope {
		return &wire.Envelope{Service: 1, Target: a.id, Incarnation: 1, Caller: g.wire(), Stage: stage, Budget: 9, Payload: []byte{0x40}}
	}
	a.table.Take(owner.Arrival{Now: g.now, Envelope: e(wire.Stage_STAGE_OPEN), Via: g.caller}, a.view, a.own, a)
	if len(a.table.Expire(g.now, true)) != 1 {
		t.Fatal("the flow is not over")
	}
	g.now += clock.Second
	if d := a.table.Take(owner.Arrival{Now: g.now, Envelope: e(wire.Stage_STAGE_OWNED), Via: g.caller}, a.view, a.own, a); d.Outlived != 0 {
		t.Errorf("outlived by %d", d.Outlived)
	}
}
