package streambalancer

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/process/streamagent"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// storeTargets stores the checkpoints of all agents.
func (f *simFleet) storeTargets(size fleetSize) {
	f.listed = map[string][]checkpoint.Entry{}
	for _, s := range f.processes[size.balancers:] {
		f.listed[s.domain] = append(f.listed[s.domain], checkpoint.Entry{Agent: s.address, Service: "one"})
	}
}

// readLists gives a balancer the lists that it reads from the store.
func (f *simFleet) readLists(now clock.Millis, b *Balancer) {
	due := b.peers.dueLists(now, func(d string) bool { return b.steerer.Targets.Complete(now, d) })
	if f.unlisted {
		return
	}
	for _, d := range due {
		b.learnListed(d, f.listed[d])
	}
}

// findPeers names a balancer all that are listed, as in the directory's current list.
func (f *simFleet) findPeers(s *simProcess, b *Balancer) {
	now := f.syncClock(s)
	for _, p := range f.processes {
		if p.tracker == nil && f.now >= p.registeredAt+lookupMicros {
			b.peers.Learn(now, p.address, Peer{Name: p.address.String(), Domain: p.domain, CPUShare: uint32(1000 * p.share)})
		}
	}
}

// lookUp makes an agent look up balancers when that is due, as agents do. Stale lists name
// those that the fleet started with.
func (f *simFleet) lookUp(s *simProcess, lookups *streamagent.Lookups) {
	if f.byAddress[s.address] != s {
		return
	}
	due := lookups.Due(f.syncClock(s), s.reportBalancers)
	delay := 0.0
	if due != streamagent.NoLookup {
		delay = lookupMicros
	}
	f.schedule(delay, func() {
		now := f.syncClock(s)
		for _, p := range f.processes {
			listed := due == streamagent.CurrentLookup && f.now >= p.registeredAt
			stale := due == streamagent.CheapLookup && p.domain == s.domain && p.registeredAt == 0
			if p.tracker == nil && (listed || stale) {
				s.reportBalancers.Learn(now, []netip.AddrPort{p.address}, p.domain)
			}
		}
		pause := lookups.Delay(now, s.reportBalancers, due, true, f.random.Float64())
		f.schedule(1000*float64(pause), func() { f.lookUp(s, lookups) })
	})
}
