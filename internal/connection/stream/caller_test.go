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

// callerSends goes through the balancer that the fabric picks: mostly the same
// one, and another one while that is down.
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

// callerRepeats sends a request again until it is answered or the caller's
// patience ends.
func (w *simulation) sendRequestCopies(c *simCaller, flow segment.Flow, asked, pause clock.Millis) {
	if c.flow != flow || !c.awaitingAnswer || c.requestedAt != asked {
		return
	}
	if w.now.Sub(asked) > 2*clock.Second {
		if c.target != nil && c.target.alive && asked > c.target.failsUntil && w.undisturbed(c) {
			w.fail("%s hangs, its target %s lives", c.flow, c.agent.address)
		}
		w.openFlow(c)
		return
	}
	w.sendFromCaller(c, segment.Segment{Flags: segment.Acks, Ack: c.seq, Seq: c.nextSeq - simRequestSize, Size: simRequestSize})
	w.schedule(pause, func() { w.sendRequestCopies(c, flow, asked, 2*pause) })
}

// calm reports that nothing unplanned happened to what the flow needs.
func (w *simulation) undisturbed(c *simCaller) bool {
	if w.now.Sub(c.agent.end) <= simRecoveryTime || !c.agent.up {
		return false
	}
	for _, b := range w.balancers {
		if w.now.Sub(b.end) <= simRecoveryTime {
			return false
		}
	}
	return w.loss == 0
}

// anAgent resets only what its target surely does not hold, also in the middle of
// faults.
const byAgent = "an agent"

func (w *simulation) resetCaller(id segment.Flow, by string) {
	for _, c := range w.callers {
		if c.flow != id {
			continue
		}
		if c.target != nil && c.target.alive && (w.undisturbed(c) || by == byAgent) {
			w.fail("%s is reset by %s, its target %s lives", id, by, c.agent.address)
		}
		w.schedule(simResetDelay, func() {
			if c.flow == id {
				w.openFlow(c)
			}
		})
	}
}
