package streambalancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// checkpointInterval is how often to check whether checkpoints must be written, and
	// reloadDelay the mean delay after a failed load.
	checkpointInterval = 250 * time.Millisecond
	reloadDelay        = 2 * clock.Second
	// maxKeeperFailures is the number of successive loads or writes without an answer after
	// which another balancer takes over. keeperPause is the mean time for which a balancer
	// whose writes have failed does not try again: that loads are answered proves nothing.
	maxKeeperFailures = 3
	keeperPause       = clock.Minute
)

// CheckpointStore stores the checkpoints of a failure domain, which are split into shards.
type CheckpointStore interface {
	// Load reads a shard, or returns platform.ErrNotFound,
	// checkpoint.ErrUnreadable or ErrFormat.
	Load(ctx context.Context, shard int) (checkpoint.Shard, error)
	// Write replaces the shard that was last loaded or written. platform.ErrConflict means
	// that the stored shard is a different one.
	Write(ctx context.Context, s *checkpoint.Shard) error
	// List reads the current entries of a failure domain, or returns
	// checkpoint.ErrUnreadable or ErrFormat. It may be called during the other calls.
	List(ctx context.Context, domain string) ([]checkpoint.Entry, error)
}

// keeperState is the state of runKeeper, which alone uses it.
type keeperState struct {
	// active reports whether this balancer writes the checkpoints of its failure domain.
	active bool
	// failures counts the successive failed loads and writes, and retryAt is the time before
	// which nothing is loaded.
	failures int
	retryAt  clock.Millis
}

// runKeeper writes the checkpoints of the local failure domain while it is this balancer's
// turn: it watches the platform, or the platform does not answer the watcher's calls for
// checkpoints.
func (b *Balancer) runKeeper(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkpointInterval):
		}
		b.keepCheckpoints(ctx)
	}
}

// keepCheckpoints makes one step of runKeeper.
func (b *Balancer) keepCheckpoints(ctx context.Context) {
	b.mu.Lock()
	now := b.deps.Clock.Now()
	turn := b.isDutyTurn(now, KeeperDuty)
	b.mu.Unlock()
	k := &b.keeperState
	switch {
	case !turn:
		k.failures, k.retryAt = 0, 0
		b.setKeeper(false)
		b.releaseDuty(KeeperDuty)
	case k.active:
		b.writeDueShards(ctx)
		b.reportKeeping()
	case now >= k.retryAt && b.loadShards(ctx):
		k.failures = 0
		b.setKeeper(true)
		b.reportKeeping()
	default:
		b.reportKeeping()
	}
}

// reportKeeping announces whether this balancer stores checkpoints. After a single failure
// that stays as it was.
func (b *Balancer) reportKeeping() {
	k := &b.keeperState
	if k.failures < maxKeeperFailures {
		if k.active {
			b.recordDuty(KeeperDuty, true)
		}
		return
	}
	if k.active {
		k.delayLoad(b.deps.Clock.Now(), keeperPause)
	}
	b.setKeeper(false)
	b.recordDuty(KeeperDuty, false)
}

// delayLoad delays the next load by about the given time.
func (k *keeperState) delayLoad(now, pause clock.Millis) {
	k.retryAt = now + pause/2 + clock.Millis(rand.Int64N(int64(pause)))
}

// reloadPause returns the mean delay after a failed load. A balancer that does not watch the
// platform need not be the first one whose loads are answered again.
func (b *Balancer) reloadPause() clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.watching && b.keeperState.failures+1 >= maxKeeperFailures {
		return keeperPause
	}
	return reloadDelay
}

func (b *Balancer) setKeeper(on bool) {
	if b.keeperState.active == on {
		return
	}
	b.keeperState.active = on
	b.mu.Lock()
	b.steerer.SetKeeper(on)
	if !on {
		b.keeper.Reset()
	}
	b.mu.Unlock()
	b.deps.Log.Info().Str("event", "keeper").Bool("keeping", on).Send()
}

