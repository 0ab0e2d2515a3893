package streambalancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// EvacuationSource reads from the store which failure domains operators have evacuated.
type EvacuationSource interface {
	// Read returns the evacuations in force.
	Read(ctx context.Context) (evacuation.Snapshot, error)
	// Wait returns the next snapshot after the given one: a changed one, or the same
	// evacuations at a later revision if nothing has changed before the source's own
	// timeout; slack is how much longer the answer may take. platform.ErrGone means that they
	// must be read again.
	Wait(ctx context.Context, after evacuation.Snapshot, slack time.Duration) (evacuation.Snapshot, error)
}

// syncEvacuations keeps the known evacuations up to date: some of the balancers that watch
// the configuration also watch the evacuations, and notify the others.
func (b *Balancer) syncEvacuations(ctx context.Context) {
	pause, retry := peerWait, minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.evacuationWake:
		case <-time.After(pause):
		}
		var err error
		if pause, err = b.updateEvacuations(ctx); err == nil {
			retry = minRetryDelay
			continue
		}
		if ctx.Err() == nil {
			b.deps.Log.Warn().Str("event", "noevacuations").Err(err).Msg("reading the evacuations failed")
		}
		pause = b.delayEvacuationRetry(retry)
		retry = min(2*retry, maxRetryDelay)
	}
}

// delayEvacuationRetry returns how long to wait after a failed call. A balancer that knows
// the evacuations retries sparsely, as others try as well; without them, callers wait.
func (b *Balancer) delayEvacuationRetry(delay time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.steerer.Evacuations().Known() {
		delay = sparseRetryDelay
	}
	return delay/2 + rand.N(delay/2)
}

func (b *Balancer) wakeEvacuations() {
	select {
	case b.evacuationWake <- struct{}{}:
	default:
	}
}

// updateEvacuations makes one step and returns how long to wait for the next one. While the
// platform does not answer the watch of the configuration, no other calls are made: each
// call is billed.
//
// An answered read starts the duty: a pending wait proves nothing.
func (b *Balancer) updateEvacuations(ctx context.Context) (time.Duration, error) {
	b.mu.Lock()
	known := b.steerer.Evacuations()
	delay, needed := b.dutyDelay(b.deps.Clock.Now(), EvacuationDuty)
	performing := b.duties.Has(EvacuationDuty)
	b.mu.Unlock()
	turn := needed && delay == 0
	switch {
	case !known.Known(), turn && !performing:
		return 0, b.readEvacuations(ctx)
	case turn:
		return 0, b.awaitEvacuations(ctx, known)
	}
	b.releaseDuty(EvacuationDuty)
	if !needed {
		return idlePollInterval, nil
	}
	return min(max(delay.Duration(), minWatchPoll), idlePollInterval), nil
}

// awaitEvacuations waits for the next snapshot. The wait ends early together with the watch
// of the configuration, as a store that has stopped answering swallows both, and when it is
// another balancer's turn.
func (b *Balancer) awaitEvacuations(ctx context.Context, known evacuation.Snapshot) error {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	if !b.setEvacuationWait(cancel) {
		return nil
	}
	slack := b.currentTimeout(clock.FromDuration(WaitSlack))
	later, err := b.deps.Evacuations.Wait(wait, known, slack)
	b.setEvacuationWait(nil)
	switch {
	case wait.Err() != nil:
		return nil
	case errors.Is(err, platform.ErrGone):
		return b.readEvacuations(ctx)
	}
	b.recordDuty(EvacuationDuty, platformAnswered(err))
	if err != nil {
		return err
	}
	b.setEvacuations(later, "platform")
	return nil
}

// setEvacuationWait sets how to cancel the pending wait. It returns false if the duty has
// ended.
func (b *Balancer) setEvacuationWait(cancel context.CancelFunc) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cancelEvacuationWait = cancel
	return b.duties.Has(EvacuationDuty)
}

func (b *Balancer) readEvacuations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, b.readTimeout())
	defer cancel()
	s, err := b.deps.Evacuations.Read(ctx)
	b.recordDuty(EvacuationDuty, platformAnswered(err))
	if err != nil {
		return err
	}
	b.setEvacuations(s, "platform")
	return nil
}

func (b *Balancer) setEvacuations(s evacuation.Snapshot, from string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyEvacuations(b.deps.Clock.Now(), s, from)
	b.flush()
}

// applyEvacuations applies a snapshot, and notifies the other balancers at once if it
// differs. The caller holds the lock.
func (b *Balancer) applyEvacuations(now clock.Millis, s evacuation.Snapshot, from string) {
	before := b.steerer.Evacuations()
	changed := b.steerer.UpdateEvacuations(now, s)
	if b.steerer.Evacuations().Revision != before.Revision {
		b.evacuationsCheckedAt = now
	}
	if !changed {
		return
	}
	b.deps.Log.Info().Str("event", "evacuations").Uint64("version", s.Revision).Strs("domains", s.Domains).
		Str("from", from).Send()
	b.deps.Scope.Gauge("evacuated").Update(float64(len(s.Domains)))
	b.broadcastNews(now)
}

// handleEvacuations applies evacuations from another balancer's news. The caller holds the
// lock.
func (b *Balancer) handleEvacuations(now clock.Millis, m *wire.Evacuations) {
	if m == nil || b.deps.Evacuations == nil {
		return
	}
	b.applyEvacuations(now, evacuation.New(m.Revision, m.Domains), "peer")
}

// evacuationsMessage returns the known evacuations for the news, or nil if they are
// unknown.
func (b *Balancer) evacuationsMessage() *wire.Evacuations {
	s := b.steerer.Evacuations()
	if !s.Known() {
		return nil
	}
	return &wire.Evacuations{Revision: s.Revision, Domains: s.Domains}
}
