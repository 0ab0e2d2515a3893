package stream

import (
	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// resetsPerTick bounds the callers that are told in one tick of lost flows.
const resetsPerTick = 200

// past is what an earlier process of this agent has left.
type past struct {
	entry checkpoint.Entry
	// wall is the clock of the VM, in Unix milliseconds, less the process's own.
	wall int64
}

// Entry returns the target's open flows for the store, the longest unused first.
//
// A flow is the present target's only if a heartbeat came after its opening: the
// target may have started anew since the heartbeat before.
func (h *Holder) Entry(wall int64) checkpoint.Entry {
	u := &h.upstream
	e := checkpoint.Entry{Service: h.settings.Service, Born: u.born, Writer: h.settings.Epoch, At: wall}
	for _, id := range h.flows.Keys() {
		f, ok := h.flows.Peek(id)
		if ok && f.open && !f.guess && f.ended == 0 && f.opened < u.beat {
			e.Flows = append(e.Flows, checkpoint.Flow{ID: id, Ack: f.ack})
		}
	}
	return e
}

// Keeps reports that there is a target whose flows may be written, and that what an
// earlier process has left was judged.
func (h *Holder) Keeps() bool {
	u := &h.upstream
	return u.known && u.born != 0 && !u.gone && h.past == nil && len(h.lost) == 0
}

// Targets returns how many targets there are, as balancers say.
func (h *Holder) Targets() int {
	return h.targets
}

// Restore takes the entry that an earlier process has left. What it writes itself is
// no news.
func (h *Holder) Restore(now clock.Millis, wall int64, e checkpoint.Entry) {
	if e.Writer == h.settings.Epoch {
		return
	}
	h.past = &past{entry: e, wall: wall - int64(now)}
	h.judgePast(now)
}

// judgePast concludes from the entry of an earlier process as soon as it can.
func (h *Holder) judgePast(now clock.Millis) {
	if h.past == nil {
		return
	}
	u := &h.upstream
	e := &h.past.entry
	v := e.Judge(int64(now)+h.past.wall, h.settings.FlowLife, checkpoint.Target{
		Service: h.settings.Service, Born: u.born, Sequence: u.sequence, Beats: u.beats, Absent: h.empty(now),
	})
	switch v {
	case checkpoint.Wait:
		return
	case checkpoint.Claim:
		h.claim(now, e.Flows)
	case checkpoint.Gone:
		h.lost = e.Flows
		h.resetLost(now)
	case checkpoint.Ignore:
		h.noteRestored("ignored", 0)
	}
	h.past = nil
}

// claim takes flows for the target's that this process did not see begin.
func (h *Holder) claim(now clock.Millis, flows []checkpoint.Flow) {
	claimed := 0
	for i := range flows {
		id := flows[i].ID
		f, ok := h.flows.Peek(id)
		if ok && !f.guess || h.denied.Contains(id) {
			continue
		}
		h.flows.Add(id, &held{open: true, claimed: true, ack: flows[i].Ack, opened: h.started, lastIn: now})
		claimed++
	}
	h.noteRestored("the target lives on", claimed)
}

// resetLost tells the callers of the flows that were lost with an earlier target, some
// at a time. A flow that this process knows was opened since.
//
// Failure: all VMs lost power, and nobody but the callers knows of their flows.
// Symptom: each sends its next request on a flow that is gone, and waits.
func (h *Holder) resetLost(now clock.Millis) {
	size := min(len(h.lost), resetsPerTick)
	for _, l := range h.lost[:size] {
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
	h.lost = h.lost[size:]
}

func (h *Holder) noteRestored(reason string, count int) {
	h.out.note(Event{Kind: Restored, Service: h.settings.Service, Reason: reason, Count: count})
}

// strange reports that a caller acknowledges what it cannot have got on a flow that
// was claimed: it may have used the port again.
func (f *held) strange(ack uint32) bool {
	return f.claimed && ack-f.ack > window && f.ack-ack > window
}