// loadShards reads the stored shards before anything is written. Otherwise what agents sent
// to an earlier keeper would be lost.
func (b *Balancer) loadShards(ctx context.Context) bool {
	for shard := 0; shard < b.shardCount(); shard++ {
		if !b.loadShard(ctx, shard) {
			return false
		}
	}
	return true
}

func (b *Balancer) shardCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keeper.ShardCount()
}

func (b *Balancer) loadShard(ctx context.Context, shard int) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := b.deps.Checkpoints.Load(ctx, shard)
	switch {
	case err == nil:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.keeper.Load(b.deps.Clock.Now(), time.Now().UnixMilli(), &s)
		return true
	case errors.Is(err, platform.ErrNotFound):
		return true
	case errors.Is(err, checkpoint.ErrUnreadable):
		b.reportCheckpointError(err, "stored checkpoint shard is unreadable and will be replaced")
		return true
	case errors.Is(err, checkpoint.ErrFormat):
		b.reportCheckpointError(err, "stored checkpoint shard has another format and is left alone")
		b.keeperState.delayLoad(b.deps.Clock.Now(), reloadDelay)
		return false
	default:
		b.reportCheckpointError(err, "loading a checkpoint shard failed")
		b.keeperState.delayLoad(b.deps.Clock.Now(), b.reloadPause())
		b.keeperState.failures++
		return false
	}
}

func (b *Balancer) reportCheckpointError(err error, message string) {
	b.deps.Log.Warn().Str("event", "nocheckpoint").Err(err).Msg(message)
	b.deps.Scope.Counter("nocheckpoint").Inc(1)
}

// writeDueShards writes the shards that are due and acknowledges the agents' checkpoints.
func (b *Balancer) writeDueShards(ctx context.Context) {
	b.mu.Lock()
	now := b.deps.Clock.Now()
	b.keeper.Remove(func(agent netip.AddrPort) bool { return b.steerer.Targets.RecentlyLeft(now, agent) })
	b.keeper.SetDomainCount(b.peers.DomainCount(now))
	due := b.keeper.Due(now)
	b.mu.Unlock()
	for i := range due {
		b.writeShard(ctx, &due[i])
	}
	if len(due) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keeper.ScheduleNext(b.deps.Clock.Now(), rand.Float64())
}

func (b *Balancer) writeShard(ctx context.Context, s *checkpoint.Shard) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := b.deps.Checkpoints.Write(ctx, s)
	switch {
	case err == nil:
		b.keeperState.failures = 0
	case errors.Is(err, platform.ErrConflict):
		b.loadShard(ctx, s.Index)
	default:
		b.keeperState.failures++
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.reportCheckpointError(err, "writing a checkpoint shard failed")
		b.keeper.WriteFailed(s.Index)
		return
	}
	b.deps.Scope.Counter("checkpoints").Inc(1)
	b.deps.Log.Debug().Str("event", writeEvent(s)).Int("shard", s.Index).Int("targets", len(s.Entries)).Send()
	for _, a := range b.keeper.WriteSucceeded(s.Index) {
		b.send(a.Agent, &wire.Parcel{Verb: wire.Verb_VERB_KEPT, Checkpoint: &wire.Checkpoint{
			Number: a.Number, Pause: uint32(a.WriteInterval),
		}})
	}
}

// writeEvent returns the name of the event that a shard was written. One without flows only
// lists targets.
func writeEvent(s *checkpoint.Shard) string {
	if slices.ContainsFunc(s.Entries, func(e checkpoint.Entry) bool { return e.Flows.Len() > 0 }) {
		return "checkpoint"
	}
	return "listing"
}

// handleCheckpoint handles a part of an agent's checkpoint. The caller holds the lock.
func (b *Balancer) handleCheckpoint(from netip.AddrPort, c *wire.Checkpoint) {
	t, ok := b.steerer.Targets.Find(from)
	if !b.steerer.Keeper() || c == nil || !ok || t.Domain != b.settings.Domain {
		return
	}
	if err := b.keeper.Receive(b.deps.Clock.Now(), time.Now().UnixMilli(), from, c); err != nil {
		b.malformed.Record("parcels", from, err)
	}
}
