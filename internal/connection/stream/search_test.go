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

var testFlow = segment.Flow{Caller: netip.MustParseAddrPort("100.64.0.7:1025"), Listener: worldListener}

// searching returns a balancer in domain a that knows near and far targets of
// service one, and has just been sent a packet of a flow that it does not know.
func searching(t *testing.T, near, far int) (*Steerer, []byte) {
	t.Helper()
	s := NewSteerer(0, Settings{Domain: "a", Flows: 100, FlowLife: worldLife})
	table := &routing.Table{Version: 1, Listeners: []routing.Listener{
		{Name: "l", Address: worldListener, Shares: []routing.Share{{Service: "one", Weight: 1}}},
	}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	s.SetTable(testNow, table)
	for i := range near + far {
		domain := "a"
		if i >= near {
			domain = "b"
		}
		s.Hear(testNow, worldAddress(2, i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
			Name: fmt.Sprint("t", i), Domain: domain, Service: "one", Epoch: 1, Sequence: 1, Born: 1,
			Condition: wire.Condition_CONDITION_READY, Slots: 4,
		}}, nil)
	}
	packet := dataPacket(1)
	s.Arrive(testNow, decode(packet), packet)
	return s, packet
}

func dataPacket(seq uint32) []byte {
	return encode(segment.Segment{
		Source: testFlow.Caller, Destination: testFlow.Listener, Flags: segment.Acks, Seq: seq, Ack: 9, Size: 100,
	})
}

// sent counts what was sent by verb and target since the last call.
func sent(s *Steerer) map[wire.Verb]map[netip.AddrPort]int {
	all := map[wire.Verb]map[netip.AddrPort]int{}
	for _, send := range s.Take().Sends {
		v := send.Parcel.Verb
		if all[v] == nil {
			all[v] = map[netip.AddrPort]int{}
		}
		all[v][send.To]++
	}
	return all
}

func answer(s *Steerer, now clock.Millis, target int, holding wire.Holding) {
	s.Hear(now, worldAddress(2, target), &wire.Parcel{
		Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, testFlow), Holding: holding,
	}, nil)
}

// All balancers and agents were killed, the targets live on: every agent is unsure.
// The caller waits for the answer to one request. Its packet goes to the targets
// of the own failure domain once each; the one that does not return it gets what
// follows, also before it has answered, and nothing crosses domains meanwhile.
func TestSearchAmongUnsure(t *testing.T) {
	s, packet := searching(t, 3, 6)
	if asked := sent(s)[wire.Verb_VERB_ASK]; len(asked) != 3 {
		t.Errorf("asked %v, want the three targets of the failure domain", asked)
	}
	for i := range 3 {
		answer(s, testNow+1, i, wire.Holding_HOLDING_UNSURE)
	}
	handed := sent(s)[wire.Verb_VERB_CARRY]
	for i := range 3 {
		if handed[worldAddress(2, i)] != 1 {
			t.Errorf("packets handed: %v, want one to each of three targets", handed)
		}
	}
	s.Arrive(testNow+2, decode(packet), packet)
	answer(s, testNow+3, 0, wire.Holding_HOLDING_NOT)
	answer(s, testNow+3, 1, wire.Holding_HOLDING_NOT)
	next := dataPacket(101)
	s.Arrive(testNow+30, decode(next), next)
	s.Tick(testNow + 60)
	all := sent(s)
	if got := all[wire.Verb_VERB_CARRY]; len(got) != 1 || got[worldAddress(2, 2)] != 1 {
		t.Errorf("packets handed: %v, want the second one to the last target, the repeated one to nobody", got)
	}
	if asked := all[wire.Verb_VERB_ASK]; len(asked) > 0 {
		t.Errorf("asked other failure domains: %v", asked)
	}
	answer(s, testNow+70, 2, wire.Holding_HOLDING_OWNED)
	s.Arrive(testNow+80, decode(next), next)
	if got := sent(s)[wire.Verb_VERB_CARRY]; got[worldAddress(2, 2)] != 1 {
		t.Errorf("after the owner was found: %v", got)
	}
}

