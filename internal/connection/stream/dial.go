package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// openingTimeout is how long a target may take to accept or return an opening. It takes
	// less than a millisecond unless it is short of CPU time.
	openingTimeout = 150 * clock.Millis(1)
	// dialInterval is the minimum interval between two dials to the target's address;
	// minFailedDials failures in a row mean that no process listens there.
	dialInterval   = 200 * clock.Millis(1)
	minFailedDials = 2
	// firstHeartbeatWait is the number of heartbeat intervals without a first heartbeat
	// after which an agent may conclude that it has no target.
	firstHeartbeatWait = 2
)

// DialResult is the result of dialing the target's address.
type DialResult int

// Results of a dial.
const (
	// Listening means that a process accepts connections.
	Listening DialResult = iota
	// Refusing means that the VM refused the connection because no process listens.
	Refusing
	// Unanswered means that the dial timed out.
	Unanswered
)

// DialDue reports whether to dial the target now, and counts the dial as made.
//
// When a process crashes, its VM refuses connections at once, long before missing
// heartbeats are noticed.
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

// RecordDial handles the result of a dial.
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
		tr.out.record(Event{Kind: Upstream, Reason: "no process listens", Service: tr.settings.Service, Age: now.Sub(u.lastSeen)})
		tr.resetFlowsBefore(now+1, "the target has crashed")
	}
}

// noTarget reports whether this agent has no target.
//
// A running target sends a heartbeat or a packet within two heartbeat intervals, and its VM
// answers a dial. Without any of the three there is no target, and the agent need not be
// unsure about each flow that balancers search for.
func (tr *Tracker) noTarget(now clock.Millis) bool {
	u := &tr.upstream
	nobody := u.refusedDials >= minFailedDials || u.unansweredDials >= minFailedDials
	return !u.known && u.lastSeen == 0 && nobody && now.Sub(tr.startedAt) > firstHeartbeatWait*tr.settings.Heartbeat
}
