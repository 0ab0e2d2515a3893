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

// incarnationRecord is the platform's record of a target's current incarnation.
type incarnationRecord struct {
	Incarnation uint32 `json:"incarnation"`
	// ID identifies the writer when the response to a write was lost.
	ID string `json:"id"`
}

const (
	// restartTimeout bounds the wait for the platform when the balancers know a predecessor:
	// its flows are not served until the incarnation is acquired.
	restartTimeout = time.Second
	// firstStartTimeout bounds the wait for the platform when the balancers do not know the
	// target: only the platform knows whether it had a predecessor.
	firstStartTimeout = 10 * time.Second
)

func claimTimeout(known uint32) time.Duration {
	if known > 0 {
		return restartTimeout
	}
	return firstStartTimeout
}

// objectName returns the name of this target's objects on the platform.
func (a *Agent) objectName() string {
	return a.settings.Service + "." + a.settings.Name
}

// acquireIncarnation acquires the next incarnation of the target. The platform's
// conditional update gives concurrent successors different incarnations. While the
// platform is unavailable, the incarnation known to the balancers is incremented
// instead; if two processes do so at once, the balancers supersede the later one.
func (a *Agent) acquireIncarnation(ctx context.Context, known uint32) error {
	next := known + 1
	own := incarnationRecord{ID: uuid.NewString()}
	limited, cancel := context.WithTimeout(ctx, claimTimeout(known))
	defer cancel()
	for range maxWriteAttempts {
		n, err := a.claimIncarnation(limited, known, &own)
		if err == nil {
			next = n
			break
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrExists) {
			a.deps.Log.Warn().Str("event", "platform").Err(err).Msg("platform unavailable; incrementing the incarnation known to the balancers")
			break
		}
	}
	a.mu.Lock()
	a.self.Incarnation = next
	a.mu.Unlock()
	return ctx.Err()
}

// claimIncarnation writes the next incarnation to the platform and returns it.
func (a *Agent) claimIncarnation(ctx context.Context, known uint32, own *incarnationRecord) (uint32, error) {
	o, err := a.deps.Store.Get(ctx, platform.Incarnations, a.objectName())
	if errors.Is(err, platform.ErrNotFound) {
		own.Incarnation = known + 1
		_, err = a.deps.Store.Create(ctx, platform.Incarnations, a.objectName(), own)
		return a.confirmClaim(ctx, own, err)
	}
	if err != nil {
		return 0, err
	}
	var old incarnationRecord
	if err := json.Unmarshal(o.Spec, &old); err != nil {
		return 0, errs.Wrap(err)
	}
	own.Incarnation = max(old.Incarnation, known) + 1
	o.Spec, _ = json.Marshal(own)
	_, err = a.deps.Store.Update(ctx, platform.Incarnations, o)
	return a.confirmClaim(ctx, own, err)
}

// confirmClaim returns the result of a write, which it reads back if the response
// was lost.
func (a *Agent) confirmClaim(ctx context.Context, own *incarnationRecord, err error) (uint32, error) {
	if err == nil {
		return own.Incarnation, nil
	}
	if !errors.Is(err, platform.ErrUnknown) {
		return 0, err
	}
	o, getErr := a.deps.Store.Get(ctx, platform.Incarnations, a.objectName())
	var stored incarnationRecord
	if getErr != nil || json.Unmarshal(o.Spec, &stored) != nil || stored.ID != own.ID {
		return 0, platform.ErrConflict
	}
	return own.Incarnation, nil
}
