package streambalancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

const (
	// callTimeout bounds a call to the platform, and the time without progress of one to a
	// peer. Both answer within milliseconds; a slow platform takes a few hundred.
	callTimeout = 1500 * time.Millisecond
	// initialFetchTimeout bounds the time until a peer's answer begins while there is no
	// configuration yet: callers wait, and another peer or the platform may answer sooner.
	initialFetchTimeout = 400 * time.Millisecond
	// initialReadTimeout bounds the first read of the configuration, plus random jitter of
	// up to the same length. An unavailable platform may leave calls unanswered; balancers
	// that time out at different times detect its return soon, and the first one notifies
	// the others. A slow platform answers in some 400 ms.
	initialReadTimeout = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed calls. The
	// platform may be unavailable for most of a day, and its return must be detected within
	// a second.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// sparseRetryDelay bounds the delay after a failed call where another balancer watches
	// the platform or will notice its return.
	sparseRetryDelay = 2 * time.Second
	// peerWait is how long a starting process waits for a peer that has the configuration
	// before it reads the platform itself.
	peerWait = 40 * time.Millisecond
	// coalesceDelay is the delay after a version was read, so that versions in quick
	// succession cost a single call.
	coalesceDelay = 250 * time.Millisecond
	// idlePollInterval is the maximum sleep of a balancer that does not watch.
	idlePollInterval = 500 * time.Millisecond
	// minWatchPoll is the minimum sleep of a balancer that waits for its turn to watch.
	minWatchPoll = 10 * time.Millisecond
)

// syncConfig keeps the routing table up to date: from a peer that has a later version, else
// from the platform if this balancer is the one that watches it.
func (b *Balancer) syncConfig(ctx context.Context) {
	b.waitForConfig(ctx, peerWait)
	retry := minRetryDelay
	for ctx.Err() == nil {
		pause, ok := b.syncConfigOnce(ctx)
		if ok {
			retry = minRetryDelay
			b.waitForConfig(ctx, pause)
			continue
		}
		b.waitForConfig(ctx, b.delayRetry(retry))
		retry = min(2*retry, maxRetryDelay)
	}
}

// delayRetry returns how long to wait after a failed call. After a second failure in a row a
// balancer that need not be the first to notice that the platform answers again retries
// sparsely. Without a configuration it must: callers wait, unless there is none for anybody.
func (b *Balancer) delayRetry(delay time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	again := b.retryWatchAt != 0 && !b.watching
	switch {
	case b.storeEmpty:
		delay = maxRetryDelay
	case again && b.steerer.Table() != nil && !b.peers.AwaitsPlatform(now):
		delay = sparseRetryDelay
	}
	delay = delay/2 + rand.N(delay/2)
	b.retryWatchAt = now + clock.FromDuration(delay)
	return delay
}

// waitForConfig sleeps, but returns early when a peer announces a later version.
func (b *Balancer) waitForConfig(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-b.configWake:
	case <-time.After(d):
	}
}

func (b *Balancer) wakeConfig() {
	select {
	case b.configWake <- struct{}{}:
	default:
	}
}

// clearConfigWake clears a wake-up whose cause the next step takes into account anyway.
// Otherwise it would cancel the step's wait, and each wait is billed.
func (b *Balancer) clearConfigWake() {
	select {
	case <-b.configWake:
	default:
	}
}

// syncConfigOnce makes one step and returns how long to wait for the next one. It returns
// false after a failure.
func (b *Balancer) syncConfigOnce(ctx context.Context) (time.Duration, bool) {
	b.clearConfigWake()
	b.mu.Lock()
	now := b.deps.Clock.Now()
	version, table := b.tableVersion(), b.steerer.Table()
	peer, later := b.peers.Newest(now, version)
	watchDelay := b.peers.WatchDelay(now)
	watching, retryDelay := b.watching, b.retryWatchAt.Sub(now)
	b.storeEmpty = b.storeEmpty && !later
	watches := watchDelay == 0
	// The first configuration of a deployment is left to the watcher, as each read is billed.
	reads := table == nil && (watches || !b.storeEmpty)
	b.mu.Unlock()
	switch {
	case later:
		return 0, b.fetchFromPeer(ctx, peer.Address, version, table == nil)
	case reads:
		return 0, b.readTable(ctx, watches)
	case watches && !watching && retryDelay > 0:
		return retryDelay.Duration(), true
	case watches && !watching:
		return 0, b.startWatch(ctx)
	case watches:
		return b.watchTable(ctx, table)
	default:
		b.setWatching(false)
		return min(max(watchDelay.Duration(), minWatchPoll), idlePollInterval), true
	}
}

