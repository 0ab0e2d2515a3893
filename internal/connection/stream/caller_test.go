package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

func (sim *simulation) openFlow(c *simCaller) {
	c.port++
	c.flow = segment.Flow{Caller: netip.AddrPortFrom(c.ip, c.port), Listener: testListener}
	c.target, c.agent, c.seq, c.awaitingAnswer, c.copies = nil, nil, 0, false, 0
	c.nextSeq = 1
	c.flowOpenedAt = sim.now
	sim.sendOpeningCopies(c, c.flow)
}

func (sim *simulation) sendOpeningCopies(c *simCaller, flow segment.Flow) {
	if c.flow != flow || c.seq != 0 {
		return
	}
	if c.copies == simOpeningCopies {
		sim.schedule(400, func() { sim.openFlow(c) })
		return
	}
	sim.sendFromCaller(c, segment.Segment{Flags: segment.Opens, Ack: uint32(c.copies)})
	c.copies++
	sim.schedule(clock.Millis(200*c.copies), func() { sim.sendOpeningCopies(c, flow) })
}

// sendFromCaller sends through the balancer that the network's hashing picks: usually the
// same one, and another one while that is down.
func (sim *simulation) sendFromCaller(c *simCaller, s segment.Segment) {
	s.Source, s.Destination = c.flow.Caller, c.flow.Listener
	packet := encode(s)
	n := len(sim.balancers)
	first := int(c.flow.Caller.Port()) + int(c.ip.As4()[3])
	for i := range n {
		b := sim.balancers[(first+i)%n]
		if !b.up {
			continue
		}
		sim.transmit(c.flow.Caller, b.address, func() {
			if b.up {
				b.steerer.HandlePacket(sim.now, decode(packet), packet)
				sim.flushBalancer(b)
			}
		})
		return
	}
}

func (sim *simulation) callerReceives(_ *simAgent, s *segment.Segment) {
	id := s.FromUpstream()
	for _, c := range sim.callers {
		if c.flow != id {
			continue
		}
		switch {
		case s.Flags.Has(segment.Resets):
			sim.openFlow(c)
		case s.Flags.Has(segment.Opens):
			if c.seq == 0 {
				c.seq = s.Seq + 1
				sim.sendRequest(c, c.flow)
			}
		case s.Size > 0 && c.awaitingAnswer:
			c.awaitingAnswer = false
			sim.served++
			flow := c.flow
			sim.schedule(clock.Millis(200+sim.random.IntN(1500)), func() { sim.sendRequest(c, flow) })
		}
	}
}

func (sim *simulation) sendRequest(c *simCaller, flow segment.Flow) {
	if c.flow != flow {
		return
	}
	if sim.now.Sub(c.flowOpenedAt) > 20*clock.Second {
		sim.openFlow(c)
		return
	}
	c.awaitingAnswer, c.requestedAt = true, sim.now
	c.nextSeq += simRequestSize
	sim.sendRequestCopies(c, flow, c.requestedAt, 200)
}

// sendRequestCopies retransmits a request until it is answered or the caller's timeout
// passes.
func (sim *simulation) sendRequestCopies(c *simCaller, flow segment.Flow, requestedAt, delay clock.Millis) {
	if c.flow != flow || !c.awaitingAnswer || c.requestedAt != requestedAt {
		return
	}
	if sim.now.Sub(requestedAt) > 2*clock.Second {
		if c.target != nil && c.target.alive && requestedAt > c.target.failsUntil && sim.undisturbed(c) {
			sim.fail("flow %s hangs although its target %s is alive", c.flow, c.agent.address)
		}
		sim.openFlow(c)
		return
	}
	sim.sendFromCaller(c, segment.Segment{Flags: segment.Acks, Ack: c.seq, Seq: c.nextSeq - simRequestSize, Size: simRequestSize})
	sim.schedule(delay, func() { sim.sendRequestCopies(c, flow, requestedAt, 2*delay) })
}

// undisturbed reports that there was no recent unplanned fault on the flow's path.
func (sim *simulation) undisturbed(c *simCaller) bool {
	if sim.now.Sub(c.agent.faultEnd) <= simRecoveryTime || !c.agent.up {
		return false
	}
	for _, b := range sim.balancers {
		if sim.now.Sub(b.faultEnd) <= simRecoveryTime {
			return false
		}
	}
	return sim.loss == 0
}

// byAgent marks resets by an agent, which resets only flows that its target certainly does
// not hold, even during faults.
const byAgent = "an agent"

func (sim *simulation) resetCaller(id segment.Flow, by string) {
	for _, c := range sim.callers {
		if c.flow != id {
			continue
		}
		if c.target != nil && c.target.alive && (sim.undisturbed(c) || by == byAgent) {
			sim.fail("flow %s is reset by %s although its target %s is alive", id, by, c.agent.address)
		}
		sim.schedule(simResetDelay, func() {
			if c.flow == id {
				sim.openFlow(c)
			}
		})
	}
}
