package stream

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// handleOpening sends an opening packet to a target. A retransmission goes to the target
// that confirmed the first one; if none has, to another target, since the first may be
// down and accepting twice is harmless. A new flow from a port that was used before is
// opened as if the earlier flow had not been.
func (s *Steerer) handleOpening(now clock.Millis, id segment.Flow, f *flow, seq uint32, packet []byte) {
	f, resent := s.resend(now, id, f, seq, packet)
	if resent || s.handOn(id, packet) {
		return
	}
	s.openFlow(now, id, f, seq, packet)
}

// resend sends a retransmission to the flow's owner, and reports whether it did. It returns
// the flow, or nil if the packet opens a new one.
func (s *Steerer) resend(now clock.Millis, id segment.Flow, f *flow, seq uint32, packet []byte) (*flow, bool) {
	if f != nil && !f.opening.mayResend(now, seq, f.ended) {
		s.forget(id, f)
		f = nil
	}
	return f, f != nil && s.resendToOwner(now, id, f, seq, packet)
}

// openFlow opens a flow by the table in force, or queues its opening packet until there is one.
func (s *Steerer) openFlow(now clock.Millis, id segment.Flow, f *flow, seq uint32, packet []byte) {
	if s.table == nil && s.queueAtStartup(now, id, seq, packet, "no configuration yet") {
		return
	}
	if s.evacuationsUnknown() && s.queueAtStartup(now, id, seq, packet, "evacuations not known yet") {
		return
	}
	service, err := s.pickService(id)
	if err != nil {
		return
	}
	if f == nil {
		f = &flow{}
		s.flows.Add(id, f)
	}
	s.recordOpening(now, f, seq)
	s.route(now, id, f, service)
	s.placeOpening(now, id, f, packet)
}

// forget removes a flow whose port its caller uses again.
func (s *Steerer) forget(id segment.Flow, f *flow) {
	if f.search != nil {
		f.search.finish()
	}
	s.flows.Remove(id)
}

// recordOpening records the first copy of an opening packet that arrives here.
func (s *Steerer) recordOpening(now clock.Millis, f *flow, seq uint32) {
	if !f.opening.seen {
		f.opening, f.carried = seenOpening(now, seq), false
	}
}

// route assigns a flow that is about to be opened to a service of the table in force.
func (s *Steerer) route(now clock.Millis, id segment.Flow, f *flow, service string) {
	f.lastSeen, f.ended, f.inherited = now, false, false
	f.service, f.homeRegions, f.class = service, s.table.HomeRegions(id), s.table.Class(id)
	s.observeClass(now, f)
	if f.search == nil {
		f.answers = nil
	}
}

// resendToOwner sends a retransmitted opening packet to the target that confirmed the
// flow, and reports whether it did.
//
// A packet of a flow whose opening did not arrive here may also open a new flow, so it goes
// to the owner only if the table in force allows that.
func (s *Steerer) resendToOwner(now clock.Millis, id segment.Flow, f *flow, seq uint32, packet []byte) bool {
	agent, ok := f.owner.Confirmed()
	if !ok || s.table == nil {
		return false
	}
	service, err := s.table.PickService(id)
	if err != nil || !f.opening.seen && service != f.service {
		return false
	}
	t, ok := s.Targets.Find(agent)
	if !ok || t.Service != f.service || t.Suspected(now) {
		return false
	}
	s.recordOpening(now, f, seq)
	f.lastSeen = now
	s.out.send(agent, s.openParcel(f, packet))
	return true
}

// pickService chooses the flow's service. If no listener has the address, the caller is
// reset at once.
func (s *Steerer) pickService(id segment.Flow) (string, error) {
	if s.table == nil {
		s.out.record(Event{Kind: Unrouted, Flow: id, Reason: "no configuration yet"})
		return "", routing.ErrNoListener
	}
	service, err := s.table.PickService(id)
	if err != nil {
		s.out.record(Event{Kind: Unrouted, Flow: id, Reason: "no listener", Version: s.version()})
		s.out.Resets = append(s.out.Resets, Reset{Flow: id})
	}
	return service, err
}

func (s *Steerer) openParcel(f *flow, packet []byte) *wire.Parcel {
	return &wire.Parcel{
		Verb: wire.Verb_VERB_OPEN, Service: f.service, Packet: packet, Warming: uint32(s.warmingRate(f.service)),
		Class: encodeClass(f.class, f.moreUrgent), Insist: f.busyReturns >= maxBusyReturns,
	}
}

// warmingRate returns how many opening packets per second a target of a service accepts
// while it warms up after its start, or zero for no limit.
func (s *Steerer) warmingRate(service string) int {
	if s.table == nil {
		return 0
	}
	return s.table.WarmingRate(service)
}

func (s *Steerer) demand(f *flow) PlacementRequest {
	return PlacementRequest{
		Service: f.service, HomeRegions: f.homeRegions, WarmingRate: s.warmingRate(f.service), Class: f.class,
		Tried: f.tried,
	}
}

