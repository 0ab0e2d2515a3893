package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// maxUnsureReceivers is the largest number of unsure targets to which all packets of
	// a search are forwarded. If there are more, only the first packet is forwarded, which
	// rules most of them out.
	maxUnsureReceivers = 2
	// returnTime is the time within which a target returns a packet of a flow that it does
	// not hold: some round trips between failure domains.
	returnTime = 50 * clock.Millis(1)
	// speculativeRate and speculativeBurst limit the packets per second that searches
	// forward to unsure targets. At some 25 us each that is 40 % of the smallest share of
	// a core that a balancer gets, 0.06, and leaves the rest to healthy flows.
	speculativeRate  = 1000.0
	speculativeBurst = 200.0
	// speculativeReserve is the part of the burst that is reserved for targets of the
	// balancer's own failure domain: most flows never leave it.
	speculativeReserve = 100.0
)

// maySpeculate reports whether a packet may be forwarded to a target that may not hold
// its flow: callers' packets must stay in the home regions of their listener.
func (s *Steerer) maySpeculate(id segment.Flow, to netip.AddrPort) bool {
	t, ok := s.Targets.Find(to)
	return ok && (s.table == nil || s.Targets.inHomeRegion(t.Domain, s.table.HomeRegions(id)))
}

// resolveByElimination ends a search after all targets but an unsure one have denied the
// flow: that one is the owner.
//
// It is correct only at a balancer that knows all targets: one that has just started may
// know a single target, and would send it the packets of healthy flows.
func (s *Steerer) resolveByElimination(now clock.Millis, x *search) {
	for _, t := range s.Targets.Sorted() {
		a := x.flow.answers[t.Address]
		if a != nil && a.search == x && a.holding == wire.Holding_HOLDING_UNSURE {
			s.ownerFound(now, x.id, x.flow, t.Address)
			return
		}
	}
}

// speculate forwards the first packet to the unsure targets that have none yet, while
// there are tokens.
//
// After all processes were killed every agent is unsure, and forwarding each flow's packet
// to each target would keep a small balancer busy for many seconds. With the rate limit,
// searches end one after the other, the oldest first.
func (s *Steerer) speculate(now clock.Millis, x *search) {
	s.speculativeTokens = min(s.speculativeTokens+speculativeRate*float64(now.Sub(s.speculativeRefilled))/float64(clock.Second), speculativeBurst)
	s.speculativeRefilled = now
	for _, t := range s.Targets.Sorted() {
		a := x.flow.answers[t.Address]
		if a == nil || a.search != x || a.holding != wire.Holding_HOLDING_UNSURE || a.forwarded > 0 {
			continue
		}
		if s.speculativeTokens < 1 || t.Domain != s.settings.Domain && s.speculativeTokens < speculativeReserve {
			return
		}
		s.speculativeTokens--
		s.forwardBuffered(now, x, t.Address, a, 1)
	}
	x.speculationPending = false
}

// addPacket buffers a packet that arrives during a search, and forwards it to the targets
// that may be the owner: an earlier packet may not have required an answer.
func (s *Steerer) addPacket(now clock.Millis, x *search, packet []byte) {
	s.bufferPacket(x, packet)
	s.forwardToUnsure(now, x)
}

// forwardToUnsure forwards all buffered packets to the few unsure targets that are left.
//
// The owner is among these only if this balancer knows all targets. Until it does, a target
// gets further packets only once it has kept the first one for returnTime; otherwise all
// packets of a healthy flow would go to a target that does not hold it.
func (s *Steerer) forwardToUnsure(now clock.Millis, x *search) {
	if x.unsure == 0 || x.unsure > maxUnsureReceivers {
		return
	}
	for _, t := range s.Targets.Sorted() {
		a := x.flow.answers[t.Address]
		if a != nil && a.search == x && a.holding == wire.Holding_HOLDING_UNSURE && (s.settled || a.kept(now)) {
			s.forwardBuffered(now, x, t.Address, a, len(x.packets))
		}
	}
}

// kept reports whether the target has not returned the first packet although it had time to.
func (a *agentAnswer) kept(now clock.Millis) bool {
	return a.forwarded > 0 && now.Sub(a.forwardedAt) >= returnTime
}

// forwardBuffered forwards to a target the buffered packets that it was not sent yet, of
// the first limit ones. A target that does not hold the flow returns them.
func (s *Steerer) forwardBuffered(now clock.Millis, x *search, to netip.AddrPort, a *agentAnswer, limit int) {
	t, ok := s.Targets.Find(to)
	if !ok {
		return
	}
	if a.forwarded == 0 {
		a.forwardedAt = now
	}
	for ; a.forwarded < min(limit, len(x.packets)); a.forwarded++ {
		s.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: t.Service, Packet: x.packets[a.forwarded]})
	}
}
