package stream

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// alwaysSearching is an isSearching function for searches that never end.
func alwaysSearching(segment.Flow) bool { return true }

var testRelay = testAddress(1, 9)

// newRelayedSearch returns a balancer in failure domain a with a search under way, whose one
// target there has denied the flow, and the relay of domain b with remote targets.
func newRelayedSearch(t *testing.T, remote int) (s, relay *Steerer) {
	t.Helper()
	s, _ = newSearchingSteerer(t, 1, 0)
	relay = NewSteerer(0, Settings{Domain: "b", Address: testRelay, MaxFlows: 100, FlowTTL: testFlowTTL})
	for i := range remote {
		r := readyReport(1, 1)
		r.Domain = "b"
		relay.HandleParcel(testNow, testAddress(2, 1+i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
	}
	for _, part := range relay.Summary(testNow, 1, 1, true) {
		s.HandleSummary(testNow, part)
	}
	s.TakeOutcome()
	sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
	s.Tick(testNow + 10)
	return s, relay
}

func sentQuestions(s *Steerer) map[netip.AddrPort]*wire.Parcel {
	all := map[netip.AddrPort]*wire.Parcel{}
	for _, send := range s.TakeOutcome().Sends {
		if send.Parcel.Verb == wire.Verb_VERB_ASK {
			all[send.To] = send.Parcel
		}
	}
	return all
}

// Another failure domain has forty targets: a question about a lost flow must cross to it
// once for all of them, and they must answer the asker.
func TestQuestionsGoByRelay(t *testing.T) {
	const remote = 40
	s, relay := newRelayedSearch(t, remote)
	asked := sentQuestions(s)
	if len(asked) != 1 || asked[testRelay] == nil {
		t.Fatalf("asked %v, want the relay", asked)
	}
	asker := testAddress(1, 0)
	if !relay.RelayQuestions(testNow+14, asker, asked[testRelay]) {
		t.Fatal("the relay does not forward the question")
	}
	forwarded := sentQuestions(relay)
	if len(forwarded) != remote {
		t.Fatalf("forwarded to %d agents, want %d", len(forwarded), remote)
	}
	for at, p := range forwarded {
		h := NewTracker(0, TrackerSettings{Service: "one", Port: simPort, MaxFlows: 10, FlowTTL: testFlowTTL})
		h.HandleParcel(testNow+15, testRelay, p, nil)
		out := h.TakeOutcome().Sends
		if len(out) != 1 || out[0].To != asker {
			t.Fatalf("the agent answers %v", out)
		}
		if relay.RelayQuestions(testNow+15, asker, p) {
			t.Error("a forwarded question is forwarded again")
		}
		out[0].Parcel.Holdings[0] = byte(wire.Holding_HOLDING_NOT)
		s.HandleParcel(testNow+18, at, out[0].Parcel, nil)
	}
	s.SetSettled(true)
	s.Tick(testNow + 20)
	if out := s.TakeOutcome(); len(out.Resets) != 1 {
		t.Errorf("every target has denied the flow, but %d resets were sent, want 1", len(out.Resets))
	}
}

// The relay is down or its rate limit is exceeded: the agents must be asked directly after
// a delay.
func TestRelayUnavailable(t *testing.T) {
	const remote = 5
	s, relay := newRelayedSearch(t, remote)
	question := sentQuestions(s)[testRelay]
	forwarded := 0
	for range 100 {
		if relay.RelayQuestions(testNow+14, testAddress(1, 0), question) {
			forwarded++
		}
	}
	if forwarded == 0 || forwarded == 100 {
		t.Errorf("the relay forwarded %d of 100 questions at once, want some but not all", forwarded)
	}
	direct := map[netip.AddrPort]bool{}
	for now := testNow + 20; now < testNow+initialRetryDelay+50; now += 10 {
		s.Tick(now)
		for to := range sentQuestions(s) {
			direct[to] = true
		}
	}
	if len(direct) < remote {
		t.Errorf("%d of %d agents were asked directly", len(direct), remote)
	}
}

// An answer of an agent of another failure domain than the one that was asked must be
// ignored.
func TestAnswerOfOtherDomain(t *testing.T) {
	q := newQuestions(0, alwaysSearching)
	id := segment.Flow{Caller: testFlow.Caller, Listener: testFlow.Listener}
	q.addRelayed(testNow, testRelay, "b", id, 7)
	var out Outcome
	q.flush(testNow+clock.Second, 0, &out)
	number := out.Sends[0].Parcel.Number
	if got := q.answeredFlows(number, testAddress(2, 1), "c"); got != nil {
		t.Errorf("an answer of another failure domain was accepted for %v", got)
	}
	for range 2 {
		if got := q.answeredFlows(number, testAddress(2, 1), "b"); len(got) != 1 {
			t.Errorf("an answer was accepted for %v, want one flow", got)
		}
	}
}

// The relay of another failure domain says that it leaves. It may end before it forwards a
// question, and the next one is a second later: the agents there must be asked directly.
func TestLeavingRelayIsNotAsked(t *testing.T) {
	const remote = 5
	s, _ := newRelayedSearch(t, remote)
	s.TakeOutcome()
	s.Targets.ForgetRelay(testRelay)
	other := dataPacket(1)
	seg := decode(other)
	seg.Source = netip.AddrPortFrom(seg.Source.Addr(), seg.Source.Port()+1)
	s.HandlePacket(testNow+20, seg, other)
	asked := map[netip.AddrPort]bool{}
	for now := testNow + 30; now < testNow+90; now += 10 {
		s.Tick(now)
		for to := range sentQuestions(s) {
			asked[to] = true
		}
	}
	if asked[testRelay] || len(asked) < remote {
		t.Errorf("asked %v, want the %d agents and not the relay", asked, remote)
	}
}