// placeOpening sends an opening packet to the target of lowest cost that was not tried yet.
func (s *Steerer) placeOpening(now clock.Millis, id segment.Flow, f *flow, packet []byte) {
	t, ok, refused := s.chooseAdmitting(now, f)
	if refused && f.pending == 0 {
		s.refuseBusy(now, id, f)
		return
	}
	if !ok {
		s.handleUnplaced(now, id, f, packet)
		return
	}
	kind := Opened
	if len(f.tried) > 0 {
		kind = Reopened
	}
	f.tried = append(f.tried, t.Address)
	f.pending++
	f.owner = offeredTo(t.Address)
	s.out.record(Event{
		Kind: kind, Flow: id, Target: t.Address, Name: t.Name, Service: f.service, Age: now.Sub(t.HeardAt),
		Count: len(f.tried), Version: s.version(),
	})
	s.out.send(t.Address, s.openParcel(f, packet))
}

// handleUnplaced handles an opening packet for which no target is left.
//
// If every target has declined it, or none can ever take it, the caller is reset at once:
// no request has run, so it may try again. If a target may still take it, the packet is
// dropped; its retransmission arrives within half a second and uses the state of then.
func (s *Steerer) handleUnplaced(now clock.Millis, id segment.Flow, f *flow, packet []byte) {
	if f.pending > 0 && len(f.tried) > 0 {
		s.resendToTried(now, id, f, packet)
		return
	}
	demand := s.demand(f)
	queued := queuedOpening{id: id, seq: f.opening.seq, queuedAt: f.opening.at, packet: packet, tried: len(f.tried)}
	if s.Targets.anyWarming(now, &demand) && s.queueOpening(now, queued, "targets have just started") {
		s.flows.Remove(id)
		return
	}
	reason := s.Targets.blockedReason(now, &demand)
	refused := len(f.tried) > 0 || reason != "" && s.knowsTargets(now)
	if !refused && s.queueAtStartup(now, id, f.opening.seq, packet, cmp.Or(reason, "no target is ready")) {
		s.flows.Remove(id)
		return
	}
	if refused {
		reason = cmp.Or(reason, "every target turned it away")
		s.out.Resets = append(s.out.Resets, Reset{Flow: id})
	}
	reason = cmp.Or(reason, "no target is ready")
	s.out.record(Event{
		Kind: refusalKind(refused), Flow: id, Service: f.service, Reason: reason,
		Count: len(f.tried), Version: s.version(),
	})
	s.flows.Remove(id)
}

// knowsTargets reports that this balancer is past its startup period, or knows all targets.
func (s *Steerer) knowsTargets(now clock.Millis) bool {
	return s.settled || now.Sub(s.started) > startupPeriod
}

func refusalKind(refused bool) EventKind {
	if refused {
		return Refused
	}
	return NoTarget
}

// resendToTried sends a retransmission to the targets that were sent the opening packet
// before and did not answer, as there are no others.
func (s *Steerer) resendToTried(now clock.Millis, id segment.Flow, f *flow, packet []byte) {
	ts, demand := s.Targets, s.demand(f)
	demand.Tried, demand.IgnoreRefusals = nil, true
	for _, a := range f.tried {
		t, ok := ts.Find(a)
		if !ok || t.Service != f.service || !ts.usable(now, t, &demand, true) {
			continue
		}
		s.out.record(Event{
			Kind: Reopened, Flow: id, Target: a, Name: t.Name, Service: f.service, Reason: "no other target",
			Age: now.Sub(t.HeardAt), Count: len(f.tried), Version: s.version(),
		})
		s.out.send(a, s.openParcel(f, packet))
	}
}

// handleDeclined chooses another target for an opening packet that a target returned.
func (s *Steerer) handleDeclined(now clock.Millis, id segment.Flow, f *flow, from netip.AddrPort, p *wire.Parcel, seq uint32) {
	if f.opening.seen && seq != f.opening.seq {
		// It opened an earlier flow from this port.
		return
	}
	f.pending = max(f.pending-1, 0)
	if !slices.Contains(f.tried, from) {
		f.tried = append(f.tried, from)
	}
	s.out.record(Event{Kind: Declined, Flow: id, Target: from, Service: f.service, Reason: p.Cause.String()})
	if p.Cause == wire.Cause_CAUSE_BUSY {
		f.busyReturns++
		if f.pending > 0 {
			return // the other copy may have been accepted
		}
	}
	if f.search != nil {
		return
	}
	if agent, known := f.owner.Confirmed(); known {
		s.reopenDeclined(now, id, f, agent == from, p.Packet)
		return
	}
	s.placeOpening(now, id, f, p.Packet)
}

// reopenDeclined opens a flow elsewhere whose opening packet was returned although an owner
// is known. If that owner has returned it, it no longer holds the flow, unless the caller
// is using it: then the packet is a late copy. Otherwise the owner has the packet.
func (s *Steerer) reopenDeclined(now clock.Millis, id segment.Flow, f *flow, byOwner bool, packet []byte) {
	inUse := f.carried && !f.ended
	if !byOwner || inUse {
		return
	}
	service, err := s.pickService(id)
	if err != nil {
		return
	}
	f.owner = owner{}
	s.route(now, id, f, service)
	s.placeOpening(now, id, f, packet)
}
