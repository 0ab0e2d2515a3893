package streambalancer

import (
	"net/netip"
	"testing"
)

// fleetSizes are a small, a medium and a large fleet.
var fleetSizes = []fleetSize{{15, 10, 3}, {25, 48, 5}, {91, 204, 5}}

func (s fleetSize) vms() float64 { return float64(s.balancers + s.agents) }

// maxBytesPerVM is how many bytes a small balancer may receive in the two seconds after a
// restart, for each VM of the fleet.
const maxBytesPerVM = 500

// maxDelayMillis is the maximum queueing delay at a small balancer: a caller retransmits
// its opening after 200 ms.
const maxDelayMillis = 200

// All VMs restart within 300 ms, and callers send on flows that were lost. What a small
// balancer receives must not grow faster than the fleet, or it is busy with that while
// callers wait: in a fleet of three hundred VMs each caller waited for seconds.
func TestRestartOfAllVMs(t *testing.T) {
	t.Parallel()
	var all []processStats
	for _, size := range fleetSizes {
		f := newSimFleet(t, size, 0, func(_ int, fraction float64) float64 { return 300_000 * fraction })
		f.sendLostFlows(size.balancers, size.domains)
		f.run(3e6)
		a := f.smallBalancerStats()
		t.Logf("%+v: %+v", size, a)
		if a.maxDelay > maxDelayMillis || a.dropped > 0 {
			t.Errorf("%+v: the maximum delay was %.0f ms, %d datagrams were dropped", size, a.maxDelay, a.dropped)
		}
		if limit := maxBytesPerVM * size.vms(); a.bytes > limit {
			t.Errorf("%+v: %.0f bytes, want up to %.0f", size, a.bytes, limit)
		}
		if a.settled == 0 || a.settled > 3000 {
			t.Errorf("%+v: settled after %.0f ms", size, a.settled)
		}
		all = append(all, a)
	}
	for i := 1; i < len(all); i++ {
		vms := fleetSizes[i].vms() / fleetSizes[0].vms()
		if parcels := all[i].parcels / all[0].parcels; parcels > vms {
			t.Errorf("%.1f times the VMs, but %.1f times the parcels", vms, parcels)
		}
	}
}

// One failure domain or half of all VMs restart in a running fleet, or all VMs restart
// within ten seconds. No
// delay may exceed maxDelayMillis.
func TestRestartOfSomeVMs(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		until float64
		start func(domain int, fraction float64) float64
	}{
		{"one failure domain", 6e6, func(domain int, fraction float64) float64 {
			if domain == 0 {
				return 3e6 + 300_000*fraction
			}
			return 300_000 * fraction
		}},
		{"half of all VMs", 6e6, func(_ int, fraction float64) float64 {
			if fraction < 0.5 {
				return 3e6 + 600_000*fraction
			}
			return 300_000 * fraction
		}},
		{"all within ten seconds", 13e6, func(_ int, fraction float64) float64 { return 10e6 * fraction }},
	} {
		t.Run(c.name, func(t *testing.T) {
			size := fleetSizes[1]
			f := newSimFleet(t, size, 3e6, c.start)
			f.sendLostFlows(size.balancers, size.domains)
			f.run(c.until)
			a := f.smallBalancerStats()
			t.Logf("%+v", a)
			if a.maxDelay > maxDelayMillis || a.dropped > 0 {
				t.Errorf("the maximum delay was %.0f ms, %d datagrams were dropped", a.maxDelay, a.dropped)
			}
		})
	}
}

// A target leaves a settled fleet. The balancers must agree again within the time allowed
// for that, and not only after their next periodic news: callers of lost flows wait.
func TestSettledAgainAfterTargetLeaves(t *testing.T) {
	size := fleetSizes[1]
	f := newSimFleet(t, size, 0, func(_ int, fraction float64) float64 { return 300_000 * fraction })
	const leaves, timeout = 5e6, 700_000
	f.run(leaves)
	s := f.processes[size.balancers]
	now := f.syncClock(s)
	s.tracker.RecordLeave(now)
	var to []netip.AddrPort
	for j := range size.balancers {
		if f.byAddress[peerAddress(j)].domain == s.domain {
			to = append(to, peerAddress(j))
		}
	}
	s.tracker.SendReport(now, to)
	f.flush(s)
	f.run(leaves + 50_000)
	for _, b := range f.processes[:size.balancers] {
		if _, ok := b.balancer.steerer.Targets.Find(s.address); ok {
			t.Errorf("%s knows the target %d ms after it left", b.address, 50)
		}
	}
	f.run(leaves + timeout)
	for _, b := range f.processes[:size.balancers] {
		if !b.balancer.settled {
			t.Errorf("%s of %s is not settled again", b.address, b.domain)
		}
	}
}

// All balancers restart, or all of some failure domains, while agents and targets keep
// running. Balancers may report a flow as unowned only once they have heard of every
// target, and callers of lost flows wait until then.
func TestSettledSoonAfterRestart(t *testing.T) {
	t.Parallel()
	const from, within = 5e6, 2e6
	for _, size := range []fleetSize{{4, 10, 1}, {7, 10, 3}, {16, 44, 3}, {91, 204, 5}} {
		for _, domains := range []int{1, size.domains} {
			f := newSimFleet(t, size, from, func(_ int, fraction float64) float64 { return 300_000 * fraction })
			f.run(from)
			for i := range size.balancers {
				if i%size.domains < domains {
					f.restart(i, size, 300_000*f.random.Float64())
				}
			}
			f.run(from + 4e6)
			for _, s := range f.processes[:size.balancers] {
				if s.unheardTargets > 0 {
					t.Errorf("%+v, %d restarted: %s settled without %d targets", size, domains, s.address, s.unheardTargets)
				}
				few := size.balancers/size.domains < 4
				if s.startAt > from && (s.settledAfter == 0 || s.settledAfter > within && !few) {
					t.Errorf("%+v, %d restarted: %s settled after %.0f ms", size, domains, s.address, s.settledAfter/1000)
				}
			}
		}
	}
}
