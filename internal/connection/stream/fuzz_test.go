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
	count := seedCount
	if more, err := strconv.Atoi(os.Getenv("WAGTAILTRAY_FUZZ")); err == nil {
		count = more
	}
	for seed := range count {
		w := newFaultySimulation(t, uint64(seed))
		w.run(60 * clock.Second)
		if w.served < 200 {
			w.fail("only %d requests were answered", w.served)
		}
		for _, f := range w.failures {
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
	w := newSimulation(t, seed, 5, 9, 40)
	for range faultCount {
		kind := w.random.IntN(14)
		if seed%2 == 1 {
			kind = plannedFaults[w.random.IntN(len(plannedFaults))]
		}
		w.schedule(clock.Millis(5000+w.random.IntN(40000)), func() { w.injectFault(kind) })
	}
	return w
}

// injectFault injects a fault of a kind.
func (w *simulation) injectFault(kind int) {
	b := w.balancers[w.random.IntN(len(w.balancers))]
	a := w.agents[w.random.IntN(len(w.agents))]
	w.traceEvents(netip.AddrPort{}, []Event{{Kind: "fault", Count: kind, Target: b.address, Reason: a.address.String()}})
	switch kind {
	case 0:
		w.restartBalancer(b)
	case 1:
		w.killBalancer(b)
	case 2:
		w.restartAgent(a, true)
	case 3:
		a.extend(w.now)
		w.restartAgent(a, false)
	case 4:
		w.drainTarget(a)
	case 5:
		w.crashTarget(a)
	case 6:
		w.loseVM(a)
	case 7:
		w.blockPath(b, a)
	case 8:
		w.setTable(w.table.Version+1, []string{"one", "two"}[w.random.IntN(2)])
	case 9:
		w.freezeBalancer(b)
	case 10:
		w.killAllProcesses()
	case 11:
		w.failRequests(a)
	case 12:
		w.losePower()
	case 13:
		w.evacuate(b.domain)
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
func (w *simulation) evacuate(domain string) {
	last := w.snapshots[len(w.snapshots)-1]
	c := evacuation.Change{Domain: domain, Removed: last.Has(domain)}
	next := last.Apply(last.Revision+1, []evacuation.Change{c})
	w.snapshots = append(w.snapshots, next)
	delete(w.evacuated, domain)
	if !c.Removed {
		w.evacuated[domain] = w.now
	}
	for _, b := range w.balancers {
		w.sendEvacuations(b, next)
		w.sendEvacuations(b, w.snapshots[w.random.IntN(len(w.snapshots))])
	}
}

func (w *simulation) sendEvacuations(b *simBalancer, s evacuation.Snapshot) {
	w.schedule(clock.Millis(w.random.IntN(simEvacuationDelay)), func() {
		if b.up {
			b.steerer.UpdateEvacuations(w.now, s)
			w.flushBalancer(b)
		}
	})
}

// restartBalancer restarts a balancer that sends its owners to the others first.
func (w *simulation) restartBalancer(b *simBalancer) {
	if !b.up {
		return
	}
	owners := b.steerer.Owners(w.now)
	for _, other := range w.balancers {
		if other != b && other.domain == b.domain && other.up {
			other.steerer.Inherit(w.now, owners)
		}
	}
	b.up = false
	w.schedule(w.restartAfter(true), func() { w.startBalancer(b) })
}

func (w *simulation) killBalancer(b *simBalancer) {
	if !b.up {
		return
	}
	d := clock.Millis(500 + w.random.IntN(3000))
	b.up = false
	b.extend(w.now + d)
	w.schedule(d, func() { w.startBalancer(b) })
}

// freezeBalancer pauses a balancer's process for a while.
func (w *simulation) freezeBalancer(b *simBalancer) {
	if !b.up {
		return
	}
	d := clock.Millis(1000 + w.random.IntN(4000))
	b.up = false
	b.extend(w.now + d)
	frozen := b.steerer
	w.schedule(d, func() {
		if b.steerer != frozen || b.up {
			return
		}
		b.up = true
		var tick func()
		tick = func() {
			if b.steerer == frozen && b.up {
				frozen.Tick(w.now)
				w.updateSettled(b)
				w.flushBalancer(b)
				w.schedule(20, tick)
			}
		}
		tick()
	})
}

// restartAfter returns the delay until a process is restarted: under a second,
// occasionally almost none or, after a fault, many seconds.
func (w *simulation) restartAfter(planned bool) clock.Millis {
	switch w.random.IntN(8) {
	case 0:
		return clock.Millis(10 + w.random.IntN(100))
	case 1:
		if !planned {
			return clock.Millis(1000 + w.random.IntN(9000))
		}
	}
	return clock.Millis(100 + w.random.IntN(500))
}

// restartAgent starts a new agent process beside the same target.
func (w *simulation) restartAgent(a *simAgent, planned bool) {
	if !a.up {
		return
	}
	if planned {
		a.tracker.Stop(w.now)
		var all []netip.AddrPort
		for _, b := range w.balancers {
			all = append(all, b.address)
		}
		a.tracker.SendReport(w.now, all)
		w.flushAgent(a)
	}
	a.up = false
	w.schedule(w.restartAfter(planned), func() {
		if !planned {
			a.extend(w.now)
		}
		if !a.up {
			w.startAgent(a)
		}
	})
}

// drainTarget drains and stops a target, and starts another one beside the same
// agent.
func (w *simulation) drainTarget(a *simAgent) {
	t := a.target
	if !t.alive || t.draining {
		return
	}
	t.draining = true
	w.schedule(6*clock.Second, func() {
		if !t.alive {
			return
		}
		t.alive = false
		if a.up {
			a.tracker.RecordLeave(w.now)
			w.flushAgent(a)
		}
		w.schedule(500, func() { w.startTarget(a) })
	})
}

func (w *simulation) crashTarget(a *simAgent) {
	if !a.target.alive {
		return
	}
	a.extend(w.now)
	a.target.alive = false
	w.schedule(clock.Millis(200+w.random.IntN(3000)), func() {
		if !a.target.alive {
			w.startTarget(a)
		}
	})
}

// failRequests makes a target fail all requests for a while, with heartbeats as
// before.
func (w *simulation) failRequests(a *simAgent) {
	t := a.target
	t.failsUntil, t.unresponsive = w.now+clock.Millis(2000+w.random.IntN(6000)), w.random.IntN(2) == 0
}

// loseVM removes agent and target; replacements start later.
func (w *simulation) loseVM(a *simAgent) {
	if !a.up || !a.target.alive {
		return
	}
	d := clock.Millis(1000 + w.random.IntN(4000))
	a.extend(w.now + d)
	a.up, a.target.alive = false, false
	w.schedule(d, func() {
		w.startTarget(a)
		w.startAgent(a)
	})
}

func (w *simulation) blockPath(b *simBalancer, a *simAgent) {
	both := [][2]netip.AddrPort{{b.address, a.address}, {a.address, b.address}}
	for _, path := range both {
		w.blocked[path] = true
	}
	d := clock.Millis(1000 + w.random.IntN(4000))
	a.extend(w.now + d)
	b.extend(w.now + d)
	w.schedule(d, func() {
		for _, path := range both {
			delete(w.blocked, path)
		}
	})
}

// killAllProcesses kills all balancers and agents; the targets stay alive.
func (w *simulation) killAllProcesses() {
	for _, b := range w.balancers {
		w.killBalancer(b)
	}
	for _, a := range w.agents {
		a.extend(w.now)
		w.restartAgent(a, false)
	}
}
