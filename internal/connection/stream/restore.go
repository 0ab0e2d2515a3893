package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// resetsPerTick bounds the callers that are told in one tick of lost flows.
	resetsPerTick = 200
	// keeperFor is the silence after which the keeper no longer counts as there: it
	// probes targets of its failure domain every 200 ms.
	keeperFor = 2 * clock.Second
)

// keeping is what an agent does for its flows to outlive a loss of power.
type keeping struct {
	// on tells that flows are kept at all, and read that what an earlier process has
	// left was read, or that there was nothing.
	on   bool
	read bool
	// past is the entry of an earlier process that was not judged yet, at is the
	// clock of the VM in Unix milliseconds less the process's own when it was read,
	// and lost are flows of an earlier target whose callers are still to be told.
	past *checkpoint.Entry
	at   int64
	lost checkpoint.Flows
	// keeper is the balancer that keeps the entries of this failure domain.
	keeper netip.AddrPort
	heard  clock.Millis
	writer *checkpoint.Sender
}

// entry returns the target's open flows, the longest unused first.
//
// A flow is the present target's only if a heartbeat came after its opening: the
// target may have started anew since the heartbeat before.
func (h *Holder) entry() checkpoint.Entry {
	u := &h.upstream
	e := checkpoint.Entry{Service: h.settings.Service, Born: u.born, Writer: h.settings.Epoch}
	for _, id := range h.flows.Keys() {
		f, ok := h.flows.Peek(id)
		if ok && f.open && !f.guess && f.ended == 0 && f.opened < u.beat {
			e.Flows = e.Flows.Append(checkpoint.Flow{ID: id, Ack: f.ack})
		}
	}
	return e
}

// keep sends the open flows to the keeper if there is news of them. What an earlier
// process has left is replaced by that, so it must have been judged.
func (h *Holder) keep(now clock.Millis) {
	k, u := &h.keeping, &h.upstream
	judged := k.read && k.past == nil && len(k.lost) == 0
	if !k.on || !judged || !u.known || u.born == 0 || u.gone || now.Sub(k.heard) > keeperFor || !k.writer.Due(now) {
		return
	}
	e := h.entry()
	if !k.writer.NeedsSend(&e) {
		return
	}
	for _, part := range k.writer.Parts(&e) {
		h.out.send(k.keeper, &wire.Parcel{Verb: wire.Verb_VERB_KEEP, Checkpoint: part})
	}
}

// kept takes the keeper's word that an entry is in the store.
func (h *Holder) kept(p *wire.Parcel) {
	if p.Checkpoint != nil {
		h.keeping.writer.Acknowledge(p.Checkpoint.Number, clock.Millis(p.Checkpoint.Pause))
	}
}

// Restore takes the entry that an earlier process has left, or nil if there is none.
// wall is the clock of the VM in Unix milliseconds.
func (h *Holder) Restore(now clock.Millis, wall int64, e *checkpoint.Entry) {
	h.keeping.read = true
	h.keeping.past = e
	h.keeping.at = wall - int64(now)
	h.judgePast(now)
}

// judgePast concludes from the entry of an earlier process as soon as it can.
func (h *Holder) judgePast(now clock.Millis) {
	k, u := &h.keeping, &h.upstream
	if k.past == nil {
		return
	}
	v := k.past.Evaluate(int64(now)+k.at, h.settings.FlowLife, checkpoint.Target{
		Service: h.settings.Service, Born: u.born, Sequence: u.sequence, Heartbeats: u.beats, NotListening: h.empty(now),
	})
	switch v {
	case checkpoint.Wait:
		return
	case checkpoint.Alive:
		h.noteRestored("the target lives on", k.past.Flows.Len())
	case checkpoint.Gone:
		h.noteRestored("the earlier target is gone", k.past.Flows.Len())
		k.lost = k.past.Flows
		h.resetLost(now)
	case checkpoint.Ignore:
		h.noteRestored("too old, or another service's", 0)
	}
	k.past = nil
}

// resetLost tells the callers of flows that were lost with an earlier target, some at
// a time. A flow that this process knows was opened since.
func (h *Holder) resetLost(now clock.Millis) {
	due, rest := h.keeping.lost.Split(resetsPerTick)
	h.keeping.lost = rest
	for l := range due.All() {
		if f, ok := h.flows.Peek(l.ID); ok && !f.guess {
			continue
		}
		h.flows.Remove(l.ID)
		h.denied.Add(l.ID, struct{}{})
		h.out.Resets = append(h.out.Resets, Reset{Flow: l.ID, Seq: l.Ack})
		h.out.note(Event{
			Kind: Ended, Flow: l.ID, Service: h.settings.Service, Reason: "its target was lost with the earlier agent",
			Age: now.Sub(h.started),
		})
	}
}

func (h *Holder) noteRestored(reason string, count int) {
	h.out.note(Event{Kind: Restored, Service: h.settings.Service, Reason: reason, Count: count})
}