// fetchFromPeer gets a version later than the given one from a peer and activates it. After a
// transfer that ended early but made progress it may go on at once, also with the same peer.
func (b *Balancer) fetchFromPeer(ctx context.Context, from netip.AddrPort, above uint64, initial bool) bool {
	begin := callTimeout
	if initial {
		begin = initialFetchTimeout
	}
	received := b.transfer.Received()
	t, err := b.fetchTable(ctx, from, above, begin)
	progress := b.transfer.Received() > received
	b.mu.Lock()
	b.peers.Fetched(b.deps.Clock.Now(), from, err == nil || progress)
	b.mu.Unlock()
	return b.applyTable(t, err, "peer") || progress
}

// readTable reads the current version from the platform and activates it. An answer starts
// the watch of a balancer whose turn it is.
func (b *Balancer) readTable(ctx context.Context, watches bool) bool {
	ctx, cancel := context.WithTimeout(ctx, b.readTimeout())
	defer cancel()
	t, err := b.deps.Source.Read(ctx)
	b.setWatching(watches && platformAnswered(err))
	b.setStoreEmpty(errors.Is(err, platform.ErrNotFound))
	return b.applyTable(t, err, "platform")
}

// setStoreEmpty records whether the platform has answered that there is no configuration.
func (b *Balancer) setStoreEmpty(empty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.storeEmpty = empty
}

// readTimeout returns how long a read may take.
func (b *Balancer) readTimeout() time.Duration {
	return initialReadTimeout + rand.N(initialReadTimeout) + b.currentTimeout(0)
}

// applyTable activates a routing table and notifies the neighbours.
func (b *Balancer) applyTable(t *routing.Table, err error, from string) bool {
	if err != nil {
		latest, age := b.behind()
		b.deps.Log.Warn().Str("event", "noconfiguration").Str("from", from).Uint64("latest", latest).Int64("age", int64(age)).
			Err(err).Msg("reading the configuration failed")
		return false
	}
	changes := routing.Compare(b.currentTable(), t)
	b.archive.Add(changes)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	if !b.steerer.Activate(now, changes) {
		return true
	}
	age := b.lag.Age(now)
	b.lag.Activate(t.Version)
	b.updateHandOn(now)
	b.deps.Log.Info().Str("event", "version").Uint64("version", t.Version).Uint64("revision", t.Revision).
		Int("listeners", len(t.Listeners)).Int("replaced", len(changes.Replaced)).Str("from", from).Int64("age", int64(age)).Msg("configuration in force")
	for _, mistake := range t.Ignored {
		b.deps.Log.Warn().Str("event", "ignored").Uint64("version", t.Version).Str("mistake", mistake).Send()
	}
	b.broadcastNews(now)
	return true
}

// updateHandOn decides whether openings are left to balancers that have a version that has
// been known here for too long. Where nobody in reach has it, this balancer goes on. The caller
// holds the lock.
func (b *Balancer) updateHandOn(now clock.Millis) {
	overdue := b.lag.Overdue(now, maxLag)
	var peers []netip.AddrPort
	if overdue > 0 {
		peers = b.peers.UpToDate(now, overdue)
	}
	b.steerer.SetUpToDate(peers)
	if on := len(peers) > 0; on != b.handsOn {
		b.handsOn = on
		b.deps.Log.Warn().Str("event", "behind").Bool("handing", on).Uint64("version", b.tableVersion()).
			Uint64("latest", b.lag.Latest()).Int64("age", int64(b.lag.Age(now))).Int("count", len(peers)).Send()
	}
}

// currentTable returns the table in force, or nil.
func (b *Balancer) currentTable() *routing.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.steerer.Table()
}

// behind returns the latest version that is known and not in force, and for how long one has
// been known.
func (b *Balancer) behind() (uint64, clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lag.Latest(), b.lag.Age(b.deps.Clock.Now())
}

// reportVersion reports the version in force and since when a later one is known. The caller
// holds the lock.
func (b *Balancer) reportVersion(now clock.Millis) {
	b.deps.Scope.Gauge("version").Update(float64(b.tableVersion()))
	b.deps.Scope.Gauge("version_lag_ms").Update(float64(b.lag.Age(now)))
}
