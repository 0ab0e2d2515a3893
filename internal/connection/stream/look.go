package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// answerWithin is how long a target may take to answer or return an opening.
	// It does so in less than a millisecond, unless it is short of processor time.
	answerWithin = 150 * clock.Millis(1)
	// checkEvery is the pause between two looks whether the target is there, and
	// absences how many in a row must find nobody.
	checkEvery = 200 * clock.Millis(1)
	absences   = 2
	// emptyBeats is for how many heartbeats an agent has waited for its target's
	// first one when there is none.
	emptyBeats = 2
)

// Look is what was found at the target's address.
type Look int

// Findings.
const (
	// Listening means that a process accepts connections.
	Listening Look = iota
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
func (h *Holder) Doubts(now clock.Millis) bool {
	u := &h.upstream
	silent := !u.known || now.Sub(u.beat) > h.settings.Heartbeat+h.settings.Heartbeat/2
	stuck := u.pending != 0 && now.Sub(u.pending) > answerWithin
	if u.gone || !silent && !stuck || now.Sub(u.checked) < checkEvery {
		return false
	}
	u.checked = now
	return true
}

// Checked takes what a look has found.
func (h *Holder) Checked(now clock.Millis, found Look) {
	u := &h.upstream
	before := u.down()
	u.listens = found == Listening
	switch found {
	case Listening:
		u.refused, u.unanswered = 0, 0
	case Refusing:
		u.refused++
	case Unanswered:
		u.unanswered++
	}
	if !before && u.down() && u.known {
		h.out.record(Event{Kind: Upstream, Reason: "nobody listens", Service: h.settings.Service, Age: now.Sub(u.seen)})
		h.resetBefore(now+1, "the target has crashed")
	}
}

// empty reports that there is no target beside this agent.
//
// A target that lives sends a heartbeat, or a packet, within two heartbeats, and its VM
// answers a look. Without all three there is none, and the agent need not be unsure of
// every flow that balancers search.
func (h *Holder) empty(now clock.Millis) bool {
	u := &h.upstream
	nobody := u.refused >= absences || u.unanswered >= absences
	return !u.known && u.seen == 0 && nobody && now.Sub(h.started) > emptyBeats*h.settings.Heartbeat
}
