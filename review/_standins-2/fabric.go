package main

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// The routers probe each balancer twice a second; after two misses it is out of rotation until
// it answers with 200 again.
const (
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// fabric forwards packets of clients to the balancers of their zone that are in rotation, by a
// hash of the four addresses and ports. Only the flows of one that joins or leaves move.
type fabric struct {
	mu        sync.Mutex
	balancers []*fabricBalancer
}

type fabricBalancer struct {
	zone   string
	edge   netip.AddrPort
	ready  netip.AddrPort
	misses int
}

func (f *fabric) add(zone string, edge, ready netip.AddrPort) {
	f.balancers = append(f.balancers, &fabricBalancer{zone: zone, edge: edge, ready: ready, misses: maxMisses})
}

// run probes the balancers until the context ends.
func (f *fabric) run(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		f.mu.Lock()
		all := slices.Clone(f.balancers)
		f.mu.Unlock()
		for _, b := range all {
			go f.probe(ctx, client, b)
		}
		sleep(ctx, probeInterval)
	}
}

func (f *fabric) probe(ctx context.Context, client *http.Client, b *fabricBalancer) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.ready.String()+"/api/readyz", nil)
	if err != nil {
		return
	}
	res, err := client.Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || res.StatusCode != http.StatusOK {
		b.misses++
		return
	}
	b.misses = 0
}

// inRotation returns how many balancers are in rotation.
func (f *fabric) inRotation() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, b := range f.balancers {
		if b.misses < maxMisses {
			n++
		}
	}
	return n
}

// remove takes a machine that leaves out of the deployment.
func (f *fabric) remove(edge netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = slices.DeleteFunc(f.balancers, func(b *fabricBalancer) bool { return b.edge == edge })
}

// candidates returns the balancers that get the packets of a zone. If fewer than half of the
// zone's are in rotation, all of them are used; if none is, those of the other zones.
func (f *fabric) candidates(zone string) []*fabricBalancer {
	var all, ready, others []*fabricBalancer
	for _, b := range f.balancers {
		inRotation := b.misses < maxMisses
		switch {
		case b.zone == zone && inRotation:
			all, ready = append(all, b), append(ready, b)
		case b.zone == zone:
			all = append(all, b)
		case inRotation:
			others = append(others, b)
		}
	}
	switch {
	case len(ready) == 0:
		return others
	case 2*len(ready) < len(all):
		return all
	}
	return ready
}

// pick returns the balancer to which packets of a flow go.
func (f *fabric) pick(zone string, id flowID) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ready := f.candidates(zone)
	var best *fabricBalancer
	highest := uint64(0)
	for _, b := range ready {
		score := xxh3.HashString(id.client.String() + id.route.String() + b.edge.String())
		if best == nil || score > highest {
			best, highest = b, score
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.edge, true
}
