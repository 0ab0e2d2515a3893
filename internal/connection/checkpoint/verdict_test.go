package checkpoint

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

func TestEvaluate(t *testing.T) {
	const wall, flowTTL = 1_000_000, clock.Minute
	entry := Entry{Service: "one", Born: 500, At: wall - 3000}
	old := entry
	old.At = wall - int64(flowTTL+maxClockSkew) - 1
	ahead := entry
	ahead.At = wall + int64(maxClockSkew) + 1
	stepped := entry
	stepped.At = wall + 10_000
	for _, c := range []struct {
		name   string
		entry  Entry
		target Target
		want   Verdict
	}{
		{"no heartbeat yet", entry, Target{Service: "one"}, Wait},
		{"no process listens", entry, Target{Service: "one", NotListening: true}, Gone},
		{"the target is still alive", entry, Target{Service: "one", Born: 500, Sequence: 90, Heartbeats: 1}, Alive},
		{"the target was restarted", entry, Target{Service: "one", Born: 900, Sequence: 3, Heartbeats: 1}, Gone},
		{"the target was restarted after the clock was set back", entry, Target{Service: "one", Born: 100, Sequence: 3, Heartbeats: 1}, Wait},
		{"a second heartbeat of a target that seems earlier", entry, Target{Service: "one", Born: 100, Sequence: 4, Heartbeats: 2}, Wait},
		{"heartbeats go on after the clock was set back", entry, Target{Service: "one", Born: 100, Sequence: 4, Heartbeats: 2, Steady: true}, Gone},
		{"a second heartbeat of a later target", entry, Target{Service: "one", Born: 900, Sequence: 71, Heartbeats: 2}, Gone},
		{"a late heartbeat of an earlier target", entry, Target{Service: "one", Born: 100, Sequence: 2, Heartbeats: 1}, Wait},
		{"a late heartbeat of a target that has run for long", entry, Target{Service: "one", Born: 900, Sequence: 70, Heartbeats: 1}, Wait},
		{"the address has another service", entry, Target{Service: "two", Born: 900, Sequence: 1, Heartbeats: 1}, Gone},
		{"another service with the same start time", entry, Target{Service: "two", Born: 500, Sequence: 1, Heartbeats: 2}, Ignore},
		{"too old", old, Target{Service: "one", Born: 900, Sequence: 1, Heartbeats: 1}, Ignore},
		{"from the future", ahead, Target{Service: "one", Born: 900, Sequence: 1, Heartbeats: 1}, Ignore},
		{"a clock that stepped", stepped, Target{Service: "one", Born: 900, Sequence: 1, Heartbeats: 1}, Gone},
	} {
		if got := c.entry.Evaluate(wall, flowTTL, c.target); got != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got, c.want)
		}
	}
}
