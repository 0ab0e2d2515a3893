package stream

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

var testFlow = segment.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:1025"), Listener: testListener}

// newSearchingSteerer returns a balancer in domain a that knows targets of service one in
// domains a (local) and b (remote), and has just received a packet of an unknown flow.
func newSearchingSteerer(t *testing.T, local, remote int) (*Steerer, []byte) {
	t.Helper()
	s := NewSteerer(0, Settings{Domain: "a", MaxFlows: 100, FlowTTL: testFlowTTL})
	table := &routing.Table{Version: 1, Listeners: []*routing.Listener{
		{Name: "l", Address: testListener, Shares: []routing.Share{{Service: "one", Weight: 1}}},
	}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	s.SetTable(testNow, table)
	for i := range local + remote {
		domain := "a"
		if i >= local {
			domain = "b"
		}
		s.HandleParcel(testNow, testAddress(2, i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
			Name: fmt.Sprint("t", i), Domain: domain, Service: "one", Epoch: 1, Sequence: 1, Born: 1,
			Condition: wire.Condition_CONDITION_READY, Slots: 4,
		}}, nil)
	}
	packet := dataPacket(1)
	s.HandlePacket(testNow, decode(packet), packet)
	return s, packet
}

func dataPacket(seq uint32) []byte {
	return encode(segment.Segment{
		Source: testFlow.Caller, Destination: testFlow.Listener, Flags: segment.Acks, Seq: seq, Ack: 9, Size: 100,
	})
}

// countSends counts the parcels sent since the last call by verb and target.
func countSends(s *Steerer) map[wire.Verb]map[netip.AddrPort]int {
	all := map[wire.Verb]map[netip.AddrPort]int{}
	for _, send := range s.TakeOutcome().Sends {
		v := send.Parcel.Verb
		if all[v] == nil {
			all[v] = map[netip.AddrPort]int{}
		}
		all[v][send.To]++
	}
	return all
}

func sendAnswer(s *Steerer, now clock.Millis, target int, holding wire.Holding) {
	s.HandleParcel(now, testAddress(2, target), &wire.Parcel{
		Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, testFlow), Holding: holding,
	}, nil)
}

// All balancers and agents were killed while the targets stay alive, so every agent is
// unsure. The caller's packet must go once to each target of the balancer's failure domain;
// the one that does not return it must get the following packets even before it answers,
// and none may go to another domain.
func TestSearchAmongUnsure(t *testing.T) {
	s, packet := newSearchingSteerer(t, 3, 6)
	if asked := countSends(s)[wire.Verb_VERB_ASK]; len(asked) != 3 {
		t.Errorf("asked %v, want the three targets of the failure domain", asked)
	}
	for i := range 3 {
		sendAnswer(s, testNow+1, i, wire.Holding_HOLDING_UNSURE)
	}
	forwarded := countSends(s)[wire.Verb_VERB_CARRY]
	for i := range 3 {
		if forwarded[testAddress(2, i)] != 1 {
			t.Errorf("packets forwarded: %v, want one to each of three targets", forwarded)
		}
	}
	s.HandlePacket(testNow+2, decode(packet), packet)
	sendAnswer(s, testNow+3, 0, wire.Holding_HOLDING_NOT)
	sendAnswer(s, testNow+3, 1, wire.Holding_HOLDING_NOT)
	next := dataPacket(101)
	s.HandlePacket(testNow+30, decode(next), next)
	s.Tick(testNow + 60)
	all := countSends(s)
	if got := all[wire.Verb_VERB_CARRY]; len(got) != 1 || got[testAddress(2, 2)] != 1 {
		t.Errorf("packets forwarded: %v, want the second one to the last target, the retransmitted one to none", got)
	}
	if asked := all[wire.Verb_VERB_ASK]; len(asked) > 0 {
		t.Errorf("asked other failure domains: %v", asked)
	}
	sendAnswer(s, testNow+70, 2, wire.Holding_HOLDING_OWNED)
	s.HandlePacket(testNow+80, decode(next), next)
	if got := countSends(s)[wire.Verb_VERB_CARRY]; got[testAddress(2, 2)] != 1 {
		t.Errorf("after the owner was found: %v", got)
	}
}

