package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// answerWithin is how long a target may take to answer or return an opening.
	// It does so in less than a millisecond, unless it is short of processor time.
	openingTimeout = 150 * clock.Millis(1)
	// checkEvery is the pause between two looks whether the target is there, and
	// absences how many in a row must find nobody.
	dialInterval   = 200 * clock.Millis(1)
	minFailedDials = 2
	// emptyBeats is for how many heartbeats an agent has waited for its target's
	// first one when there is none.
	firstHeartbeatWait = 2
)

// Look is what was found at the target's address.
type DialResult int

// Findings.
const (
	// Listening means that a process accepts connections.
	Listening DialResult = iota
	// Refusing means that the VM says that there is none.
	Refusing
	// Unanswered means that nobody said anything in time.
	Unanswered
)

// Doubts reports that it is to be looked whether the target is there, and notes
// that it is done.
//
// A crashed process no longer listens, which its own VM says at once, long before its
// heartbeats are missed.
func (tr *Tracker) DialDue(now clock.Millis) bool {
	u := &tr.upstream
	silent := !u.known || now.Sub(u.lastHeartbeat) > tr.settings.Heartbeat+tr.settings.Heartbeat/2
	stuck := u.pendingSince != 0 && now.Sub(u.pendingSince) > openingTimeout
	if u.gone || !silent && !stuck || now.Sub(u.lastDial) < dialInterval {
		return false
	}
	u.lastDial = now
	return true
}

// Checked takes what a look has found.
func (tr *Tracker) RecordDial(now clock.Millis, found DialResult) {
	u := &tr.upstream
	before := u.down()
	u.listening = found == Listening
	switch found {
	case Listening:
		u.refusedDials, u.unansweredDials = 0, 0
	case Refusing:
		u.refusedDials++
	case Unanswered:
		u.unansweredDials++
	}
	if !before && u.down() && u.known {
		tr.out.note(Event{Kind: Upstream, Reason: "nobody listens", Service: tr.settings.Service, Age: now.Sub(u.lastSeen)})
		tr.resetFlowsBefore(now+1, "the target has crashed")
	}
}

// empty reports that there is no target beside this agent.
//
// A target that lives sends a heartbeat, or a packet, within two heartbeats, and its VM
// answers a look. Without all three there is none, and the agent need not be unsure of
// every flow that balancers search.
func (tr *Tracker) noTarget(now clock.Millis) bool {
	u := &tr.upstream
	nobody := u.refusedDials >= minFailedDials || u.unansweredDials >= minFailedDials
	return !u.known && u.lastSeen == 0 && nobody && now.Sub(tr.startedAt) > firstHeartbeatWait*tr.settings.Heartbeat
}
