package stream

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/golden"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// recordChoices returns the targets chosen for openings while no target is loaded: a line
// for each number of balancers and seed.
func recordChoices() string {
	var b strings.Builder
	for _, balancers := range []int{1, 6, 19, 91} {
		for seed := range uint64(8) {
			fmt.Fprintf(&b, "%d %d:", balancers, seed)
			random := rand.New(rand.NewPCG(seed, 7))
			ts := NewTargets("a", map[string]string{"a": "r", "b": "r", "c": "s"}, seed)
			ts.SetBalancers(balancers)
			addUnloadedTargets(ts, random)
			for range 40 {
				t, _ := ts.Choose(testNow, PlacementRequest{Service: "one", Class: &routing.Class{Objective: 200}})
				fmt.Fprint(&b, " ", t.Name)
			}
			b.WriteByte('\n')
		}
	}
	return b.String()
}

// addUnloadedTargets adds targets in three failure domains that differ in speed, with up to
// seven tenths of their slots in use.
func addUnloadedTargets(ts *Targets, random *rand.Rand) {
	for i := range 24 {
		slots := 2 + 2*(i%2)
		ts.ApplyReport(testNow, testAddress(2, i), &wire.Report{
			Name: fmt.Sprint(i), Domain: string(rune('a' + i%3)), Service: "one", Epoch: 1, Sequence: 1, Born: 1,
			Condition: wire.Condition_CONDITION_READY, Slots: uint32(slots), Flows: uint32(random.IntN(40)),
			Busy: uint32(random.Float64() * 0.7 * float64(slots*busyScale)), Serving: uint32(random.IntN(60)),
			Cold: uint32(random.IntN(4) / 3 * 1000), Work: uint32(random.IntN(30_000)), Running: uint32(random.IntN(slots + 1)),
		})
	}
}

// Guards against customers whose targets have room being served differently because of what
// is decided under load.
func TestChoicesBelowLoadAreThoseRecorded(t *testing.T) {
	golden.CompareFile(t, "testdata/placement/unloaded.golden", recordChoices())
}
