package evacuation

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// An evacuation is removed, and a peer that does not know this sends the older snapshot.
// The evacuation must not reappear.
func TestOlderSnapshotIsIgnored(t *testing.T) {
	var s Snapshot
	s.Update(New(7, []string{"a"}))
	if d := s.Update(New(9, nil)); !slices.Equal(d.Removed, []string{"a"}) {
		t.Errorf("removed %v", d.Removed)
	}
	if d := s.Update(New(7, []string{"a"})); d.HasChanges() || s.Has("a") {
		t.Errorf("an older snapshot changed %+v", d)
	}
	if d := s.Update(New(9, []string{"a"})); d.HasChanges() || s.Has("a") {
		t.Errorf("a snapshot of the same revision changed %+v", d)
	}
}

// An evacuation is removed and added again while a reader waits. The reader receives all
// changes in one response, and the last one wins.
func TestRemovedAndAddedAgain(t *testing.T) {
	s := New(5, []string{"a"})
	s = s.Apply(9, []Change{{Domain: "a", Removed: true}, {Domain: "b"}, {Domain: "a"}, {Domain: "b", Removed: true}})
	if !s.Has("a") || s.Has("b") || s.Revision != 9 {
		t.Errorf("after the changes: %+v", s)
	}
	if s = s.Apply(8, nil); s.Revision != 9 {
		t.Errorf("the revision decreased to %d", s.Revision)
	}
}

// A balancer that has no snapshot yet, or an older one, tells an agent that its failure
// domain is not evacuated. The agent's status must not change.
func TestDomainStatusIgnoresOlderRevisions(t *testing.T) {
	var s DomainStatus
	if s.Update(0, false) || s.Update(0, true) || s.Evacuated {
		t.Error("a balancer without a snapshot set the domain to evacuated")
	}
	if !s.Update(7, true) || s.Update(6, false) || s.Update(7, false) || !s.Evacuated {
		t.Errorf("%+v after updates from balancers with older snapshots", s)
	}
	if !s.Update(8, false) || s.Evacuated {
		t.Error("the domain is still evacuated after the evacuation was removed")
	}
}

// Snapshots arrive in any order, late, duplicated or not at all. The result is the
// snapshot with the highest revision that arrived.
func TestHighestRevisionWins(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("the highest revision wins", prop.ForAll(func(seed uint64, count int) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		history := []Snapshot{New(1, nil)}
		for i := range count {
			last := history[len(history)-1]
			c := Change{Domain: string(rune('a' + random.IntN(4))), Removed: random.IntN(2) == 0}
			history = append(history, last.Apply(uint64(i+2), []Change{c}))
		}
		var known Snapshot
		highest := 0
		for range 3 * count {
			i := random.IntN(len(history))
			highest = max(highest, i)
			known.Update(history[i])
		}
		want := history[highest]
		return known.Revision == want.Revision && slices.Equal(known.Domains, want.Domains)
	}, gen.UInt64(), gen.IntRange(1, 30)))
	properties.TestingRun(t)
}
