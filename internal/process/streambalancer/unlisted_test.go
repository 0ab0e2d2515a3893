package streambalancer

import (
	"fmt"
	"slices"
	"testing"
)

const (
	// joinedAt is when a target is added, leftAt when balancers end, and loneDownMicros how
	// long those that are left need for their restart, in microseconds.
	joinedAt       = 4e6
	leftAt         = joinedAt + 300_000
	loneDownMicros = 200_000
	// unlistedWithin is how soon a balancer must be settled after its start or its
	// registration, in microseconds.
	unlistedWithin = 4.5e6
)

// newFleetWithUnlistedTarget returns a fleet in which a target was just added that is in no
// list of the store, and is known to the balancers.
func newFleetWithUnlistedTarget(t *testing.T, size fleetSize) *simFleet {
	f := newSimFleet(t, size, joinedAt, func(_ int, fraction float64) float64 { return 300_000 * fraction })
	f.directory = true
	f.run(joinedAt - 1e6)
	f.storeTargets(size)
	f.run(joinedAt)
	f.addUnlistedTarget(size, 0)
	f.run(leftAt)
	return f
}

// runUntilSettled runs the fleet until the balancers are settled, and reports those that are
// not in time, or that have settled without a target.
func (f *simFleet) runUntilSettled(within float64, balancers ...*simProcess) {
	f.t.Helper()
	end := f.now + within + loneDownMicros + 300_000
	settled := func(s *simProcess) bool { return s.settledAfter != 0 }
	for f.now < end && !allOf(balancers, settled) {
		f.run(f.now + 100_000)
	}
	for _, s := range balancers {
		if s.settledAfter == 0 || s.settledAfter > within || s.unheardTargets > 0 {
			f.t.Errorf("%s settled after %.0f ms without %d targets", s.address, s.settledAfter/1000, s.unheardTargets)
		}
	}
}

func allOf(all []*simProcess, has func(*simProcess) bool) bool {
	return !slices.ContainsFunc(all, func(s *simProcess) bool { return !has(s) })
}

// Balancers end just after a target was added that is in no list, and those that are left
// restart, one or two at once: they must not take its flows for unowned.
func TestLastBalancersHearUnlistedTarget(t *testing.T) {
	small, large := fleetSize{6, 6, 3}, fleetSize{30, 30, 3}
	for _, c := range []struct {
		size  fleetSize
		left  [][]int
		later []float64
	}{
		{small, [][]int{{0}, {1}, {2}, {3}, {4}, {5}, {2, 5}, {1, 2}, {0, 5}}, []float64{1000, 300_000, 1.1e6, 3e6}},
		{large, [][]int{{2}, {1, 4}}, []float64{300_000}},
	} {
		for _, left := range c.left {
			for _, later := range c.later {
				t.Run(fmt.Sprintf("%d balancers, %v restart after %.0f ms", c.size.balancers, left, later/1000), func(t *testing.T) {
					f := newFleetWithUnlistedTarget(t, c.size)
					var restarted []*simProcess
					for i, s := range f.processes[:c.size.balancers] {
						if slices.Contains(left, i) {
							restarted = append(restarted, s)
							continue
						}
						s.balancer = nil
					}
					f.run(leftAt + later)
					for _, i := range left {
						f.restart(i, c.size, loneDownMicros)
					}
					f.runUntilSettled(unlistedWithin, restarted...)
				})
			}
		}
	}
}

// All balancers are replaced at new addresses, at once or later, just after a target was added
// that is in no list: the new ones must not take its flows for unowned.
func TestReplacedBalancersHearUnlistedTarget(t *testing.T) {
	for _, size := range []fleetSize{{1, 3, 1}, {3, 3, 3}, {6, 9, 3}} {
		for _, register := range []float64{400_000, 3e6} {
			for _, later := range []float64{0, 2e6, 8e6} {
				t.Run(fmt.Sprintf("%d after %.0f ms, listed after %.0f ms", size.balancers, later/1000, register/1000), func(t *testing.T) {
					f := newFleetWithUnlistedTarget(t, size)
					f.registerMicros = register
					for _, s := range f.processes[:size.balancers] {
						s.balancer = nil
					}
					f.run(leftAt + later)
					f.replaceBalancers(size)
					f.runUntilSettled(register+unlistedWithin, f.processes[:size.balancers]...)
				})
			}
		}
	}
}
