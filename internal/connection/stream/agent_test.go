package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

func (w *world) startAgent(a *worldAgent) {
	a.epoch++
	a.up = true
	a.holder = NewHolder(w.now, HolderSettings{
		Name: a.address.String(), Domain: a.domain, Service: a.service, Epoch: a.epoch, Port: worldPort,
		Flows: 1000, FlowLife: worldLife, Heartbeat: worldBeat, SilentAfter: 3 * worldBeat,
		Checkpoint: true,
	})
	h := a.holder
	var tick func()
	tick = func() {
		if a.holder != h || !a.up {
			return
		}
		h.Tick(w.now)
		if h.Doubts(w.now) {
			found := Listening
			if a.target == nil || !a.target.alive {
				found = []Look{Refusing, Unanswered}[w.random.IntN(2)]
			}
			h.Checked(w.now, found)
		}
		w.flushAgent(a)
		w.after(50, tick)
	}
	w.after(1, tick)
	w.restores(a)
	var tell func()
	tell = func() {
		if a.holder != h || !a.up {
			return
		}
		var all []netip.AddrPort
		for _, b := range w.balancers {
			all = append(all, b.address)
		}
		h.Tell(w.now, all)
		w.flushAgent(a)
		w.after(500, tell)
	}
	w.after(2, tell)
}

func (w *world) flushAgent(a *worldAgent) {
	if a.holder.Turned(w.now) {
		var all []netip.AddrPort
		for _, b := range w.balancers {
			all = append(all, b.address)
		}
		a.holder.Tell(w.now, all)
	}
	out := a.holder.Take()
	w.note(a.address, out.Events)
	for _, d := range out.Deliveries {
		packet := mark(d.Packet, d.Echo, false)
		w.after(0, func() { w.targetTakes(a, packet) })
	}
	for _, packet := range out.Answers {
		s := decode(packet)
		w.network(a.address, s.Destination, func() { w.callerHears(a, s) })
	}
	for _, r := range out.Resets {
		w.callerReset(r.Flow, anAgent)
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
			w.network(a.address, b.address, func() {
				if !b.up {
					return
				}
				if p.Verb == wire.Verb_VERB_KEEP {
					w.hearKeep(b, a.address, p.Checkpoint)
					return
				}
				b.steerer.Hear(w.now, a.address, p, carried(p))
				w.flushBalancer(b)
			})
		}
	}
}

func (w *world) startTarget(a *worldAgent) {
	t := &worldTarget{born: uint64(w.now), alive: true, flows: map[segment.Flow]*worldEnd{}}
	a.target = t
	var beat func()
	beat = func() {
		if !t.alive || a.target != t {
			return
		}
		t.sequence++
		if a.up {
			a.holder.Beat(w.now, Beat{
				Service: a.service, Born: t.born, Sequence: t.sequence, Age: w.now - clock.Millis(t.born),
				Draining: t.draining, Slots: 4,
			})
			if t.draining && t.acked == 0 {
				t.acked = w.now
			}
			w.flushAgent(a)
			w.after(worldBeat, beat)
			return
		}
		w.after(100, beat)
	}
	w.after(clock.Millis(1+w.random.IntN(100)), beat)
}

// targetTakes is the target's end of the protocol.
func (w *world) targetTakes(a *worldAgent, packet []byte) {
	t := a.target
	if t == nil || !t.alive {
		return
	}
	s := decode(packet)
	id := s.FromCaller()
	end := t.flows[id]
	if s.Opening() {
		if at, ok := w.evacuated[a.domain]; end == nil && ok && w.now.Sub(at) > worldOrdered {
			w.fail("target %v was opened %d ms after the evacuation of %s", a.address, w.now.Sub(at), a.domain)
		}
		if end == nil && t.acked != 0 && w.now > t.acked {
			w.fail("opening of %s at %s after it was acknowledged to drain", id, a.address)
		}
		if !w.allowed[a.service] {
			w.fail("opening of %s at service %s", id, a.service)
		}
		if end == nil {
			end = &worldEnd{seq: w.random.Uint32()}
			t.flows[id] = end
		}
		w.targetSends(a, segment.Segment{
			Source: id.Listener, Destination: id.Caller, Flags: segment.Opens | segment.Acks, Seq: end.seq,
		})
		return
	}
	if end == nil || s.Ack != end.seq+1 {
		w.after(0, func() { w.agentTakes(a, mark(packet, s.Mark, true)) })
		return
	}
	if !end.open {
		end.open = true
		for _, c := range w.callers {
			if c.flow == id && c.openedAt == nil {
				c.openedAt, c.owner = t, a
			}
		}
	}
	switch {
	case s.Size == 0 || w.now < t.faulty && t.mute:
	case w.now < t.faulty:
		delete(t.flows, id)
		w.targetSends(a, segment.Segment{
			Source: id.Listener, Destination: id.Caller, Flags: segment.Resets | segment.Acks, Seq: end.seq + 1,
		})
	default:
		w.targetSends(a, segment.Segment{
			Source: id.Listener, Destination: id.Caller, Flags: segment.Acks, Seq: end.seq + 1, Ack: s.Seq, Size: 100,
		})
	}
}

func (w *world) targetSends(a *worldAgent, s segment.Segment) {
	packet := encode(s)
	w.after(0, func() { w.agentTakes(a, packet) })
}

func (w *world) agentTakes(a *worldAgent, packet []byte) {
	if a.up {
		a.holder.FromTarget(w.now, decode(packet), packet)
		w.flushAgent(a)
	}
}
