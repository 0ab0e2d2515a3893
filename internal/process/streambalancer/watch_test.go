//go:build !race

package streambalancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/treatment"
)

// The store fails for the balancers that watch it and serves one other; nobody reads the
// configuration or the evacuations.
func TestServedBalancerTakesOverWatch(t *testing.T) {
	const count = 9
	affected := map[string]treatment.Treatment{"silent": treatment.Silent, "refused": treatment.Refused}
	for name, how := range affected {
		for _, serve := range [][]int{{3, 4, 5}, {6, 7, 8}, {5}, {6}, {0}, {8}} {
			t.Run(fmt.Sprint(name, serve), func(t *testing.T) {
				runWatchFleet(t, count, func(f *watchFleet) {
					// The changes come at any time of a wait.
					for i := range 6 {
						time.Sleep(time.Duration(i) * 370 * time.Millisecond)
						f.store.treat(f.except(how, serve...))
						time.Sleep(10 * time.Millisecond)
						f.checkChange("partial outage")
						time.Sleep(5 * time.Second)
						f.checkChange("for a while")
						f.store.treat(nil)
						time.Sleep(5 * time.Second)
					}
				})
			})
		}
	}
}

// The store fails for one balancer after the other; the one that took over is next.
func TestWatchMovesByTurns(t *testing.T) {
	for name, how := range map[string]treatment.Treatment{"silent": treatment.Silent, "refused": treatment.Refused} {
		t.Run(name, func(t *testing.T) {
			runWatchFleet(t, 6, func(f *watchFleet) {
				for i := range 12 {
					f.store.treat(f.except(how, i%2*3+i%3, 5-i%6))
					time.Sleep(10 * time.Millisecond)
					f.checkChange(fmt.Sprint("turn ", i))
				}
			})
		})
	}
}

// Replicas go on answering balancers that the store is silent to; these go on watching.
func TestAnswersOfReplicasStartNoWatch(t *testing.T) {
	runWatchFleet(t, 6, func(f *watchFleet) {
		f.store.treat(f.except(treatment.ReplicaOnly, 5))
		for range 4 {
			time.Sleep(5 * time.Second)
			f.checkChange("replicas only")
		}
	})
}

// The store is slow to all; balancers take its late answers for silence, and replace each
// other.
func TestWatchOfSlowStoreStays(t *testing.T) {
	runWatchFleet(t, 6, func(f *watchFleet) {
		f.store.treat(map[int]treatment.Treatment{0: treatment.Slow, 1: treatment.Slow, 2: treatment.Slow, 3: treatment.Slow, 4: treatment.Slow, 5: treatment.Slow})
		for i := range 5 {
			f.checkChange("slow")
			for j, b := range f.balancers {
				b.mu.Lock()
				if b.watching != (j < 3) {
					t.Errorf("change %d: balancer %d watches: %v", i, j, b.watching)
				}
				b.mu.Unlock()
			}
		}
	})
}

// The store stops answering many balancers; all of them crowd at it, or all replace those
// that watch it.
func TestNoCrowdAtStore(t *testing.T) {
	const count, period = 45, 20 * time.Second
	for _, c := range []struct {
		name     string
		serving  int
		maxCalls int
	}{
		// Three balancers ping with delays below 0.8 s, the others below 2 s.
		{"silent to all", 0, count * int(period/(1500*time.Millisecond))},
		// Those for which it fails ping; the next ones take turns, and watch.
		{"silent to those that watch", count - 3, 150},
		{"silent to most", 15, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWatchFleet(t, count, func(f *watchFleet) {
				treatments := f.except(treatment.Silent)
				for i := count - c.serving; i < count; i++ {
					treatments[i] = treatment.Served
				}
				f.store.treat(treatments)
				before := f.store.callCount()
				time.Sleep(period)
				if calls := f.store.callCount() - before; calls > c.maxCalls {
					t.Errorf("%d calls in %v", calls, period)
				}
			})
		})
	}
}
