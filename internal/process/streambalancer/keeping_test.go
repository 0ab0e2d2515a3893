//go:build !race

package streambalancer

import (
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/treatment"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// sendCheckpoints makes all keepers store an entry every second for a while. It returns how
// many balancers of each failure domain could store theirs at the end.
func (f *watchFleet) sendCheckpoints(d time.Duration) map[string]int {
	f.t.Helper()
	for second := range uint32(d / time.Second) {
		for _, b := range f.balancers {
			b.mu.Lock()
			err := b.keeper.Receive(b.deps.Clock.Now(), time.Now().UnixMilli(), peerAddress(1000), &wire.Checkpoint{
				Service: "web", Born: 1, Number: second + 1, Parts: 1,
			})
			b.mu.Unlock()
			if err != nil {
				f.t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
	}
	keepers := map[string]int{}
	for i, b := range f.balancers {
		b.mu.Lock()
		_, _, loads := f.store.state(storeClient{balancer: i, kind: loadCall})
		_, _, writes := f.store.state(storeClient{balancer: i, kind: writeCall})
		if b.steerer.Keeper() && loads == treatment.Served && writes == treatment.Served {
			keepers[b.settings.Domain]++
		}
		b.mu.Unlock()
	}
	return keepers
}

// The store goes on serving the watch of the configuration, and fails for the watcher about
// checkpoints; nobody stores those of its failure domain.
func TestServedBalancerTakesOverKeepingFromWatcher(t *testing.T) {
	for name, how := range map[string]treatment.Treatment{"silent": treatment.Silent, "refused": treatment.Refused} {
		for _, calls := range []string{"loads", "writes", "all"} {
			t.Run(name+" "+calls, func(t *testing.T) {
				runWatchFleet(t, 9, func(f *watchFleet) {
					f.sendCheckpoints(5 * time.Second)
					for _, serve := range [][]int{{3, 4, 5}, {6, 7, 8}, {3, 7, 8}} {
						affected := f.except(how, serve...)
						var loads, writes map[int]treatment.Treatment
						if calls != "writes" {
							loads = affected
						}
						if calls != "loads" {
							writes = affected
						}
						f.store.treat(map[int]treatment.Treatment{0: treatment.Silent, 1: treatment.Silent, 2: treatment.Silent})
						time.Sleep(3 * time.Second)
						f.store.treatCheckpoints(loads, writes)
						f.store.treat(nil)
						keepers := f.sendCheckpoints(40 * time.Second)
						for _, domain := range []string{"d0", "d1", "d2"} {
							if keepers[domain] != 1 {
								t.Errorf("served %v: %d balancers of %s can store checkpoints", serve, keepers[domain], domain)
							}
						}
						f.store.treatCheckpoints(nil, nil)
					}
				})
			})
		}
	}
}
