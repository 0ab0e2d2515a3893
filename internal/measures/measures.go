// Package measures compares the project's decisions with baselines on the same
// work: how many flows break, and how evenly open flows lie on the targets.
//
// # The model
//
// A Case is a service of a deployment and a scenario. The project's own
// decisions run in a model world with delays, jitter, loss and late news. The
// baselines are given the better of it: they see every change at once, and no
// datagram of theirs is lost.
//
// # Usage
//
//	results, err := measures.Run(measures.Cases(), seeds, progress)
//	page := measures.Page(results)
package measures

import (
	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Scenario is what happens to a service.
type Scenario string

// Scenarios.
const (
	Steady    Scenario = "steady"
	Targets   Scenario = "targets replaced"
	Balancers Scenario = "balancers replaced"
	Both      Scenario = "both replaced"
	Death     Scenario = "sudden death"
	Lies      Scenario = "lying reports"
	Burst     Scenario = "burst on a cold target"
)

// Scenarios lists them in the order of the page.
var Scenarios = []Scenario{Steady, Targets, Balancers, Both, Death, Lies, Burst}

// Case is one service under one scenario.
type Case struct {
	Deployment string
	Service    string
	Scenario   Scenario
	Targets    int
	// PerTarget is the mean number of open flows of a target.
	PerTarget int
	Delay     clock.Millis
	Digest    clock.Millis
}

// Sizes of the work. Flows are as many as the brief's; they are shorter, so
// that several generations fit into a run, and the digests' interval is the
// products' own, which makes balancing harder than it will be.
const (
	mean      = 120 * clock.Second
	sigma     = 1.5
	settle    = 2 * clock.Minute
	sampled   = 4 * clock.Minute
	sampleGap = clock.Second
	balancers = 6
	spread    = 500 * clock.Millis(1)
	ramp      = 10 * clock.Second
)

// Cases returns the services of both deployments under every scenario.
func Cases(perTarget int) []Case {
	var all []Case
	services := []Case{
		{Deployment: "valuvorm", Service: "quote-session", Targets: 7, Delay: 3, Digest: 500},
		{Deployment: "valuvorm", Service: "drawing-export", Targets: 3, Delay: 3, Digest: 500},
		{Deployment: "porto", Service: "atelier", Targets: 7, Delay: 5, Digest: 250},
		{Deployment: "porto", Service: "vitrine", Targets: 3, Delay: 5, Digest: 250},
	}
	for _, s := range services {
		for _, scenario := range Scenarios {
			s.Scenario, s.PerTarget = scenario, perTarget
			all = append(all, s)
		}
	}
	return all
}

// Result is what one way of choosing gave in one case and one run.
type Result struct {
	Case Case
	Way  string
	// Broken flows of Flows; Dead is how many a dead target took with it,
	// which no way can save.
	Flows, Broken, Dead int
	Ratio, Variation    float64
	// Hops is the tunnel datagrams for each datagram of a caller.
	Hops float64
	// Doubled flows were opened at two targets.
	Doubled int
}

// Ours is the name of the project's own way.
const Ours = "wagtailtray"

// RunOurs runs the project's decisions.
func RunOurs(c Case, seed uint64) Result {
	w := model.New(model.Options{
		Seed: seed, Targets: c.Targets, Balancers: balancers, Delay: c.Delay, Jitter: 2, Loss: 0.001,
		MaxPropagationDelay: spread, DigestInterval: c.Digest, NoRequests: true, RampTime: ramp, FalseReports: c.Scenario == Lies,
	})
	g := model.NewGenerator(w, model.Workload{FlowsPerTarget: c.PerTarget, MeanLength: mean, Sigma: sigma})
	w.Run(settle)
	dead := 0
	plan(c.Scenario, &worldChanges{world: w, generator: g, dead: &dead}, c.Targets)
	var b model.BalanceStats
	for range sampled / sampleGap {
		w.Run(sampleGap)
		b.Add(w.Conns())
	}
	v := w.Verdict()
	return Result{
		Case: c, Way: Ours, Flows: v.Flows, Broken: dead + w.UnansweredFlows(), Dead: dead, Ratio: b.MaxToMean(), Variation: b.CoefficientOfVariation(),
		Hops: float64(w.Hops) / float64(max(w.Datagrams, 1)), Doubled: v.Doubled,
	}
}

// refilled is the imbalance below which a target that joined counts as filled.
const refilled = 1.02

// Refill returns how long it takes, in mean lengths of a flow, until the
// imbalance is low again after an empty, warm target has joined, and how long it
// would take if every new flow went there and none of its own ended.
func Refill(c Case, seed uint64) (took, least float64) {
	w := model.New(model.Options{
		Seed: seed, Targets: c.Targets, Balancers: balancers, Delay: c.Delay, Jitter: 2, Loss: 0.001,
		MaxPropagationDelay: spread, DigestInterval: c.Digest, NoRequests: true,
	})
	model.NewGenerator(w, model.Workload{FlowsPerTarget: c.PerTarget, MeanLength: mean, Sigma: sigma})
	w.Run(settle)
	w.Add("joined")
	// It opens flows from the end of its joining on.
	w.Run(owner.NewsLag)
	start := w.Now()
	for w.Now().Sub(start) < 2*mean {
		w.Run(sampleGap)
		var b model.BalanceStats
		b.Add(w.Conns())
		if b.MaxToMean() < refilled {
			break
		}
	}
	return float64(w.Now().Sub(start)) / float64(mean), 1 / float64(c.Targets+1)
}

// changes is what a scenario does, to a world or to a baseline.
type changes interface {
	after(d clock.Millis, do func())
	drain(target int, on bool)
	// replace puts an empty target in the place of a drained one.
	replace(target int)
	restartBalancer(n int)
	kill(target int)
	// add lets an empty, cold target join.
	add()
	burst(flows int)
}

// plan schedules a scenario's changes over the sampled time.
func plan(s Scenario, c changes, targets int) {
	step := sampled / clock.Millis(targets+1)
	switch s {
	case Targets:
		rollTargets(c, targets, step)
	case Balancers:
		rollBalancers(c, step)
	case Both:
		rollTargets(c, targets, step)
		rollBalancers(c, step)
	case Death:
		c.after(step, func() { c.kill(0) })
	case Burst:
		c.after(step, func() {
			c.add()
			c.burst(burstFlows)
		})
	}
}

const burstFlows = 500

// rollTargets drains one target after the other, restarts its agent in the
// middle of the drain, and lets it serve again.
func rollTargets(c changes, targets int, step clock.Millis) {
	for i := range targets {
		c.after(clock.Millis(i)*step, func() { c.drain(i, true) })
		c.after(clock.Millis(i)*step+step/2, func() { c.replace(i) })
	}
}

func rollBalancers(c changes, step clock.Millis) {
	for i := range balancers {
		c.after(clock.Millis(i)*step, func() { c.restartBalancer(i) })
	}
}
