// Package measures compares the project's decisions with baselines on the same
// load: how many flows break, and how evenly open flows are balanced over the targets.
//
// # The model
//
// A Case is a service of a deployment and a scenario. The project's own
// decisions run in a simulation with delay, jitter, loss and late updates. The
// comparison favours the baselines: they see every change at once and lose no
// datagram.
//
// # Usage
//
//	rows := measures.Run(measures.Cases(perTarget), seeds, workers, progress)
//	weights := measures.RunWeights(perTarget, seeds, workers)
//	page := measures.Page(rows, weights, seeds, perTarget)
package measures

import (
	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Scenario is the change or fault that a service is exposed to.
type Scenario string

// Scenarios.
const (
	Steady            Scenario = "steady"
	TargetsReplaced   Scenario = "targets replaced"
	BalancersReplaced Scenario = "balancers replaced"
	BothReplaced      Scenario = "both replaced"
	TargetCrash       Scenario = "sudden death"
	FalseReports      Scenario = "lying reports"
	Burst             Scenario = "burst on a cold target"
)

// Scenarios lists the scenarios in the order of the page.
var Scenarios = []Scenario{Steady, TargetsReplaced, BalancersReplaced, BothReplaced, TargetCrash, FalseReports, Burst}

// Case is one service under one scenario.
type Case struct {
	Deployment string
	Service    string
	Scenario   Scenario
	Targets    int
	// PerTarget is the mean number of open flows of a target.
	PerTarget      int
	Delay          clock.Millis
	DigestInterval clock.Millis
}

// Parameters of the load. The number of flows is as required; the flows are shorter
// than real ones, so that several generations fit into a run. As the digest interval
// is the one of production, balancing is harder here than it will be there.
const (
	meanFlowLength      = 120 * clock.Second
	flowLengthSigma     = 1.5
	settleTime          = 2 * clock.Minute
	sampleTime          = 4 * clock.Minute
	sampleInterval      = clock.Second
	balancerCount       = 6
	maxPropagationDelay = 500 * clock.Millis(1)
	rampTime            = 10 * clock.Second
)

// Cases returns the services of both deployments under every scenario.
func Cases(perTarget int) []Case {
	var all []Case
	services := []Case{
		{Deployment: "valuvorm", Service: "quote-session", Targets: 7, Delay: 3, DigestInterval: 500},
		{Deployment: "valuvorm", Service: "drawing-export", Targets: 3, Delay: 3, DigestInterval: 500},
		{Deployment: "porto", Service: "atelier", Targets: 7, Delay: 5, DigestInterval: 250},
		{Deployment: "porto", Service: "vitrine", Targets: 3, Delay: 5, DigestInterval: 250},
	}
	for _, s := range services {
		for _, scenario := range Scenarios {
			s.Scenario, s.PerTarget = scenario, perTarget
			all = append(all, s)
		}
	}
	return all
}

// Result is the outcome of one algorithm in one case and one run.
type Result struct {
	Case      Case
	Algorithm string
	// Broken counts the broken flows of Flows, CrashLosses those lost with a
	// crashed target, which no algorithm can save.
	Flows, Broken, CrashLosses int
	Imbalance, Variation       float64
	// HopsPerDatagram is the number of tunnel datagrams per datagram of a caller.
	HopsPerDatagram float64
	// Doubled flows were opened at two targets.
	Doubled int
}

// Wagtailtray is the name of the project's own algorithm.
const Wagtailtray = "wagtailtray"

// RunWagtailtray simulates the project's own algorithm.
func RunWagtailtray(c Case, seed uint64) Result {
	w := model.New(model.Options{
		Seed: seed, Targets: c.Targets, Balancers: balancerCount, Delay: c.Delay, Jitter: 2, Loss: 0.001,
		MaxPropagationDelay: maxPropagationDelay, DigestInterval: c.DigestInterval, NoRequests: true, RampTime: rampTime, FalseReports: c.Scenario == FalseReports,
	})
	g := model.NewGenerator(w, model.Workload{FlowsPerTarget: c.PerTarget, MeanLength: meanFlowLength, Sigma: flowLengthSigma})
	w.Run(settleTime)
	crashLosses := 0
	scheduleScenario(c.Scenario, &modelActions{world: w, generator: g, crashLosses: &crashLosses}, c.Targets)
	var b model.BalanceStats
	for range sampleTime / sampleInterval {
		w.Run(sampleInterval)
		b.Add(w.Conns())
	}
	v := w.Verdict()
	return Result{
		Case: c, Algorithm: Wagtailtray, Flows: v.Flows, Broken: crashLosses + w.UnansweredFlows(), CrashLosses: crashLosses, Imbalance: b.MaxToMean(), Variation: b.CoefficientOfVariation(),
		HopsPerDatagram: float64(w.Hops) / float64(max(w.Datagrams, 1)), Doubled: v.Doubled,
	}
}

// refillThreshold is the imbalance below which a joined target counts as filled.
const refillThreshold = 1.02

// MeasureRefill returns the time, in mean flow lengths, until the imbalance is low
// again after an empty, warm target has joined, and the minimum time: if every new
// flow went there and none of its own ended.
func MeasureRefill(c Case, seed uint64) (took, minimum float64) {
	w := model.New(model.Options{
		Seed: seed, Targets: c.Targets, Balancers: balancerCount, Delay: c.Delay, Jitter: 2, Loss: 0.001,
		MaxPropagationDelay: maxPropagationDelay, DigestInterval: c.DigestInterval, NoRequests: true,
	})
	model.NewGenerator(w, model.Workload{FlowsPerTarget: c.PerTarget, MeanLength: meanFlowLength, Sigma: flowLengthSigma})
	w.Run(settleTime)
	w.Add("joined")
	// The target opens no flows while it is joining.
	w.Run(owner.MaxPropagationDelay)
	start := w.Now()
	for w.Now().Sub(start) < 2*meanFlowLength {
		w.Run(sampleInterval)
		var b model.BalanceStats
		b.Add(w.Conns())
		if b.MaxToMean() < refillThreshold {
			break
		}
	}
	return float64(w.Now().Sub(start)) / float64(meanFlowLength), 1 / float64(c.Targets+1)
}

// scenarioActions applies the changes of a scenario to the model or to a baseline.
type scenarioActions interface {
	schedule(d clock.Millis, do func())
	drain(target int, on bool)
	// replace restarts a drained target and ends its drain.
	replace(target int)
	restartBalancer(n int)
	kill(target int)
	// addTarget adds an empty, cold target.
	addTarget()
	burst(flows int)
}

// scheduleScenario schedules the changes of a scenario over the sample time.
func scheduleScenario(s Scenario, c scenarioActions, targets int) {
	step := sampleTime / clock.Millis(targets+1)
	switch s {
	case TargetsReplaced:
		rollTargets(c, targets, step)
	case BalancersReplaced:
		rollBalancers(c, step)
	case BothReplaced:
		rollTargets(c, targets, step)
		rollBalancers(c, step)
	case TargetCrash:
		c.schedule(step, func() { c.kill(0) })
	case Burst:
		c.schedule(step, func() {
			c.addTarget()
			c.burst(burstFlows)
		})
	}
}

const burstFlows = 500

// rollTargets drains the targets one after the other, restarts each agent in the
// middle of its drain, and ends the drain.
func rollTargets(c scenarioActions, targets int, step clock.Millis) {
	for i := range targets {
		c.schedule(clock.Millis(i)*step, func() { c.drain(i, true) })
		c.schedule(clock.Millis(i)*step+step/2, func() { c.replace(i) })
	}
}

func rollBalancers(c scenarioActions, step clock.Millis) {
	for i := range balancerCount {
		c.schedule(clock.Millis(i)*step, func() { c.restartBalancer(i) })
	}
}
