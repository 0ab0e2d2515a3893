package checkpoint

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// fewBeats is how many heartbeats a target that has just started has tried.
	fewBeats = 6
	// surely is how many heartbeats of an older target must agree.
	surely = 2
	// clockSlack is how much the clocks of two processes may differ for the age of
	// an entry.
	clockSlack = 30 * clock.Second
)

// Verdict is what an agent may conclude from an entry.
type Verdict int

// Verdicts.
const (
	// Wait means that too little is known of the target yet.
	Wait Verdict = iota
	// Alive means that the flows are those of the target that is there.
	Alive
	// Gone means that the target of the entry is gone, and its flows with it.
	Gone
	// Ignore means that nothing follows.
	Ignore
)

// Target is what an agent knows of the target beside it.
type Target struct {
	Service string
	// Born is its start, or zero if it was not heard yet.
	Born uint64
	// Sequence counts the heartbeats that it tried, Beats those that were heard
	// with this start.
	Sequence uint64
	Beats    int
	// Absent tells that nobody listens at its address.
	Absent bool
}

// Judge says what follows from an entry for the target that is there now. wall is the
// clock of the VM in Unix milliseconds, and life how long a flow may live.
//
// A heartbeat may be late and speak for a process that is gone. It proves that the
// entry's target is gone if it comes from a later one that has just started, or if
// another one follows it.
func (e *Entry) Judge(wall int64, life clock.Millis, t Target) Verdict {
	switch {
	case e.old(wall, life):
		return Ignore
	case t.Born == 0 && t.Absent:
		return Gone
	case t.Born == 0:
		return Wait
	case t.Born == e.Born && t.Service == e.Service:
		return Alive
	case t.Born == e.Born:
		return Ignore
	case t.Beats >= surely, t.Sequence <= fewBeats && t.Born > e.Born:
		return Gone
	default:
		return Wait
	}
}

// old reports that an entry may name flows that are older than a flow may be.
func (e *Entry) old(wall int64, life clock.Millis) bool {
	age := clock.Millis(wall - e.At)
	return age > life+clockSlack || age < -clockSlack
}
