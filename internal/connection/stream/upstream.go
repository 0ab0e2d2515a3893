package stream

import (
	"github.com/wagtailtray/wagtailtray/internal/connection/admission"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// maxFirstSequence and maxFirstAgePercent apply to the first heartbeat that this
	// process receives: an earlier process of the agent cannot have served the target if
	// the target has tried at most that many heartbeats and is younger than that percentage
	// of the heartbeat interval. Once a heartbeat is acknowledged, the next one follows
	// after a whole interval.
	maxFirstSequence   = 6
	maxFirstAgePercent = 75
	// maxCountedHeartbeats bounds the heartbeats from which a target's age is computed; flows
	// live no longer.
	maxCountedHeartbeats = 1 << 20
	// heartbeatSlack is how late a heartbeat may arrive.
	heartbeatSlack = 200 * clock.Millis(1)
)

// Heartbeat is a target's heartbeat.
type Heartbeat struct {
	Service string
	// Born is the target's start time; Sequence counts its heartbeats.
	Born     uint64
	Sequence uint64
	// Age is the time since Born, by the VM's clock.
	Age      clock.Millis
	Draining bool
	Slots    int
	// Cold is how much longer the target is slow after its start.
	Cold clock.Millis
}

// upstream is the agent's state of its target.
type upstream struct {
	known    bool
	born     uint64
	sequence uint64
	// heartbeats counts the heartbeats received from this incarnation.
	heartbeats int
	draining   bool
	gone       bool
	slots      int
	coldUntil  clock.Millis
	// firstHeartbeat and lastHeartbeat are when the first and the last heartbeat of this
	// incarnation arrived; lastSeen also covers packets.
	firstHeartbeat clock.Millis
	lastHeartbeat  clock.Millis
	lastSeen       clock.Millis
	// pendingSince is when the first opening since the target's last packet was passed to
	// it, or zero.
	pendingSince clock.Millis
	// lastDial is when the target was last dialed; refusedDials and unansweredDials count
	// the failed dials since it was last seen.
	lastDial        clock.Millis
	refusedDials    int
	unansweredDials int
	// listening is set if the last dial succeeded.
	listening bool
	// outlier detects that the target fails requests.
	outlier outlier
}

// recordActivity records that the target is alive.
func (u *upstream) recordActivity(now clock.Millis) {
	u.lastSeen, u.pendingSince, u.refusedDials, u.unansweredDials = now, 0, 0, 0
}

// down reports whether no target process is running.
func (u *upstream) down() bool {
	return u.refusedDials >= minFailedDials
}

// notFound reports whether nothing has been received from the target yet and no process
// listens at its address.
func (u *upstream) notFound() bool {
	return !u.known && u.lastSeen == 0 && !u.listening
}

// HandleHeartbeat handles a heartbeat of the target. It must be acknowledged only
// afterwards: a target that leaves relies on the acknowledgement.
//
// A restarted target has none of its earlier flows. Their callers are reset at once, so
// that they reconnect instead of waiting. Flows opened after the last heartbeat of the
// earlier incarnation may belong to the new one, and so do those opened after its start: that
// heartbeat may have been late.
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
		born := now - b.minAge(tr.settings.Heartbeat)
		tr.resetFlowsBefore(min(u.lastHeartbeat, born), "the target restarted")
		tr.sawAllFlows = born > tr.startedAt
		*u = upstream{}
		tr.classLimiter = admission.ClassLimiter{}
	}
	if !u.known && !tr.sawAllFlows {
		tr.window.AssumeFull(now)
	}
	u.known, u.gone = true, false
	u.born, u.sequence, u.draining = b.Born, b.Sequence, b.Draining
	u.slots, u.coldUntil = b.Slots, now+b.Cold
	u.lastHeartbeat = now
	if u.heartbeats == 0 {
		u.firstHeartbeat = now
	}
	u.heartbeats++
	u.recordActivity(now)
	tr.judgePrevious(now)
	if after := tr.condition(now); after != before {
		reason := after.String()
		if !tr.sawAllFlows {
			reason += ", earlier flows are unknown"
		}
		tr.out.record(Event{Kind: Upstream, Reason: reason, Service: tr.settings.Service, Count: int(b.Sequence), Age: b.Age})
	}
}

// sawAllOpenings reports, for the first heartbeat that this process receives, whether no
// earlier process of the agent has opened flows at the target. An agent opens no flows
// before it acknowledges a heartbeat, and after an acknowledgement the target would have
// waited a whole interval before this heartbeat. The VM's clock may have been set since the
// target's start, so the number of heartbeats must match as well. An old heartbeat may be a
// late one of an earlier incarnation, also if it was the first.
func (tr *Tracker) sawAllOpenings(b Heartbeat) bool {
	if b.Age > tr.settings.Heartbeat*maxFirstAgePercent/100 {
		return false
	}
	return b.Sequence <= 1 || b.Sequence <= maxFirstSequence && b.Born != 0 && b.Age >= 0
}

// minAge returns how long the target has run at least. If the VM's clock was set back since
// its start, the number of its heartbeats shows that.
func (b Heartbeat) minAge(interval clock.Millis) clock.Millis {
	heartbeats := clock.Millis(min(b.Sequence, maxCountedHeartbeats))
	return max(b.Age, (heartbeats-1)*interval)
}

// outdated reports whether a heartbeat arrived after a later one. Incarnations are ordered
// by their start times unless the VM's clock was set back in between: then the later one
// seems older, but the earlier one is silent.
func (u *upstream) outdated(now clock.Millis, b Heartbeat, timeout clock.Millis) bool {
	if !u.known {
		return false
	}
	if b.Born == u.born {
		return b.Sequence <= u.sequence
	}
	return b.Born < u.born && now.Sub(u.lastHeartbeat) < timeout
}

// RecordLeave records that the target has announced its end. Its flows end with it.
func (tr *Tracker) RecordLeave(now clock.Millis) {
	tr.upstream.gone = true
	tr.out.record(Event{Kind: Upstream, Reason: "left", Service: tr.settings.Service, Age: now.Sub(tr.upstream.lastHeartbeat)})
}

// Stop resets the flows of a target that has ended. It must be called only when the process
// ends: a target that has left ends before its agent is stopped.
//
// A target without a process counts as having left even if it did not announce it: its VM
// may be removed, and balancers need not wait for this agent.
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

// resetFlowsBefore resets the flows that were opened before the given time.
func (tr *Tracker) resetFlowsBefore(before clock.Millis, reason string) {
	ended := 0
	for _, id := range tr.flows.Keys() {
		f, ok := tr.flows.Peek(id)
		if !ok || f.opening.at >= before {
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
		tr.out.record(Event{Kind: FlowReset, Service: tr.settings.Service, Reason: reason, Count: ended})
	}
}

// Accepting reports whether the target accepts new flows. A failing target does: balancers
// choose it only if there is no better one.
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

// Flows returns the number of tracked flows.
func (tr *Tracker) Flows() int {
	return tr.flows.Len()
}
