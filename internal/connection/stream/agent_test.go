package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

func (w *simulation) startAgent(a *simAgent) {
	a.epoch++
	a.up = true
	a.tracker = NewTracker(w.now, TrackerSettings{
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
		tr.Tick(w.now)
		if tr.DialDue(w.now) {
			found := Listening
			if a.target == nil || !a.target.alive {
				found = []DialResult{Refusing, Unanswered}[w.random.IntN(2)]
			}
			tr.RecordDial(w.now, found)
		}
		w.flushAgent(a)
		w.schedule(50, tick)
	}
	w.schedule(1, tick)
	w.restoreCheckpoint(a)
	var report func()
	report = func() {
		if a.tracker != tr || !a.up {
			return
		}
		var all []netip.AddrPort
		for _, b := range w.balancers {
			all = append(all, b.address)
		}
		tr.SendReport(w.now, all)
		w.flushAgent(a)
		w.schedule(500, report)
	}
	w.schedule(2, report)
}

func (w *simulation) flushAgent(a *simAgent) {
	if a.tracker.ConditionChanged(w.now) {
		var all []netip.AddrPort
		for _, b := range w.balancers {
			all = append(all, b.address)
		}
		a.tracker.SendReport(w.now, all)
	}
	out := a.tracker.Take()
	w.traceEvents(a.address, out.Events)
	for _, d := range out.Deliveries {
		packet := mark(d.Packet, d.Echo, false)
		w.schedule(0, func() { w.targetReceives(a, packet) })
	}
	for _, packet := range out.Answers {
		s := decode(packet)
		w.transmit(a.address, s.Destination, func() { w.callerReceives(a, s) })
	}
	for _, r := range out.Resets {
		w.resetCaller(r.Flow, byAgent)
	}
	for _, s := range out.Sends {
		p := copyParcel(s.Parcel)
		if len(p.Packet) > 0 {
			p.Packet = mark(p.Packet, 0, false)
		}
		for _, b := range w.balancers {
			if b.address != s.To {
				continue
			}
			w.transmit(a.address, b.address, func() {
				if !b.up {
					return
				}
				if p.Verb == wire.Verb_VERB_KEEP {
					w.handleCheckpoint(b, a.address, p.Checkpoint)
					return
				}
				b.steerer.HandleParcel(w.now, a.address, p, packetSegment(p))
				w.flushBalancer(b)
			})
		}
	}
}

func (w *simulation) startTarget(a *simAgent) {
	t := &simTarget{born: uint64(w.now), alive: true, flows: map[segment.Flow]*simEndpoint{}}
	a.target = t
	var heartbeat func()
	heartbeat = func() {
		if !t.alive || a.target != t {
			return
		}
		t.sequence++
		if a.up {
			a.tracker.HandleHeartbeat(w.now, Heartbeat{
				Service: a.service, Born: t.born, Sequence: t.sequence, Age: w.now - clock.Millis(t.born),
				Draining: t.draining, Slots: 4,
			})
			if t.draining && t.drainAckedAt == 0 {
				t.drainAckedAt = w.now
			}
			w.flushAgent(a)
			w.schedule(simHeartbeat, heartbeat)
			return
		}
		w.schedule(100, heartbeat)
	}
	w.schedule(clock.Millis(1+w.random.IntN(100)), heartbeat)
}

// targetReceives implements the target's side of the protocol.
func (w *simulation) targetReceives(a *simAgent, packet []byte) {
	t := a.target
	if t == nil || !t.alive {
		return
	}
	s := decode(packet)
	id := s.FromCaller()
	end := t.flows[id]
	if s.Opening() {
		if at, ok := w.evacuated[a.domain]; end == nil && ok && w.now.Sub(at) > simEvacuationGrace {
			w.fail("target %v was opened %d ms after the evacuation of %s", a.address, w.now.Sub(at), a.domain)
		}
		if end == nil && t.drainAckedAt != 0 && w.now > t.drainAckedAt {
			w.fail("opening of %s at %s after it was acknowledged to drain", id, a.address)
		}
		if !w.allowed[a.service] {
			w.fail("opening of %s at service %s", id, a.service)
		}
		if end == nil {
			end = &simEndpoint{seq: w.random.Uint32()}
			t.flows[id] = end
		}
		w.sendFromTarget(a, segment.Segment{
			Source: id.Listener, Destination: id.Caller, Flags: segment.Opens | segment.Acks, Seq: end.seq,
		})
		return
	}
	if end == nil || s.Ack != end.seq+1 {
		w.schedule(0, func() { w.agentReceives(a, mark(packet, s.Mark, true)) })
		return
	}
	if !end.open {
		end.open = true
		for _, c := range w.callers {
			if c.flow == id && c.target == nil {
				c.target, c.agent = t, a
			}
		}
	}
	switch {
	case s.Size == 0 || w.now < t.failsUntil && t.unresponsive:
	case w.now < t.failsUntil:
		delete(t.flows, id)
		w.sendFromTarget(a, segment.Segment{
			Source: id.Listener, Destination: id.Caller, Flags: segment.Resets | segment.Acks, Seq: end.seq + 1,
		})
	default:
		w.sendFromTarget(a, segment.Segment{
			Source: id.Listener, Destination: id.Caller, Flags: segment.Acks, Seq: end.seq + 1, Ack: s.Seq, Size: 100,
		})
	}
}

func (w *simulation) sendFromTarget(a *simAgent, s segment.Segment) {
	packet := encode(s)
	w.schedule(0, func() { w.agentReceives(a, packet) })
}

func (w *simulation) agentReceives(a *simAgent, packet []byte) {
	if a.up {
		a.tracker.HandleTargetPacket(w.now, decode(packet), packet)
		w.flushAgent(a)
	}
}
