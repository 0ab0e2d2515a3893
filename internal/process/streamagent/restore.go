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
	// readTimeout bounds a call that reads the entry: a slow store answers in some
	// 400 ms.
	readTimeout = 800 * time.Millisecond
	// firstReread and lastReread are the pauses between calls that read, doubling.
	firstReread = 100 * time.Millisecond
	lastReread  = 2 * time.Second
	// spreadReads is over how long the agents of a failure domain read that are told at
	// the same time that the platform answers.
	spreadReads = 50 * time.Millisecond
)

// Checkpoints is where the flows of targets are kept.
type Checkpoints interface {
	// Entry returns what is kept of an agent's target, or platform.ErrNotFound.
	Entry(ctx context.Context, agent netip.AddrPort) (checkpoint.Entry, error)
}

// restores reads what an earlier process has left: again and again while the platform
// does not answer, and once a balancer says that it does. It gives up when the flows in
// it are older than a flow may be.
func (a *Agent) restores(ctx context.Context) {
	pause := firstReread
	for ctx.Err() == nil && a.deps.Clock.Now().Sub(a.started) < a.settings.FlowLife {
		if a.restored(ctx) {
			return
		}
		select {
		case <-ctx.Done():
		case <-a.readable:
			time.Sleep(rand.N(spreadReads))
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, lastReread)
	}
	a.restore(nil)
}

// restored reads the entry once, and reports whether that is done.
func (a *Agent) restored(ctx context.Context) bool {
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
	a.deps.Log.Warn().Str("event", "nocheckpoint").Err(err).Msg("the flows of before cannot be read")
	if errors.Is(err, checkpoint.ErrFormat) || errors.Is(err, checkpoint.ErrUnreadable) {
		a.restore(nil)
		return true
	}
	return false
}

func (a *Agent) restore(e *checkpoint.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Restore(a.deps.Clock.Now(), time.Now().UnixMilli(), e)
	a.flush()
}
