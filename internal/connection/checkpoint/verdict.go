package checkpoint

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// maxStartupHeartbeats is up to how many attempted heartbeats a target counts as
	// just started.
	maxStartupHeartbeats = 6
	// confirmingHeartbeats is how many heartbeats with the same start time confirm a
	// target that may be an older one.
	confirmingHeartbeats = 2
	// maxClockSkew is how much the clocks of two processes may differ when the age
	// of an entry is computed.
	maxClockSkew = 30 * clock.Second
)

// Verdict is what an agent may conclude from an entry.
type Verdict int

// Verdicts.
const (
	// Wait means that too little is known of the target so far.
	Wait Verdict = iota
	// Alive means that the flows belong to the present target.
	Alive
	// Gone means that the target of the entry is gone, and its flows with it.
	Gone
	// Ignore means that the entry has no effect.
	Ignore
)

// Target is what an agent knows of its target.
type Target struct {
	Service string
	// Born is its start time, or zero before its first heartbeat.
	Born uint64
	// Sequence counts the heartbeats that it attempted, Heartbeats those that were
	// received with this start time.
	Sequence   uint64
	Heartbeats int
	// Steady is set if these have arrived for so long that one of any other target that is
	// alive would have arrived as well.
	Steady bool
	// NotListening is set if no process listens at its address.
	NotListening bool
}

// Evaluate returns what follows from an entry for the present target. wall is the
// clock of the VM in Unix milliseconds, and flowTTL how long a flow may live.
//
// A heartbeat may be late and come from a process that is gone. It proves that the
// entry's target is gone if it comes from a later target that has just started, or if
// a second heartbeat follows. Several may be late: those of an earlier target, which is the
// present one if the clock was set back, count only if they go on.
func (e *Entry) Evaluate(wall int64, flowTTL clock.Millis, t Target) Verdict {
	switch {
	case e.expired(wall, flowTTL):
		return Ignore
	case t.Born == 0 && t.NotListening:
		return Gone
	case t.Born == 0:
		return Wait
	case t.Born == e.Born && t.Service == e.Service:
		return Alive
	case t.Born == e.Born:
		return Ignore
	case t.Born > e.Born && (t.Heartbeats >= confirmingHeartbeats || t.Sequence <= maxStartupHeartbeats):
		return Gone
	case t.Heartbeats >= confirmingHeartbeats && t.Steady:
		return Gone
	default:
		return Wait
	}
}

// expired reports whether an entry may name flows that are older than flowTTL, or has
// a time in the future.
func (e *Entry) expired(wall int64, flowTTL clock.Millis) bool {
	age := clock.Millis(wall - e.At)
	return age > flowTTL+maxClockSkew || age < -maxClockSkew
}
