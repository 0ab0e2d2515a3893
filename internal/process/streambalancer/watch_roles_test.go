//go:build !race

package streambalancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/treatment"
)

// evacuationBound is the time within which balancers must know an evacuation.
const evacuationBound = 5 * time.Second

// The store goes on serving the watch of the configuration, and fails for those balancers
// that also watch the evacuations; nobody reads these.
func TestServedBalancerTakesOverEvacuationWatch(t *testing.T) {
	for name, how := range map[string]treatment.Treatment{"silent": treatment.Silent, "refused": treatment.Refused} {
		for _, serve := range [][]int{{2}, {3, 4, 5}, {5}, {4}} {
			t.Run(fmt.Sprint(name, serve), func(t *testing.T) {
				runWatchFleet(t, 6, func(f *watchFleet) {
					for i := range 6 {
						time.Sleep(time.Duration(i) * 370 * time.Millisecond)
						f.store.treatEvacuations(f.except(how, serve...))
						time.Sleep(10 * time.Millisecond)
						f.checkEvacuation("partial outage")
						time.Sleep(5 * time.Second)
						f.checkEvacuation("for a while")
						f.store.treatEvacuations(nil)
						time.Sleep(5 * time.Second)
					}
				})
			})
		}
	}
}

// checkEvacuation changes the evacuations. All balancers must know them within
// evacuationBound.
func (f *watchFleet) checkEvacuation(when string) {
	f.t.Helper()
	f.store.change()
	version, _, _ := f.store.state(storeClient{})
	time.Sleep(evacuationBound)
	for i, b := range f.balancers {
		b.mu.Lock()
		if got := b.steerer.Evacuations().Revision; got < version {
			f.t.Errorf("%s: balancer %d has evacuations %d %v after %d", when, i, got, evacuationBound, version)
		}
		b.mu.Unlock()
	}
}

// The store fails for the first ranks of large failure domains. Balancers that are no
// neighbours of the one that takes over do not hear of it, and all of them watch.
func TestOneWatcherInLargeDomains(t *testing.T) {
	const count, domains = 150, 3
	runWatchFleet(t, count, func(f *watchFleet) {
		affected := map[int]treatment.Treatment{}
		for i := range 2 * domains {
			affected[i] = treatment.Silent
		}
		f.store.treat(affected)
		for range 3 {
			time.Sleep(4 * time.Second)
			watchers := 0
			for _, b := range f.balancers {
				b.mu.Lock()
				if b.watching {
					watchers++
				}
				b.mu.Unlock()
			}
			if watchers != domains {
				t.Errorf("%d balancers watch in %d failure domains", watchers, domains)
			}
		}
		f.checkChange("partial outage")
	})
}

// The store answers so late that balancers take it for silent; they must not keep an old
// version for as long as that lasts.
func TestWatchOfVerySlowStore(t *testing.T) {
	runWatchFleet(t, 6, func(f *watchFleet) {
		f.store.treat(f.except(treatment.VerySlow))
		for i := range 4 {
			f.store.change()
			version, _, _ := f.store.state(storeClient{})
			time.Sleep(10 * time.Second)
			for j, b := range f.balancers {
				b.mu.Lock()
				if got, evacuations := b.tableVersion(), b.steerer.Evacuations().Revision; got < version || evacuations < version {
					t.Errorf("change %d: balancer %d has version %d and evacuations %d, want %d", i, j, got, evacuations, version)
				}
				b.mu.Unlock()
			}
		}
	})
}

// The store leaves all calls about evacuations unanswered; all balancers crowd at it.
func TestNoCrowdAtStoreForEvacuationWatch(t *testing.T) {
	const count, period = 45, 20 * time.Second
	runWatchFleet(t, count, func(f *watchFleet) {
		f.store.treatEvacuations(f.except(treatment.Silent))
		before := f.store.callCount()
		time.Sleep(period)
		if calls, limit := f.store.callCount()-before, count*int(period/(1500*time.Millisecond)); calls > limit {
			t.Errorf("%d calls in %v, want at most %d", calls, period, limit)
		}
	})
}

// All balancers that watch the store are cut off from everything, and the store fails for
// the next ones; the last balancers, which it serves, read a version too late.
func TestWatchersCutOffAreReplaced(t *testing.T) {
	const count = 54
	for _, serve := range [][]int{{3, 4, 5}, {30}, {51, 52, 53}} {
		for phase := range 5 {
			t.Run(fmt.Sprint(serve, phase), func(t *testing.T) {
				runWatchFleet(t, count, func(f *watchFleet) {
					time.Sleep(time.Duration(phase) * 110 * time.Millisecond)
					for i := range 3 {
						f.isolated.Store(peerAddress(i), true)
					}
					f.store.treat(f.except(treatment.Silent, serve...))
					time.Sleep(10 * time.Millisecond)
					f.checkChange("cut off")
				})
			})
		}
	}
}

// The store swallows the pending watches of all balancers but one, and replicas go on
// answering; the version that comes next is read too late.
func TestSwallowedWatchIsReplaced(t *testing.T) {
	for _, serve := range [][]int{{3, 4, 5}, {5}, {8}} {
		for phase := range 20 {
			t.Run(fmt.Sprint(serve, phase), func(t *testing.T) {
				runWatchFleet(t, 9, func(f *watchFleet) {
					f.checkChange("before")
					time.Sleep(time.Duration(phase) * 110 * time.Millisecond)
					f.store.treat(f.except(treatment.ReplicaOnly, serve...))
					time.Sleep(10 * time.Millisecond)
					f.checkChange("after the disruption")
				})
			})
		}
	}
}
