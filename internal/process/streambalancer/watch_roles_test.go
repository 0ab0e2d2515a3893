//go:build !race

package streambalancer

import (
	"fmt"
	"testing"
	"time"
)

// All balancers that watch the store are cut off from everything, and the store turns away
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
					f.store.treat(f.except(silent, serve...))
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
					f.store.treat(f.except(replicaOnly, serve...))
					time.Sleep(10 * time.Millisecond)
					f.checkChange("after the disruption")
				})
			})
		}
	}
}
