package stream

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const testNow = 24 * clock.Hour

// load is a target's report, as its agent would send it.
type targetLoad struct {
	domain string
	flows  int
	busy   float64
	cold   uint32
}

// loaded returns targets of one service with these loads, in a balancer of the
// failure domain "a". Targets have four slots.
func newLoadedTargets(loads ...targetLoad) *Targets {
	ts := NewTargets("a", nil, 1)
	for i, l := range loads {
		ts.ApplyReport(testNow, worldAddress(2, i), &wire.Report{
			Name: fmt.Sprint("t", i), Domain: l.domain, Service: "one", Epoch: 1, Sequence: 1, Born: 1,
			Condition: wire.Condition_CONDITION_READY, Slots: 4, Flows: uint32(l.flows),
			Busy: uint32(l.busy * busyScale), Cold: l.cold,
		})
	}
	return ts
}

// place chooses for that many openings and counts them by target.
func placeOpenings(ts *Targets, openings int) []int {
	counts := make([]int, ts.Len())
	for range openings {
		t, ok := ts.Choose(testNow, PlacementRequest{Service: "one"})
		if !ok {
			continue
		}
		for i := range counts {
			if t.Address == worldAddress(2, i) {
				counts[i]++
			}
		}
	}
	return counts
}

// A burst arrives between two reports. One target looked idle a moment ago; it
// must not get all of it.
func TestChooseBurst(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 30, 1.2, 0}, targetLoad{"a", 30, 1.2, 0}, targetLoad{"a", 24, 0.9, 0}), 90)
	if counts[2] < 30 || counts[2] > 45 || counts[0] < 20 || counts[1] < 20 {
		t.Errorf("90 openings went %v", counts)
	}
}

// Twenty balancers know the same loads of nine targets, all of which have room, and get
// three openings each before they hear more. The flows must not all go to the one target
// that looked best a moment ago, whose queue would overflow beside idle ones.
func TestChooseSpreadsAcrossBalancers(t *testing.T) {
	total := make([]int, 9)
	for seed := range uint64(20) {
		loads := make([]targetLoad, len(total))
		for i := range loads {
			loads[i] = targetLoad{"a", 10 + i%2, 0.1, 0}
		}
		ts := newLoadedTargets(loads...)
		ts.random = rand.New(rand.NewPCG(seed, 0))
		for i, n := range placeOpenings(ts, 3) {
			total[i] += n
		}
	}
	if most := slices.Max(total); most > 14 {
		t.Errorf("60 openings of twenty balancers went %v", total)
	}
}

// All callers come back at once, in every failure domain. What this balancer has
// placed at home since the last reports must not send the rest elsewhere, where
// others place as many.
func TestChooseBurstStaysInDomain(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 2, 1, 0}, targetLoad{"a", 2, 1, 0}, targetLoad{"b", 2, 1, 0}, targetLoad{"b", 2, 1, 0}), 400)
	if counts[2]+counts[3] > 0 {
		t.Errorf("of 400 openings some left the failure domain: %v", counts)
	}
}

// The targets at home have every slot in use and a queue, those elsewhere are
// half idle: new flows go out, for a request would wait longer at home than the
// way takes.
func TestChooseLeavesOverload(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 90, 5, 0}, targetLoad{"a", 90, 5, 0}, targetLoad{"b", 40, 1.5, 0}), 20)
	if counts[2] < 15 {
		t.Errorf("of 20 openings only %d left an overloaded failure domain", counts[2])
	}
	counts = placeOpenings(newLoadedTargets(targetLoad{"a", 60, 2.6, 0}, targetLoad{"a", 60, 2.6, 0}, targetLoad{"b", 5, 0.2, 0}), 20)
	if counts[2] > 0 {
		t.Errorf("%d of 20 openings left a failure domain that is busy but well", counts[2])
	}
}

// A target has become slow: it has as many flows as the others, but their requests
// pile up. It gets fewer of the next flows.
func TestChooseAvoidsSlow(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 30, 3.6, 0}, targetLoad{"a", 30, 0.9, 0}, targetLoad{"a", 30, 0.9, 0}), 30)
	if counts[0] > 2 {
		t.Errorf("the slow target got %d of 30 openings", counts[0])
	}
}

// A target that has just started works slower for a while; it is empty, and still
// must not get the whole burst.
func TestChooseCold(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 30, 1, 0}, targetLoad{"a", 30, 1, 0}, targetLoad{"a", 0, 0, 2000}), 60)
	if counts[2] < 20 || counts[2] > 50 {
		t.Errorf("the cold target got %d of 60 openings", counts[2])
	}
}

// A target was tried already, or is suspected, draining, restarting or not known
// to be ready: it gets no opening.
func TestChooseSkipsUnusable(t *testing.T) {
	ts := newLoadedTargets(targetLoad{"a", 0, 0, 0}, targetLoad{"a", 0, 0, 0})
	first, second := worldAddress(2, 0), worldAddress(2, 1)
	if got, ok := ts.Choose(testNow, PlacementRequest{Service: "one", Tried: []netip.AddrPort{first}}); !ok || got.Address != second {
		t.Errorf("after the first was tried: %v", got)
	}
	ts.DueProbes(testNow)
	for at := testNow; at < testNow+clock.Second; at += 50 {
		ts.DueProbes(at)
	}
	if got, ok := ts.Choose(testNow+clock.Second, PlacementRequest{Service: "one"}); ok {
		t.Errorf("a target that does not answer was chosen: %v", got)
	}
	ts.ApplyReport(testNow+clock.Second, first, &wire.Report{
		Service: "one", Epoch: 1, Sequence: 2, Born: 1, Condition: wire.Condition_CONDITION_DRAINING, Slots: 4,
	})
	if got, ok := ts.Choose(testNow+clock.Second, PlacementRequest{Service: "one"}); ok {
		t.Errorf("a draining target was chosen: %v", got)
	}
}

