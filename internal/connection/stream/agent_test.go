package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

func (sim *simulation) startAgent(a *simAgent) {
	a.epoch++
	a.up = true
	a.tracker = NewTracker(sim.now, TrackerSettings{
		Name: a.address.String(), Domain: a.domain, Service: a.service, Epoch: a.epoch, Port: simPort,
		MaxFlows: 1000, FlowTTL: testFlowTTL, Heartbeat: simHeartbeat, HeartbeatTimeout: 3 * simHeartbeat,
		Checkpoint: true,
	})
	tr := a.tracker
	var tick func()
	tick = func() {
		if a.tracker != tr || !a.up {
			return
		}
		tr.Tick(sim.now)
		if tr.DialDue(sim.now) {
			found := Listening
			if a.target == nil || !a.target.alive {
				found = []DialResult{Refusing, Unanswered}[sim.random.IntN(2)]
			}
			tr.RecordDial(sim.now, found)
		}
		sim.flushAgent(a)
		sim.schedule(50, tick)
	}
	sim.schedule(1, tick)
	sim.restoreCheckpoint(a)
	var report func()
	report = func() {
		if a.tracker != tr || !a.up {
			return
		}
		var all []netip.AddrPort
		for _, b := range sim.balancers {
			all = append(all, b.address)
		}
		tr.SendReport(sim.now, all)
		sim.flushAgent(a)
		sim.schedule(500, report)
	}
	sim.schedule(2, report)
}

func (sim *simulation) flushAgent(a *simAgent) {
	if a.tracker.ConditionChanged(sim.now) {
		var all []netip.AddrPort
		for _, b := range sim.balancers {
			all = append(all, b.address)
		}
		a.tracker.SendReport(sim.now, all)
	}
	out := a.tracker.TakeOutcome()
	sim.traceEvents(a.address, out.Events)
	for _, d := range out.Deliveries {
		packet := mark(d.Packet, d.PacketMark, false)
		sim.schedule(0, func() { sim.targetReceives(a, packet) })
	}
	for _, packet := range out.Answers {
		s := decode(packet)
		sim.transmit(a.address, s.Destination, func() { sim.callerReceives(a, s) })
	}
	for _, r := range out.Resets {
		sim.resetCaller(r.Flow, byAgent)
	}
	for _, s := range out.Sends {
		p := copyParcel(s.Parcel)
		if len(p.Packet) > 0 {
			p.Packet = mark(p.Packet, 0, false)
		}
		for _, b := range sim.balancers {
			if b.address != s.To {
				continue
			}
			sim.transmit(a.address, b.address, func() {
				if !b.up {
					return
				}
				if p.Verb == wire.Verb_VERB_KEEP {
					sim.handleCheckpoint(b, a.address, p.Checkpoint)
					return
				}
				b.steerer.HandleParcel(sim.now, a.address, p, packetSegment(p))
				sim.flushBalancer(b)
			})
		}
	}
}

func (sim *simulation) startTarget(a *simAgent) {
	t := &simTarget{born: uint64(sim.now), alive: true, flows: map[segment.Flow]*simEndpoint{}}
	a.target = t
	var heartbeat func()
	heartbeat = func() {
		if !t.alive || a.target != t {
			return
		}
		t.sequence++
		if a.up {
			a.tracker.HandleHeartbeat(sim.now, Heartbeat{
				Service: a.service, Born: t.born, Sequence: t.sequence, Age: sim.now - clock.Millis(t.born),
				Draining: t.draining, Slots: 4,
			})
			if t.draining && t.drainAckedAt == 0 {
				t.drainAckedAt = sim.now
			}
			sim.flushAgent(a)
			sim.schedule(simHeartbeat, heartbeat)
			return
		}
		sim.schedule(100, heartbeat)
	}
	sim.schedule(clock.Millis(1+sim.random.IntN(100)), heartbeat)
}

// targetReceives implements the target's side of the protocol.
func (sim *simulation) targetReceives(a *simAgent, packet []byte) {
	t := a.target
	if t == nil || !t.alive {
		return
	}
	s := decode(packet)
	id := s.FromCaller()
	end := t.flows[id]
	if s.Opening() {
		if at, ok := sim.evacuated[a.domain]; end == nil && ok && sim.now.Sub(at) > simEvacuationGrace {
			sim.fail("target %v was opened %d ms after the evacuation of %s", a.address, sim.now.Sub(at), a.domain)
		}
		if end == nil && t.drainAckedAt != 0 && sim.now > t.drainAckedAt {
			sim.fail("opening of %s at %s after it was acknowledged to drain", id, a.address)
		}
		if !sim.allowed[a.service] {
			sim.fail("opening of %s at service %s", id, a.service)
		}
		if end == nil {
			end = &simEndpoint{seq: sim.random.Uint32()}
			t.flows[id] = end
		}
		sim.sendFromTarget(a, segment.Segment{
			Source: id.Listener, Destination: id.Caller, Flags: segment.Opens | segment.Acks, Seq: end.seq,
		})
		return
	}
	if end == nil || s.Ack != end.seq+1 {
		sim.schedule(0, func() { sim.agentReceives(a, mark(packet, s.Mark, true)) })
		return
	}
	if !end.open {
		end.open = true
		for _, c := range sim.callers {
			if c.flow == id && c.target == nil {
				c.target, c.agent = t, a
			}
		}
	}
	switch {
	case s.Size == 0 || sim.now < t.failsUntil && t.unresponsive:
	case sim.now < t.failsUntil:
		delete(t.flows, id)
		sim.sendFromTarget(a, segment.Segment{
			Source: id.Listener, Destination: id.Caller, Flags: segment.Resets | segment.Acks, Seq: end.seq + 1,
		})
	default:
		sim.sendFromTarget(a, segment.Segment{
			Source: id.Listener, Destination: id.Caller, Flags: segment.Acks, Seq: end.seq + 1, Ack: s.Seq, Size: 100,
		})
	}
}

func (sim *simulation) sendFromTarget(a *simAgent, s segment.Segment) {
	packet := encode(s)
	sim.schedule(0, func() { sim.agentReceives(a, packet) })
}

func (sim *simulation) agentReceives(a *simAgent, packet []byte) {
	if a.up {
		a.tracker.HandleTargetPacket(sim.now, decode(packet), packet)
		sim.flushAgent(a)
	}
}
