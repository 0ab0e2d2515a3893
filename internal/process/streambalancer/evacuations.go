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

// Orders reads where operators keep which failure domains are evacuated.
type Orders interface {
	// Read returns the evacuations in force.
	Read(ctx context.Context) (evacuation.Snapshot, error)
	// Wait returns the next snapshot after one: with what has changed, or the same
	// evacuations at a later revision if nothing has within the source's own patience.
	// platform.ErrGone means that they have to be read anew.
	Wait(ctx context.Context, after evacuation.Snapshot) (evacuation.Snapshot, error)
}

// evacuations keeps up to date what is known of the evacuations: some of the balancers that
// read the configuration's changes read these as well, and tell the others.
func (b *Balancer) evacuations(ctx context.Context) {
	pause, retry := joinWait, firstRetry
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		var err error
		if pause, err = b.updateEvacuations(ctx); err == nil {
			retry = firstRetry
			continue
		}
		if ctx.Err() == nil {
			b.deps.Log.Warn().Str("event", "noevacuations").Err(err).Msg("the evacuations cannot be read")
		}
		pause = retry/2 + rand.N(retry/2)
		retry = min(2*retry, lastRetry)
	}
}

// updateEvacuations makes one step and returns how long to wait for the next one. Where the
// platform does not answer the watch of the configuration, it is left alone until it does:
// each call is paid for.
func (b *Balancer) updateEvacuations(ctx context.Context) (time.Duration, error) {
	b.mu.Lock()
	known := b.steerer.Evacuations()
	watches := b.watching && b.peers.WatchesEvacuations(b.deps.Clock.Now())
	b.mu.Unlock()
	switch {
	case !known.Known():
		return 0, b.readEvacuations(ctx)
	case watches:
		later, err := b.deps.Orders.Wait(ctx, known)
		if errors.Is(err, platform.ErrGone) {
			return 0, b.readEvacuations(ctx)
		}
		if err != nil {
			return 0, err
		}
		b.takeEvacuations(later, "platform")
		return 0, nil
	default:
		return idleWait, nil
	}
}

func (b *Balancer) readEvacuations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, firstRead+rand.N(firstRead))
	defer cancel()
	s, err := b.deps.Orders.Read(ctx)
	if err != nil {
		return err
	}
	b.takeEvacuations(s, "platform")
	return nil
}

func (b *Balancer) takeEvacuations(s evacuation.Snapshot, from string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyEvacuations(b.deps.Clock.Now(), s, from)
	b.flush()
}

// applyEvacuations takes a snapshot, and tells the other balancers at once if it differs.
// The lock is held.
func (b *Balancer) applyEvacuations(now clock.Millis, s evacuation.Snapshot, from string) {
	before := b.steerer.Evacuations()
	changed := b.steerer.UpdateEvacuations(now, s)
	if b.steerer.Evacuations().Revision != before.Revision {
		b.ordered = now
	}
	if !changed {
		return
	}
	b.deps.Log.Info().Str("event", "evacuations").Uint64("version", s.Revision).Strs("domains", s.Domains).
		Str("from", from).Send()
	b.deps.Scope.Gauge("evacuated").Update(float64(len(s.Domains)))
	b.tellAll(now)
}

// hearEvacuations takes what another balancer knows. The lock is held.
func (b *Balancer) hearEvacuations(now clock.Millis, m *wire.Evacuations) {
	if m == nil || b.deps.Orders == nil {
		return
	}
	b.applyEvacuations(now, evacuation.New(m.Revision, m.Domains), "peer")
}

// evacuationNews is what this balancer tells others of the evacuations, or nothing if it
// knows nothing of them.
func (b *Balancer) evacuationNews() *wire.Evacuations {
	s := b.steerer.Evacuations()
	if !s.Known() {
		return nil
	}
	return &wire.Evacuations{Revision: s.Revision, Domains: s.Domains}
}
