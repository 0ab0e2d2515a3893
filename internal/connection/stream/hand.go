package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// fewUnsure is up to how many unsure targets get all packets of a search; the
	// first packet alone tells the others apart.
	fewUnsure = 2
	// handRate and handBurst bound the packets a second that searches hand to unsure
	// targets. At some 25 us each that is 40 % of the smallest part of a core that a
	// balancer gets, 0.06, and leaves the rest to flows that are well.
	handRate  = 1000.0
	handBurst = 200.0
	// handReserve is the part of the burst that is kept for targets of the own
	// failure domain: most flows never leave it.
	handReserve = 100.0
)

// mayHand reports whether a target may be handed a packet that may not be its own: what
// callers send stays in the regions that their listener is at home in.
func (s *Steerer) mayHand(id segment.Flow, to netip.AddrPort) bool {
	t, ok := s.Targets.Find(to)
	return ok && (s.table == nil || s.Targets.home(t.Domain, s.table.HomeRegions(id)))
}

// eliminate ends a search at the one target that is left: all others have denied
// the flow.
//
// It takes a balancer that knows all targets: one that has just started may know a
// single one, to which the packets of flows that are well would go.
func (s *Steerer) eliminate(now clock.Millis, x *search) {
	for _, t := range s.Targets.Sorted() {
		q := x.flow.asked[t.Address]
		if q != nil && q.search == x && q.holding == wire.Holding_HOLDING_UNSURE {
			s.found(now, x.id, x.flow, t.Address)
			return
		}
	}
}

// feed hands the first packet to the unsure targets that have none yet, as far as
// the budget goes.
//
// After all processes were killed every agent is unsure, and handing each flow's packet
// to each target would take a small balancer's time for many seconds. Within the budget
// searches end one after the other, the oldest first.
func (s *Steerer) feed(now clock.Millis, x *search) {
	s.hands = min(s.hands+handRate*float64(now.Sub(s.handed))/float64(clock.Second), handBurst)
	s.handed = now
	for _, t := range s.Targets.Sorted() {
		q := x.flow.asked[t.Address]
		if q == nil || q.search != x || q.holding != wire.Holding_HOLDING_UNSURE || q.handed > 0 {
			continue
		}
		if s.hands < 1 || t.Domain != s.settings.Domain && s.hands < handReserve {
			return
		}
		s.hands--
		s.hand(x, t.Address, q, 1)
	}
	x.hungry = false
}

// add keeps a packet that arrives during a search, and hands it to the targets
// that may be the owner: an earlier one may have needed no answer.
func (s *Steerer) add(x *search, packet []byte) {
	s.retain(x, packet)
	s.handOn(x)
}

// handOn gives the rest of the packets to the last targets that may be the owner.
func (s *Steerer) handOn(x *search) {
	if x.unsure == 0 || x.unsure > fewUnsure {
		return
	}
	for _, t := range s.Targets.Sorted() {
		q := x.flow.asked[t.Address]
		if q != nil && q.search == x && q.holding == wire.Holding_HOLDING_UNSURE {
			s.hand(x, t.Address, q, len(x.packets))
		}
	}
}

// hand gives a target the kept packets that it was not given yet, up to a number.
// A target that does not hold the flow returns them.
func (s *Steerer) hand(x *search, to netip.AddrPort, q *asked, most int) {
	t, ok := s.Targets.Find(to)
	if !ok {
		return
	}
	for ; q.handed < min(most, len(x.packets)); q.handed++ {
		s.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: t.Service, Packet: x.packets[q.handed]})
	}
}
