package try_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailtray/wagtailtray/internal/try"
)

// Callers and upstreams must not notice planned changes: sessions run while targets
// drain and are replaced, agents and balancers restart, a configuration is approved
// and the platform is unavailable.
func TestRun(t *testing.T) {
	for _, deployment := range try.Deployments() {
		t.Run(deployment, func(t *testing.T) {
			t.Parallel()
			r, err := try.Run(t.Context(), try.Options{
				Deployment: deployment, Seed: 1, Duration: 12 * time.Second, Sessions: 60,
				Log: zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel),
			}, func(format string, args ...any) { t.Logf(format, args...) })
			if err != nil {
				t.Fatal(err)
			}
			if !r.Passed() || r.Opened == 0 || r.Versions != 4 {
				t.Errorf("%s", fmt.Sprintf("%+v", r))
			}
		})
	}
}
