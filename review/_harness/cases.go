package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const program = "target/node"

var (
	kept    = netip.MustParseAddrPort("198.18.0.1:443")
	dropped = netip.MustParseAddrPort("198.18.0.2:443")
)

// lateRun returns how the rule CONFIG was broken if a request on the dropped route was run
// although it was sent later than bound after the acknowledgement.
func lateRun(o outcome, acked time.Time, bound time.Duration, through string) []string {
	if o.answer == "" || o.sentAt.Sub(acked) <= bound {
		return nil
	}
	return []string{fmt.Sprintf(
		"CONFIG: a request sent %.2f s after the acknowledgement of the version that drops its route was run, through %s: %s",
		o.sentAt.Sub(acked).Seconds(), through, o.answer)}
}

// startFleet starts balancers, one for each entry of zones, and a target with its agent in
// each of three zones.
func startFleet(r *record, zones ...string) (*world, error) {
	w, err := newWorld(r, program, zones...)
	if err != nil {
		return nil, err
	}
	return w, w.startFleet()
}

// startFleet starts the machines of a world and waits until all are in touch.
func (w *world) startFleet() error {
	if _, err := w.putConfiguration(map[netip.AddrPort]string{kept: "one", dropped: "one"}); err != nil {
		return err
	}
	if err := w.startBalancers(); err != nil {
		return err
	}
	for _, zone := range uniq(w.zones) {
		if err := w.startTarget(zone, "one"); err != nil {
			return err
		}
	}
	if err := w.waitReady(); err != nil {
		return err
	}
	// All machines are in touch, and the balancers have agreed on who watches the store.
	time.Sleep(2*stableWindow + 2*time.Second)
	return nil
}

// silence is how long the store is silent towards some balancers: twice the largest dose of
// the small deployments.
const silence = 18 * time.Second

// silentStore lets the store fall silent towards one balancer of each zone, the one of the
// highest rank, and serve the others. A route is dropped; the served balancers must follow
// within configApply, or within maxSkew more if a store that turns some machines away counts
// as an unstable core. The longer bound is checked.
func silentStore(r *record, trouble bool) ([]string, error) {
	w, err := startFleet(r, "za", "zb", "zc", "za", "zb", "zc")
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	c, err := newCallers(w)
	if err != nil {
		return nil, err
	}
	defer c.close()
	served := []int{3, 4, 5}
	for _, i := range served {
		if o := c.of(i).request(uint16(2000+i), dropped, w.address(kindBalancer, i, portPackets), "before"); o.answer == "" {
			return nil, fmt.Errorf("%w: no answer before the trouble", errSetup)
		}
	}
	began := time.Now()
	if trouble {
		for i := range 3 {
			w.storeProxies[i].setSilent(true)
			r.add("the store is silent towards %s", w.balancers[i].name)
		}
	}
	time.Sleep(200 * time.Millisecond)
	acked, err := w.putConfiguration(map[netip.AddrPort]string{kept: "one"})
	if err != nil {
		return nil, err
	}
	broken := askServed(c, w, served, acked, began.Add(silence))
	time.Sleep(time.Until(began.Add(silence)))
	for i := range 3 {
		w.storeProxies[i].setSilent(false)
	}
	r.add("the store serves all balancers")
	time.Sleep(3 * time.Second)
	w.recordLogs(`"event":"watch"`, `"event":"version"`)
	return broken, nil
}

// askServed sends requests on the dropped route through the served balancers until the silence
// ends, and returns how the rule was broken.
func askServed(c callers, w *world, served []int, acked, end time.Time) (broken []string) {
	const bound = configApply + maxSkew
	ask := func(n int) {
		for _, i := range served {
			o := c.of(i).request(uint16(3000+10*n+i), dropped, w.address(kindBalancer, i, portPackets), fmt.Sprintf("after-%d", n))
			broken = append(broken, lateRun(o, acked, bound, w.balancers[i].name+", which the store serves")...)
		}
	}
	time.Sleep(time.Until(acked.Add(configApply + 500*time.Millisecond)))
	ask(0)
	time.Sleep(time.Until(acked.Add(bound + 100*time.Millisecond)))
	for n := 1; time.Until(end) > 300*time.Millisecond; n++ {
		ask(n)
		time.Sleep(400 * time.Millisecond)
	}
	return broken
}

// recordLogs records the lines of the balancers' logs that hold one of the words.
func (w *world) recordLogs(words ...string) {
	for i, b := range w.balancers {
		for _, word := range words {
			for _, line := range b.events(word) {
				w.record.add("log of balancer %d: %s", i, line)
			}
		}
	}
}

