package streambalancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// checkpointInterval is how often to check whether checkpoints must be written, and
	// reloadDelay the mean delay after a failed load.
	checkpointInterval = 250 * time.Millisecond
	reloadDelay        = 2 * time.Second
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

// runKeeper writes the checkpoints of the local failure domain while this balancer is the
// one that watches the platform for it.
func (b *Balancer) runKeeper(ctx context.Context) {
	pause := checkpointInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = checkpointInterval
		switch wanted := b.shouldBeKeeper(); {
		case wanted && !b.isKeeper:
			b.setKeeper(b.loadShards(ctx))
			if !b.isKeeper {
				pause = reloadDelay/2 + rand.N(reloadDelay)
			}
		case !wanted && b.isKeeper:
			b.setKeeper(false)
		case wanted:
			b.writeDueShards(ctx)
		}
	}
}

func (b *Balancer) shouldBeKeeper() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.watching && !b.leaving
}

func (b *Balancer) setKeeper(on bool) {
	if b.isKeeper == on {
		return
	}
	b.isKeeper = on
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
	default:
		b.reportCheckpointError(err, "loading a checkpoint shard failed")
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
	if errors.Is(err, platform.ErrConflict) {
		b.loadShard(ctx, s.Index)
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
