package stream

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// always stands in for searches that never end.
func always(segment.Flow) bool { return true }

var testRelay = worldAddress(1, 9)

// relayed returns a balancer in failure domain a that has begun a search, with one target
// there that has denied the flow, and the relay of b with some.
func relayed(t *testing.T, far int) (s, relay *Steerer) {
	t.Helper()
	s, _ = searching(t, 1, 0)
	relay = NewSteerer(0, Settings{Domain: "b", Address: testRelay, Flows: 100, FlowLife: worldLife})
	for i := range far {
		r := readyReport(1, 1)
		r.Domain = "b"
		relay.Hear(testNow, worldAddress(2, 1+i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
	}
	for _, part := range relay.Summary(testNow, 1, 1, true) {
		s.HandleSummary(testNow, part)
	}
	s.Take()
	answer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
	s.Tick(testNow + 10)
	return s, relay
}

func asks(s *Steerer) map[netip.AddrPort]*wire.Parcel {
	all := map[netip.AddrPort]*wire.Parcel{}
	for _, send := range s.Take().Sends {
		if send.Parcel.Verb == wire.Verb_VERB_ASK {
			all[send.To] = send.Parcel
		}
	}
	return all
}

// Flows are lost and a failure domain elsewhere has forty targets: each flow crosses once
// to be asked of all of them, and they answer the asker.
func TestQuestionsGoByRelay(t *testing.T) {
	const far = 40
	s, relay := relayed(t, far)
	asked := asks(s)
	if len(asked) != 1 || asked[testRelay] == nil {
		t.Fatalf("asked %v, want the relay", asked)
	}
	asker := worldAddress(1, 0)
	if !relay.RelayQuestions(testNow+14, asker, asked[testRelay]) {
		t.Fatal("the relay does not hand the question on")
	}
	handed := asks(relay)
	if len(handed) != far {
		t.Fatalf("handed on to %d agents, want %d", len(handed), far)
	}
	for at, p := range handed {
		h := NewTracker(0, TrackerSettings{Service: "one", Port: worldPort, MaxFlows: 10, FlowTTL: worldLife})
		h.HandleParcel(testNow+15, testRelay, p, nil)
		out := h.Take().Sends
		if len(out) != 1 || out[0].To != asker {
			t.Fatalf("the agent answers %v", out)
		}
		if relay.RelayQuestions(testNow+15, asker, p) {
			t.Error("a question that was handed on is handed on again")
		}
		out[0].Parcel.Holdings[0] = byte(wire.Holding_HOLDING_NOT)
		s.Hear(testNow+18, at, out[0].Parcel, nil)
	}
	s.SetSettled(true)
	s.Tick(testNow + 20)
	if out := s.Take(); len(out.Resets) != 1 {
		t.Errorf("every target has denied the flow, and %d resets are sent", len(out.Resets))
	}
}

// The relay is gone, or has no room for another question: the agents are asked directly
// after a pause.
func TestRelayDoesNotHandOn(t *testing.T) {
	const far = 5
	s, relay := relayed(t, far)
	question := asks(s)[testRelay]
	handed := 0
	for range 100 {
		if relay.RelayQuestions(testNow+14, worldAddress(1, 0), question) {
			handed++
		}
	}
	if handed == 0 || handed == 100 {
		t.Errorf("the relay has handed on %d of 100 questions at one moment", handed)
	}
	direct := map[netip.AddrPort]bool{}
	for now := testNow + 20; now < testNow+askAgain+50; now += 10 {
		s.Tick(now)
		for to := range asks(s) {
			direct[to] = true
		}
	}
	if len(direct) < far {
		t.Errorf("%d of %d agents were asked directly", len(direct), far)
	}
}

// Anybody may answer: what an agent of another failure domain than the one that was asked
// says of these flows does not count.
func TestAnswerOfOtherDomain(t *testing.T) {
	q := newQuestions(0, always)
	id := segment.Flow{Caller: testFlow.Caller, Listener: testFlow.Listener}
	q.addAll(testNow, testRelay, "b", id, 7)
	var out Outcome
	q.flush(testNow+clock.Second, 0, &out)
	number := out.Sends[0].Parcel.Number
	if got := q.asked(number, worldAddress(2, 1), "c"); got != nil {
		t.Errorf("an answer of another failure domain counts for %v", got)
	}
	for range 2 {
		if got := q.asked(number, worldAddress(2, 1), "b"); len(got) != 1 {
			t.Errorf("an answer counts for %v", got)
		}
	}
}
