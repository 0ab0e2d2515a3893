package main

import (
	"fmt"
	"sync"
	"time"
)

// pausedFlows are flows that pause while something happens.
type pausedFlows struct {
	all  []*clientFlow
	last map[*clientFlow]string
}

// openPaused opens flows through the balancers in turn and sends a request on each.
func openPaused(c callers, w *world, count int) (*pausedFlows, error) {
	p := &pausedFlows{last: map[*clientFlow]string{}}
	for n := range count {
		i := n % len(w.balancers)
		f := c.of(i).newFlow(uint16(2000+n), kept, w.address(kindBalancer, i, portPackets))
		if ok, _ := f.open(time.Now()); !ok {
			return nil, fmt.Errorf("%w: a flow did not open", errSetup)
		}
		answer, _ := f.ask(fmt.Sprintf("before-%d", n))
		if answer == "" {
			return nil, fmt.Errorf("%w: no answer before the trouble", errSetup)
		}
		p.all = append(p.all, f)
		p.last[f] = answer
	}
	return p, nil
}

// goOn sends the next request on each flow, through the given balancers in turn.
func (p *pausedFlows) goOn(w *world, balancers []int) []string {
	var mu sync.Mutex
	var broken []string
	var running sync.WaitGroup
	for n, f := range p.all {
		f.balancer = w.address(kindBalancer, balancers[n%len(balancers)], portPackets)
		running.Go(func() {
			answer, reset := f.ask(fmt.Sprintf("after-%d", n))
			w.record.add("client: %s through %s: answer %q, reset %v", f.id, f.balancer.Addr(), answer, reset)
			if !reset {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("FLOW: the open flow %s got a reset that its target did not send; its last answer: %s", f.id, p.last[f]))
		})
	}
	running.Wait()
	return broken
}

const (
	// seedDelay is how long after the start of the new balancers the first agent learns of
	// them, and seedSpread how much later the others do. On the bench it is 6 to 8 s.
	seedDelay  = 5500 * time.Millisecond
	seedSpread = 2 * time.Second
)

// replacedBalancers has all balancers leave as planned and others come at new addresses. Flows
// that have paused go on through these when they are in touch.
func replacedBalancers(r *record, trouble bool) ([]string, error) {
	w, err := newWorld(r, program, "za", "zb", "zc")
	if err != nil {
		return nil, err
	}
	defer w.close()
	s, err := startStaleStore(w.address(kindStore, 100, portStore), w.store.Address)
	if err != nil {
		return nil, err
	}
	defer s.close()
	w.storeAddress = w.address(kindStore, 100, portStore)
	if err := w.startFleet(); err != nil {
		return nil, err
	}
	c, err := newCallers(w)
	if err != nil {
		return nil, err
	}
	defer c.close()
	flows, err := openPaused(c, w, 12)
	if err != nil {
		return nil, err
	}
	if !trouble {
		time.Sleep(seedDelay + 3*time.Second)
		return flows.goOn(w, []int{0, 1, 2}), nil
	}
	return w.replace(flows)
}

// replace replaces the balancers and lets the flows go on.
func (w *world) replace(flows *pausedFlows) ([]string, error) {
	var leaving sync.WaitGroup
	for _, b := range w.balancers {
		w.record.add("%s gets SIGTERM and leaves", b.name)
		leaving.Go(b.leave)
	}
	leaving.Wait()
	w.record.add("all balancers have left; others start at new addresses")
	w.firstSeed = len(w.balancers)
	if err := w.startBalancers(); err != nil {
		return nil, err
	}
	started := time.Now()
	time.Sleep(time.Until(started.Add(seedDelay)))
	if err := w.newSeeds(0); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(started.Add(seedDelay + 1200*time.Millisecond)))
	w.record.add("the new balancers have run for %.1f s; the flows go on", time.Since(started).Seconds())
	broken := flows.goOn(w, []int{3, 4, 5})
	time.Sleep(time.Until(started.Add(seedDelay + seedSpread)))
	for i := 1; i < len(w.agents); i++ {
		if err := w.newSeeds(i); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	w.recordLogs(`"event":"settled"`, `"event":"target"`, `"event":"ended"`)
	return broken, nil
}
