package measures

import (
	"math/rand/v2"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/internal/standin/timeline"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Baseline is another way to choose and find a flow's target.
type Baseline string

// Baselines.
const (
	// Hashing sends each datagram where consistent hashing over the present
	// targets says, and remembers nothing.
	Hashing Baseline = "hashing by version"
	// Previous asks the target of the previous version as second chance.
	Previous Baseline = "hashing, one previous version"
	// Random and Least choose at the opening, and the balancer that did it
	// remembers; its flows stay with it and are lost with it.
	Random Baseline = "random choice"
	Least  Baseline = "least reported load"
)

// AllBaselines lists them in the order of the page.
var AllBaselines = []Baseline{Hashing, Previous, Random, Least}

// baseline runs one way without delays, losses or late news.
type baseline struct {
	timeline.Timeline
	way      Baseline
	random   *rand.Rand
	targets  []bool // takes openings
	reported []int
	open     []map[uint64]*flow
	previous []bool
	next     uint64
	result   Result
	lie      bool
}

// flow is one open flow of a baseline.
type flow struct {
	id       uint64
	owner    int
	balancer int
	broken   bool
}

// RunBaseline runs a baseline on a case.
func RunBaseline(way Baseline, c Case, seed uint64) Result {
	b := &baseline{way: way, random: rand.New(rand.NewPCG(seed, 7)), lie: c.Scenario == Lies, result: Result{Case: c, Way: string(way)}}
	for range c.Targets {
		b.targets = append(b.targets, true)
		b.reported = append(b.reported, 0)
		b.open = append(b.open, map[uint64]*flow{})
	}
	b.previous = append([]bool(nil), b.targets...)
	lengths := model.NewFlowLengths(model.Workload{FlowsPerTarget: c.PerTarget, MeanLength: mean, Sigma: sigma}, seed)
	for range c.PerTarget * c.Targets {
		b.start(lengths.Remaining())
	}
	b.Every(c.Digest, b.report)
	b.arrive(lengths, c.Targets)
	b.Run(settle)
	plan(c.Scenario, b, c.Targets)
	var balance model.BalanceStats
	for range sampled / sampleGap {
		b.Run(sampleGap)
		balance.Add(b.conns())
	}
	b.result.Ratio, b.result.Variation, b.result.Hops = balance.MaxToMean(), balance.CoefficientOfVariation(), 1
	return b.result
}

func (b *baseline) after(d clock.Millis, do func()) {
	b.After(d, do)
}

func (b *baseline) arrive(l *model.FlowLengths, targets int) {
	b.after(clock.Millis(l.ArrivalInterval(targets)+b.random.Float64()), func() {
		b.start(l.Next())
		b.arrive(l, targets)
	})
}

func (b *baseline) start(length clock.Millis) {
	b.next++
	b.result.Flows++
	f := &flow{id: b.next, balancer: b.random.IntN(balancers)}
	f.owner = b.choose(f.id)
	if f.owner < 0 {
		return
	}
	b.open[f.owner][f.id] = f
	b.after(length, func() { delete(b.open[f.owner], f.id) })
}

func (b *baseline) choose(id uint64) int {
	switch b.way {
	case Random:
		return b.pick(func(int) float64 { return b.random.Float64() })
	case Least:
		return b.pick(func(i int) float64 { return -float64(b.reported[i]) - b.random.Float64() })
	default:
		return b.hashed(b.targets, id)
	}
}

// pick returns the target that takes flows with the highest value.
func (b *baseline) pick(value func(int) float64) int {
	best, high := -1, 0.0
	for i, takes := range b.targets {
		if !takes {
			continue
		}
		if v := value(i); best < 0 || v > high {
			best, high = i, v
		}
	}
	return best
}

func (b *baseline) hashed(targets []bool, id uint64) int {
	best, high := -1, uint64(0)
	for i, takes := range targets {
		if !takes {
			continue
		}
		if v := xxh3.HashSeed([]byte{byte(id), byte(id >> 8), byte(id >> 16), byte(id >> 24)}, uint64(i)); best < 0 || v > high {
			best, high = i, v
		}
	}
	return best
}

func (b *baseline) report() bool {
	for i := range b.open {
		b.reported[i] = len(b.open[i])
		if b.lie && i%2 == 1 {
			b.reported[i] = 0
		}
	}
	return true
}

// changed looks which open flows are still found after the targets changed.
func (b *baseline) changed(before []bool) {
	if b.way == Hashing || b.way == Previous {
		for i := range b.open {
			for _, f := range b.open[i] {
				found := b.hashed(b.targets, f.id) == f.owner ||
					b.way == Previous && b.hashed(before, f.id) == f.owner
				if !found && !f.broken {
					b.lose(f)
				}
			}
		}
	}
	b.previous = before
}

func (b *baseline) lose(f *flow) {
	f.broken = true
	b.result.Broken++
	delete(b.open[f.owner], f.id)
}

func (b *baseline) set(target int, takes bool) {
	before := append([]bool(nil), b.targets...)
	b.targets[target] = takes
	b.changed(before)
}

func (b *baseline) drain(target int, on bool) {
	b.set(target, !on)
}

func (b *baseline) replace(target int) {
	b.set(target, true)
}

func (b *baseline) restartBalancer(n int) {
	if b.way != Random && b.way != Least {
		return
	}
	for i := range b.open {
		for _, f := range b.open[i] {
			if f.balancer == n {
				b.lose(f)
			}
		}
	}
}

func (b *baseline) kill(target int) {
	b.result.Dead = len(b.open[target])
	for _, f := range b.open[target] {
		b.lose(f)
	}
	b.set(target, false)
}

func (b *baseline) add() {
	before := append([]bool(nil), b.targets...)
	b.targets = append(b.targets, true)
	b.reported = append(b.reported, 0)
	b.open = append(b.open, map[uint64]*flow{})
	b.changed(before)
}

func (b *baseline) burst(flows int) {
	for range flows {
		b.start(mean)
	}
}

func (b *baseline) conns() []int {
	var all []int
	for i, takes := range b.targets {
		if takes {
			all = append(all, len(b.open[i]))
		}
	}
	return all
}