// All other targets have denied the flow: the last one, whose agent is unsure, is
// its owner, also if it needs to answer nothing. A balancer that has just started
// may not know the owner at all: it must not take the last one that it knows for it,
// or all packets of the flow go to a target that does not hold it.
func TestSearchEliminates(t *testing.T) {
	for _, settled := range []bool{true, false} {
		s, _ := searching(t, 1, 2)
		s.SetSettled(settled)
		answer(s, testNow+1, 0, wire.Holding_HOLDING_UNSURE)
		widened := testNow + 1 + unsureStage + wideStage
		s.Tick(widened)
		answer(s, widened+10, 1, wire.Holding_HOLDING_NOT)
		answer(s, widened+10, 2, wire.Holding_HOLDING_NOT)
		s.Tick(widened + 20)
		f, ok := s.flows.Peek(testFlow)
		if !ok {
			t.Fatal("the flow is forgotten")
		}
		if found := f.owner == takenBy(worldAddress(2, 0)); found != settled {
			t.Errorf("settled %v: the flow's owner is %+v", settled, f)
		}
	}
}

// Nobody holds the flow and everybody has said so. The caller is reset only if
// this balancer knows all targets that others do; otherwise it hears nothing, for
// the owner may be one that this balancer has not heard of.
func TestResetNeedsAgreement(t *testing.T) {
	for _, settled := range []bool{false, true} {
		s, _ := searching(t, 1, 1)
		s.SetSettled(settled)
		answer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
		answer(s, testNow+5, 1, wire.Holding_HOLDING_NOT)
		out := s.Take()
		if (len(out.Resets) == 1) != settled {
			t.Errorf("settled %v: resets %v", settled, out.Resets)
		}
	}
}

// A flow's next search does not ask again who has denied it a moment ago, unless
// the target or its agent has started anew since.
func TestDenialsHold(t *testing.T) {
	s, packet := searching(t, 2, 0)
	answer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
	answer(s, testNow+1, 1, wire.Holding_HOLDING_NOT)
	later := testNow + searchFor + 100
	s.Tick(later)
	s.Take()
	s.Hear(later, worldAddress(2, 1), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
		Name: "t1", Domain: "a", Service: "one", Epoch: 2, Sequence: 1, Born: 1,
		Condition: wire.Condition_CONDITION_READY, Slots: 4,
	}}, nil)
	s.Arrive(later+1, decode(packet), packet)
	if asked := sent(s)[wire.Verb_VERB_ASK]; len(asked) != 1 || asked[worldAddress(2, 1)] != 1 {
		t.Errorf("asked %v, want only the target whose agent has started anew", asked)
	}
}

// Everything was killed but the targets, and the packets of two hundred flows
// arrive at one small balancer. What it hands to unsure targets stays within its
// budget, and the oldest searches come first, so that they end instead of all
// being late.
func TestHandsWithinBudget(t *testing.T) {
	const targets, flows = 20, 200
	s, _ := searching(t, targets, 0)
	s.Take()
	id := func(i int) segment.Flow {
		return segment.Flow{Caller: netip.AddrPortFrom(testFlow.Caller.Addr(), uint16(2000+i)), Listener: worldListener}
	}
	first, total := 0, 0
	count := func(out Outcome) {
		for _, send := range out.Sends {
			if send.Parcel.Verb != wire.Verb_VERB_CARRY {
				continue
			}
			total++
			if decode(send.Parcel.Packet).Source.Port() < 2010 {
				first++
			}
		}
	}
	for i := range flows {
		packet := encode(segment.Segment{
			Source: id(i).Caller, Destination: worldListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.Arrive(testNow, decode(packet), packet)
		for target := range targets {
			s.Hear(testNow, worldAddress(2, target), &wire.Parcel{
				Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, id(i)), Holding: wire.Holding_HOLDING_UNSURE,
			}, nil)
		}
		count(s.Take())
	}
	for at := testNow; at <= testNow+500; at += 10 {
		s.Tick(at)
		count(s.Take())
	}
	if most := int(handBurst + handRate/2); total > most || total < most*9/10 {
		t.Errorf("%d packets were handed over in half a second, want up to %d", total, most)
	}
	if first != 10*targets {
		t.Errorf("the ten oldest searches handed over %d packets, want %d", first, 10*targets)
	}
}

// A VM was taken away and its target counts as lost. A caller's flow is searched:
// the lost target is not asked, for it cannot answer, and once the others have denied
// the flow its caller is reset without waiting for another round of questions.
func TestLostTargetIsNotAsked(t *testing.T) {
	s, _ := searching(t, 2, 0)
	s.SetSettled(true)
	lost := worldAddress(2, 1)
	now := testNow
	for ; now < testNow+lostAfter+clock.Second; now += 50 {
		s.Tick(now)
		s.Hear(now, worldAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
			Name: "t0", Domain: "a", Service: "one", Epoch: 1, Sequence: uint64(now), Born: 1,
			Condition: wire.Condition_CONDITION_READY, Slots: 4,
		}}, nil)
	}
	s.Hear(now, worldAddress(2, 2), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
		Name: "t2", Domain: "a", Service: "one", Epoch: 1, Sequence: 1, Born: 1,
		Condition: wire.Condition_CONDITION_READY, Slots: 4,
	}}, nil)
	s.Take()
	packet := dataPacket(5000)
	s.Arrive(now, decode(packet), packet)
	if asked := sent(s)[wire.Verb_VERB_ASK]; asked[lost] != 0 || len(asked) != 2 {
		t.Errorf("asked %v, want the two that answer", asked)
	}
	answer(s, now+1, 0, wire.Holding_HOLDING_NOT)
	answer(s, now+2, 2, wire.Holding_HOLDING_NOT)
	if resets := s.Take().Resets; len(resets) != 1 {
		t.Errorf("after all others have denied the flow there are %d resets", len(resets))
	}
}

