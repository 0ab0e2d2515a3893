package agent

import (
	"context"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// slowStore is a store that takes two seconds for each call.
type slowStore struct {
	platform.Store
}

func (slowStore) Get(ctx context.Context, _ platform.Kind, _ string) (platform.Object, error) {
	return platform.Object{Spec: []byte(`{"incarnation":3}`)}, waitTwoSeconds(ctx)
}

func (slowStore) Update(ctx context.Context, _ platform.Kind, o platform.Object) (platform.Object, error) {
	return o, waitTwoSeconds(ctx)
}

func waitTwoSeconds(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return platform.ErrUnavailable
	case <-time.After(2 * time.Second):
		return nil
	}
}

// The flows of a restarting agent's predecessor must not wait for a platform that takes two
// seconds for each call: the balancers know the incarnation as well.
func TestRestartDoesNotWaitForSlowPlatform(t *testing.T) {
	a := newTestAgent(t, clock.System())
	a.deps.Store = slowStore{}
	start := time.Now()
	if err := a.acquireIncarnation(t.Context(), 3); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); a.self.Incarnation != 4 || took > 1500*time.Millisecond {
		t.Errorf("incarnation %d after %s", a.self.Incarnation, took)
	}
}