// A balancer that has just started knows one target, whose agent is unsure, and the packets of
// a request arrive at once. The owner may be a target that it does not know yet: only one of
// them may go to the known one before that has had time to return it.
func TestUnsettledBalancerHoldsPackets(t *testing.T) {
	for _, returned := range []bool{true, false} {
		s, packet := newSearchingSteerer(t, 1, 0)
		for i := range 2 {
			next := dataPacket(uint32(101 + 100*i))
			s.HandlePacket(testNow, decode(next), next)
		}
		sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_UNSURE)
		more := dataPacket(301)
		s.HandlePacket(testNow+2, decode(more), more)
		s.Tick(testNow + 10)
		if got := countSends(s)[wire.Verb_VERB_CARRY][testAddress(2, 0)]; got != 1 {
			t.Errorf("%d packets were forwarded at once, want 1", got)
		}
		want := 3
		if returned {
			want = 0
			s.HandleParcel(testNow+11, testAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_RETURN, Packet: packet}, decode(packet))
		}
		s.Tick(testNow + 90)
		if got := countSends(s)[wire.Verb_VERB_CARRY][testAddress(2, 0)]; got != want {
			t.Errorf("returned %v: %d packets were forwarded later, want %d", returned, got, want)
		}
		last := dataPacket(401)
		s.HandlePacket(testNow+91, decode(last), last)
		if got := countSends(s)[wire.Verb_VERB_CARRY][testAddress(2, 0)]; (got == 1) == returned {
			t.Errorf("returned %v: %d copies of the next packet were forwarded at once", returned, got)
		}
	}
}

// All other targets have denied the flow: the last one, whose agent is unsure, is its
// owner, even if the packet requires no answer. A balancer that has just started may not
// know the owner at all: if it assumed that the last known target is the owner, all packets
// of the flow would go to a target that does not hold it.
func TestSearchByElimination(t *testing.T) {
	for _, settled := range []bool{true, false} {
		s, _ := newSearchingSteerer(t, 1, 2)
		s.SetSettled(settled)
		sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_UNSURE)
		widened := testNow + 1 + unsureTimeout + serviceTimeout
		s.Tick(widened)
		sendAnswer(s, widened+10, 1, wire.Holding_HOLDING_NOT)
		sendAnswer(s, widened+10, 2, wire.Holding_HOLDING_NOT)
		s.Tick(widened + 20)
		f, ok := s.flows.Peek(testFlow)
		if !ok {
			t.Fatal("the flow was removed")
		}
		if found := f.owner == confirmedBy(testAddress(2, 0)); found != settled {
			t.Errorf("settled %v: the flow's owner is %+v", settled, f)
		}
	}
}

// No target holds the flow and all have denied it. The caller may be reset only if this
// balancer knows all targets that others know; otherwise the owner may be a target that
// this balancer does not know yet.
func TestResetNeedsAgreement(t *testing.T) {
	for _, settled := range []bool{false, true} {
		s, _ := newSearchingSteerer(t, 1, 1)
		s.SetSettled(settled)
		sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
		sendAnswer(s, testNow+5, 1, wire.Holding_HOLDING_NOT)
		out := s.TakeOutcome()
		if (len(out.Resets) == 1) != settled {
			t.Errorf("settled %v: resets %v", settled, out.Resets)
		}
	}
}

// A flow's next search must not ask the targets again that have just denied it, unless
// the target or its agent has restarted since.
func TestDenialsAreReused(t *testing.T) {
	s, packet := newSearchingSteerer(t, 2, 0)
	sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
	sendAnswer(s, testNow+1, 1, wire.Holding_HOLDING_NOT)
	later := testNow + searchTimeout + 100
	s.Tick(later)
	s.TakeOutcome()
	s.HandleParcel(later, testAddress(2, 1), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
		Name: "t1", Domain: "a", Service: "one", Epoch: 2, Sequence: 1, Born: 1,
		Condition: wire.Condition_CONDITION_READY, Slots: 4,
	}}, nil)
	s.HandlePacket(later+1, decode(packet), packet)
	if asked := countSends(s)[wire.Verb_VERB_ASK]; len(asked) != 1 || asked[testAddress(2, 1)] != 1 {
		t.Errorf("asked %v, want only the target whose agent has restarted", asked)
	}
}