// oldPort drops a route, and a client then opens a flow on it from a port that it has used
// before. The earlier flow has been closed by both ends for longer than flowTtlS.
func oldPort(r *record, trouble bool) ([]string, error) {
	w, err := startFleet(r, "za", "zb", "zc")
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	c, err := newCallers(w)
	if err != nil {
		return nil, err
	}
	defer c.close()
	const ports = 4
	for i := range w.balancers {
		for p := range ports {
			if o := c.of(i).request(uint16(2000+100*i+p), dropped, w.address(kindBalancer, i, portPackets), fmt.Sprintf("first-%d-%d", i, p)); o.answer == "" {
				return nil, fmt.Errorf("%w: no answer before the change", errSetup)
			}
		}
	}
	ended := time.Now()
	var acked time.Time
	if trouble {
		if acked, err = w.putConfiguration(map[netip.AddrPort]string{kept: "one"}); err != nil {
			return nil, err
		}
	}
	r.add("waiting until the closed flows are older than flowTtlS")
	time.Sleep(time.Until(ended.Add(flowTTL + 2*time.Second)))
	var broken []string
	for i := range w.balancers {
		at := w.address(kindBalancer, i, portPackets)
		if trouble {
			fresh := c.of(i).request(uint16(4000+i), dropped, at, fmt.Sprintf("control-%d", i))
			broken = append(broken, lateRun(fresh, acked, configApply, w.balancers[i].name+" from a fresh port")...)
		}
		for p := range ports {
			o := c.of(i).request(uint16(2000+100*i+p), dropped, at, fmt.Sprintf("again-%d-%d", i, p))
			if !trouble {
				if !strings.Contains(o.answer, "again") {
					return nil, fmt.Errorf("%w: a request was not answered without the change", errSetup)
				}
				continue
			}
			broken = append(broken, lateRun(o, acked, configApply, w.balancers[i].name)...)
		}
	}
	return broken, nil
}

// longFlows keeps flows open through all balancers and sends requests on them until the end
// of the run. It returns the flows that were reset.
func longFlows(c callers, w *world, perBalancer int, until time.Time) <-chan []string {
	all := make(chan string)
	var running sync.WaitGroup
	for i := range w.balancers {
		for n := range perBalancer {
			running.Go(func() {
				f := c.of(i).newFlow(uint16(2000+100*i+n), kept, w.address(kindBalancer, i, portPackets))
				defer f.forget()
				if reset := c.of(i).serve(f, until); reset != "" {
					all <- reset
				}
			})
		}
	}
	done := make(chan []string, 1)
	go func() {
		running.Wait()
		close(all)
	}()
	go func() {
		var resets []string
		for r := range all {
			resets = append(resets, r)
		}
		done <- resets
	}()
	return done
}

// serve opens a flow and sends requests on it with pauses. It returns how the flow was reset,
// or an empty string.
func (c *client) serve(f *clientFlow, until time.Time) string {
	if ok, _ := f.open(time.Now()); !ok {
		c.record.add("client: %s did not open", f.id)
		return ""
	}
	last := ""
	for n := 0; time.Now().Before(until); n++ {
		answer, reset := f.ask(fmt.Sprintf("%s-%d", f.id.Caller, n))
		if reset {
			c.record.add("client: %s was reset; its last answer: %q", f.id, last)
			return fmt.Sprintf("FLOW: the open flow %s got a reset that its target did not send; its last answer: %s", f.id, last)
		}
		if answer == "" {
			c.record.add("client: %s got no answer to request %d", f.id, n)
			continue
		}
		last = answer
		time.Sleep(300*time.Millisecond + rand.N(400*time.Millisecond))
	}
	f.end()
	c.record.add("client: %s closed; its last answer: %q", f.id, last)
	return ""
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// otherWriter posts a heartbeat of another writer to the agent of a healthy target with open
// flows. The field address is missing, so the heartbeat names no target to use.
func otherWriter(r *record, trouble bool) ([]string, error) {
	w, err := startFleet(r, "za", "zb", "zc")
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	c, err := newCallers(w)
	if err != nil {
		return nil, err
	}
	defer c.close()
	start := time.Now()
	resets := longFlows(c, w, 4, start.Add(2*stableWindow+6*time.Second))
	time.Sleep(time.Until(start.Add(2 * stableWindow)))
	if trouble {
		t := w.targets[0]
		body, err := json.Marshal(map[string]any{
			"service": t.service, "zone": t.zone, "version": "v1", "slots": 4, "state": "ready", "coldRemainingMs": 0,
			"sequence": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return nil, err
		}
		r.add("another writer: posts to the agent beside %s, without the field address: %s", t.id, body)
		err = t.post(context.Background(), "i-another-writer", body)
		r.add("another writer: the agent's answer: %s", cmp.Or(errorText(err), "acknowledged"))
	}
	broken := <-resets
	for _, t := range w.targets {
		r.add("target %s has been alive and undisturbed since its start at %d and has sent no reset", t.id, t.born)
	}
	return broken, nil
}
