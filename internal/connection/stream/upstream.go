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
	maxFirstSequence   = 6
	maxFirstAgePercent = 75
	// beatSlack is how much later than planned a heartbeat may come.
	heartbeatSlack = 200 * clock.Millis(1)
)

// Beat is what a target says of itself in one heartbeat.
type Heartbeat struct {
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
	heartbeats int
	draining   bool
	gone       bool
	slots      int
	coldUntil  clock.Millis
	// beat is when the last heartbeat came, and seen the last sign of life.
	lastHeartbeat clock.Millis
	lastSeen      clock.Millis
	// pending is when the first opening was handed over since the target's last
	// packet; zero if none was.
	pendingSince clock.Millis
	// checked is when it was last looked whether the target is there; refused and
	// unanswered count what was found since its last sign of life.
	lastDial        clock.Millis
	refusedDials    int
	unansweredDials int
	// listens tells that the last look found a process.
	listening bool
	// outlier judges how it ends requests.
	outlier outlier
}

// sign notes a sign of life.
func (u *upstream) recordActivity(now clock.Millis) {
	u.lastSeen, u.pendingSince, u.refusedDials, u.unansweredDials = now, 0, 0, 0
}

// down reports that there is no target process.
func (u *upstream) down() bool {
	return u.refusedDials >= minFailedDials
}

// missing reports that nothing was heard of the target yet, and that nobody listens
// at its address.
func (u *upstream) notFound() bool {
	return !u.known && u.lastSeen == 0 && !u.listening
}

// Beat takes a heartbeat of the target. It is to be acknowledged after this: the
// target goes by the acknowledgement when it leaves.
//
// A target that started anew has none of the flows of before. Their callers are
// told at once, so that they come back instead of waiting. Flows that were opened since
// the last heartbeat of the earlier one may be the new one's.
func (tr *Tracker) HandleHeartbeat(now clock.Millis, b Heartbeat) {
	u := &tr.upstream
	if u.outdated(now, b, tr.settings.HeartbeatTimeout) {
		return
	}
	before := tr.condition(now)
	switch {
	case !u.known:
		tr.sawAllFlows = tr.sawAllOpenings(b)
	case b.Born != u.born:
		tr.resetFlowsBefore(u.lastHeartbeat, "the target started anew")
		tr.sawAllFlows = true
		*u = upstream{}
	}
	if !u.known && !tr.sawAllFlows {
		tr.window.Unknown(now)
	}
	u.known, u.gone = true, false
	u.born, u.sequence, u.draining = b.Born, b.Sequence, b.Draining
	u.slots, u.coldUntil = b.Slots, now+b.Cold
	u.lastHeartbeat = now
	u.heartbeats++
	u.recordActivity(now)
	tr.judgePrevious(now)
	if after := tr.condition(now); after != before {
		reason := after.String()
		if !tr.sawAllFlows {
			reason += ", its earlier flows are not known"
		}
		tr.out.note(Event{Kind: Upstream, Reason: reason, Service: tr.settings.Service, Count: int(b.Sequence), Age: b.Age})
	}
}

// sawAll reports, at the first heartbeat that this process hears, that no earlier
// process of the agent has opened flows at the target: an agent opens none before it
// acknowledges a heartbeat, and then the target would have waited before this one. The
// VM's clock may have been set between the target's start and now, so the number of
// heartbeats must fit as well.
func (tr *Tracker) sawAllOpenings(b Heartbeat) bool {
	if b.Sequence <= 1 {
		return true
	}
	young := b.Age >= 0 && b.Age <= tr.settings.Heartbeat*maxFirstAgePercent/100
	return b.Sequence <= maxFirstSequence && b.Born != 0 && young
}

// late reports a heartbeat that was overtaken. The start of a target orders its
// incarnations unless the VM's clock was set back between them: then the later
// one seems older, but the one that it follows is silent.
func (u *upstream) outdated(now clock.Millis, b Heartbeat, silent clock.Millis) bool {
	if !u.known {
		return false
	}
	if b.Born == u.born {
		return b.Sequence <= u.sequence
	}
	return b.Born < u.born && now.Sub(u.lastHeartbeat) < silent
}

// Leave notes that the target has said that it ends. Its flows end with it.
func (tr *Tracker) RecordLeave(now clock.Millis) {
	tr.upstream.gone = true
	tr.out.note(Event{Kind: Upstream, Reason: "left", Service: tr.settings.Service, Age: now.Sub(tr.upstream.lastHeartbeat)})
}

// Stop tells the callers of flows whose target has ended. It must only be called
// once the process ends: where the target has left, it has ended before its
// agent is told to.
//
// A target of which there is no process has left as well, whether it said so or
// not: its VM may be taken away, and balancers need not wait for this agent.
func (tr *Tracker) Stop(now clock.Millis) {
	tr.stopping = true
	tr.upstream.gone = tr.upstream.gone || tr.upstream.down() || tr.noTarget(now)
	if tr.upstream.gone {
		tr.resetFlowsBefore(now+1, "the target has ended")
	}
}

// Gone reports whether the target has left.
func (tr *Tracker) Gone() bool {
	return tr.upstream.gone
}

// resetBefore ends the flows that were opened before a time at their callers.
func (tr *Tracker) resetFlowsBefore(before clock.Millis, reason string) {
	ended := 0
	for _, id := range tr.flows.Keys() {
		f, ok := tr.flows.Peek(id)
		if !ok || f.openedAt >= before {
			continue
		}
		tr.flows.Remove(id)
		tr.denied.Add(id, struct{}{})
		if f.endedAt == 0 && f.open {
			tr.out.Resets = append(tr.out.Resets, Reset{Flow: id, Seq: f.ack})
			ended++
		}
	}
	if ended > 0 {
		tr.out.note(Event{Kind: Ended, Service: tr.settings.Service, Reason: reason, Count: ended})
	}
}

// Accepting reports whether the target takes new flows. One that fails requests
// does: balancers send it some only where there is no better one.
func (tr *Tracker) Accepting(now clock.Millis) bool {
	c := tr.condition(now)
	return c == wire.Condition_CONDITION_READY || c == wire.Condition_CONDITION_FAILING
}

func (tr *Tracker) condition(now clock.Millis) wire.Condition {
	u := &tr.upstream
	switch {
	case u.gone || tr.noTarget(now):
		return wire.Condition_CONDITION_GONE
	case !u.known || u.down() || now.Sub(u.lastHeartbeat) > tr.settings.HeartbeatTimeout:
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
func (tr *Tracker) Flows() int {
	return tr.flows.Len()
}
