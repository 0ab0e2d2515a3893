package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// youngSequence is how many heartbeats a target may have tried at the first one
	// that is heard for no earlier process of the agent to have served it, and
	// youngPart the part of the pause between two heartbeats within which that must be,
	// in percent: once one is acknowledged, the next comes after the whole pause.
	youngSequence = 6
	youngPart     = 75
	// beatSlack is how much later than planned a heartbeat may come.
	beatSlack = 200 * clock.Millis(1)
)

// Beat is what a target says of itself in one heartbeat.
type Beat struct {
	Service string
	// Born is the target's start, and Sequence counts its heartbeats.
	Born     uint64
	Sequence uint64
	// Age is how long ago that was, by the clock of the VM.
	Age      clock.Millis
	Draining bool
	Slots    int
	// Cold is how much longer the target is slow after its start.
	Cold clock.Millis
}

// upstream is what an agent knows of its target.
type upstream struct {
	known    bool
	born     uint64
	sequence uint64
	// beats counts the heartbeats that were heard of this start.
	beats     int
	draining  bool
	gone      bool
	slots     int
	coldUntil clock.Millis
	// beat is when the last heartbeat came, and seen the last sign of life.
	beat clock.Millis
	seen clock.Millis
	// pending is when the first opening was handed over since the target's last
	// packet; zero if none was.
	pending clock.Millis
	// checked is when it was last looked whether the target is there; refused and
	// unanswered count what was found since its last sign of life.
	checked    clock.Millis
	refused    int
	unanswered int
	// listens tells that the last look found a process.
	listens bool
	// outlier judges how it ends requests.
	outlier outlier
}

// sign notes a sign of life.
func (u *upstream) sign(now clock.Millis) {
	u.seen, u.pending, u.refused, u.unanswered = now, 0, 0, 0
}

// down reports that there is no target process.
func (u *upstream) down() bool {
	return u.refused >= absences
}

// missing reports that nothing was heard of the target yet, and that nobody listens
// at its address.
func (u *upstream) missing() bool {
	return !u.known && u.seen == 0 && !u.listens
}

// Beat takes a heartbeat of the target. It is to be acknowledged after this: the
// target goes by the acknowledgement when it leaves.
//
// A target that started anew has none of the flows of before. Their callers are
// told at once, so that they come back instead of waiting. Flows that were opened since
// the last heartbeat of the earlier one may be the new one's.
func (h *Holder) Beat(now clock.Millis, b Beat) {
	u := &h.upstream
	if u.late(now, b, h.settings.SilentAfter) {
		return
	}
	before := h.condition(now)
	switch {
	case !u.known:
		h.complete = h.sawAll(b)
	case b.Born != u.born:
		h.resetBefore(u.beat, "the target started anew")
		h.complete = true
		*u = upstream{}
	}
	if !u.known && !h.complete {
		h.window.AssumeFull(now)
	}
	u.known, u.gone = true, false
	u.born, u.sequence, u.draining = b.Born, b.Sequence, b.Draining
	u.slots, u.coldUntil = b.Slots, now+b.Cold
	u.beat = now
	u.beats++
	u.sign(now)
	h.judgePast(now)
	if after := h.condition(now); after != before {
		reason := after.String()
		if !h.complete {
			reason += ", its earlier flows are not known"
		}
		h.out.note(Event{Kind: Upstream, Reason: reason, Service: h.settings.Service, Count: int(b.Sequence), Age: b.Age})
	}
}

// sawAll reports, at the first heartbeat that this process hears, that no earlier
// process of the agent has opened flows at the target: an agent opens none before it
// acknowledges a heartbeat, and then the target would have waited before this one. The
// VM's clock may have been set between the target's start and now, so the number of
// heartbeats must fit as well.
func (h *Holder) sawAll(b Beat) bool {
	if b.Sequence <= 1 {
		return true
	}
	young := b.Age >= 0 && b.Age <= h.settings.Heartbeat*youngPart/100
	return b.Sequence <= youngSequence && b.Born != 0 && young
}

// late reports a heartbeat that was overtaken. The start of a target orders its
// incarnations unless the VM's clock was set back between them: then the later
// one seems older, but the one that it follows is silent.
func (u *upstream) late(now clock.Millis, b Beat, silent clock.Millis) bool {
	if !u.known {
		return false
	}
	if b.Born == u.born {
		return b.Sequence <= u.sequence
	}
	return b.Born < u.born && now.Sub(u.beat) < silent
}

// Leave notes that the target has said that it ends. Its flows end with it.
func (h *Holder) Leave(now clock.Millis) {
	h.upstream.gone = true
	h.out.note(Event{Kind: Upstream, Reason: "left", Service: h.settings.Service, Age: now.Sub(h.upstream.beat)})
}

// Stop tells the callers of flows whose target has ended. It must only be called
// once the process ends: where the target has left, it has ended before its
// agent is told to.
//
// A target of which there is no process has left as well, whether it said so or
// not: its VM may be taken away, and balancers need not wait for this agent.
func (h *Holder) Stop(now clock.Millis) {
	h.stopping = true
	h.upstream.gone = h.upstream.gone || h.upstream.down() || h.empty(now)
	if h.upstream.gone {
		h.resetBefore(now+1, "the target has ended")
	}
}

// Gone reports whether the target has left.
func (h *Holder) Gone() bool {
	return h.upstream.gone
}

// resetBefore ends the flows that were opened before a time at their callers.
func (h *Holder) resetBefore(before clock.Millis, reason string) {
	ended := 0
	for _, id := range h.flows.Keys() {
		f, ok := h.flows.Peek(id)
		if !ok || f.opened >= before {
			continue
		}
		h.flows.Remove(id)
		h.denied.Add(id, struct{}{})
		if f.ended == 0 && f.open {
			h.out.Resets = append(h.out.Resets, Reset{Flow: id, Seq: f.ack})
			ended++
		}
	}
	if ended > 0 {
		h.out.note(Event{Kind: Ended, Service: h.settings.Service, Reason: reason, Count: ended})
	}
}

// Accepting reports whether the target takes new flows. One that fails requests
// does: balancers send it some only where there is no better one.
func (h *Holder) Accepting(now clock.Millis) bool {
	c := h.condition(now)
	return c == wire.Condition_CONDITION_READY || c == wire.Condition_CONDITION_FAILING
}

func (h *Holder) condition(now clock.Millis) wire.Condition {
	u := &h.upstream
	switch {
	case u.gone || h.empty(now):
		return wire.Condition_CONDITION_GONE
	case !u.known || u.down() || now.Sub(u.beat) > h.settings.SilentAfter:
		return wire.Condition_CONDITION_UNKNOWN
	case u.draining:
		return wire.Condition_CONDITION_DRAINING
	case u.outlier.phase == ejected:
		return wire.Condition_CONDITION_FAILING
	default:
		return wire.Condition_CONDITION_READY
	}
}

// Flows returns how many flows are remembered.
func (h *Holder) Flows() int {
	return h.flows.Len()
}
