package streambalancer

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// A balancer counts as behind from the first version that it lacks, not from the last one
// that it has heard of, or a storm of versions would never make it overdue.
func TestLagCountsFromFirstMissingVersion(t *testing.T) {
	l := lag{}
	for i := range uint64(3 * maxLaterVersions) {
		l.Hear(testNow+clock.Millis(i), 10+i, 9)
	}
	l.Hear(testNow+clock.Minute, 9, 9)
	now := testNow + 2*clock.Second
	if l.Age(now) != 2*clock.Second || l.Latest() != 9+3*maxLaterVersions {
		t.Errorf("behind for %d ms, latest version %d", l.Age(now), l.Latest())
	}
	if v := l.Overdue(now, clock.Second+999); v != 10 {
		t.Errorf("version %d is overdue, not 10", v)
	}
	l.Activate(11)
	if l.Age(now) != 2*clock.Second-2 {
		t.Errorf("behind for %d ms after version 11", l.Age(now))
	}
	l.Activate(l.Latest())
	if l.Age(now) != 0 || l.Overdue(now, 0) != 0 || l.Latest() != 0 {
		t.Error("behind although the latest version is in force")
	}
}
