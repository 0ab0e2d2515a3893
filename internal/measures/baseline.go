package measures

import (
	"math/rand/v2"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/internal/standin/timeline"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Baseline is another algorithm that chooses and finds the target of a flow.
type Baseline string

// Baselines.
const (
	// Hashing sends each datagram by consistent hashing over the current targets
	// and keeps no state.
	Hashing Baseline = "hashing by version"
	// HashingWithPrevious also tries the target of the previous version.
	HashingWithPrevious Baseline = "hashing, one previous version"
	// RandomChoice and LeastLoad choose when a flow opens. The balancer that chose
	// keeps the flow in memory; its flows are lost with it.
	RandomChoice Baseline = "random choice"
	LeastLoad    Baseline = "least reported load"
)

// AllBaselines lists the baselines in the order of the page.
var AllBaselines = []Baseline{Hashing, HashingWithPrevious, RandomChoice, LeastLoad}

// baselineSim simulates one baseline without delay, loss or stale state.
type baselineSim struct {
	timeline.Timeline
	algorithm    Baseline
	random       *rand.Rand
	accepting    []bool // by target: accepts new flows
	reportedLoad []int
	openFlows    []map[uint64]*flow
	previous     []bool
	lastID       uint64
	result       Result
	falseReports bool
}

// flow is one open flow of a baseline.
type flow struct {
	id       uint64
	owner    int
	balancer int
	broken   bool
}

// RunBaseline runs a baseline on a case.
func RunBaseline(algorithm Baseline, c Case, seed uint64) Result {
	b := &baselineSim{algorithm: algorithm, random: rand.New(rand.NewPCG(seed, 7)), falseReports: c.Scenario == FalseReports, result: Result{Case: c, Algorithm: string(algorithm)}}
	for range c.Targets {
		b.accepting = append(b.accepting, true)
		b.reportedLoad = append(b.reportedLoad, 0)
		b.openFlows = append(b.openFlows, map[uint64]*flow{})
	}
	b.previous = append([]bool(nil), b.accepting...)
	lengths := model.NewFlowLengths(model.Workload{FlowsPerTarget: c.PerTarget, MeanLength: meanFlowLength, Sigma: flowLengthSigma}, seed)
	for range c.PerTarget * c.Targets {
		b.openFlow(lengths.Remaining())
	}
	b.Every(c.DigestInterval, b.reportLoad)
	b.scheduleArrivals(lengths, c.Targets)
	b.Run(settleTime)
	scheduleScenario(c.Scenario, b, c.Targets)
	var balance model.BalanceStats
	for range sampleTime / sampleInterval {
		b.Run(sampleInterval)
		balance.Add(b.flowCounts())
	}
	b.result.Imbalance, b.result.Variation, b.result.HopsPerDatagram = balance.MaxToMean(), balance.CoefficientOfVariation(), 1
	return b.result
}

func (b *baselineSim) schedule(d clock.Millis, do func()) {
	b.After(d, do)
}

// scheduleArrivals opens flows at random intervals.
func (b *baselineSim) scheduleArrivals(l *model.FlowLengths, targets int) {
	b.schedule(clock.Millis(l.ArrivalInterval(targets)+b.random.Float64()), func() {
		b.openFlow(l.Next())
		b.scheduleArrivals(l, targets)
	})
}

func (b *baselineSim) openFlow(length clock.Millis) {
	b.lastID++
	b.result.Flows++
	f := &flow{id: b.lastID, balancer: b.random.IntN(balancerCount)}
	f.owner = b.chooseTarget(f.id)
	if f.owner < 0 {
		return
	}
	b.openFlows[f.owner][f.id] = f
	b.schedule(length, func() { delete(b.openFlows[f.owner], f.id) })
}

func (b *baselineSim) chooseTarget(id uint64) int {
	switch b.algorithm {
	case RandomChoice:
		return b.highestScore(func(int) float64 { return b.random.Float64() })
	case LeastLoad:
		return b.highestScore(func(i int) float64 { return -float64(b.reportedLoad[i]) - b.random.Float64() })
	default:
		return b.hashTarget(b.accepting, id)
	}
}

// highestScore returns the target with the highest score among those that accept
// flows, or -1.
func (b *baselineSim) highestScore(score func(int) float64) int {
	best, high := -1, 0.0
	for i, accepts := range b.accepting {
		if !accepts {
			continue
		}
		if v := score(i); best < 0 || v > high {
			best, high = i, v
		}
	}
	return best
}

// hashTarget returns the target with the highest hash for the flow, or -1.
func (b *baselineSim) hashTarget(targets []bool, id uint64) int {
	best, high := -1, uint64(0)
	for i, accepts := range targets {
		if !accepts {
			continue
		}
		if v := xxh3.HashSeed([]byte{byte(id), byte(id >> 8), byte(id >> 16), byte(id >> 24)}, uint64(i)); best < 0 || v > high {
			best, high = i, v
		}
	}
	return best
}

func (b *baselineSim) reportLoad() bool {
	for i := range b.openFlows {
		b.reportedLoad[i] = len(b.openFlows[i])
		if b.falseReports && i%2 == 1 {
			b.reportedLoad[i] = 0
		}
	}
	return true
}

// targetsChanged breaks the open flows that are no longer found after a change of the targets.
func (b *baselineSim) targetsChanged(before []bool) {
	if b.algorithm == Hashing || b.algorithm == HashingWithPrevious {
		for i := range b.openFlows {
			for _, f := range b.openFlows[i] {
				found := b.hashTarget(b.accepting, f.id) == f.owner ||
					b.algorithm == HashingWithPrevious && b.hashTarget(before, f.id) == f.owner
				if !found && !f.broken {
					b.breakFlow(f)
				}
			}
		}
	}
	b.previous = before
}

func (b *baselineSim) breakFlow(f *flow) {
	f.broken = true
	b.result.Broken++
	delete(b.openFlows[f.owner], f.id)
}

func (b *baselineSim) setAccepting(target int, accepts bool) {
	before := append([]bool(nil), b.accepting...)
	b.accepting[target] = accepts
	b.targetsChanged(before)
}

func (b *baselineSim) drain(target int, on bool) {
	b.setAccepting(target, !on)
}

func (b *baselineSim) replace(target int) {
	b.setAccepting(target, true)
}

func (b *baselineSim) restartBalancer(n int) {
	if b.algorithm != RandomChoice && b.algorithm != LeastLoad {
		return
	}
	for i := range b.openFlows {
		for _, f := range b.openFlows[i] {
			if f.balancer == n {
				b.breakFlow(f)
			}
		}
	}
}

func (b *baselineSim) kill(target int) {
	b.result.CrashLosses = len(b.openFlows[target])
	for _, f := range b.openFlows[target] {
		b.breakFlow(f)
	}
	b.setAccepting(target, false)
}

func (b *baselineSim) addTarget() {
	before := append([]bool(nil), b.accepting...)
	b.accepting = append(b.accepting, true)
	b.reportedLoad = append(b.reportedLoad, 0)
	b.openFlows = append(b.openFlows, map[uint64]*flow{})
	b.targetsChanged(before)
}

func (b *baselineSim) burst(flows int) {
	for range flows {
		b.openFlow(meanFlowLength)
	}
}

func (b *baselineSim) flowCounts() []int {
	var all []int
	for i, accepts := range b.accepting {
		if accepts {
			all = append(all, len(b.openFlows[i]))
		}
	}
	return all
}
