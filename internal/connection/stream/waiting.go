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
	waitFor = 400 * clock.Millis(1)
	// startFor is how long a balancer that has started may lack routes and targets
	// that are there.
	startFor = 2 * clock.Second
	// mostWaiting bounds the openings that wait; a packet of one is some 40 bytes.
	mostWaiting = 1024
)

// waiting is an opening that came before there was a route or a target for it.
type waiting struct {
	id     segment.Flow
	at     clock.Millis
	packet []byte
	// tried is how many targets have turned it away.
	tried int
}

// wait keeps an opening until there is a route and a target for it. It reports whether
// it does: a balancer that has run for a while knows who is there.
func (s *Steerer) wait(now clock.Millis, id segment.Flow, packet []byte, reason string) bool {
	return now.Sub(s.started) <= startFor && s.hold(now, waiting{id: id, at: now, packet: packet}, reason)
}

// hold keeps an opening until there is a target for it, and reports whether it does: there is
// room, and its caller has not waited for too long.
func (s *Steerer) hold(now clock.Millis, w waiting, reason string) bool {
	if len(s.waiting) >= mostWaiting || now.Sub(w.at) > waitFor {
		return false
	}
	w.packet = slices.Clone(w.packet)
	s.waiting = append(s.waiting, w)
	s.out.note(Event{Kind: Waits, Flow: w.id, Reason: reason, Count: len(s.waiting), Version: s.version()})
	return true
}

// retry opens the flows that wait and have a route and a target now, in the order in
// which they came. The copy of one that was opened is over.
func (s *Steerer) retry(now clock.Millis) {
	if len(s.waiting) == 0 {
		return
	}
	due := s.waiting
	s.waiting = nil
	full := map[wanted]bool{}
	for _, w := range due {
		switch {
		case s.flows.Contains(w.id):
		case now.Sub(w.at) > waitFor:
			s.expire(now, w)
		case s.served(now, w.id, full):
			f := &flow{since: w.at}
			s.flows.Add(w.id, f)
			s.open(now, w.id, f, w.packet)
		default:
			s.waiting = append(s.waiting, w)
		}
	}
}

// expire ends the wait of an opening. The caller of one that targets have turned away is told
// that nothing has run; that of another one sends a copy, which may find a target.
func (s *Steerer) expire(now clock.Millis, w waiting) {
	if w.tried == 0 {
		return
	}
	s.out.Resets = append(s.out.Resets, Reset{Flow: w.id})
	s.out.note(Event{
		Kind: Refused, Flow: w.id, Reason: "every target turned it away", Age: now.Sub(w.at), Count: w.tried,
		Version: s.version(),
	})
}

// wanted is what openings that wait have in common: what has no target for one of them has
// none for the others.
type wanted struct {
	listener netip.AddrPort
	service  string
}

// served reports that an opening would get an answer: a target takes it, there is no
// listener, or it is certain that nothing may take it. full are those that are known to have none.
func (s *Steerer) served(now clock.Millis, id segment.Flow, full map[wanted]bool) bool {
	if s.table == nil || s.blind() && now.Sub(s.started) <= startFor {
		return false
	}
	service, err := s.table.PickService(id)
	if err != nil {
		return true
	}
	w := wanted{listener: id.Listener, service: service}
	d := Demand{Service: service, Homes: s.table.HomeRegions(id), Warming: s.warming(service)}
	full[w] = full[w] || !s.Targets.ready(now, &d) && (!s.certain(now) || s.Targets.barred(now, &d) == "")
	return !full[w]
}
