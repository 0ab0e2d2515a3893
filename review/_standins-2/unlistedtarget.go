package main

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

// Times of the case. One machine at a time is taken away, as long after the one before as the
// shortest pause between steps of planned work on the site's standard days.
const (
	removalGap = 1100 * time.Millisecond
	// joinLead is how long before the last removal the new target starts.
	joinLead = 300 * time.Millisecond
	// restartAfter is how long after the last removal the frontend that stays is restarted.
	restartAfter = removalGap
	// observeTime is how long clients are watched after that.
	observeTime = 14 * time.Second
)

// Machines of the case: the balancers that leave, in order, and the one that stays. The last one
// to leave is the last of the zone in which a target is added.
var (
	leavingBalancers = []int{5, 1, 4, 3, 0}
	stayingBalancer  = 2
)

// unlistedTarget shows what happens to the open flows of a target that was added shortly before
// the last frontend of its zone left, if the only other frontend is restarted then.
func unlistedTarget(rec *record, trouble bool) (int, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return notRun, err
	}
	defer d.close()
	if err := d.putConfiguration(1); err != nil {
		return notRun, err
	}
	if err := d.startSystem(layout{balancersPerZone: 2, targetsPerZone: 2}, direct); err != nil {
		return notRun, err
	}
	if !d.awaitRotation(15 * time.Second) {
		return notRun, errors.New("the balancers are not in rotation")
	}
	x := &unlistedTargetRun{d: d}
	if err := d.startClients(2, 240, 4, 4*time.Second, x.judge); err != nil {
		return notRun, err
	}
	return x.run(trouble)
}

// unlistedTargetRun is the state of a run.
type unlistedTargetRun struct {
	d *deployment

	mu     sync.Mutex
	added  *target
	resets int
	lost   int
}

// judge counts a reset that the system sends on an open flow of the added target, which lives.
func (x *unlistedTargetRun) judge(f *clientFlow, p *packet) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.added == nil {
		return
	}
	open, since := x.added.holds(f.id)
	waiting, accepted := f.accepts(p)
	if !open || !accepted {
		return
	}
	x.resets++
	if waiting != "" {
		x.lost++
	}
	x.d.rec.printf("BROKEN FLOW: flow %s, open at %s for %.1f s, is reset by the system; request that waits: %q",
		f.id.client, x.added.id, time.Since(since).Seconds(), waiting)
}

func (x *unlistedTargetRun) run(trouble bool) (int, error) {
	d, rec := x.d, x.d.rec
	time.Sleep(6 * time.Second)
	last := leavingBalancers[len(leavingBalancers)-1]
	for _, i := range leavingBalancers[:len(leavingBalancers)-1] {
		x.remove(i, trouble)
		time.Sleep(removalGap)
	}
	if err := x.addTarget(); err != nil {
		return notRun, err
	}
	time.Sleep(joinLead)
	x.remove(last, trouble)
	time.Sleep(restartAfter)
	rec.say("planned work: %s is stopped and started", d.balancers[stayingBalancer].name)
	d.balancers[stayingBalancer].signal(syscall.SIGTERM)
	time.Sleep(observeTime)
	d.traceLogs(d.balancers[stayingBalancer], d.balancers[last], d.agents[len(d.agents)-1])
	x.mu.Lock()
	defer x.mu.Unlock()
	sent, answered, resets, failed := d.totals()
	rec.say("requests sent %d, answered %d; flows reset %d, flows or requests without an answer %d", sent, answered, resets, failed)
	rec.say("FLOW: %d open flows of the living target were reset by the system, %d of them while a request waited", x.resets, x.lost)
	if x.resets > 0 {
		return broken, nil
	}
	return held, nil
}

// remove takes a frontend away; without the trouble it stays.
func (x *unlistedTargetRun) remove(index int, trouble bool) {
	d, p := x.d, x.d.balancers[index]
	if !trouble {
		return
	}
	d.rec.say("planned work: %s leaves", p.name)
	go func() {
		p.leave()
		d.fabric.remove(d.at(kindFrontend, index, d.ports.packets))
	}()
}

// addTarget adds a machine with a target, in the zone of the last frontend that leaves.
func (x *unlistedTargetRun) addTarget() error {
	d := x.d
	index := len(d.targets)
	d.rec.say("planned work: a target is added in %s", zoneOf(index))
	if err := d.addTarget(index, index+1, direct); err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.added = d.targets[index]
	return nil
}
