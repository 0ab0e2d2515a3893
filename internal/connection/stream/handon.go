package stream

import (
	"net/netip"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// SetUpToDate sets the balancers to which openings are handed on, because they have a version
// of the configuration that this balancer should have by now; none if it has it.
func (s *Steerer) SetUpToDate(balancers []netip.AddrPort) {
	s.upToDate = balancers
}

// handOn hands an opening packet to a balancer that is up to date, if this one is not, and
// reports whether it did. Retransmissions go to the same balancer, which knows the flow.
func (s *Steerer) handOn(id segment.Flow, packet []byte) bool {
	if len(s.upToDate) == 0 {
		return false
	}
	var buf [16]byte
	chosen := s.upToDate[xxh3.Hash(segment.AppendFlow(buf[:0], id))%uint64(len(s.upToDate))]
	s.out.record(Event{Kind: HandedOn, Flow: id, Target: chosen, Reason: "a later version is in force", Version: s.version()})
	s.out.send(chosen, &wire.Parcel{Verb: wire.Verb_VERB_HANDED, Packet: packet})
	return true
}

// HandleHanded opens a flow whose opening packet another balancer has handed on. It is not
// handed on again, so that balancers that wrongly believe each other up to date do not send it
// in circles.
func (s *Steerer) HandleHanded(now clock.Millis, from netip.AddrPort, seg *segment.Segment, packet []byte) {
	if seg == nil || !seg.Opening() {
		return
	}
	id := seg.FromCaller()
	f, _ := s.flows.Get(id)
	f, resent := s.resend(now, id, f, seg.Seq, packet)
	if !resent {
		s.openFlow(now, id, f, seg.Seq, packet)
	}
	if f, ok := s.flows.Peek(id); ok {
		f.handedBy = from
	}
}

// tellOwner tells the balancer that handed a flow's opening on who owns the flow: the caller's
// further packets arrive there.
func (s *Steerer) tellOwner(id segment.Flow, f *flow, agent netip.AddrPort) {
	if !f.handedBy.IsValid() {
		return
	}
	o := &wire.Owner{Flow: segment.AppendFlow(nil, id), Address: segment.AppendAddress(nil, agent), Service: f.service}
	s.out.send(f.handedBy, &wire.Parcel{Verb: wire.Verb_VERB_OWNERS, Owners: &wire.Owners{Owners: []*wire.Owner{o}}})
}
