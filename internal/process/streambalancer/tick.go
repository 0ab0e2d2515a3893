package streambalancer

import (
	"context"
	"time"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// tick is the pause between two looks at what is due, and searchTick while
	// a search is under way, whose first stage lasts 15 ms.
	tick       = 50 * time.Millisecond
	searchTick = 10 * time.Millisecond
	// lateNoted is by how much a look at what is due must be late to be noted.
	lateNoted = 100 * clock.Millis(1)
)

func (b *Balancer) ticks(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(b.step())
	}
}

// step does what is due and returns the pause until the next look.
func (b *Balancer) step() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	b.noteLate(now)
	b.steerer.Tick(now)
	b.flush()
	b.tellNews(now)
	b.tellSummaries(now)
	if b.traffic.Tell(now, false) {
		b.noteTargets(now)
	}
	if b.steerer.Searches() > 0 {
		return searchTick
	}
	return tick
}

// noteLate notes that this process stood still, or is short of processor time.
func (b *Balancer) noteLate(now clock.Millis) {
	late := now.Sub(b.stepped) - clock.FromDuration(tick)
	if b.stepped != 0 && late > lateNoted {
		b.deps.Scope.Timer("late").Record(late.Duration())
		b.deps.Log.Warn().Str("event", "late").Int64("age", int64(late)).Int("searches", b.steerer.Searches()).Send()
	}
	b.stepped = now
}

// noteTargets tells what this balancer knows of the targets, and how old that is for those
// of other failure domains.
func (b *Balancer) noteTargets(now clock.Millis) {
	answering, all := b.steerer.Targets.Answering(now)
	far, age := b.steerer.Targets.FarAge(now)
	b.deps.Scope.Gauge("targets").Update(float64(all))
	b.deps.Scope.Gauge("targets_far_age_ms").Update(float64(age))
	if b.deps.Orders != nil {
		b.deps.Scope.Gauge("evacuations_age_ms").Update(float64(now.Sub(b.ordered)))
	}
	b.deps.Log.Info().Str("event", "targets").Int("answering", answering).Int("all", all).Int("far", far).
		Int64("age", int64(age)).Int("flows", b.steerer.Flows()).Int("searches", b.steerer.Searches()).Send()
}
