package stream

import (
	"net/netip"
	"os"
	"strconv"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// faultCount is the number of faults per seed, and seedCount the number of seeds.
const (
	faultCount = 25
	seedCount  = 60
)

// TestWorld runs flows while faults of all kinds, several and overlapping, affect
// balancers, agents and targets.
//
// A flow whose target is alive, on a path without recent faults, must never be reset and
// never hang for two seconds; no request may go to a target whose drain was acknowledged,
// or to a service that was never in the routing table.
func TestWorld(t *testing.T) {
	t.Parallel()
	count := seedCount
	if more, err := strconv.Atoi(os.Getenv("WAGTAILTRAY_FUZZ")); err == nil {
		count = more
	}
	for seed := range count {
		sim := newFaultySimulation(t, uint64(seed))
		sim.run(60 * clock.Second)
		if sim.served < 200 {
			sim.fail("only %d requests were answered", sim.served)
		}
		for _, f := range sim.failures {
			t.Errorf("seed %d: %s", seed, f)
		}
		if t.Failed() {
			return
		}
	}
}

// plannedFaults are the kinds of faults that operators plan; flows must survive all of them.
var plannedFaults = []int{0, 2, 4, 8, 13}

// newFaultySimulation schedules faults of all kinds, or for every other seed only planned ones.
func newFaultySimulation(t testing.TB, seed uint64) *simulation {
	sim := newSimulation(t, seed, 5, 9, 40)
	for range faultCount {
		kind := sim.random.IntN(14)
		if seed%2 == 1 {
			kind = plannedFaults[sim.random.IntN(len(plannedFaults))]
		}
		sim.schedule(clock.Millis(5000+sim.random.IntN(40000)), func() { sim.injectFault(kind) })
	}
	return sim
}

// injectFault injects a fault of a kind.
func (sim *simulation) injectFault(kind int) {
	b := sim.balancers[sim.random.IntN(len(sim.balancers))]
	a := sim.agents[sim.random.IntN(len(sim.agents))]
	sim.traceEvents(netip.AddrPort{}, []Event{{Kind: "fault", Count: kind, Target: b.address, Reason: a.address.String()}})
	switch kind {
	case 0:
		sim.restartBalancer(b)
	case 1:
		sim.killBalancer(b)
	case 2:
		sim.restartAgent(a, true)
	case 3:
		a.extend(sim.now)
		sim.restartAgent(a, false)
	case 4:
		sim.drainTarget(a)
	case 5:
		sim.crashTarget(a)
	case 6:
		sim.loseVM(a)
	case 7:
		sim.blockPath(b, a)
	case 8:
		sim.setTable(sim.table.Version+1, []string{"one", "two"}[sim.random.IntN(2)])
	case 9:
		sim.freezeBalancer(b)
	case 10:
		sim.killAllProcesses()
	case 11:
		sim.failRequests(a)
	case 12:
		sim.losePower()
	case 13:
		sim.evacuate(b.domain)
	}
}

const (
	// simEvacuationDelay is the maximum delay until a balancer learns of an evacuation, and
	// simEvacuationGrace the time after which no flow may be opened in the domain: a balancer
	// that starts has that much time.
	simEvacuationDelay = 400
	simEvacuationGrace = clock.Second
)

// evacuate starts the evacuation of a failure domain, or withdraws it. Balancers learn of it
// after different delays, and outdated snapshots arrive late.
func (sim *simulation) evacuate(domain string) {
	last := sim.snapshots[len(sim.snapshots)-1]
	c := evacuation.Change{Domain: domain, Removed: last.Has(domain)}
	next := last.Apply(last.Revision+1, []evacuation.Change{c})
	sim.snapshots = append(sim.snapshots, next)
	delete(sim.evacuated, domain)
	if !c.Removed {
		sim.evacuated[domain] = sim.now
	}
	for _, b := range sim.balancers {
		sim.sendEvacuations(b, next)
		sim.sendEvacuations(b, sim.snapshots[sim.random.IntN(len(sim.snapshots))])
	}
}

func (sim *simulation) sendEvacuations(b *simBalancer, s evacuation.Snapshot) {
	sim.schedule(clock.Millis(sim.random.IntN(simEvacuationDelay)), func() {
		if b.up {
			b.steerer.UpdateEvacuations(sim.now, s)
			sim.flushBalancer(b)
		}
	})
}

// restartBalancer restarts a balancer that sends its owners to the others first.
func (sim *simulation) restartBalancer(b *simBalancer) {
	if !b.up {
		return
	}
	owners := b.steerer.Owners(sim.now)
	for _, other := range sim.balancers {
		if other != b && other.domain == b.domain && other.up {
			other.steerer.AddOwners(sim.now, owners)
		}
	}
	b.up = false
	sim.schedule(sim.restartAfter(true), func() { sim.startBalancer(b) })
}

func (sim *simulation) killBalancer(b *simBalancer) {
	if !b.up {
		return
	}
	d := clock.Millis(500 + sim.random.IntN(3000))
	b.up = false
	b.extend(sim.now + d)
	sim.schedule(d, func() { sim.startBalancer(b) })
}

// freezeBalancer pauses a balancer's process for a while.
func (sim *simulation) freezeBalancer(b *simBalancer) {
	if !b.up {
		return
	}
	d := clock.Millis(1000 + sim.random.IntN(4000))
	b.up = false
	b.extend(sim.now + d)
	frozen := b.steerer
	sim.schedule(d, func() {
		if b.steerer != frozen || b.up {
			return
		}
		b.up = true
		var tick func()
		tick = func() {
			if b.steerer == frozen && b.up {
				frozen.Tick(sim.now)
				sim.updateSettled(b)
				sim.flushBalancer(b)
				sim.schedule(20, tick)
			}
		}
		tick()
	})
}

// restartAfter returns the delay until a process is restarted: under a second,
// occasionally almost none or, after a fault, many seconds.
func (sim *simulation) restartAfter(planned bool) clock.Millis {
	switch sim.random.IntN(8) {
	case 0:
		return clock.Millis(10 + sim.random.IntN(100))
	case 1:
		if !planned {
			return clock.Millis(1000 + sim.random.IntN(9000))
		}
	}
	return clock.Millis(100 + sim.random.IntN(500))
}

// restartAgent starts a new agent process beside the same target.
func (sim *simulation) restartAgent(a *simAgent, planned bool) {
	if !a.up {
		return
	}
	if planned {
		a.tracker.Stop(sim.now)
		var all []netip.AddrPort
		for _, b := range sim.balancers {
			all = append(all, b.address)
		}
		a.tracker.SendReport(sim.now, all)
		sim.flushAgent(a)
	}
	a.up = false
	sim.schedule(sim.restartAfter(planned), func() {
		if !planned {
			a.extend(sim.now)
		}
		if !a.up {
			sim.startAgent(a)
		}
	})
}

// drainTarget drains and stops a target, and starts another one beside the same
// agent.
func (sim *simulation) drainTarget(a *simAgent) {
	t := a.target
	if !t.alive || t.draining {
		return
	}
	t.draining = true
	sim.schedule(6*clock.Second, func() {
		if !t.alive {
			return
		}
		t.alive = false
		if a.up {
			a.tracker.RecordLeave(sim.now)
			sim.flushAgent(a)
		}
		sim.schedule(500, func() { sim.startTarget(a) })
	})
}

func (sim *simulation) crashTarget(a *simAgent) {
	if !a.target.alive {
		return
	}
	a.extend(sim.now)
	a.target.alive = false
	sim.schedule(clock.Millis(200+sim.random.IntN(3000)), func() {
		if !a.target.alive {
			sim.startTarget(a)
		}
	})
}

// failRequests makes a target fail all requests for a while, with heartbeats as
// before.
func (sim *simulation) failRequests(a *simAgent) {
	t := a.target
	t.failsUntil, t.unresponsive = sim.now+clock.Millis(2000+sim.random.IntN(6000)), sim.random.IntN(2) == 0
}

// loseVM removes agent and target; replacements start later.
func (sim *simulation) loseVM(a *simAgent) {
	if !a.up || !a.target.alive {
		return
	}
	d := clock.Millis(1000 + sim.random.IntN(4000))
	a.extend(sim.now + d)
	a.up, a.target.alive = false, false
	sim.schedule(d, func() {
		sim.startTarget(a)
		sim.startAgent(a)
	})
}

func (sim *simulation) blockPath(b *simBalancer, a *simAgent) {
	both := [][2]netip.AddrPort{{b.address, a.address}, {a.address, b.address}}
	for _, path := range both {
		sim.blocked[path] = true
	}
	d := clock.Millis(1000 + sim.random.IntN(4000))
	a.extend(sim.now + d)
	b.extend(sim.now + d)
	sim.schedule(d, func() {
		for _, path := range both {
			delete(sim.blocked, path)
		}
	})
}

// killAllProcesses kills all balancers and agents; the targets stay alive.
func (sim *simulation) killAllProcesses() {
	for _, b := range sim.balancers {
		sim.killBalancer(b)
	}
	for _, a := range sim.agents {
		a.extend(sim.now)
		sim.restartAgent(a, false)
	}
}