// All processes but the targets were killed, and packets of two hundred flows arrive at
// one small balancer. Forwarding to unsure targets must stay within its rate limit, and the
// oldest searches must come first, so that some end instead of all being late.
func TestSpeculationWithinBudget(t *testing.T) {
	const targets, flows = 20, 200
	s, _ := newSearchingSteerer(t, targets, 0)
	s.TakeOutcome()
	id := func(i int) segment.Flow {
		return segment.Flow{Caller: netip.AddrPortFrom(testFlow.Caller.Addr(), uint16(2000+i)), Listener: testListener}
	}
	oldest, total := 0, 0
	count := func(out Outcome) {
		for _, send := range out.Sends {
			if send.Parcel.Verb != wire.Verb_VERB_CARRY {
				continue
			}
			total++
			if decode(send.Parcel.Packet).Source.Port() < 2010 {
				oldest++
			}
		}
	}
	for i := range flows {
		packet := encode(segment.Segment{
			Source: id(i).Caller, Destination: testListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.HandlePacket(testNow, decode(packet), packet)
		for target := range targets {
			s.HandleParcel(testNow, testAddress(2, target), &wire.Parcel{
				Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, id(i)), Holding: wire.Holding_HOLDING_UNSURE,
			}, nil)
		}
		count(s.TakeOutcome())
	}
	for at := testNow; at <= testNow+500; at += 10 {
		s.Tick(at)
		count(s.TakeOutcome())
	}
	if limit := int(speculativeBurst + speculativeRate/2); total > limit || total < limit*9/10 {
		t.Errorf("%d packets were forwarded in half a second, want up to %d", total, limit)
	}
	if oldest != 10*targets {
		t.Errorf("the ten oldest searches forwarded %d packets, want %d", oldest, 10*targets)
	}
}

// A VM was removed and its target is lost. A search must not ask the lost target, since
// it cannot answer, and once the others have denied the flow its caller must be reset
// without waiting for another round of questions.
func TestLostTargetIsNotAsked(t *testing.T) {
	s, _ := newSearchingSteerer(t, 2, 0)
	s.SetSettled(true)
	lost := testAddress(2, 1)
	now := testNow
	for ; now < testNow+lostAfter+clock.Second; now += 50 {
		s.Tick(now)
		s.HandleParcel(now, testAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
			Name: "t0", Domain: "a", Service: "one", Epoch: 1, Sequence: uint64(now), Born: 1,
			Condition: wire.Condition_CONDITION_READY, Slots: 4,
		}}, nil)
	}
	s.HandleParcel(now, testAddress(2, 2), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
		Name: "t2", Domain: "a", Service: "one", Epoch: 1, Sequence: 1, Born: 1,
		Condition: wire.Condition_CONDITION_READY, Slots: 4,
	}}, nil)
	s.TakeOutcome()
	packet := dataPacket(5000)
	s.HandlePacket(now, decode(packet), packet)
	if asked := countSends(s)[wire.Verb_VERB_ASK]; asked[lost] != 0 || len(asked) != 2 {
		t.Errorf("asked %v, want the two that answer", asked)
	}
	sendAnswer(s, now+1, 0, wire.Holding_HOLDING_NOT)
	sendAnswer(s, now+2, 2, wire.Holding_HOLDING_NOT)
	if resets := s.TakeOutcome().Resets; len(resets) != 1 {
		t.Errorf("after all others have denied the flow there are %d resets", len(resets))
	}
}

