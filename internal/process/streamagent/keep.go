package streamagent

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

const (
	// readTimeout bounds a call that reads the entry, and writeTimeout one that
	// writes it: a slow store answers in some 400 ms.
	readTimeout  = 800 * time.Millisecond
	writeTimeout = 1500 * time.Millisecond
	// firstReread and lastReread are the pauses between calls that read, doubling.
	firstReread = 100 * time.Millisecond
	lastReread  = 2 * time.Second
	// keepTick is the pause between two looks whether the entry is to be written.
	keepTick = 250 * time.Millisecond
	// removeTimeout bounds the end of an entry when the process ends.
	removeTimeout = 300 * time.Millisecond
)

// Checkpoints is where the entry of the agent's target is kept.
type Checkpoints interface {
	Read(ctx context.Context) (checkpoint.Entry, error)
	// Write returns the entry that is there with platform.ErrConflict if it is not
	// the one that was seen last.
	Write(ctx context.Context, e *checkpoint.Entry) (checkpoint.Entry, error)
	Remove(ctx context.Context) error
}

// keeps restores the flows that an earlier process has left, and keeps those of this
// one in the store. Nothing is written before the earlier entry was read: it would be
// lost.
func (a *Agent) keeps(ctx context.Context) {
	if !a.restores(ctx) {
		return
	}
	w := checkpoint.NewWriter(a.settings.Checkpoint)
	ticker := time.NewTicker(keepTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := a.deps.Clock.Now(); w.Due(now) {
			a.keep(ctx, w)
		}
	}
}

// restores reads the earlier entry. It gives up once the flows in it are older than a
// flow may be, and returns false when the process ends.
func (a *Agent) restores(ctx context.Context) bool {
	pause := firstReread
	for a.deps.Clock.Now().Sub(a.started) < a.settings.FlowLife {
		if a.restored(ctx) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
		pause = min(2*pause, lastReread)
	}
	return ctx.Err() == nil
}

// restored reads the earlier entry once, and reports whether that is done.
func (a *Agent) restored(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := a.deps.Checkpoints.Read(ctx)
	switch {
	case err == nil:
		a.restore(&e)
		return true
	case errors.Is(err, platform.ErrNotFound):
		return true
	default:
		a.deps.Log.Warn().Str("event", "nocheckpoint").Err(err).Msg("the flows of before cannot be read")
		return errors.Is(err, checkpoint.ErrFormat) || errors.Is(err, checkpoint.ErrUnreadable)
	}
}

func (a *Agent) restore(e *checkpoint.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Restore(a.deps.Clock.Now(), time.Now().UnixMilli(), *e)
	a.flush()
}

// keep writes the open flows if that is worth a call.
func (a *Agent) keep(ctx context.Context, w *checkpoint.Writer) {
	a.mu.Lock()
	ready := a.holder.Keeps()
	var e checkpoint.Entry
	if ready {
		e = a.holder.Entry(time.Now().UnixMilli())
	}
	targets := a.holder.Targets()
	a.mu.Unlock()
	if !ready {
		return
	}
	w.Trim(&e)
	if w.Changed(&e) {
		a.save(ctx, w, &e)
	}
	w.Looked(a.deps.Clock.Now(), targets, rand.Float64())
}

func (a *Agent) save(ctx context.Context, w *checkpoint.Writer, e *checkpoint.Entry) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	other, err := a.deps.Checkpoints.Write(ctx, e)
	switch {
	case err == nil:
		w.Wrote(e)
		a.deps.Log.Debug().Str("event", "checkpoint").Int("flows", len(e.Flows)).Uint64("born", e.Born).Send()
		a.deps.Scope.Counter("checkpoints").Inc(1)
	case errors.Is(err, platform.ErrConflict):
		// A write of an earlier process was carried out late, or this one's answer
		// was lost.
		w.Failed()
		a.restore(&other)
	default:
		w.Failed()
	}
	if err != nil && ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.deps.Log.Warn().Str("event", "nocheckpoint").Err(err).Int("flows", len(e.Flows)).Msg("the flows cannot be written")
		a.deps.Scope.Counter("nocheckpoints").Inc(1)
	}
}

// forget takes the entry away when the target has ended as planned: its callers were
// told, and the address may be another target's soon.
func (a *Agent) forget() {
	if a.deps.Checkpoints == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	if err := a.deps.Checkpoints.Remove(ctx); err != nil {
		a.deps.Log.Warn().Str("event", "nocheckpoint").Err(err).Msg("the entry stays until the address has another target")
	}
}
