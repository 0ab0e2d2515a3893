package stream

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// hearOnly makes a balancer hear from the first of its targets alone until the others count as
// lost, and returns the time.
func hearOnly(s *Steerer, heard int) clock.Millis {
	now := testNow
	for ; now < testNow+lostAfter+clock.Second; now += 50 {
		s.Tick(now)
		for i := range heard {
			s.HandleParcel(now, testAddress(2, i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
				Domain: "a", Service: "one", Epoch: 1, Sequence: uint64(now), Born: 1, Probe: 1, Condition: wire.Condition_CONDITION_READY,
			}}, nil)
		}
	}
	s.TakeOutcome()
	return now
}

// A balancer is cut off from half of the targets or more. They seem lost to it and live, so
// neither their open flows nor those that nobody else holds may be reset.
func TestCutOffBalancerResetsNothing(t *testing.T) {
	const targets = 4
	for heard := 1; heard < targets; heard++ {
		s, _ := newSearchingSteerer(t, targets, 0)
		s.SetSettled(true)
		sendAnswer(s, testNow+1, targets-1, wire.Holding_HOLDING_OWNED)
		now := hearOnly(s, heard)
		next := dataPacket(101)
		s.HandlePacket(now, decode(next), next)
		if got := len(s.TakeOutcome().Resets); (got > 0) != (2*heard > targets) {
			t.Errorf("%d of %d targets are heard: %d resets of a flow whose owner is silent", heard, targets, got)
		}
		other := dataPacket(1)
		seg := decode(other)
		seg.Source = testAddress(100, 1)
		s.HandlePacket(now+10, seg, other)
		id := seg.FromCaller()
		for i := range heard {
			s.handleHolding(now+11, testAddress(2, i), id, wire.Holding_HOLDING_NOT)
		}
		resets := len(s.TakeOutcome().Resets)
		for at := now + 20; at < now+searchTimeout; at += 10 {
			s.Tick(at)
			resets += len(s.TakeOutcome().Resets)
		}
		if (resets > 0) != (2*heard > targets) {
			t.Errorf("%d of %d targets are heard: %d resets of a flow that these have denied", heard, targets, resets)
		}
	}
}

// A balancer that has just started knows that a target is lost, but not who else there is: it
// may not reset the flows that others have told it of.
func TestUnsettledBalancerKeepsFlowsOfSilentTarget(t *testing.T) {
	for _, settled := range []bool{false, true} {
		s, _ := newSearchingSteerer(t, 3, 0)
		s.SetSettled(settled)
		sendAnswer(s, testNow+1, 2, wire.Holding_HOLDING_OWNED)
		now := hearOnly(s, 2)
		next := dataPacket(101)
		s.HandlePacket(now, decode(next), next)
		if got := len(s.TakeOutcome().Resets); (got > 0) != settled {
			t.Errorf("settled %v: %d resets", settled, got)
		}
	}
}

// A target's backlog is full for a moment and the VM refuses one connection. That is no proof
// that no process listens: its open flows must stay.
func TestOneRefusedDialEndsNoFlow(t *testing.T) {
	tr := newRestartedTracker()
	sendHeartbeat(tr, testNow, 900, 1)
	openFlow(tr, testNow+10, 1)
	tr.TakeOutcome()
	tr.RecordDial(testNow+50, Refusing)
	tr.RecordDial(testNow+50+dialInterval, Listening)
	tr.RecordDial(testNow+50+2*dialInterval, Refusing)
	if resets := tr.TakeOutcome().Resets; len(resets) > 0 {
		t.Errorf("resets %v", resets)
	}
	tr.RecordDial(testNow+50+3*dialInterval, Refusing)
	if resets := tr.TakeOutcome().Resets; len(resets) != 1 {
		t.Errorf("%d resets after two refused connections in a row, want 1", len(resets))
	}
}

// A target denied a flow, and its caller has opened it there since, from a port that it uses
// again: the denial must not stand for long, or the flow would be reset.
func TestDenialsExpire(t *testing.T) {
	s, packet := newSearchingSteerer(t, 1, 0)
	sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
	for at := testNow + 10; at < testNow+searchTimeout+100; at += 10 {
		s.Tick(at)
	}
	f, ok := s.flows.Peek(testFlow)
	if !ok || f.answers[testAddress(2, 0)] == nil {
		t.Fatal("the denial is not kept")
	}
	target, _ := s.Targets.Find(testAddress(2, 0))
	if a := f.answers[testAddress(2, 0)]; !a.stillDenies(testNow+denialTTL, target) || a.stillDenies(testNow+denialTTL+1, target) {
		t.Errorf("the denial does not stand for %d ms", denialTTL)
	}
	later := testNow + searchTimeout + denialTTL
	s.Tick(later)
	s.TakeOutcome()
	s.HandlePacket(later+1, decode(packet), packet)
	if asked := countSends(s)[wire.Verb_VERB_ASK]; asked[testAddress(2, 0)] != 1 {
		t.Errorf("asked %v, want the target that denied the flow long ago", asked)
	}
}
