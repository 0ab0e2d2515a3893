package stream

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// settleSplit returns the shares that a failure domain sends away once the loads, which
// include what was sent, no longer change.
func settleSplit(demand float64, far [numDistances]domainLoad) [numDistances]float64 {
	var s split
	var shares [numDistances]float64
	for now := testNow; now < testNow+10*clock.Second; now += serviceLoadInterval {
		near, loads := domainLoad{busy: demand, slots: 30}, far
		for i, r := range s.remote {
			near.busy -= r.sent * demand
			loads[i].busy += r.sent * demand
		}
		s.update(now, near, loads)
	}
	for i, r := range s.remote {
		shares[i] = r.share
	}
	return shares
}

// Guards against flows that go to a distant region while a failure domain of the same region
// has room.
func TestShortDomainSendsToNearestFirst(t *testing.T) {
	tests := []struct {
		name      string
		demand    float64
		far       [numDistances]domainLoad
		low, high [numDistances]float64
	}{
		{"room at home", 25, [numDistances]domainLoad{{5, 30}, {5, 30}}, [numDistances]float64{0, 0}, [numDistances]float64{0, 0}},
		{"room nearby", 40, [numDistances]domainLoad{{5, 30}, {5, 30}}, [numDistances]float64{0.3, 0}, [numDistances]float64{0.35, 0}},
		{"room far away", 40, [numDistances]domainLoad{{40, 30}, {5, 30}}, [numDistances]float64{0, 0.3}, [numDistances]float64{0, 0.35}},
		{"some room nearby", 40, [numDistances]domainLoad{{20, 30}, {5, 30}}, [numDistances]float64{0.1, 0.15}, [numDistances]float64{0.2, 0.25}},
		{"no room", 40, [numDistances]domainLoad{{40, 30}, {40, 30}}, [numDistances]float64{0, 0}, [numDistances]float64{0, 0}},
		{"no targets elsewhere", 40, [numDistances]domainLoad{}, [numDistances]float64{0, 0}, [numDistances]float64{0, 0}},
	}
	for _, test := range tests {
		got := settleSplit(test.demand, test.far)
		for i := range got {
			if got[i] < test.low[i] || got[i] > test.high[i] {
				t.Errorf("%s: shares %.3f, want from %v to %v", test.name, got, test.low, test.high)
				break
			}
		}
	}
}

// Guards against operators not seeing that flows leave a failure domain.
func TestShortagesAreRecorded(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", MaxFlows: 10, FlowTTL: testFlowTTL})
	s.Targets.insert(&Target{Service: "one"})
	var reasons []string
	for _, share := range []float64{0, 0.2, 0.3, 0} {
		s.Targets.groups["one"].load.split.remote[sameRegion].share = share
		s.recordShortages()
		for _, e := range s.TakeOutcome().Events {
			reasons = append(reasons, e.Reason)
		}
	}
	if len(reasons) != 2 || reasons[0] == reasons[1] {
		t.Errorf("recorded: %q, want one event when flows begin to leave and one when they cease", reasons)
	}
}