// A small balancer searches the owners of hundreds of flows, one new flow per millisecond.
// Their questions to one target must be batched, so that its CPU has time for the answers:
// in half a second, at most one datagram to each target for ten flows.
func TestQuestionsAreBatchedUnderLoad(t *testing.T) {
	s, _ := newSearchingSteerer(t, 3, 0)
	s.TakeOutcome()
	const flows = 500
	asked := 0
	for i := range flows {
		packet := encode(segment.Segment{
			Source: testAddress(100, i), Destination: testListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.HandlePacket(testNow+clock.Millis(i), decode(packet), packet)
		asked += countSends(s)[wire.Verb_VERB_ASK][testAddress(2, 0)]
	}
	if asked > flows/10 {
		t.Errorf("the questions about %d flows took %d datagrams to one target", flows, asked)
	}
}

// All VMs lost power, and a balancer with a small share of a core receives packets of lost
// flows while there are hundreds of targets. Its questions must stay within its rate limit,
// and still each local agent must be asked about each flow. A single search is not delayed.
func TestQuestionsWithinCPUShare(t *testing.T) {
	const local, remote, flows, share = 41, 163, 40, 60
	s, _ := newSearchingSteerer(t, local, remote)
	s.questions = newQuestions(share, s.isSearching)
	s.TakeOutcome()
	ask := func(i int, now clock.Millis) {
		packet := encode(segment.Segment{
			Source: testAddress(100, i), Destination: testListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.HandlePacket(now, decode(packet), packet)
	}
	ask(0, testNow)
	if got := len(countSends(s)[wire.Verb_VERB_ASK]); got != local {
		t.Errorf("a single search asked %d targets at once, want the %d local ones", got, local)
	}
	parcels, asked := 0, map[segment.Flow]map[netip.AddrPort]bool{}
	end := testNow + 4*clock.Second
	for now := testNow + 10; now < end; now += 10 {
		if i := int(now-testNow) / 25; i <= flows {
			ask(i, now)
		}
		s.Tick(now)
		for _, send := range s.TakeOutcome().Sends {
			if send.Parcel.Verb != wire.Verb_VERB_ASK {
				continue
			}
			parcels++
			eachQuestion(send.Parcel.Questions, func(id segment.Flow, _ uint32) {
				if asked[id] == nil {
					asked[id] = map[netip.AddrPort]bool{}
				}
				asked[id][send.To] = true
			})
		}
	}
	if limit := int(minBurst + batchesPerCore*share/1000*4); parcels > limit {
		t.Errorf("%d parcels of questions in four seconds, want up to %d", parcels, limit)
	}
	for i := 1; i <= flows; i++ {
		id := segment.Flow{Caller: testAddress(100, i), Listener: testListener}
		if got := len(asked[id]); got < local {
			t.Errorf("%d agents were asked about flow %d, want at least the %d local ones", got, i, local)
		}
	}
}

// Packets of new flows that no target holds keep arriving: thousands at once, and then
// faster than searches end. The balancer's memory must stay bounded: it keeps a bounded
// number of searches and bytes, and drops the answers about a flow when they expire.
func TestFailedSearchesAreBounded(t *testing.T) {
	t.Parallel()
	s, _ := newSearchingSteerer(t, 4, 0)
	s.flows.Resize(6 * maxSearches)
	now := testNow
	for i := range 5 * maxSearches {
		packet := encode(segment.Segment{
			Source: testAddress(100+i>>16, i), Destination: testListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		packet = append(packet, make([]byte, 6000)...)
		s.HandlePacket(now, decode(packet), packet)
		if i > 2*maxSearches && i%2 == 0 {
			now++
			s.Tick(now)
		}
		s.TakeOutcome()
		if len(s.searches) > s.searchLimit() || len(s.failedSearches) > s.searchLimit() || s.bufferedBytes > maxBufferedBytes {
			t.Fatalf("%d searches, %d failed searches, %d bytes are kept", len(s.searches), len(s.failedSearches), s.bufferedBytes)
		}
	}
	for end := now + searchTimeout + denialTTL + clock.Second; now < end; now += 50 {
		s.Tick(now)
	}
	if len(s.searches) > 0 || len(s.failedSearches) > 0 || s.bufferedBytes != 0 {
		t.Errorf("afterwards %d searches, %d failed searches and %d bytes are left", len(s.searches), len(s.failedSearches), s.bufferedBytes)
	}
	for _, id := range s.flows.Keys() {
		if f, ok := s.flows.Peek(id); ok && f.answers != nil {
			t.Fatalf("the answers about flow %s are never dropped", id)
		}
	}
}

// Packets of new flows that no target holds arrive faster than their questions can be
// sent. The pending questions must stay bounded by the searches, and no parcel may ask
// about a flow whose search has ended.
func TestPendingQuestionsAreBounded(t *testing.T) {
	t.Parallel()
	s, _ := newSearchingSteerer(t, 2, 60)
	s.flows.Resize(6 * maxSearches)
	s.questions = newQuestions(10, s.isSearching)
	now, stale := testNow, 0
	for i := range 20_000 {
		packet := encode(segment.Segment{
			Source: testAddress(100+i>>16, i), Destination: testListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.HandlePacket(now, decode(packet), packet)
		if i%5 == 0 {
			now++
			s.Tick(now)
		}
		for _, send := range s.TakeOutcome().Sends {
			eachQuestion(send.Parcel.Questions, func(id segment.Flow, _ uint32) {
				if !s.isSearching(id) {
					stale++
				}
			})
		}
		for _, b := range s.questions.pending {
			if len(b.flows) > 2*s.searchLimit()+maxBatchSize {
				t.Fatalf("%d questions are pending for one target", len(b.flows))
			}
		}
	}
	if stale > 0 {
		t.Errorf("%d questions were about flows whose searches had ended", stale)
	}
}

// A target in another failure domain is unsure too, and hundreds of searches are under way.
// Packets must be forwarded to the balancer's own domain first, which most flows never
// leave; a single search in another domain still gets its packet forwarded.
func TestSpeculationPrefersOwnDomain(t *testing.T) {
	s, packet := newSearchingSteerer(t, 1, 1)
	sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
	s.Tick(testNow + 10)
	countSends(s)
	s.speculativeTokens, s.speculativeRefilled = speculativeReserve-1, testNow+11
	sendAnswer(s, testNow+11, 1, wire.Holding_HOLDING_UNSURE)
	if got := countSends(s)[wire.Verb_VERB_CARRY]; len(got) != 0 {
		t.Errorf("the tokens reserved for the own failure domain were used for %v", got)
	}
	s.HandlePacket(testNow+12, decode(packet), packet)
	s.Tick(testNow + 30)
	if got := countSends(s)[wire.Verb_VERB_CARRY]; got[testAddress(2, 1)] != 1 {
		t.Errorf("packets forwarded once there are tokens: %v", got)
	}
}

// A caller's packet starts a search, and its opening packet, sent just before, arrives after
// it over another path. The search widens its scope while the opening packet goes to a
// target; the balancer must not panic.
func TestOpeningDuringSearch(t *testing.T) {
	s, _ := newSearchingSteerer(t, 1, 2)
	syn := encode(segment.Segment{Source: testFlow.Caller, Destination: testFlow.Listener, Flags: segment.Opens})
	s.HandlePacket(testNow+1, decode(syn), syn)
	if countSends(s)[wire.Verb_VERB_OPEN] == nil {
		t.Error("the opening packet was not sent to a target")
	}
	for i := range 3 {
		sendAnswer(s, testNow+clock.Millis(2+i), i, wire.Holding_HOLDING_NOT)
	}
	s.Tick(testNow + serviceTimeout + 1)
	s.Tick(testNow + searchTimeout + 10)
}

// The owner's agent restarts as planned while a small balancer has used up its budget for
// questions, so the time for asking again passes. It must be asked again as soon as there is
// budget: the caller's next packet may come only seconds later.
func TestSkippedRetryIsMadeUp(t *testing.T) {
	s, _ := newSearchingSteerer(t, 2, 0)
	sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
	s.TakeOutcome()
	const budgetAt = testNow + 450
	other := segment.Flow{Caller: testAddress(100, 1), Listener: testListener}
	askedAt := clock.Millis(0)
	for now := testNow + 10; now < testNow+searchTimeout && askedAt == 0; now += 10 {
		s.questions.tokens, s.questions.refilledAt = 100, now
		if now < budgetAt {
			s.questions.tokens = -100
			s.questions.add(now, testAddress(2, 0), false, other, 7)
		}
		s.Tick(now)
		if sentQuestions(s)[testAddress(2, 1)] != nil {
			askedAt = now
		}
	}
	if askedAt == 0 || askedAt.Sub(budgetAt) > 100 {
		t.Errorf("asked again %d ms after there was budget", askedAt.Sub(budgetAt))
	}
}
