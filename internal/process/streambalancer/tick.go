package streambalancer

import (
	"context"
	"time"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// tickInterval is the interval between ticks, and searchTickInterval the interval
	// during a search, whose first stage lasts 15 ms.
	tickInterval       = 50 * time.Millisecond
	searchTickInterval = 10 * time.Millisecond
	// lateTickThreshold is the delay above which a late tick is reported.
	lateTickThreshold = 100 * clock.Millis(1)
)

func (b *Balancer) runTicker(ctx context.Context) {
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

// step does the work that is due and returns the delay until the next tick.
func (b *Balancer) step() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	b.reportLateTick(now)
	b.steerer.Tick(now)
	b.flush()
	b.expireWatch(now)
	b.sendDueNews(now)
	b.sendDueSummaries(now)
	b.sendNotices(now)
	b.updateRotation(now)
	b.reportVersion(now)
	b.updateHandOn(now)
	if b.traffic.LogIfDue(now, false) {
		b.reportTargets(now)
	}
	b.tickInterval = tickInterval
	if b.steerer.Searches() > 0 {
		b.tickInterval = searchTickInterval
	}
	b.tickDue = b.deps.Clock.Now() + clock.FromDuration(b.tickInterval)
	return b.tickInterval
}

// reportLateTick reports that this process was paused or lacks CPU time.
func (b *Balancer) reportLateTick(now clock.Millis) {
	if b.tickDue == 0 {
		return
	}
	late := now.Sub(b.tickDue)
	b.rotation.Lateness.Add(late, clock.FromDuration(b.tickInterval))
	if late > lateTickThreshold {
		b.deps.Scope.Timer("late").Record(late.Duration())
		b.deps.Log.Warn().Str("event", "late").Int64("age", int64(late)).Int("searches", b.steerer.Searches()).Send()
	}
}

// reportTargets reports the number of known targets and the age of what is known about
// those of other failure domains.
func (b *Balancer) reportTargets(now clock.Millis) {
	answering, all := b.steerer.Targets.Answering(now)
	remote, age := b.steerer.Targets.RemoteAge(now)
	b.deps.Scope.Gauge("targets").Update(float64(all))
	b.deps.Scope.Gauge("targets_far_age_ms").Update(float64(age))
	if b.deps.Evacuations != nil {
		b.deps.Scope.Gauge("evacuations_age_ms").Update(float64(now.Sub(b.evacuationsCheckedAt)))
	}
	b.deps.Log.Info().Str("event", "targets").Int("answering", answering).Int("all", all).Int("far", remote).
		Int64("age", int64(age)).Int("flows", b.steerer.Flows()).Int("searches", b.steerer.Searches()).Send()
}
