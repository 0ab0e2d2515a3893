package model

import (
	"math"
	"math/rand/v2"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Workload configures the flows of a measurement; their lengths are heavy-tailed.
type Workload struct {
	// FlowsPerTarget is the mean number of open flows of a target.
	FlowsPerTarget int
	// MeanLength is the mean length of a flow. Lengths are log-normal.
	MeanLength clock.Millis
	// Sigma is the standard deviation of the lengths' logarithm; 1.5 is
	// heavy-tailed.
	Sigma float64
}

// FlowLengths samples the lengths of flows and the times between their arrivals.
type FlowLengths struct {
	workload Workload
	random   *rand.Rand
}

// NewFlowLengths returns the samples for a seed.
func NewFlowLengths(load Workload, seed uint64) *FlowLengths {
	return &FlowLengths{workload: load, random: rand.New(rand.NewPCG(seed, 5))}
}

// Next samples the length of a new flow.
func (l *FlowLengths) Next() clock.Millis {
	mu := math.Log(float64(l.workload.MeanLength)) - l.workload.Sigma*l.workload.Sigma/2
	return clock.Millis(math.Exp(mu+l.workload.Sigma*l.random.NormFloat64())) + 1
}

// Remaining samples the remaining length of a flow that is open at a random
// moment. Long flows are more likely to be open, and each point of their length
// is equally likely.
func (l *FlowLengths) Remaining() clock.Millis {
	mu := math.Log(float64(l.workload.MeanLength)) + l.workload.Sigma*l.workload.Sigma/2
	length := math.Exp(mu + l.workload.Sigma*l.random.NormFloat64())
	return clock.Millis(length*l.random.Float64()) + 1
}

// ArrivalInterval samples the time to the next arrival, in milliseconds.
func (l *FlowLengths) ArrivalInterval(targets int) float64 {
	rate := float64(l.workload.FlowsPerTarget*targets) / float64(l.workload.MeanLength)
	return l.random.ExpFloat64() / rate
}

// Generator opens flows in a world at random intervals.
type Generator struct {
	world       *World
	lengths     *FlowLengths
	targets     int
	nextArrival float64
}

// NewGenerator fills a world with open flows and then opens more at random
// intervals.
func NewGenerator(w *World, load Workload) *Generator {
	g := &Generator{
		world: w, targets: len(w.Targets),
		lengths: NewFlowLengths(load, w.Options.Seed),
	}
	for range load.FlowsPerTarget * g.targets {
		w.Open(g.lengths.Remaining())
		w.Run(1)
	}
	g.nextArrival = float64(w.Now())
	g.scheduleArrival()
	return g
}

func (g *Generator) scheduleArrival() {
	g.nextArrival += g.lengths.ArrivalInterval(g.targets)
	wait := clock.Millis(g.nextArrival) - g.world.Now()
	g.world.After(max(wait, 0), func() {
		g.Open()
		g.scheduleArrival()
	})
}

// Open opens one more flow.
func (g *Generator) Open() {
	g.world.Open(g.lengths.Next())
}

// BalanceStats collects the imbalance of open flows over time.
type BalanceStats struct {
	ratioSum, variationSum float64
	samples                int
}

// Add records a sample of the open flows of each target.
func (b *BalanceStats) Add(open []int) {
	sum, squares, maximum := 0.0, 0.0, 0
	for _, n := range open {
		sum += float64(n)
		squares += float64(n) * float64(n)
		maximum = max(maximum, n)
	}
	mean := sum / float64(len(open))
	if mean == 0 {
		return
	}
	b.ratioSum += float64(maximum) / mean
	b.variationSum += math.Sqrt(max(squares/float64(len(open))-mean*mean, 0)) / mean
	b.samples++
}

// MaxToMean returns the mean over all samples of the ratio of the maximum to the
// mean.
func (b *BalanceStats) MaxToMean() float64 {
	return b.ratioSum / float64(max(b.samples, 1))
}

// CoefficientOfVariation returns the mean coefficient of variation over all
// samples.
func (b *BalanceStats) CoefficientOfVariation() float64 {
	return b.variationSum / float64(max(b.samples, 1))
}
