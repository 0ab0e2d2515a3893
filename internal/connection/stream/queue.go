package stream

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// waitFor is how long an opening waits for a route or a target. Its caller sends
	// a copy by then.
	queueTimeout = 400 * clock.Millis(1)
	// startFor is how long a balancer that has started may lack routes and targets
	// that are there.
	startupPeriod = 2 * clock.Second
	// mostWaiting bounds the openings that wait; a packet of one is some 40 bytes.
	maxQueued = 1024
)

// waiting is an opening that came before there was a route or a target for it.
type queuedOpening struct {
	id       segment.Flow
	queuedAt clock.Millis
	packet   []byte
	// tried is how many targets have turned it away.
	tried int
}

// wait keeps an opening until there is a route and a target for it. It reports whether
// it does: a balancer that has run for a while knows who is there.
func (s *Steerer) queueAtStartup(now clock.Millis, id segment.Flow, packet []byte, reason string) bool {
	return now.Sub(s.started) <= startupPeriod && s.queueOpening(now, queuedOpening{id: id, queuedAt: now, packet: packet}, reason)
}

// hold keeps an opening until there is a target for it, and reports whether it does: there is
// room, and its caller has not waited for too long.
func (s *Steerer) queueOpening(now clock.Millis, w queuedOpening, reason string) bool {
	if len(s.queued) >= maxQueued || now.Sub(w.queuedAt) > queueTimeout {
		return false
	}
	w.packet = slices.Clone(w.packet)
	s.queued = append(s.queued, w)
	s.out.record(Event{Kind: Queued, Flow: w.id, Reason: reason, Count: len(s.queued), Version: s.version()})
	return true
}

// retry opens the flows that wait and have a route and a target now, in the order in
// which they came. The copy of one that was opened is over.
func (s *Steerer) retryQueued(now clock.Millis) {
	if len(s.queued) == 0 {
		return
	}
	due := s.queued
	s.queued = nil
	full := map[destination]bool{}
	for _, w := range due {
		switch {
		case s.flows.Contains(w.id):
		case now.Sub(w.queuedAt) > queueTimeout:
			s.expireQueued(now, w)
		case s.canResolve(now, w.id, full):
			f := &flow{openedAt: w.queuedAt}
			s.flows.Add(w.id, f)
			s.handleOpening(now, w.id, f, w.packet)
		default:
			s.queued = append(s.queued, w)
		}
	}
}

// expire ends the wait of an opening. The caller of one that targets have turned away is told
// that nothing has run; that of another one sends a copy, which may find a target.
func (s *Steerer) expireQueued(now clock.Millis, w queuedOpening) {
	if w.tried == 0 {
		return
	}
	s.out.Resets = append(s.out.Resets, Reset{Flow: w.id})
	s.out.record(Event{
		Kind: Refused, Flow: w.id, Reason: "every target turned it away", Age: now.Sub(w.queuedAt), Count: w.tried,
		Version: s.version(),
	})
}

// wanted is what openings that wait have in common: what has no target for one of them has
// none for the others.
type destination struct {
	listener netip.AddrPort
	service  string
}

// served reports that an opening would get an answer: a target takes it, there is no
// listener, or it is certain that nothing may take it. full are those that are known to have none.
func (s *Steerer) canResolve(now clock.Millis, id segment.Flow, full map[destination]bool) bool {
	if s.table == nil || s.blind() && now.Sub(s.started) <= startupPeriod {
		return false
	}
	service, err := s.table.Pick(id)
	if err != nil {
		return true
	}
	w := destination{listener: id.Listener, service: service}
	d := Demand{Service: service, Homes: s.table.Homes(id), Warming: s.warmingRate(service)}
	full[w] = full[w] || !s.Targets.ready(now, &d) && (!s.knowsTargets(now) || s.Targets.barred(now, &d) == "")
	return !full[w]
}