// Hundreds of flows are searched at a small balancer, a packet of one every
// millisecond. Their questions to one target leave together, so that its processor
// has time for the answers: it sends each target at most one datagram in the longest
// pause, and half a second of them is a tenth of the flows.
func TestQuestionsGatherUnderLoad(t *testing.T) {
	s, _ := searching(t, 3, 0)
	s.Take()
	const flows = 500
	asked := 0
	for i := range flows {
		packet := encode(segment.Segment{
			Source: worldAddress(100, i), Destination: worldListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.Arrive(testNow+clock.Millis(i), decode(packet), packet)
		asked += sent(s)[wire.Verb_VERB_ASK][worldAddress(2, 0)]
	}
	if asked > flows/10 {
		t.Errorf("the questions about %d flows took %d datagrams to one target", flows, asked)
	}
}

// All VMs lost power, and a balancer with a small part of a core is sent packets of lost
// flows while there are hundreds of targets. What it asks stays within what it can work
// on, and all the same each agent is asked about each flow. A single search does not wait.
func TestQuestionsWithinShare(t *testing.T) {
	const near, far, flows, share = 41, 163, 40, 60
	s, _ := searching(t, near, far)
	s.questions = newQuestions(share, s.searching)
	s.Take()
	ask := func(i int, now clock.Millis) {
		packet := encode(segment.Segment{
			Source: worldAddress(100, i), Destination: worldListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.Arrive(now, decode(packet), packet)
	}
	ask(0, testNow)
	if got := len(sent(s)[wire.Verb_VERB_ASK]); got != near {
		t.Errorf("a single search asked %d targets at once, want the %d near ones", got, near)
	}
	parcels, asked := 0, map[segment.Flow]map[netip.AddrPort]bool{}
	end := testNow + 4*clock.Second
	for now := testNow + 10; now < end; now += 10 {
		if i := int(now-testNow) / 25; i <= flows {
			ask(i, now)
		}
		s.Tick(now)
		for _, send := range s.Take().Sends {
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
	if most := int(leastBurst + questionsPerCore*share/1000*4); parcels > most {
		t.Errorf("%d parcels of questions in four seconds, want up to %d", parcels, most)
	}
	for i := 1; i <= flows; i++ {
		id := segment.Flow{Caller: worldAddress(100, i), Listener: worldListener}
		if got := len(asked[id]); got < near {
			t.Errorf("%d agents were asked about flow %d, want the %d near ones at least", got, i, near)
		}
	}
}

// Somebody sends packets of ever new flows, which no target holds: thousands at one
// moment, and then faster than searches end. The balancer's memory stays bounded: it keeps a bounded number of
// searches and bytes, and forgets what agents said of a flow once it no longer holds.
func TestVainSearchesAreBounded(t *testing.T) {
	s, _ := searching(t, 4, 0)
	s.flows.Resize(6 * mostSearches)
	now := testNow
	for i := range 5 * mostSearches {
		packet := encode(segment.Segment{
			Source: worldAddress(100+i>>16, i), Destination: worldListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		packet = append(packet, make([]byte, 6000)...)
		s.Arrive(now, decode(packet), packet)
		if i > 2*mostSearches && i%2 == 0 {
			now++
			s.Tick(now)
		}
		s.Take()
		if len(s.searches) > s.room() || len(s.denials) > s.room() || s.kept > mostKeptBytes {
			t.Fatalf("%d searches, %d denials, %d bytes are kept", len(s.searches), len(s.denials), s.kept)
		}
	}
	for end := now + searchFor + denialFor + clock.Second; now < end; now += 50 {
		s.Tick(now)
	}
	if len(s.searches) > 0 || len(s.denials) > 0 || s.kept != 0 {
		t.Errorf("afterwards %d searches, %d denials and %d bytes are left", len(s.searches), len(s.denials), s.kept)
	}
	for _, id := range s.flows.Keys() {
		if f, ok := s.flows.Peek(id); ok && f.asked != nil {
			t.Fatalf("what agents said of %s is kept for ever", id)
		}
	}
}

// Packets of ever new flows that nobody holds come in faster than their questions can be
// sent. What waits stays within what is searched, and no parcel asks about a flow whose
// search is over.
func TestWaitingQuestionsAreBounded(t *testing.T) {
	s, _ := searching(t, 2, 60)
	s.flows.Resize(6 * mostSearches)
	s.questions = newQuestions(10, s.searching)
	now, vain := testNow, 0
	for i := range 20_000 {
		packet := encode(segment.Segment{
			Source: worldAddress(100+i>>16, i), Destination: worldListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.Arrive(now, decode(packet), packet)
		if i%5 == 0 {
			now++
			s.Tick(now)
		}
		for _, send := range s.Take().Sends {
			eachQuestion(send.Parcel.Questions, func(id segment.Flow, _ uint32) {
				if !s.searching(id) {
					vain++
				}
			})
		}
		for _, b := range s.questions.waiting {
			if len(b.flows) > 2*s.room()+mostQuestions {
				t.Fatalf("%d questions wait for one target", len(b.flows))
			}
		}
	}
	if vain > 0 {
		t.Errorf("%d questions were about flows whose searches were over", vain)
	}
}

// A target far away is unsure as well, and hundreds of flows are searched. What may
// be handed over goes to the own failure domain first, which most flows never
// leave; a single search far away still gets its packet through.
func TestHandsNearFirst(t *testing.T) {
	s, packet := searching(t, 1, 1)
	answer(s, testNow+1, 0, wire.Holding_HOLDING_NOT)
	s.Tick(testNow + 10)
	sent(s)
	s.hands, s.handed = handReserve-1, testNow+11
	answer(s, testNow+11, 1, wire.Holding_HOLDING_UNSURE)
	if got := sent(s)[wire.Verb_VERB_CARRY]; len(got) != 0 {
		t.Errorf("what is kept for the own failure domain went to %v", got)
	}
	s.Arrive(testNow+12, decode(packet), packet)
	s.Tick(testNow + 30)
	if got := sent(s)[wire.Verb_VERB_CARRY]; got[worldAddress(2, 1)] != 1 {
		t.Errorf("packets handed once there is room: %v", got)
	}
}

// A caller's packet begins a search, and its opening, sent a moment earlier, comes
// after it: paths differ. The search goes on to wider circles and the opening to a
// target; the balancer must outlive both.
func TestOpeningDuringSearch(t *testing.T) {
	s, _ := searching(t, 1, 2)
	syn := encode(segment.Segment{Source: testFlow.Caller, Destination: testFlow.Listener, Flags: segment.Opens})
	s.Arrive(testNow+1, decode(syn), syn)
	if sent(s)[wire.Verb_VERB_OPEN] == nil {
		t.Error("the opening went nowhere")
	}
	for i := range 3 {
		answer(s, testNow+clock.Millis(2+i), i, wire.Holding_HOLDING_NOT)
	}
	s.Tick(testNow + wideStage + 1)
	s.Tick(testNow + searchFor + 10)
}
