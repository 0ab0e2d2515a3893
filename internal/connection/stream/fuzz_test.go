package stream

import (
	"net/netip"
	"os"
	"strconv"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// faultCount is how many faults one seed has, and seeds how many are run.
const (
	faultCount = 25
	seeds      = 60
)

// TestWorld runs flows while everything happens to balancers, agents and
// targets, several times and overlapping.
//
// What a caller must see: a flow whose target lives, on a path that is calm, is
// never reset and never hangs for two seconds; a request goes to no target that
// was acknowledged to drain, and to no service that the table never named.
func TestWorld(t *testing.T) {
	count := seeds
	if more, err := strconv.Atoi(os.Getenv("WAGTAILTRAY_FUZZ")); err == nil {
		count = more
	}
	for seed := range count {
		w := faultyWorld(t, uint64(seed))
		w.run(60 * clock.Second)
		if w.served < 200 {
			w.fail("only %d requests were served", w.served)
		}
		for _, f := range w.failures {
			t.Errorf("seed %d: %s", seed, f)
		}
		if t.Failed() {
			return
		}
	}
}

// planned are the faults that operators plan; flows must outlive all of them.
var planned = []int{0, 2, 4, 8, 13}

// faultyWorld has faults of all kinds, or in each other seed planned ones only.
func faultyWorld(t testing.TB, seed uint64) *world {
	w := newWorld(t, seed, 5, 9, 40)
	for range faultCount {
		kind := w.random.IntN(14)
		if seed%2 == 1 {
			kind = planned[w.random.IntN(len(planned))]
		}
		w.after(clock.Millis(5000+w.random.IntN(40000)), func() { w.fault(kind) })
	}
	return w
}

// fault makes one thing happen.
func (w *world) fault(kind int) {
	b := w.balancers[w.random.IntN(len(w.balancers))]
	a := w.agents[w.random.IntN(len(w.agents))]
	w.note(netip.AddrPort{}, []Event{{Kind: "fault", Count: kind, Target: b.address, Reason: a.address.String()}})
	switch kind {
	case 0:
		w.planRestart(b)
	case 1:
		w.killBalancer(b)
	case 2:
		w.restartAgent(a, true)
	case 3:
		a.until(w.now)
		w.restartAgent(a, false)
	case 4:
		w.drainTarget(a)
	case 5:
		w.crashTarget(a)
	case 6:
		w.loseVM(a)
	case 7:
		w.cutPath(b, a)
	case 8:
		w.setTable(w.table.Version+1, []string{"one", "two"}[w.random.IntN(2)])
	case 9:
		w.freezeBalancer(b)
	case 10:
		w.herd()
	case 11:
		w.spoilTarget(a)
	case 12:
		w.power()
	case 13:
		w.evacuate(b.domain)
	}
}

const (
	// worldOrder is how long an order may take to reach a balancer, and worldOrdered from
	// when on after it nothing may be opened: a balancer that starts has that much time.
	worldOrder   = 400
	worldOrdered = clock.Second
)

// evacuate gives an order for a failure domain, or withdraws it. Balancers hear of it now or
// later, and old lists come late.
func (w *world) evacuate(domain string) {
	last := w.orders[len(w.orders)-1]
	c := evacuation.Change{Domain: domain, Removed: last.Has(domain)}
	next := last.Apply(last.Revision+1, []evacuation.Change{c})
	w.orders = append(w.orders, next)
	delete(w.evacuated, domain)
	if !c.Removed {
		w.evacuated[domain] = w.now
	}
	for _, b := range w.balancers {
		w.hearOrder(b, next)
		w.hearOrder(b, w.orders[w.random.IntN(len(w.orders))])
	}
}

func (w *world) hearOrder(b *worldBalancer, s evacuation.Snapshot) {
	w.after(clock.Millis(w.random.IntN(worldOrder)), func() {
		if b.up {
			b.steerer.TakeEvacuations(w.now, s)
			w.flushBalancer(b)
		}
	})
}

// planRestart stops a balancer that tells the others its owners.
func (w *world) planRestart(b *worldBalancer) {
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
	w.after(w.restartAfter(true), func() { w.startBalancer(b) })
}

func (w *world) killBalancer(b *worldBalancer) {
	if !b.up {
		return
	}
	d := clock.Millis(500 + w.random.IntN(3000))
	b.up = false
	b.until(w.now + d)
	w.after(d, func() { w.startBalancer(b) })
}

// freezeBalancer stops a balancer's time for a while; datagrams wait.
func (w *world) freezeBalancer(b *worldBalancer) {
	if !b.up {
		return
	}
	d := clock.Millis(1000 + w.random.IntN(4000))
	b.up = false
	b.until(w.now + d)
	frozen := b.steerer
	w.after(d, func() {
		if b.steerer != frozen || b.up {
			return
		}
		b.up = true
		var tick func()
		tick = func() {
			if b.steerer == frozen && b.up {
				frozen.Tick(w.now)
				w.settle(b)
				w.flushBalancer(b)
				w.after(20, tick)
			}
		}
		tick()
	})
}

// restartAfter is how soon a process is started again: within a second, now and then at
// once or, after a fault, after many.
func (w *world) restartAfter(planned bool) clock.Millis {
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

// restartAgent starts a new process beside the same target.
func (w *world) restartAgent(a *worldAgent, planned bool) {
	if !a.up {
		return
	}
	if planned {
		a.holder.Stop(w.now)
		var all []netip.AddrPort
		for _, b := range w.balancers {
			all = append(all, b.address)
		}
		a.holder.Tell(w.now, all)
		w.flushAgent(a)
	}
	a.up = false
	w.after(w.restartAfter(planned), func() {
		if !planned {
			a.until(w.now)
		}
		if !a.up {
			w.startAgent(a)
		}
	})
}

// drainTarget ends a target as planned and starts another one beside the same
// agent.
func (w *world) drainTarget(a *worldAgent) {
	t := a.target
	if !t.alive || t.draining {
		return
	}
	t.draining = true
	w.after(6*clock.Second, func() {
		if !t.alive {
			return
		}
		t.alive = false
		if a.up {
			a.holder.Leave(w.now)
			w.flushAgent(a)
		}
		w.after(500, func() { w.startTarget(a) })
	})
}

func (w *world) crashTarget(a *worldAgent) {
	if !a.target.alive {
		return
	}
	a.until(w.now)
	a.target.alive = false
	w.after(clock.Millis(200+w.random.IntN(3000)), func() {
		if !a.target.alive {
			w.startTarget(a)
		}
	})
}

// spoilTarget lets a target fail all requests for a while, with heartbeats as
// before.
func (w *world) spoilTarget(a *worldAgent) {
	t := a.target
	t.faulty, t.mute = w.now+clock.Millis(2000+w.random.IntN(6000)), w.random.IntN(2) == 0
}

// loseVM takes agent and target away; others come later.
func (w *world) loseVM(a *worldAgent) {
	if !a.up || !a.target.alive {
		return
	}
	d := clock.Millis(1000 + w.random.IntN(4000))
	a.until(w.now + d)
	a.up, a.target.alive = false, false
	w.after(d, func() {
		w.startTarget(a)
		w.startAgent(a)
	})
}

func (w *world) cutPath(b *worldBalancer, a *worldAgent) {
	both := [][2]netip.AddrPort{{b.address, a.address}, {a.address, b.address}}
	for _, path := range both {
		w.cut[path] = true
	}
	d := clock.Millis(1000 + w.random.IntN(4000))
	a.until(w.now + d)
	b.until(w.now + d)
	w.after(d, func() {
		for _, path := range both {
			delete(w.cut, path)
		}
	})
}

// herd kills all balancers and agents; the targets live on.
func (w *world) herd() {
	for _, b := range w.balancers {
		w.killBalancer(b)
	}
	for _, a := range w.agents {
		a.until(w.now)
		w.restartAgent(a, false)
	}
}
