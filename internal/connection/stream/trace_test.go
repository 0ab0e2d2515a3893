package stream

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// TestTrace prints the decisions of one seed of TestWorld, given by WAGTAILTRAY_SEED.
func TestTrace(t *testing.T) {
	seed, err := strconv.Atoi(os.Getenv("WAGTAILTRAY_SEED"))
	if err != nil {
		return
	}
	sim := newFaultySimulation(t, uint64(seed))
	sim.trace = func(who string, events []Event) {
		for _, e := range events {
			fmt.Printf("%8.3f %-16s %-10s %v %v %s %s %d\n",
				float64(sim.now-24*clock.Hour)/1000, who, e.Kind, e.Flow, e.Target, e.Service, e.Reason, e.Count)
		}
	}
	sim.run(60 * clock.Second)
	for _, f := range sim.failures {
		t.Error(f)
	}
}
