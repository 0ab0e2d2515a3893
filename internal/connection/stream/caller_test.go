package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

func (w *simulation) openFlow(c *simCaller) {
	c.port++
	c.flow = segment.Flow{Caller: netip.AddrPortFrom(c.ip, c.port), Listener: testListener}
	c.target, c.agent, c.seq, c.awaitingAnswer, c.copies = nil, nil, 0, false, 0
	c.nextSeq = 1
	c.flowOpenedAt = w.now
	w.sendOpeningCopies(c, c.flow)
}

func (w *simulation) sendOpeningCopies(c *simCaller, flow segment.Flow) {
	if c.flow != flow || c.seq != 0 {
		return
	}
	if c.copies == simOpeningCopies {
		w.schedule(400, func() { w.openFlow(c) })
		return
	}
	w.sendFromCaller(c, segment.Segment{Flags: segment.Opens, Ack: uint32(c.copies)})
	c.copies++
	w.schedule(clock.Millis(200*c.copies), func() { w.sendOpeningCopies(c, flow) })
}

// sendFromCaller sends through the balancer that the network's hashing picks: usually the
// same one, and another one while that is down.
func (w *simulation) sendFromCaller(c *simCaller, s segment.Segment) {
	s.Source, s.Destination = c.flow.Caller, c.flow.Listener
	packet := encode(s)
	n := len(w.balancers)
	first := int(c.flow.Caller.Port()) + int(c.ip.As4()[3])
	for i := range n {
		b := w.balancers[(first+i)%n]
		if !b.up {
			continue
		}
		w.transmit(c.flow.Caller, b.address, func() {
			if b.up {
				b.steerer.HandlePacket(w.now, decode(packet), packet)
				w.flushBalancer(b)
			}
		})
		return
	}
}

func (w *simulation) callerReceives(_ *simAgent, s *segment.Segment) {
	id := s.FromUpstream()
	for _, c := range w.callers {
		if c.flow != id {
			continue
		}
		switch {
		case s.Flags.Has(segment.Resets):
			w.openFlow(c)
		case s.Flags.Has(segment.Opens):
			if c.seq == 0 {
				c.seq = s.Seq + 1
				w.sendRequest(c, c.flow)
			}
		case s.Size > 0 && c.awaitingAnswer:
			c.awaitingAnswer = false
			w.served++
			flow := c.flow
			w.schedule(clock.Millis(200+w.random.IntN(1500)), func() { w.sendRequest(c, flow) })
		}
	}
}

func (w *simulation) sendRequest(c *simCaller, flow segment.Flow) {
	if c.flow != flow {
		return
	}
	if w.now.Sub(c.flowOpenedAt) > 20*clock.Second {
		w.openFlow(c)
		return
	}
	c.awaitingAnswer, c.requestedAt = true, w.now
	c.nextSeq += simRequestSize
	w.sendRequestCopies(c, flow, c.requestedAt, 200)
}

// sendRequestCopies retransmits a request until it is answered or the caller's timeout
// passes.
func (w *simulation) sendRequestCopies(c *simCaller, flow segment.Flow, requestedAt, delay clock.Millis) {
	if c.flow != flow || !c.awaitingAnswer || c.requestedAt != requestedAt {
		return
	}
	if w.now.Sub(requestedAt) > 2*clock.Second {
		if c.target != nil && c.target.alive && requestedAt > c.target.failsUntil && w.undisturbed(c) {
			w.fail("flow %s hangs although its target %s is alive", c.flow, c.agent.address)
		}
		w.openFlow(c)
		return
	}
	w.sendFromCaller(c, segment.Segment{Flags: segment.Acks, Ack: c.seq, Seq: c.nextSeq - simRequestSize, Size: simRequestSize})
	w.schedule(delay, func() { w.sendRequestCopies(c, flow, requestedAt, 2*delay) })
}

// undisturbed reports that there was no recent unplanned fault on the flow's path.
func (w *simulation) undisturbed(c *simCaller) bool {
	if w.now.Sub(c.agent.faultEnd) <= simRecoveryTime || !c.agent.up {
		return false
	}
	for _, b := range w.balancers {
		if w.now.Sub(b.faultEnd) <= simRecoveryTime {
			return false
		}
	}
	return w.loss == 0
}

// byAgent marks resets by an agent, which resets only flows that its target certainly does
// not hold, even during faults.
const byAgent = "an agent"

func (w *simulation) resetCaller(id segment.Flow, by string) {
	for _, c := range w.callers {
		if c.flow != id {
			continue
		}
		if c.target != nil && c.target.alive && (w.undisturbed(c) || by == byAgent) {
			w.fail("flow %s is reset by %s although its target %s is alive", id, by, c.agent.address)
		}
		w.schedule(simResetDelay, func() {
			if c.flow == id {
				w.openFlow(c)
			}
		})
	}
}
