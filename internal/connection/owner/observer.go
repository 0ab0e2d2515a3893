package owner

import (
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Observer records when the targets of a service change, from one view to the
// next. It is not safe for concurrent use.
type Observer struct {
	self        target.ID
	known       map[target.ID]observedTarget
	lastRemoved clock.Millis
	joinedAt    clock.Millis
}

// observedTarget is the state of a target that affects the choice of homes.
type observedTarget struct {
	incarnation uint32
	sequence    uint64
	opens       bool
	changedAt   clock.Millis
}

// differs reports whether the target has changed since it was observed. A higher
// sequence counts even if nothing else differs: others may have seen the target as
// a home for a moment, between two observations of this process.
func (s *observedTarget) differs(c *target.Candidate) bool {
	return s.incarnation != c.Incarnation || s.sequence != c.Sequence || s.opens != c.AcceptsFlows()
}

// beforeStart is when targets that were there before the observer count as changed.
// The clock of a process starts a day later, longer than any resend window.
const beforeStart = -24 * clock.Hour

// NewObserver returns the observer of the agent of target self.
func NewObserver(self target.ID) *Observer {
	return &Observer{self: self, known: map[target.ID]observedTarget{}, lastRemoved: beforeStart}
}

// View returns the view of a set. In the first view only the target itself counts
// as changed, because it is the one that joins.
func (o *Observer) View(now clock.Millis, set *target.Set, incarnation uint32, window clock.Millis) *View {
	v := &View{Set: set, JoinedAt: o.joinedAt, Self: o.self, Incarnation: incarnation, ResendWindow: window}
	first := len(o.known) == 0
	if first {
		v.JoinedAt, o.joinedAt = now, now
	}
	for i := range set.Targets {
		c := &set.Targets[i]
		old, ok := o.known[c.ID]
		if !ok || old.differs(c) {
			old = observedTarget{incarnation: c.Incarnation, sequence: c.Sequence, opens: c.AcceptsFlows(), changedAt: now}
			if first && c.ID != o.self {
				old.changedAt = beforeStart
			}
			o.known[c.ID] = old
		}
		v.ChangedAt = append(v.ChangedAt, old.changedAt)
	}
	for id := range o.known {
		if _, ok := set.Find(id); !ok {
			delete(o.known, id)
			o.lastRemoved = now
		}
	}
	v.LastRemoved = o.lastRemoved
	return v
}
