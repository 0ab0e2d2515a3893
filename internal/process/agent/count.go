package agent

import (
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
)

// counters holds the metrics, which are created once: a scope looks names up in
// a map.
type counters struct {
	delivered, adopted, moved, passed, refused tally.Counter
	answered, late, hinted, ended              tally.Counter
	forged, malformed, large, unsent, fenced   tally.Counter
	digests, digestsLate, announced, unheard   tally.Counter
	restored, unrestored, outlived             tally.Counter
	flows                                      tally.Gauge
	dropped                                    map[owner.Reason]tally.Counter
}

func newCounters(s tally.Scope) counters {
	c := counters{
		delivered: s.Counter("delivered"), adopted: s.Counter("adopted"), moved: s.Counter("moved"),
		passed: s.Counter("passed"), refused: s.Counter("refused"), answered: s.Counter("answered"),
		late: s.Counter("late"), hinted: s.Counter("hinted"), ended: s.Counter("ended"),
		forged: s.Counter("forged"), malformed: s.Counter("malformed"), large: s.Counter("large"),
		unsent: s.Counter("unsent"), fenced: s.Counter("fenced"),
		digests: s.Counter("digests"), digestsLate: s.Counter("digests_late"),
		announced: s.Counter("announced"), unheard: s.Counter("unheard"),
		restored: s.Counter("restored"), unrestored: s.Counter("unrestored"), outlived: s.Counter("outlived"),
		flows: s.Gauge("flows"), dropped: map[owner.Reason]tally.Counter{},
	}
	for _, r := range owner.Reasons {
		c.dropped[r] = s.Tagged(map[string]string{"reason": string(r)}).Counter("dropped")
	}
	return c
}

// logFlow logs an event of a flow, with the fields that do not change while it
// is open.
func (a *Agent) logFlow(event string, f *owner.Flow) {
	a.flowLog.Debug().Str("event", event).Stringer("caller", f.Caller).Uint64("opening", f.OpeningNumber).
		Uint16("port", f.Link.Port()).
		Int64("age", int64(a.deps.Clock.Now().Sub(f.Started))).Msg("flow")
}
