package stream

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// sendOpening sends the opening packet of a caller's flow to a balancer.
func sendOpening(s *Steerer, now clock.Millis, i int) {
	id := callerFlow(i)
	packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens})
	s.HandlePacket(now, decode(packet), packet)
}

// countOpenings counts the opening packets that a balancer has sent to targets.
func countOpenings(s *Steerer) int {
	n := 0
	for _, send := range s.TakeOutcome().Sends {
		if send.Parcel.Verb == wire.Verb_VERB_OPEN {
			n++
		}
	}
	return n
}

func newTestTable(t testing.TB) *routing.Table {
	t.Helper()
	table := &routing.Table{Version: 1, Listeners: []*routing.Listener{
		{Name: "l", Address: testListener, Shares: []routing.Share{{Service: "one", Weight: 1}}},
	}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	return table
}

func reportReadyTarget(s *Steerer, now clock.Millis) {
	s.HandleParcel(now, testAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
		Name: "t", Domain: "a", Service: "one", Epoch: 1, Sequence: 1, Born: 1,
		Condition: wire.Condition_CONDITION_READY, Slots: 4,
	}}, nil)
}

// After all VMs lost power, many callers reconnect while a balancer starts. Their opening
// packets must wait for the route and for a target, in either order, and each must be sent
// once: by the time of the retransmission half of the callers' timeout has passed.
func TestOpeningsQueueDuringStart(t *testing.T) {
	for _, routeFirst := range []bool{true, false} {
		s := NewSteerer(testNow, Settings{Domain: "a", MaxFlows: 1000, FlowTTL: testFlowTTL})
		for i := range 50 {
			sendOpening(s, testNow+10, i)
			sendOpening(s, testNow+20, i)
		}
		if n := countOpenings(s); n != 0 {
			t.Fatalf("%d opening packets were sent without a target", n)
		}
		table := newTestTable(t)
		if routeFirst {
			s.SetTable(testNow+60, table)
		} else {
			reportReadyTarget(s, testNow+60)
		}
		if n := countOpenings(s); n != 0 {
			t.Fatalf("%d opening packets were sent too early", n)
		}
		if routeFirst {
			reportReadyTarget(s, testNow+120)
		} else {
			s.SetTable(testNow+120, table)
		}
		if n := countOpenings(s); n != 50 {
			t.Errorf("route first %v: %d of 50 opening packets were sent", routeFirst, n)
		}
		s.Tick(testNow + 200)
		if n := countOpenings(s); n != 0 {
			t.Errorf("%d opening packets were sent twice", n)
		}
	}
}

// Callers at an address without a listener in the first routing table wait for that table,
// and are then reset.
func TestQueuedOpeningWithoutListener(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", MaxFlows: 1000, FlowTTL: testFlowTTL})
	id := segment.Flow{Caller: callerFlow(1).Caller, Listener: testAddress(9, 9)}
	packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens})
	s.HandlePacket(testNow+10, decode(packet), packet)
	s.SetTable(testNow+60, newTestTable(t))
	if resets := s.TakeOutcome().Resets; len(resets) != 1 || resets[0].Flow != id {
		t.Errorf("resets %v", resets)
	}
}

// No target starts: opening packets must be queued no longer than until their callers
// retransmit, in a bounded number, and not at all after a balancer's startup period.
func TestQueueIsBounded(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", MaxFlows: 10_000, FlowTTL: testFlowTTL})
	for i := range 2 * maxQueued {
		sendOpening(s, testNow+10, i)
	}
	if len(s.queued) != maxQueued {
		t.Errorf("%d opening packets are queued", len(s.queued))
	}
	s.SetTable(testNow+20, newTestTable(t))
	s.Tick(testNow + 11 + queueTimeout)
	if len(s.queued) != 0 {
		t.Errorf("%d opening packets are still queued", len(s.queued))
	}
	reportReadyTarget(s, testNow+12+queueTimeout)
	if n := countOpenings(s); n != 0 {
		t.Errorf("%d old opening packets were sent", n)
	}
	late := NewSteerer(testNow, Settings{Domain: "a", MaxFlows: 10_000, FlowTTL: testFlowTTL})
	sendOpening(late, testNow+startupPeriod+1, 1)
	if len(late.queued) != 0 {
		t.Error("an opening packet is queued after the startup period")
	}
}
