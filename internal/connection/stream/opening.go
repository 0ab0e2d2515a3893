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

// open sends a flow's opening to a target. A copy goes to the target that took
// the first one; if none has said so yet, to another one, for the first may be
// dead and accepting twice does no harm.
func (s *Steerer) open(now clock.Millis, id segment.Flow, f *flow, packet []byte) {
	if f != nil && s.reopen(now, f, packet) {
		return
	}
	if s.table == nil && s.wait(now, id, packet, "no configuration yet") {
		return
	}
	if s.blind() && s.wait(now, id, packet, "evacuations not known yet") {
		return
	}
	service, err := s.pick(id)
	if err != nil {
		return
	}
	if f == nil {
		f = &flow{since: now}
		s.flows.Add(id, f)
	}
	f.last, f.ended, f.inherited = now, false, false
	f.service, f.homes = service, s.table.HomeRegions(id)
	if f.search == nil {
		f.asked = nil
	}
	s.place(now, id, f, packet)
}

// reopen sends a copy of an opening to the target that took it, and reports whether it
// did.
func (s *Steerer) reopen(now clock.Millis, f *flow, packet []byte) bool {
	agent, ok := f.owner.Taker()
	if !ok {
		return false
	}
	t, ok := s.Targets.Find(agent)
	if !ok || t.Service != f.service || t.Suspected(now) {
		return false
	}
	f.last = now
	s.out.send(agent, s.opening(f.service, packet))
	return true
}

// pick chooses the flow's service. A caller at an address that nobody listens
// at is told at once.
func (s *Steerer) pick(id segment.Flow) (string, error) {
	if s.table == nil {
		s.out.note(Event{Kind: Unrouted, Flow: id, Reason: "no configuration yet"})
		return "", routing.ErrNoListener
	}
	service, err := s.table.PickService(id)
	if err != nil {
		s.out.note(Event{Kind: Unrouted, Flow: id, Reason: "no listener", Version: s.version()})
		s.out.Resets = append(s.out.Resets, Reset{Flow: id})
	}
	return service, err
}

func (s *Steerer) opening(service string, packet []byte) *wire.Parcel {
	return &wire.Parcel{
		Verb: wire.Verb_VERB_OPEN, Service: service, Packet: packet, Warming: uint32(s.warming(service)),
	}
}

// warming returns how many openings a second a target of a service bears while it is slow
// after its start, or zero for no bound.
func (s *Steerer) warming(service string) int {
	if s.table == nil {
		return 0
	}
	return s.table.WarmingRate(service)
}

func (s *Steerer) demand(f *flow) Demand {
	return Demand{Service: f.service, Homes: f.homes, Warming: s.warming(f.service), Tried: f.tried}
}

// place sends an opening to the target that costs least of those not tried.
func (s *Steerer) place(now clock.Millis, id segment.Flow, f *flow, packet []byte) {
	t, ok := s.Targets.Choose(now, s.demand(f))
	if !ok {
		s.unplaced(now, id, f, packet)
		return
	}
	kind := Opened
	if len(f.tried) > 0 {
		kind = Reopened
	}
	f.tried = append(f.tried, t.Address)
	f.pending++
	f.owner = offeredTo(t.Address)
	s.out.note(Event{
		Kind: kind, Flow: id, Target: t.Address, Name: t.Name, Service: f.service, Age: now.Sub(t.Heard),
		Count: len(f.tried), Version: s.version(),
	})
	s.out.send(t.Address, s.opening(f.service, packet))
}

// unplaced deals with an opening that no target is left for.
//
// Where each target has turned it away, or none may ever take it, the caller is told at
// once: nothing has run, and it may come back. Where a target may still take it, the
// opening is forgotten; its next copy comes within half a second and finds the news.
func (s *Steerer) unplaced(now clock.Millis, id segment.Flow, f *flow, packet []byte) {
	if f.pending > 0 && len(f.tried) > 0 {
		s.again(now, id, f, packet)
		return
	}
	demand := s.demand(f)
	if s.Targets.warming(now, &demand) && s.hold(now, waiting{id: id, at: f.since, packet: packet, tried: len(f.tried)}, "targets have just started") {
		s.flows.Remove(id)
		return
	}
	reason := s.Targets.barred(now, &demand)
	refused := len(f.tried) > 0 || reason != "" && s.certain(now)
	if !refused && s.wait(now, id, packet, cmp.Or(reason, "no target is ready")) {
		s.flows.Remove(id)
		return
	}
	if refused {
		reason = cmp.Or(reason, "every target turned it away")
		s.out.Resets = append(s.out.Resets, Reset{Flow: id})
	}
	reason = cmp.Or(reason, "no target is ready")
	s.out.note(Event{
		Kind: refusal(refused), Flow: id, Service: f.service, Reason: reason,
		Count: len(f.tried), Version: s.version(),
	})
	s.flows.Remove(id)
}

// certain reports that this balancer has not just started, or knows all targets.
func (s *Steerer) certain(now clock.Millis) bool {
	return s.settled || now.Sub(s.started) > startFor
}

func refusal(refused bool) Kind {
	if refused {
		return Refused
	}
	return NoTarget
}

// again sends a copy to the targets that have had one already and did not
// answer: there is no other.
func (s *Steerer) again(now clock.Millis, id segment.Flow, f *flow, packet []byte) {
	ts, demand := s.Targets, s.demand(f)
	demand.Tried = nil
	for _, a := range f.tried {
		t, ok := ts.Find(a)
		if !ok || t.Service != f.service || !ts.usable(now, t, &demand, true) {
			continue
		}
		s.out.note(Event{
			Kind: Reopened, Flow: id, Target: a, Name: t.Name, Service: f.service, Reason: "no other target",
			Age: now.Sub(t.Heard), Count: len(f.tried), Version: s.version(),
		})
		s.out.send(a, s.opening(f.service, packet))
	}
}

// declined chooses again for an opening that a target returned.
func (s *Steerer) declined(now clock.Millis, id segment.Flow, f *flow, from netip.AddrPort, p *wire.Parcel) {
	f.pending = max(f.pending-1, 0)
	if !slices.Contains(f.tried, from) {
		f.tried = append(f.tried, from)
	}
	s.out.note(Event{Kind: Declined, Flow: id, Target: from, Service: f.service, Reason: p.Cause.String()})
	if _, known := f.owner.Taker(); known || f.search != nil {
		return
	}
	s.place(now, id, f, p.Packet)
}
