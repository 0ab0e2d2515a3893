package streambalancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/process/directory"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

const (
	// callTimeout bounds a call to a peer or to the platform, which answer within
	// milliseconds. A slow platform takes a few hundred.
	callTimeout = 1500 * time.Millisecond
	// initialFetchTimeout bounds a call to a peer while there is no configuration yet:
	// callers wait, and another peer or the platform may answer sooner.
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
	// peerWait is how long a starting process waits for a peer that has the configuration
	// before it reads the platform itself.
	peerWait = 40 * time.Millisecond
	// coalesceDelay is the delay after a version was read, so that versions in quick
	// succession cost a single call.
	coalesceDelay = 250 * time.Millisecond
	// idlePollInterval is the maximum sleep of a balancer that does not watch.
	idlePollInterval = 500 * time.Millisecond
	// minRegisterDelay and maxRegisterDelay bound the exponential backoff after a failed
	// registration. Without the directory a balancer knows only its seeds.
	minRegisterDelay = 200 * time.Millisecond
	maxRegisterDelay = 2 * time.Second
	// minFindPeersDelay and maxFindPeersDelay bound the delays, which double, after which a
	// balancer without peers reads a current list of them. A single balancer reads three.
	minFindPeersDelay = time.Second
	maxFindPeersDelay = 4 * time.Second
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
		b.waitForConfig(ctx, retry/2+rand.N(retry/2))
		retry = min(2*retry, maxRetryDelay)
	}
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

// syncConfigOnce makes one step and returns how long to wait for the next one. It returns
// false after a failure.
func (b *Balancer) syncConfigOnce(ctx context.Context) (time.Duration, bool) {
	b.mu.Lock()
	now := b.deps.Clock.Now()
	version, table := b.tableVersion(), b.steerer.Table()
	peer, later := b.peers.Newest(now, version)
	watches := b.peers.Watches(now)
	b.mu.Unlock()
	switch {
	case later:
		timeout := callTimeout
		if table == nil {
			timeout = initialFetchTimeout
		}
		t, err := fetchTable(ctx, peer.Address, version, timeout)
		if err != nil {
			b.mu.Lock()
			b.peers.FetchFailed(b.deps.Clock.Now(), peer.Address)
			b.mu.Unlock()
		}
		return 0, b.applyTable(t, err, "peer")
	case table == nil:
		t, err := b.readTable(ctx)
		b.setWatching(platformAnswered(err))
		return 0, b.applyTable(t, err, "platform")
	case watches:
		return b.watchTable(ctx, table)
	default:
		b.setWatching(false)
		return idlePollInterval, true
	}
}

func (b *Balancer) readTable(ctx context.Context) (*routing.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, initialReadTimeout+rand.N(initialReadTimeout))
	defer cancel()
	return b.deps.Source.Read(ctx)
}

// watchTable waits for a version after the current one. It returns early if a peer
// announces a later version, which is then fetched from that peer.
//
// The wait starts from the revision at which the last one ended. The version's own revision
// may have been dropped from the platform's history, and waits from there would fail at
// once.
func (b *Balancer) watchTable(ctx context.Context, current *routing.Table) (time.Duration, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-b.configWake:
			b.wakeConfig()
			cancel()
		case <-stop:
		}
	}()
	b.setWatching(true)
	change, err := b.deps.Source.Wait(ctx, max(b.seenRevision, current.Revision))
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

// platformAnswered reports whether the platform answered a call, even if with a version
// that cannot be read: another balancer could not read it either.
func platformAnswered(err error) bool {
	return !errors.Is(err, platform.ErrUnavailable)
}

func (b *Balancer) setWatching(on bool) {
	b.mu.Lock()
	changed := b.watching != on
	b.watching = on
	b.mu.Unlock()
	if changed {
		b.deps.Log.Info().Str("event", "watch").Bool("watching", on).Send()
	}
}

// applyTable activates a routing table and notifies the neighbours.
func (b *Balancer) applyTable(t *routing.Table, err error, from string) bool {
	if err != nil {
		b.deps.Log.Warn().Str("event", "noconfiguration").Str("from", from).Err(err).Msg("reading the configuration failed")
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	if !b.steerer.SetTable(now, t) {
		return true
	}
	b.deps.Log.Info().Str("event", "version").Uint64("version", t.Version).Uint64("revision", t.Revision).
		Int("listeners", len(t.Listeners)).Str("from", from).Msg("configuration in force")
	b.broadcastNews(now)
	return true
}

// register joins the balancers listed in the directory, and writes this balancer's entry
// unless it is listed. Most starts are restarts, and a list costs the platform less than a
// write. The list may be some seconds old: an entry that was removed meanwhile, after a
// minute of silence, is missed until the next start. Other balancers still name this one to
// others.
func (b *Balancer) register(ctx context.Context) {
	entry := directory.Entry{
		Name: b.settings.Name, Address: b.settings.Parcels, Domain: b.settings.Domain, CPUShare: b.settings.CPUShare,
	}
	pause := minRegisterDelay
	for !b.tryRegister(ctx, entry) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, maxRegisterDelay)
	}
	b.findPeers(ctx)
}

// findPeers reads current lists while no other balancer answers: a list that is some seconds
// old names only those that have left if all were replaced at once.
func (b *Balancer) findPeers(ctx context.Context) {
	for pause := minFindPeersDelay; pause <= maxFindPeersDelay; pause *= 2 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if !b.alone() {
			return
		}
		b.readCurrentEntries(ctx)
	}
}

// alone reports whether no other balancer answers.
func (b *Balancer) alone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	return !slices.ContainsFunc(b.peers.Sorted(), func(p *Peer) bool { return p.Live(now) })
}

func (b *Balancer) readCurrentEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := b.deps.Directory.CurrentEntries(ctx)
	if err != nil {
		b.deps.Log.Warn().Str("event", "nodirectory").Err(err).Msg("reading the directory failed")
		return
	}
	b.learnEntries(entries)
}

func (b *Balancer) tryRegister(ctx context.Context, entry directory.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	entries, err := b.deps.Directory.Entries(ctx)
	if err != nil {
		b.deps.Log.Warn().Str("event", "nodirectory").Err(err).Msg("reading the directory failed")
		return false
	}
	b.learnEntries(entries)
	if !slices.Contains(entries, entry) {
		if err := b.deps.Directory.Register(ctx, entry); err != nil {
			b.deps.Log.Warn().Str("event", "unregistered").Err(err).Msg("registering in the directory failed")
			return false
		}
	}
	b.deps.Log.Info().Str("event", "registered").Int("entries", len(entries)).Send()
	return true
}

// learnEntries adds the balancers of the directory to the peers.
func (b *Balancer) learnEntries(entries []directory.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range entries {
		b.peers.Learn(b.deps.Clock.Now(), e.Address, Peer{Name: e.Name, Domain: e.Domain, CPUShare: e.CPUShare})
	}
}
