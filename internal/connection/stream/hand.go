package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// fewUnsure is up to how many unsure targets get all packets of a search; the
	// first packet alone tells the others apart.
	fewUnsure = 2
	// handRate and handBurst bound the packets a second that searches hand to unsure
	// targets. One is estimated, not measured, at 25 us; at the rate that is 40 % of
	// the smallest part of a core that a balancer gets, 0.06, and leaves the rest to
	// flows that are well.
	handRate  = 1000.0
	handBurst = 200.0
	// handReserve is the part of the burst that is kept for targets of the own
	// failure domain: most flows never leave it.
	handReserve = 100.0
)

// eliminate ends a search at the one target that is left: all others have denied
// the flow.
//
// Failure: the balancer has just started, and knows of one target only, whose agent
// is unsure. Symptom: the packets of a flow that is well go to that target, one
// after the other. So it takes a balancer that knows all targets that others do.
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
// Failure: all balancers and agents were killed, the targets live on, and every
// agent is unsure. Symptom: handing the packet of each flow to each target takes a
// small balancer's processor time for ten seconds; answers come too late, and the
// searches begin anew. Within the budget they end one after the other, the oldest
// first.
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
	s.keep(x, packet)
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
