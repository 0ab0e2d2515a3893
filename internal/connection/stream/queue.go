package stream

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// queueTimeout is how long an opening packet waits for a route or a target. Its
	// caller retransmits it by then.
	queueTimeout = 400 * clock.Millis(1)
	// startupPeriod is how long after its start a balancer may not know all routes and
	// targets yet.
	startupPeriod = 2 * clock.Second
	// maxQueued bounds the queued opening packets, of some 40 bytes each.
	maxQueued = 1024
)

// queuedOpening is an opening packet that arrived before there was a route or a target for it.
type queuedOpening struct {
	id       segment.Flow
	seq      uint32
	queuedAt clock.Millis
	packet   []byte
	// tried is how many targets have declined it.
	tried int
}

// queueAtStartup queues an opening packet until there is a route and a target for it, and
// reports whether it did: after the startup period a balancer knows all targets.
func (s *Steerer) queueAtStartup(now clock.Millis, id segment.Flow, seq uint32, packet []byte, reason string) bool {
	return now.Sub(s.started) <= startupPeriod && s.queueOpening(now, queuedOpening{id: id, seq: seq, queuedAt: now, packet: packet}, reason)
}

// queueOpening queues an opening packet until there is a target for it. It reports whether it
// did: there is room in the queue, and the packet has not timed out.
func (s *Steerer) queueOpening(now clock.Millis, o queuedOpening, reason string) bool {
	if len(s.queued) >= maxQueued || now.Sub(o.queuedAt) > queueTimeout {
		return false
	}
	o.packet = slices.Clone(o.packet)
	s.queued = append(s.queued, o)
	s.out.record(Event{Kind: Queued, Flow: o.id, Reason: reason, Count: len(s.queued), Version: s.version()})
	return true
}

// retryQueued sends the queued opening packets for which there is a route and a target now,
// in the order of their arrival. Retransmissions for a flow that is already open are dropped.
func (s *Steerer) retryQueued(now clock.Millis) {
	if len(s.queued) == 0 {
		return
	}
	due := s.queued
	s.queued = make([]queuedOpening, 0, len(due))
	full := map[destination]bool{}
	for _, o := range due {
		f, known := s.flows.Get(o.id)
		switch {
		case known && f.opening.seen:
		case now.Sub(o.queuedAt) > queueTimeout:
			s.expireQueued(now, o)
		case s.canResolve(now, o.id, full):
			if !known {
				f = &flow{opening: seenOpening(o.queuedAt, o.seq)}
				s.flows.Add(o.id, f)
			}
			s.handleOpening(now, o.id, f, o.seq, o.packet)
		default:
			s.queued = append(s.queued, o)
		}
	}
}

// expireQueued drops a queued opening packet. If targets have declined it, its caller is
// reset, since no request has run; otherwise the caller retransmits it and may find a target.
func (s *Steerer) expireQueued(now clock.Millis, o queuedOpening) {
	if o.tried == 0 {
		return
	}
	s.out.Resets = append(s.out.Resets, Reset{Flow: o.id})
	s.out.record(Event{
		Kind: Refused, Flow: o.id, Reason: "every target turned it away", Age: now.Sub(o.queuedAt), Count: o.tried,
		Version: s.version(),
	})
}

// destination groups queued opening packets: if there is no target for one of them, there is
// none for the others.
type destination struct {
	listener netip.AddrPort
	service  string
}

// canResolve reports that an opening packet would get an answer: a target takes it, there is
// no listener, or it is certain that no target may take it. full holds the destinations
// without a target.
func (s *Steerer) canResolve(now clock.Millis, id segment.Flow, full map[destination]bool) bool {
	if len(s.upToDate) > 0 {
		return true
	}
	if s.table == nil || s.evacuationsUnknown() && now.Sub(s.started) <= startupPeriod {
		return false
	}
	service, err := s.table.PickService(id)
	if err != nil {
		return true
	}
	dest := destination{listener: id.Listener, service: service}
	demand := PlacementRequest{
		Service: service, HomeRegions: s.table.HomeRegions(id), WarmingRate: s.warmingRate(service),
		Class: s.table.Class(id), IgnoreRefusals: true,
	}
	full[dest] = full[dest] || !s.Targets.hasUsable(now, &demand) && (!s.knowsTargets(now) || s.Targets.blockedReason(now, &demand) == "")
	return !full[dest]
}
