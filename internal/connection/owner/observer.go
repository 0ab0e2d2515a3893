package owner

import (
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Observer dates what changes among the targets of a service, from one view
// to the next. It belongs to one process and is not safe for concurrent use.
type Observer struct {
	self    target.ID
	known   map[target.ID]seen
	removed clock.Millis
	joined  clock.Millis
}

// seen is what matters of a target for the choice of homes.
type seen struct {
	incarnation uint32
	sequence    uint64
	opens       bool
	at          clock.Millis
}

// differs reports a change since the target was seen. A higher sequence counts
// even where nothing else is different: the target may have been a home for a
// moment, in the eyes of others, between two looks of this process.
func (s *seen) differs(c *target.Candidate) bool {
	return s.incarnation != c.Incarnation || s.sequence != c.Sequence || s.opens != c.AcceptsFlows()
}

// longAgo dates what was there before the observer. The clock of a process
// starts a day after it, longer than any window.
const longAgo = -24 * clock.Hour

// NewObserver returns the observer of a target's agent.
func NewObserver(self target.ID) *Observer {
	return &Observer{self: self, known: map[target.ID]seen{}, removed: longAgo}
}

// View returns the view of a set. What the first view shows counts as changed
// only for the target itself: it is the one that joins.
func (o *Observer) View(now clock.Millis, set *target.Set, incarnation uint32, window clock.Millis) *View {
	v := &View{Set: set, Joined: o.joined, Self: o.self, Incarnation: incarnation, Window: window}
	first := len(o.known) == 0
	if first {
		v.Joined, o.joined = now, now
	}
	for i := range set.Targets {
		c := &set.Targets[i]
		old, ok := o.known[c.ID]
		if !ok || old.differs(c) {
			old = seen{incarnation: c.Incarnation, sequence: c.Sequence, opens: c.AcceptsFlows(), at: now}
			if first && c.ID != o.self {
				old.at = longAgo
			}
			o.known[c.ID] = old
		}
		v.Changed = append(v.Changed, old.at)
	}
	for id := range o.known {
		if _, ok := set.Find(id); !ok {
			delete(o.known, id)
			o.removed = now
		}
	}
	v.Removed = o.removed
	return v
}
