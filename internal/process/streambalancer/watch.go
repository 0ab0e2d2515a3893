package streambalancer

import (
	"context"
	"errors"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// A balancer tells the others that it watches the platform, so that they need not. What it
// tells rests on answers: it starts with an answered read, and ends when a call of the watch
// fails or watchLease has passed since the last answer. A pending watch proves nothing, so
// the platform is pinged beside it.

const (
	// WaitHold is how long the platform is to hold a Source's wait without a change. A platform
	// that swallows a wait while its replicas answer pings is noticed only when the wait
	// fails. Together with WaitSlack and failover.MaxDelay this stays close to the time within
	// which a version must be active; shorter waits cost more, as each one is billed.
	WaitHold = 2 * time.Second
	// WaitSlack is how much longer the answer may take, unless the platform is slow.
	WaitSlack = 600 * time.Millisecond
	// pingInterval is the time after an answer until the platform is pinged, and
	// pingTimeout how long a ping may take.
	pingInterval = 1100 * clock.Millis(1)
	pingTimeout  = 600 * clock.Millis(1)
	// maxAnswerTime bounds how long the platform may take for an answer.
	maxAnswerTime = 2400 * clock.Millis(1)
	// pingRetryDelay is the delay after a ping that was refused at once.
	pingRetryDelay = 100 * time.Millisecond
	// watchLease is how long a balancer counts as watching after an answer, if the platform
	// is not slow. Together with failover.MaxDelay it stays below the time within which a
	// version must be active.
	watchLease = pingInterval + pingTimeout
)

// A platform that answers late must not be taken for a silent one for good. So a ping is
// given up after a while, but its answer is still awaited: if it comes, later calls are given
// more time.

// recordAnswer records how long the platform took for an answer.
func (b *Balancer) recordAnswer(elapsed clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answerTime = 0
	if elapsed > pingTimeout {
		b.answerTime = elapsed
	}
}

// answerTimeout returns how long an answer of the platform may take, at least the given
// time. The caller holds the lock.
func (b *Balancer) answerTimeout(least clock.Millis) clock.Millis {
	return max(least, b.answerTime*3/2)
}

// currentTimeout is answerTimeout for a caller that does not hold the lock.
func (b *Balancer) currentTimeout(least clock.Millis) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answerTimeout(least).Duration()
}

// platformAnswered reports whether the platform answered a call, even if with a version
// that cannot be read: another balancer could not read it either.
func platformAnswered(err error) bool {
	return !errors.Is(err, platform.ErrUnavailable)
}

// startWatch tries whether the platform answers this balancer. A ping goes first: while the
// platform is unavailable, many balancers try, and a ping costs little. Its answer may come
// from a replica and is not enough.
func (b *Balancer) startWatch(ctx context.Context) bool {
	err := b.ping(ctx, b.currentTimeout(pingTimeout))
	if !platformAnswered(err) {
		return b.applyTable(nil, err, "platform")
	}
	return b.readTable(ctx, true)
}

// ping returns platform.ErrUnavailable if the platform has not answered within the timeout.
func (b *Balancer) ping(ctx context.Context, timeout time.Duration) error {
	answer := make(chan error, 1)
	b.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, maxAnswerTime.Duration())
		defer cancel()
		sentAt := b.deps.Clock.Now()
		err := b.deps.Source.Ping(ctx)
		if platformAnswered(err) {
			b.recordAnswer(b.deps.Clock.Now().Sub(sentAt))
		}
		answer <- err
	})
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return platform.ErrUnavailable
	case <-time.After(timeout):
		return platform.ErrUnavailable
	}
}

// watchTable waits for a version after the current one. It returns early if a peer
// announces a later version, which is then fetched from that peer, or if the platform stops
// answering.
//
// The wait starts from the revision at which the last one ended. The version's own revision
// may have been dropped from the platform's history, and waits from there would fail at
// once.
//
// An answer that is arriving renews the watch as well as a ping does: it may fill a narrow link
// for seconds, and pings get lost beside it.
func (b *Balancer) watchTable(ctx context.Context, current *routing.Table) (time.Duration, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go b.cancelOnWake(ctx, cancel)
	go b.renewWatch(ctx, cancel)
	slack := b.currentTimeout(clock.FromDuration(WaitSlack))
	change, err := b.deps.Source.Wait(ctx, max(b.seenRevision, current.Revision), slack, func() { b.setWatching(true) })
	if ctx.Err() != nil {
		return 0, true
	}
	b.setWatching(platformAnswered(err))
	b.seenRevision = max(b.seenRevision, change.Revision)
	if change.Table == nil && err == nil {
		return 0, true
	}
	return coalesceDelay, b.applyTable(change.Table, err, "platform")
}

// cancelOnWake cancels a wait if the loop that syncs the configuration is woken, and leaves
// the wake-up for that loop.
func (b *Balancer) cancelOnWake(ctx context.Context, cancel context.CancelFunc) {
	select {
	case <-b.configWake:
		b.wakeConfig()
		cancel()
	case <-ctx.Done():
	}
}

// renewWatch pings the platform during a wait, and cancels the wait if the platform no
// longer answers.
func (b *Balancer) renewWatch(ctx context.Context, cancel context.CancelFunc) {
	pause := b.untilLeaseEnds() - b.currentTimeout(pingTimeout)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		answered := platformAnswered(b.ping(ctx, b.untilLeaseEnds()))
		switch {
		case ctx.Err() != nil:
			return
		case answered:
			b.setWatching(true)
			pause = pingInterval.Duration()
		case b.untilLeaseEnds() > 0:
			pause = pingRetryDelay
		default:
			b.setWatching(false)
			cancel()
			return
		}
	}
}

// untilLeaseEnds returns the time until this balancer no longer counts as watching, negative
// if that has passed.
func (b *Balancer) untilLeaseEnds() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return (b.answeredAt + b.lease() - b.deps.Clock.Now()).Duration()
}

// lease returns how long this balancer counts as watching after an answer: watchLease, or
// longer if the platform is slow. The caller holds the lock.
func (b *Balancer) lease() clock.Millis {
	return pingInterval + b.answerTimeout(pingTimeout)
}

// setWatching records whether the platform has answered this balancer while it watches.
func (b *Balancer) setWatching(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateWatching(b.deps.Clock.Now(), on)
}

// updateWatching is setWatching for a caller that holds the lock. The other balancers are
// notified at once: one of them takes over, or ends its own watch.
func (b *Balancer) updateWatching(now clock.Millis, on bool) {
	if on {
		b.answeredAt, b.retryWatchAt = now, 0
	}
	if b.watching == on {
		return
	}
	b.watching, b.watchingSince = on, now
	b.deps.Log.Info().Str("event", "watch").Bool("watching", on).Send()
	if !on {
		b.endDuties()
	}
	b.broadcastRoles(now)
}

// handleWatch handles news of a balancer that begins or ends its watch: this one takes over,
// or leaves the watch to one of higher rank. The caller holds the lock.
func (b *Balancer) handleWatch(now clock.Millis, watched, watches bool) {
	switch {
	case watched && !watches && !b.watching:
		b.retryWatchAt = 0
		b.wakeConfig()
	case !watched && watches && b.watching && !b.peers.Watches(now):
		b.wakeConfig()
	}
}

// expireWatch ends the watch if the last answer is too old, as after a call to a peer that
// took long. The caller holds the lock.
func (b *Balancer) expireWatch(now clock.Millis) {
	if b.watching && now.Sub(b.answeredAt) > b.lease() {
		b.updateWatching(now, false)
	}
}
