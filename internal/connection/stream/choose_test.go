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

// targetLoad is the load in a target's report.
type targetLoad struct {
	domain string
	flows  int
	busy   float64
	cold   uint32
}

// newLoadedTargets returns targets of one service with these loads, for a balancer in
// failure domain "a". Each target has four slots.
func newLoadedTargets(loads ...targetLoad) *Targets {
	ts := NewTargets("a", nil, 1)
	for i, l := range loads {
		ts.ApplyReport(testNow, testAddress(2, i), &wire.Report{
			Name: fmt.Sprint("t", i), Domain: l.domain, Service: "one", Epoch: 1, Sequence: 1, Born: 1,
			Condition: wire.Condition_CONDITION_READY, Slots: 4, Flows: uint32(l.flows),
			Busy: uint32(l.busy * busyScale), Cold: l.cold,
		})
	}
	return ts
}

// placeOpenings chooses targets for a number of openings and returns the count per target.
func placeOpenings(ts *Targets, openings int) []int {
	counts := make([]int, ts.Len())
	for range openings {
		t, ok := ts.Choose(testNow, PlacementRequest{Service: "one"})
		if !ok {
			continue
		}
		for i := range counts {
			if t.Address == testAddress(2, i) {
				counts[i]++
			}
		}
	}
	return counts
}

// Guards against a burst between two reports going entirely to the one target that was idle
// at the last report.
func TestChooseBurst(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 30, 1.2, 0}, targetLoad{"a", 30, 1.2, 0}, targetLoad{"a", 24, 0.9, 0}), 90)
	if counts[2] < 30 || counts[2] > 45 || counts[0] < 20 || counts[1] < 20 {
		t.Errorf("distribution of 90 openings: %v", counts)
	}
}

// Twenty balancers know the same loads of nine targets with room and place three openings
// each before the next reports. The flows must not all go to the target that looked best,
// whose queue would overflow beside idle targets.
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
		t.Errorf("distribution of 60 openings of twenty balancers: %v", total)
	}
}

// All callers reconnect at once in every failure domain. The flows that this balancer has
// placed locally since the last reports must not send the rest to other domains, where
// balancers place as many.
func TestChooseBurstStaysInDomain(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 2, 1, 0}, targetLoad{"a", 2, 1, 0}, targetLoad{"b", 2, 1, 0}, targetLoad{"b", 2, 1, 0}), 400)
	if counts[2]+counts[3] > 0 {
		t.Errorf("some of 400 openings left the failure domain: %v", counts)
	}
}

// The local targets have all slots in use and a queue, the remote ones are half idle. New
// flows go to the remote domain, since a request would wait longer locally than the extra
// distance takes.
func TestChooseLeavesOverload(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 90, 5, 0}, targetLoad{"a", 90, 5, 0}, targetLoad{"b", 40, 1.5, 0}), 20)
	if counts[2] < 15 {
		t.Errorf("of 20 openings only %d left an overloaded failure domain", counts[2])
	}
	counts = placeOpenings(newLoadedTargets(targetLoad{"a", 60, 2.6, 0}, targetLoad{"a", 60, 2.6, 0}, targetLoad{"b", 5, 0.2, 0}), 20)
	if counts[2] > 0 {
		t.Errorf("%d of 20 openings left a failure domain that is busy but not overloaded", counts[2])
	}
}

// A slow target has as many flows as the others, but more requests in progress. It gets
// fewer of the next flows.
func TestChooseAvoidsSlow(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 30, 3.6, 0}, targetLoad{"a", 30, 0.9, 0}, targetLoad{"a", 30, 0.9, 0}), 30)
	if counts[0] > 2 {
		t.Errorf("the slow target got %d of 30 openings", counts[0])
	}
}

// A target that has just started is slower for a while. It must not get a whole burst
// although it is empty.
func TestChooseCold(t *testing.T) {
	counts := placeOpenings(newLoadedTargets(targetLoad{"a", 30, 1, 0}, targetLoad{"a", 30, 1, 0}, targetLoad{"a", 0, 0, 2000}), 60)
	if counts[2] < 20 || counts[2] > 50 {
		t.Errorf("the cold target got %d of 60 openings", counts[2])
	}
}

