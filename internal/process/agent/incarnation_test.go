package agent

import (
	"context"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// sluggish is a store that takes two seconds for each call.
type sluggish struct {
	platform.Store
}

func (sluggish) Get(ctx context.Context, _ platform.Kind, _ string) (platform.Object, error) {
	return platform.Object{Spec: []byte(`{"incarnation":3}`)}, pause(ctx)
}

func (sluggish) Update(ctx context.Context, _ platform.Kind, o platform.Object) (platform.Object, error) {
	return o, pause(ctx)
}

func pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return platform.ErrUnavailable
	case <-time.After(2 * time.Second):
		return nil
	}
}

// The platform takes two seconds for each call while an agent is restarted. The flows of
// its predecessor must not wait for it: the balancers know the incarnation as well.
func TestFlowsDoNotWaitForSlowPlatform(t *testing.T) {
	a := newTest(t, clock.System())
	a.deps.Store = sluggish{}
	began := time.Now()
	if err := a.incarnate(t.Context(), 3); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); a.self.Incarnation != 4 || took > 1500*time.Millisecond {
		t.Errorf("incarnation %d after %s", a.self.Incarnation, took)
	}
}
