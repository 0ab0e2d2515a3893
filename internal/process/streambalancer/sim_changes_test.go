package streambalancer

import (
	"fmt"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// unheard returns the number of running targets that a balancer has not heard from.
func (f *simFleet) unheard(b *Balancer) int {
	n := 0
	for _, s := range f.processes {
		if s.tracker == nil || f.byAddress[s.address] != s {
			continue
		}
		if t, ok := b.steerer.Targets.Find(s.address); !ok || t.HeardAt == 0 {
			n++
		}
	}
	return n
}

// restart ends the process of a balancer and starts another one later.
func (f *simFleet) restart(i int, size fleetSize, later float64) {
	s := f.processes[i]
	s.startAt, s.settledAfter, s.unheardTargets, s.balancer = f.now+later, 0, 0, nil
	f.schedule(later, func() { f.startBalancer(s, i, size.balancers, f.table) })
}

// replaceBalancers ends all balancers. Others start at new addresses, which neither they nor
// the agents know.
func (f *simFleet) replaceBalancers(size fleetSize) {
	f.strangers = true
	for i := range size.balancers {
		old := f.processes[i]
		old.balancer = nil
		delete(f.byAddress, old.address)
		s := &simProcess{
			address: peerAddress(1000 + i), domain: old.domain, share: old.share, startAt: f.now + 300_000*f.random.Float64(),
			verbs: map[wire.Verb]int{}, sentBytes: map[wire.Verb]int{}, bursts: map[int]int{}, clock: &clock.Manual{},
		}
		s.registeredAt = s.startAt + f.registerMicros
		f.processes[i], f.byAddress[s.address] = s, s
		f.schedule(s.startAt-f.now, func() { f.startBalancer(s, i, size.balancers, f.table) })
	}
}

// lose ends the VMs of agents for good.
func (f *simFleet) lose(agents ...*simProcess) {
	for _, s := range agents {
		delete(f.byAddress, s.address)
	}
}

// addUnlistedTarget starts an agent in a failure domain whose target the store does not list.
func (f *simFleet) addUnlistedTarget(size fleetSize, domain int) {
	s := &simProcess{
		address: netip.MustParseAddrPort("10.2.0.1:7000"), domain: fmt.Sprint("d", domain), share: 0.24, startAt: f.now, unlisted: true,
	}
	f.add(s)
	f.startAgent(s, len(f.processes), size.balancers)
}