// A target gets no opening if it was already tried, is suspected, draining or restarting,
// or is not known to be ready.
func TestChooseSkipsUnusable(t *testing.T) {
	ts := newLoadedTargets(targetLoad{"a", 0, 0, 0}, targetLoad{"a", 0, 0, 0})
	first, second := testAddress(2, 0), testAddress(2, 1)
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

// The balancer is paused for seconds while all targets are healthy. Afterwards none may
// count as lost, or their flows would be reset.
func TestPausedBalancerLosesNoTargets(t *testing.T) {
	ts := newLoadedTargets(targetLoad{"a", 0, 0, 0})
	ts.DueProbes(testNow)
	later := testNow + 10*clock.Second
	ts.DueProbes(later)
	if target, _ := ts.Find(testAddress(2, 0)); target.Lost(later) {
		t.Error("target counts as lost after a pause of the balancer")
	}
}

// An agent without a target process is stopped for good, together with its VM. It reports
// that, so that balancers do not wait for its answer on any flow. They do wait for an agent
// that only restarts, but for a bounded time.
func TestStopWithoutTarget(t *testing.T) {
	tr := NewTracker(testNow, TrackerSettings{Service: "one", Heartbeat: 1200, HeartbeatTimeout: 3600, MaxFlows: 10, Epoch: 1})
	for range minFailedDials {
		tr.RecordDial(testNow+1000, Refusing)
	}
	tr.Stop(testNow + 1001)
	balancer := testAddress(1, 0)
	tr.SendReport(testNow+1001, []netip.AddrPort{balancer})
	if r := tr.TakeOutcome().Sends[0].Parcel.Report; r.Condition != wire.Condition_CONDITION_GONE {
		t.Errorf("condition reported by a stopping agent without a target: %v", r.Condition)
	}
	ts := newLoadedTargets(targetLoad{"a", 0, 0, 0})
	target, _ := ts.Find(testAddress(2, 0))
	ts.ApplyReport(testNow, target.Address, &wire.Report{
		Service: "one", Epoch: 1, Sequence: 2, Born: 1, Restarting: true, Condition: wire.Condition_CONDITION_READY,
	})
	for at := testNow; at < testNow+10*clock.Second; at += 50 {
		ts.DueProbes(at)
	}
	if target.Lost(testNow + lostAfter + 500) {
		t.Error("restarting agent counts as lost too early")
	}
	if !target.Lost(testNow + 10*clock.Second) {
		t.Error("agent that does not come back does not count as lost")
	}
}

// Unknown senders report targets from ever new addresses, and balancers name others. The
// number of known targets stays bounded.
func TestTargetsAreBounded(t *testing.T) {
	ts := NewTargets("a", nil, 1)
	for i := range 3 * maxTargets {
		ts.ApplyReport(testNow, testAddress(i>>16, 2*i), &wire.Report{Service: "one", Epoch: 1, Sequence: 1})
		ts.Learn(testNow, testAddress(i>>16, 2*i+1), "t", "a", "one")
	}
	for i := range 3 * maxTargets {
		ts.ApplyReport(testNow, testAddress(9, i), &wire.Report{Epoch: 1, Sequence: 1, Condition: wire.Condition_CONDITION_GONE})
	}
	if ts.Len() > maxTargets || len(ts.departed) > maxTargets {
		t.Errorf("%d targets and %d that left are known, want up to %d", ts.Len(), len(ts.departed), maxTargets)
	}
}

// A target becomes ready a second after all others, which are busy. Each balancer sees one
// idle target and places a few openings before the next report. Together they must not make
// it busier than the others, however many balancers there are.
func TestChooseIdleTargetAmongBusyOnes(t *testing.T) {
	// Twenty flows make it as busy as the others; its share of the rest is a ninth.
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

// A report may contain any load, even an impossible one. Choosing a target must still
// succeed, and quickly.
func TestChooseAnyLoad(t *testing.T) {
	for _, busy := range []float64{0, 1, 1e3, 4e7} {
		for _, balancers := range []int{1, 19, 91} {
			ts := newLoadedTargets(targetLoad{"a", 0, busy, 0}, targetLoad{"a", 1 << 30, 0, 0}, targetLoad{"b", 3, busy, 2000})
			ts.SetBalancers(balancers)
			if counts := placeOpenings(ts, 20); counts[0]+counts[1]+counts[2] != 20 {
				t.Errorf("busy %g, %d balancers: distribution of 20 openings: %v", busy, balancers, counts)
			}
		}
	}
}

// A report may also contain any work and any number of requests in progress.
func TestChooseAnyWork(t *testing.T) {
	values := []float64{0, 1e-3, 30, 4e6}
	for _, work := range values {
		for _, running := range values {
			ts := newLoadedTargets(targetLoad{"a", 5, 9, 0}, targetLoad{"a", 1 << 30, 4e7, 0}, targetLoad{"b", 3, 1, 2000})
			ts.SetBalancers(19)
			for i, target := range ts.Sorted() {
				target.Work, target.Running, target.RunningKnown = work, int(running), true
				if i == 0 {
					target.Work = 30
				}
			}
			if counts := placeOpenings(ts, 20); counts[0]+counts[1]+counts[2] != 20 {
				t.Errorf("work %g, %g requests in progress: distribution of 20 openings: %v", work, running, counts)
			}
		}
	}
}
