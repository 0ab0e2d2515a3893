package agent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// holder is the platform's record of who holds a target's name.
type holder struct {
	Incarnation uint32 `json:"incarnation"`
	// ID tells whose write this is when an answer was lost.
	ID string `json:"id"`
}

const (
	// flowsWait is how long the flows of a predecessor wait for a slow platform to give
	// their target's next incarnation.
	flowsWait = time.Second
	// firstWait is how long a target waits that the balancers do not know: only the
	// platform can tell whether it had a predecessor.
	firstWait = 10 * time.Second
)

func holdLimit(known uint32) time.Duration {
	if known > 0 {
		return flowsWait
	}
	return firstWait
}

// object is the name of this target's objects in the platform.
func (a *Agent) object() string {
	return a.settings.Service + "." + a.settings.Name
}

// incarnate takes the next incarnation of the target's name. The platform's
// conditional update keeps two successors apart; while it is down, the
// incarnation that the balancers know is counted up instead, and two that do
// so at once are told apart by the balancers: the later one is superseded.
func (a *Agent) incarnate(ctx context.Context, known uint32) error {
	next := known + 1
	mine := holder{ID: uuid.NewString()}
	limited, cancel := context.WithTimeout(ctx, holdLimit(known))
	defer cancel()
	for range tries {
		n, err := a.hold(limited, known, &mine)
		if err == nil {
			next = n
			break
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrExists) {
			a.deps.Log.Warn().Str("event", "platform").Err(err).Msg("incarnation counted without the platform")
			break
		}
	}
	a.mu.Lock()
	a.self.Incarnation = next
	a.mu.Unlock()
	return ctx.Err()
}

func (a *Agent) hold(ctx context.Context, known uint32, mine *holder) (uint32, error) {
	o, err := a.deps.Store.Get(ctx, platform.Incarnations, a.object())
	if errors.Is(err, platform.ErrNotFound) {
		mine.Incarnation = known + 1
		_, err = a.deps.Store.Create(ctx, platform.Incarnations, a.object(), mine)
		return a.settleHold(ctx, mine, err)
	}
	if err != nil {
		return 0, err
	}
	var old holder
	if err := json.Unmarshal(o.Spec, &old); err != nil {
		return 0, errs.Wrap(err)
	}
	mine.Incarnation = max(old.Incarnation, known) + 1
	o.Spec, _ = json.Marshal(mine)
	_, err = a.deps.Store.Update(ctx, platform.Incarnations, o)
	return a.settleHold(ctx, mine, err)
}

// settleHold reads back a write whose answer was lost.
func (a *Agent) settleHold(ctx context.Context, mine *holder, err error) (uint32, error) {
	if err == nil {
		return mine.Incarnation, nil
	}
	if !errors.Is(err, platform.ErrUnknown) {
		return 0, err
	}
	o, e := a.deps.Store.Get(ctx, platform.Incarnations, a.object())
	var now holder
	if e != nil || json.Unmarshal(o.Spec, &now) != nil || now.ID != mine.ID {
		return 0, platform.ErrConflict
	}
	return mine.Incarnation, nil
}
