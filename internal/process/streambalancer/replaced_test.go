package streambalancer

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// replacedAt is when all balancers of a simulated fleet are replaced, in microseconds.
const replacedAt = 5e6

// newReplacedFleet returns a fleet whose balancers have just been replaced by others at new
// addresses. change is called before, when the store lists all targets.
func newReplacedFleet(t *testing.T, size fleetSize, change func(*simFleet)) *simFleet {
	f := newSimFleet(t, size, replacedAt, func(_ int, fraction float64) float64 { return 300_000 * fraction })
	f.run(replacedAt)
	f.storeTargets(size)
	change(f)
	f.replaceBalancers(size)
	return f
}

// All balancers are replaced, and none of the new ones may take the silence of agents, which
// learn of them many seconds later, for the absence of targets whose flows it then resets.
func TestReplacedBalancersHearAllTargets(t *testing.T) {
	for _, size := range []fleetSize{{1, 3, 1}, {3, 3, 3}, {5, 10, 3}, {16, 44, 3}} {
		f := newReplacedFleet(t, size, func(*simFleet) {})
		f.run(replacedAt + 6e6)
		for _, s := range f.processes[:size.balancers] {
			if s.settledAfter == 0 || s.settledAfter > 4e6 || s.unheardTargets > 0 {
				t.Errorf("%+v: %s settled after %.0f ms without %d targets", size, s.address, s.settledAfter/1000, s.unheardTargets)
			}
		}
	}
}

// The same while the store does not answer: without any evidence of which targets there are,
// balancers must not settle however long nobody reports.
func TestReplacedBalancersWaitForStore(t *testing.T) {
	size := fleetSize{3, 3, 3}
	f := newReplacedFleet(t, size, func(f *simFleet) { f.unlisted = true })
	f.run(replacedAt + 20e6)
	for _, s := range f.processes[:size.balancers] {
		if s.settledAfter != 0 {
			t.Errorf("%s settled after %.0f ms", s.address, s.settledAfter/1000)
		}
	}
}

// A failure domain has lost a target or has none. Callers of lost flows must be told soon.
func TestReplacedBalancersSettleWithoutTargets(t *testing.T) {
	size := fleetSize{3, 6, 3}
	lost := checkpoint.Entry{Agent: netip.MustParseAddrPort("10.9.0.1:7000"), Service: "one"}
	for _, c := range []struct {
		name   string
		change func(*simFleet)
		within float64
	}{
		{"a target is lost", func(f *simFleet) { f.listed["d0"] = append(f.listed["d0"], lost) }, 5.2e6},
		{"a failure domain is lost", func(f *simFleet) { f.lose(f.processes[3], f.processes[6]) }, 5.2e6},
		{"there never was a target", func(f *simFleet) {
			f.lose(f.processes[3:]...)
			for d := range f.listed {
				f.listed[d] = nil
			}
		}, 3e6},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newReplacedFleet(t, size, c.change)
			f.run(replacedAt + 6e6)
			for _, s := range f.processes[:size.balancers] {
				if s.settledAfter == 0 || s.settledAfter > c.within || s.unheardTargets > 0 {
					t.Errorf("%s settled after %.0f ms without %d targets", s.address, s.settledAfter/1000, s.unheardTargets)
				}
			}
		})
	}
}

// A relay tells other failure domains that it knows all targets. It must not do so before it
// has heard from those that the store lists.
func TestLocalTargetsKnownTakesList(t *testing.T) {
	ps := newPeersWithNews(1, 0)
	ps.listing = newListing(nil)
	late := testNow + clock.Minute
	if ps.LocalTargetsKnown(late) {
		t.Error("known without the list")
	}
	ps.listing.states[ps.self.Domain] = listPending
	if ps.LocalTargetsKnown(late) {
		t.Error("known although listed targets have not been heard")
	}
	ps.listing.states[ps.self.Domain] = listHeard
	if !ps.LocalTargetsKnown(late) {
		t.Error("not known although all listed targets have been heard")
	}
}
