package stream

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// A flow's target has gone while as many searches as there may be are under way, so its
// owner is cleared and no search begins. The next balancer that starts in the failure
// domain is told the owners: the flow has none, and telling one ends no process.
func TestOwnersWhileSearchesAreRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(s *Steerer, now clock.Millis, packet []byte)
	}{
		{"the target has gone", func(s *Steerer, now clock.Millis, packet []byte) {
			s.Hear(now, worldAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
				Service: "one", Epoch: 1, Sequence: 2, Born: 1, Condition: wire.Condition_CONDITION_GONE,
			}}, nil)
			s.Arrive(now, decode(packet), packet)
		}},
		{"the packet was returned", func(s *Steerer, now clock.Millis, packet []byte) {
			s.Hear(now, worldAddress(2, 0), &wire.Parcel{Verb: wire.Verb_VERB_RETURN, Packet: packet}, decode(packet))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, packet := searching(t, 1, mostAsked/leastSearches)
			s.flows.Resize(mostSearches)
			answer(s, testNow+1, 0, wire.Holding_HOLDING_OWNED)
			if got := s.Owners(testNow + 1); len(got) != 1 {
				t.Fatalf("%d owners are known, want one", len(got))
			}
			fillSearches(s, testNow+2)
			c.lose(s, testNow+3, packet)
			s.Take()
			if got := s.Owners(testNow + 4); len(got) != 0 {
				t.Errorf("owners told: %v", got)
			}
		})
	}
}

// fillSearches begins as many searches as there may be.
func fillSearches(s *Steerer, now clock.Millis) {
	for i := range s.room() {
		packet := encode(segment.Segment{
			Source: worldAddress(100, i), Destination: worldListener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100,
		})
		s.Arrive(now, decode(packet), packet)
		s.Take()
	}
}
