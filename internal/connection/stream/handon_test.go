package stream

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

func openingPacket(id segment.Flow, copies uint32) []byte {
	return encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens, Ack: copies})
}

// handle has a balancer handle a caller's opening packet and returns what it sends and resets.
func handle(s *Steerer, now clock.Millis, id segment.Flow, copies uint32) Outcome {
	packet := openingPacket(id, copies)
	s.HandlePacket(now, decode(packet), packet)
	return s.TakeOutcome()
}

// A balancer that lacks a version must not open flows by its old table: it would reset those
// of a route that was added, and serve one that was removed.
func TestBehindBalancerHandsOpeningsOn(t *testing.T) {
	behind, _ := newSearchingSteerer(t, 2, 0)
	behind.TakeOutcome()
	added := segment.Flow{Caller: netip.MustParseAddrPort("100.64.0.9:1030"), Listener: netip.MustParseAddrPort("198.18.9.9:443")}
	peers := []netip.AddrPort{testAddress(9, 1), testAddress(9, 2)}
	behind.SetUpToDate(peers)
	var chosen netip.AddrPort
	for copies := range uint32(3) {
		out := handle(behind, testNow+clock.Millis(copies)*200, added, copies)
		if len(out.Resets) > 0 || len(out.Sends) != 1 || out.Sends[0].Parcel.Verb != wire.Verb_VERB_HANDED {
			t.Fatalf("copy %d: %+v", copies, out)
		}
		if chosen.IsValid() && out.Sends[0].To != chosen {
			t.Error("a retransmission goes to another balancer")
		}
		chosen = out.Sends[0].To
	}
	behind.SetUpToDate(nil)
	if out := handle(behind, testNow+clock.Second, added, 3); len(out.Resets) != 1 {
		t.Errorf("with its own table: %+v", out)
	}
}

// A balancer that others take for up to date by mistake must open what it is handed: sent on
// again the packet would go in circles. The one that handed it on learns the owner.
func TestHandedOpeningIsOpenedAndOwnerTold(t *testing.T) {
	s, _ := newSearchingSteerer(t, 1, 0)
	s.TakeOutcome()
	s.SetUpToDate([]netip.AddrPort{testAddress(9, 1)})
	id := segment.Flow{Caller: netip.MustParseAddrPort("100.64.0.9:1031"), Listener: testListener}
	packet, origin, target := openingPacket(id, 0), testAddress(9, 2), testAddress(2, 0)
	s.HandleHanded(testNow, origin, decode(packet), packet)
	if sent := countSends(s); sent[wire.Verb_VERB_OPEN][target] != 1 {
		t.Fatalf("sent %v", sent)
	}
	s.HandleParcel(testNow+5, target, &wire.Parcel{
		Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, id), Holding: wire.Holding_HOLDING_OWNED,
	}, nil)
	out := s.TakeOutcome()
	if len(out.Sends) != 1 || out.Sends[0].To != origin || out.Sends[0].Parcel.Verb != wire.Verb_VERB_OWNERS {
		t.Fatalf("sent %+v", out.Sends)
	}
	first, _ := newSearchingSteerer(t, 1, 0)
	first.AddOwners(testNow+6, out.Sends[0].Parcel.Owners.Owners)
	first.TakeOutcome()
	data := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100})
	first.HandlePacket(testNow+7, decode(data), data)
	if sent := countSends(first); sent[wire.Verb_VERB_CARRY][target] != 1 {
		t.Errorf("the flow's next packet: %v", sent)
	}
}

// Open flows and their services must be found as before, whatever a version replaces.
func TestHistoryOfReplacedListeners(t *testing.T) {
	h := routing.NewHistory(testFlowTTL.Duration())
	table := func(version uint64, services ...string) *routing.Table {
		l := &routing.Listener{Name: "l", Address: testListener}
		for _, s := range services {
			l.Shares = append(l.Shares, routing.Share{Service: s, Weight: 1})
		}
		t := &routing.Table{Version: version}
		if len(services) > 0 {
			t.Listeners = []*routing.Listener{l}
		}
		return t
	}
	var current *routing.Table
	now := testNow
	for version, services := range [][]string{{"one"}, {"one", "two"}, {"two"}, {}, {"three"}} {
		next := table(uint64(version)+1, services...)
		if err := next.Check(); err != nil {
			t.Fatal(err)
		}
		h.Activate(now, routing.Compare(current, next))
		current, now = next, now+clock.Second
	}
	for _, service := range []string{"one", "two", "three"} {
		if !h.Allows(testListener, service) {
			t.Errorf("a flow of service %s is not looked for", service)
		}
	}
	last := table(9, "three")
	if err := last.Check(); err != nil {
		t.Fatal(err)
	}
	h.Activate(now+testFlowTTL+clock.Minute, routing.Compare(current, last))
	if h.Allows(testListener, "one") || h.Allows(testListener, "two") || !h.Allows(testListener, "three") {
		t.Error("services are kept for longer than flows, or lost")
	}
}