// The balancer stands still for seconds while all targets are well. When it goes
// on, none counts as lost, or their flows would be reset.
func TestPausedBalancerLosesNoTargets(t *testing.T) {
	ts := newLoadedTargets(targetLoad{"a", 0, 0, 0})
	ts.DueProbes(testNow)
	later := testNow + 10*clock.Second
	ts.DueProbes(later)
	if target, _ := ts.Find(worldAddress(2, 0)); target.Lost(later) {
		t.Error("a target counts as lost after the balancer's own pause")
	}
}

// An agent whose target has no process is stopped for good, with its VM. It says
// so, and balancers do not wait for its word about any flow; an agent that is only
// restarted is waited for, but not for ever.
func TestStopWithoutTarget(t *testing.T) {
	tr := NewTracker(testNow, TrackerSettings{Service: "one", Heartbeat: 1200, HeartbeatTimeout: 3600, MaxFlows: 10, Epoch: 1})
	for range minFailedDials {
		tr.RecordDial(testNow+1000, Refusing)
	}
	tr.Stop(testNow + 1001)
	balancer := worldAddress(1, 0)
	tr.SendReport(testNow+1001, []netip.AddrPort{balancer})
	if r := tr.Take().Sends[0].Parcel.Report; r.Condition != wire.Condition_CONDITION_GONE {
		t.Errorf("an agent without a target stops as %v", r.Condition)
	}
	ts := newLoadedTargets(targetLoad{"a", 0, 0, 0})
	target, _ := ts.Find(worldAddress(2, 0))
	ts.ApplyReport(testNow, target.Address, &wire.Report{
		Service: "one", Epoch: 1, Sequence: 2, Born: 1, Restarting: true, Condition: wire.Condition_CONDITION_READY,
	})
	for at := testNow; at < testNow+10*clock.Second; at += 50 {
		ts.DueProbes(at)
	}
	if target.Lost(testNow + lostAfter + 500) {
		t.Error("an agent that restarts counts as lost at once")
	}
	if !target.Lost(testNow + 10*clock.Second) {
		t.Error("an agent that does not come back is waited for")
	}
}

// Strangers report targets from ever new addresses, and balancers name others. As
// many are known as there may be, and no more.
func TestTargetsAreBounded(t *testing.T) {
	ts := NewTargets("a", nil, 1)
	for i := range 3 * maxTargets {
		ts.ApplyReport(testNow, worldAddress(i>>16, 2*i), &wire.Report{Service: "one", Epoch: 1, Sequence: 1})
		ts.Learn(testNow, worldAddress(i>>16, 2*i+1), "t", "a", "one")
	}
	for i := range 3 * maxTargets {
		ts.ApplyReport(testNow, worldAddress(9, i), &wire.Report{Epoch: 1, Sequence: 1, Condition: wire.Condition_CONDITION_GONE})
	}
	if ts.Len() > maxTargets || len(ts.departed) > maxTargets {
		t.Errorf("%d targets and %d that left are known, want up to %d", ts.Len(), len(ts.departed), maxTargets)
	}
}

// A target becomes ready a second after all others, when these are busy. Each balancer sees
// one idle target and has a few openings before it hears more: together they must not send
// it more than makes it as busy as the others, however many they are.
func TestChooseIdleTargetAmongBusyOnes(t *testing.T) {
	// Twenty flows make it as busy as the others, and a ninth of the rest is its part.
	const most = 20 + 9 + 5
	for _, balancers := range []int{2, 6, 19, 91} {
		total := 0
		for seed := range uint64(balancers) {
			loads := []targetLoad{{"a", 0, 0, 0}}
			for range 8 {
				loads = append(loads, targetLoad{"a", 20, 4, 0})
			}
			ts := newLoadedTargets(loads...)
			ts.random = rand.New(rand.NewPCG(seed, 0))
			ts.SetBalancers(balancers)
			total += placeOpenings(ts, max(100/balancers, 1))[0]
		}
		if total > most {
			t.Errorf("%d balancers sent %d of 100 openings to one target, want up to %d", balancers, total, most)
		}
	}
}

// Reports tell any load, also one that no target has: a choice is made, and soon.
func TestChooseAnyLoad(t *testing.T) {
	for _, busy := range []float64{0, 1, 1e3, 4e7} {
		for _, sharers := range []int{1, 19, 91} {
			ts := newLoadedTargets(targetLoad{"a", 0, busy, 0}, targetLoad{"a", 1 << 30, 0, 0}, targetLoad{"b", 3, busy, 2000})
			ts.SetBalancers(sharers)
			if counts := placeOpenings(ts, 20); counts[0]+counts[1]+counts[2] != 20 {
				t.Errorf("busy %g, %d balancers: 20 openings went %v", busy, sharers, counts)
			}
		}
	}
}
