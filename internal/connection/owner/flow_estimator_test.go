package owner_test

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// A load endpoint reports for a minute that 100 busy flows are 10. None of the 90
// that would have ended expires, so after one idle timeout the agent uses its own
// count. A report whose claims come true is used.
func TestLyingReport(t *testing.T) {
	const idle = 30 * clock.Second
	liar, honest := owner.NewFlowEstimator(idle), owner.NewFlowEstimator(idle)
	var expired uint64
	for now := clock.Hour; now < clock.Hour+clock.Minute; now += 500 {
		liar.Report(now, 100, 10, 0)
		honest.Report(now, 100, 40, expired)
		expired++
	}
	now := clock.Hour + clock.Minute
	if got := liar.Flows(now, 100, 10, 0, 0); got != 100 {
		t.Errorf("%d flows after wrong reports", got)
	}
	if got := honest.Flows(now, 100, 40, 2, 90); got != 42 {
		t.Errorf("%d flows after true reports", got)
	}
	if got := owner.NewFlowEstimator(idle).Flows(now, 100, 10, 0, 60); got != 60 {
		t.Errorf("%d flows before any report was verified", got)
	}
}
