package streamagent

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

const (
	// readTimeout bounds a read from the platform: a slow store answers in some 400 ms.
	readTimeout = 800 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before a failed read is retried,
	// which doubles.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// readJitter spreads the reads of a failure domain's agents, which learn at the same
	// time that the platform is reachable.
	readJitter = 50 * time.Millisecond
)

// CheckpointReader reads the stored flows of targets.
type CheckpointReader interface {
	// Entry returns the checkpoint entry of an agent's target, or platform.ErrNotFound.
	Entry(ctx context.Context, agent netip.AddrPort) (checkpoint.Entry, error)
}

// runRestore reads the checkpoint of an earlier agent process. It retries while the
// platform does not answer, and at once when a balancer's probe shows that the platform
// is reachable. It gives up after Settings.FlowTTL, when all flows in the checkpoint have
// expired.
func (a *Agent) runRestore(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil && a.deps.Clock.Now().Sub(a.startedAt) < a.settings.FlowTTL {
		if a.tryRestore(ctx) {
			return
		}
		select {
		case <-ctx.Done():
		case <-a.restoreWake:
			time.Sleep(rand.N(readJitter))
		case <-time.After(delay/2 + rand.N(delay/2)):
		}
		delay = min(2*delay, maxRetryDelay)
	}
	a.restore(nil)
}

// tryRestore reads the entry once, and reports whether no retry is needed.
func (a *Agent) tryRestore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := a.deps.Checkpoints.Entry(ctx, a.settings.Parcels)
	switch {
	case err == nil:
		a.restore(&e)
		return true
	case errors.Is(err, platform.ErrNotFound):
		a.restore(nil)
		return true
	}
	a.deps.Log.Warn().Str("event", "nocheckpoint").Err(err).Msg("reading the checkpoint of the earlier process failed")
	if errors.Is(err, checkpoint.ErrFormat) || errors.Is(err, checkpoint.ErrUnreadable) {
		a.restore(nil)
		return true
	}
	return false
}

func (a *Agent) restore(e *checkpoint.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.Restore(a.deps.Clock.Now(), time.Now().UnixMilli(), e)
	a.flush()
}
