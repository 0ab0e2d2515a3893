package stream

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// A flow's target goes while the maximum number of searches is under way, so its owner is
// cleared and no search starts. When the owners are sent to the next balancer that starts
// in the failure domain, the flow must not be among them, and must not cause a panic.
func TestOwnersWhileSearchesAreRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(s *Steerer, now clock.Millis, packet []byte)
	}{
		{"the target has gone", func(s *Steerer, now clock.Millis, packet []byte) {
			s.HandleParcel(now, testAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
				Service: "one", Epoch: 1, Sequence: 2, Born: 1, Condition: wire.Condition_CONDITION_GONE,
			}}, nil)
			s.HandlePacket(now, decode(packet), packet)
		}},
		{"the packet was returned", func(s *Steerer, now clock.Millis, packet []byte) {
			s.HandleParcel(now, testAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_RETURN, Packet: packet}, decode(packet))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, packet := newSearchingSteerer(t, 1, maxSearchAnswers/minSearches)
			s.flows.Resize(maxSearches)
			sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_OWNED)
			if got := s.Owners(testNow + 1); len(got) != 1 {
				t.Fatalf("%d owners are known, want one", len(got))
			}
			fillSearches(s, testNow+2)
			c.lose(s, testNow+3, packet)
			s.TakeOutcome()
			if got := s.Owners(testNow + 4); len(got) != 0 {
				t.Errorf("owners sent: %v", got)
			}
		})
	}
}

// A failure domain's balancers are restarted in turn. Each must send a starting one the
// flows that had packets here and those inherited recently, but not every flow that any of
// them ever knew, nor flows that have ended.
func TestOwnersAreSentOnce(t *testing.T) {
	s, packet := newSearchingSteerer(t, 1, 0)
	sendAnswer(s, testNow+1, 0, wire.Holding_HOLDING_OWNED)
	other := NewSteerer(0, Settings{Domain: "a", MaxFlows: 100, FlowTTL: testFlowTTL})
	later := testNow + clock.Second
	if got := other.AddOwners(later, s.Owners(later)); got != 1 {
		t.Fatalf("%d flows inherited", got)
	}
	if got := len(other.Owners(later + inheritedTTL)); got != 1 {
		t.Errorf("%d flows sent that were inherited recently, want 1", got)
	}
	later += inheritedTTL + 1
	if got := len(other.Owners(later)); got != 0 {
		t.Errorf("%d flows sent that never had a packet there, want none", got)
	}
	if got := len(s.Owners(later)); got != 1 {
		t.Errorf("%d flows sent that had packets, want 1", got)
	}
	end := encode(segment.Segment{
		Source: testFlow.Caller, Destination: testFlow.Listener, Flags: segment.Ends | segment.Acks, Ack: 9,
	})
	s.HandlePacket(later, decode(end), end)
	if got := len(s.Owners(later)); got != 0 {
		t.Errorf("%d flows sent that their callers have ended, want none", got)
	}
	s.HandlePacket(later, decode(packet), packet)
}

// fillSearches starts the maximum number of searches.
func fillSearches(s *Steerer, now clock.Millis) {
	for i := range s.searchLimit() {
		packet := encode(segment.Segment{
			Source: testAddress(100, i), Destination: testListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.HandlePacket(now, decode(packet), packet)
		s.TakeOutcome()
	}
}
