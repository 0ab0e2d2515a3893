//go:build !race

package streambalancer

import (
	"testing"
	"time"
)

// Balancers start one after the other, the last ranks first, so that many of them watch the
// store for a moment; each reads the evacuations, which it knows already, and waits for them.
func TestMomentaryWatchersLeaveEvacuations(t *testing.T) {
	const count, started = 30, 10 * time.Second
	runStaggeredWatchFleet(t, count, 15*time.Millisecond, func(f *watchFleet) {
		reads, waits := f.store.counts(evacuationCall)
		if reads > count+evacuationWatchDomains {
			t.Errorf("%d reads by %d balancers", reads, count)
		}
		if limit := (evacuationWatchDomains + 1) * int(started/WaitHold+1); waits > limit {
			t.Errorf("%d waits, want at most %d", waits, limit)
		}
	})
}
