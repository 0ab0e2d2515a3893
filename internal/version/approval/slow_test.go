package approval_test

import (
	"context"
	"errors"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// slowStore is a platform at which one call exceeds the client's timeout.
type slowStore struct {
	platform.Store
	// callsBefore counts the calls left before the slow one; applied makes the slow
	// call take effect nevertheless; reached is set by the slow call.
	callsBefore int
	applied     bool
	reached     bool
}

// isSlowCall counts a call and reports whether it is the slow one.
func (s *slowStore) isSlowCall() bool {
	s.callsBefore--
	s.reached = s.reached || s.callsBefore == -1
	return s.callsBefore == -1
}

func (s *slowStore) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if s.isSlowCall() {
		return platform.Object{}, platform.ErrUnavailable
	}
	return s.Store.Get(ctx, kind, name)
}

func (s *slowStore) List(ctx context.Context, kind platform.Kind) (platform.List, error) {
	if s.isSlowCall() {
		return platform.List{}, platform.ErrUnavailable
	}
	return s.Store.List(ctx, kind)
}

func (s *slowStore) Create(ctx context.Context, kind platform.Kind, name string, spec any) (platform.Object, error) {
	return s.write(func() (platform.Object, error) { return s.Store.Create(ctx, kind, name, spec) })
}

func (s *slowStore) Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	return s.write(func() (platform.Object, error) { return s.Store.Update(ctx, kind, o) })
}

func (s *slowStore) write(do func() (platform.Object, error)) (platform.Object, error) {
	if !s.isSlowCall() {
		return do()
	}
	if s.applied {
		_, _ = do()
	}
	return platform.Object{}, platform.ErrUnknown
}

// One call of an approval times out at the client, at each call in turn, and the write
// takes effect or not. A plan reported as approved must be in effect, and one reported
// as not written must not be. Approving the same plan again must make the change once.
func TestSlowAtEachStep(t *testing.T) {
	for _, applied := range []bool{false, true} {
		steps := 0
		for ; commitWithSlowCall(t, steps, applied); steps++ {
			if steps > 20 {
				t.Fatal("an approval makes more than 20 calls")
			}
		}
		if steps < 3 {
			t.Errorf("an approval made only %d calls", steps)
		}
	}
}

// commitWithSlowCall reports whether the approval reached the slow call.
func commitWithSlowCall(t *testing.T, step int, applied bool) bool {
	_, client, plan := setup(t)
	store := &slowStore{Store: client, callsBefore: step, applied: applied}
	_, err := approval.Commit(t.Context(), store, plan)
	state, loadErr := approval.Load(t.Context(), client)
	if loadErr != nil {
		t.Fatal(loadErr)
	}
	switch {
	case err == nil && state.Root.Version != 1:
		t.Errorf("call %d: reported as approved, but version %d is in effect", step, state.Root.Version)
	case errors.Is(err, platform.ErrUnavailable) && state.Root.Version != 0:
		t.Errorf("call %d: reported as not written, but version %d is in effect", step, state.Root.Version)
	case err != nil && !errors.Is(err, approval.ErrOutcomeUnknown) && !errors.Is(err, platform.ErrUnavailable):
		t.Errorf("call %d: %v", step, err)
	}
	again, err := approval.Commit(t.Context(), client, plan)
	if err != nil || again.Root.Version != 1 || len(again.Root.Changes) != 1 {
		t.Errorf("call %d: approved again: version %d, %v", step, again.Root.Version, err)
	}
	return store.reached
}
