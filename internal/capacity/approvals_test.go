package capacity_test

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/capacity"
)

// Approves changes while relays are dead, calls between balancers fail, the
// platform is slow or down, or all balancers are replaced. Each version must come
// into force in every balancer, and no balancer may go back to an earlier one.
func TestApprovalsUnderTrouble(t *testing.T) {
	size := capacity.FleetSize{Balancers: 14, Targets: 14, Services: 7, Approvals: 3}
	for _, scenario := range capacity.Scenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			s, err := capacity.RunScenario(t.Context(), size, scenario)
			if err != nil {
				t.Fatal(err)
			}
			if s.Reverted != 0 || len(s.DelayMillis) != size.Approvals {
				t.Errorf("%d reversions to a lower version, delays %v ms", s.Reverted, s.DelayMillis)
			}
		})
	}
}
