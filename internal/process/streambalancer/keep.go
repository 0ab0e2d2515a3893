package streambalancer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// keepTick is the pause between two looks whether checkpoints are to be written,
	// and reloadPause the mean pause after a load that failed.
	keepTick    = 250 * time.Millisecond
	reloadPause = 2 * time.Second
)

// Sheets is where the checkpoints of a failure domain are kept.
type Sheets interface {
	// Load reads one, or returns platform.ErrNotFound, checkpoint.ErrUnreadable or
	// ErrFormat.
	Load(ctx context.Context, shard int) (checkpoint.Sheet, error)
	// Write replaces the one that was loaded or written last. platform.ErrConflict
	// means that another one is there.
	Write(ctx context.Context, s *checkpoint.Sheet) error
}

// keeps writes the checkpoints of this failure domain while this balancer is the one
// that reads the platform's changes for it.
func (b *Balancer) keeps(ctx context.Context) {
	pause := keepTick
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = keepTick
		switch wanted := b.wantsKeeping(); {
		case wanted && !b.keeping:
			b.setKeeping(b.loadSheets(ctx))
			if !b.keeping {
				pause = reloadPause/2 + rand.N(reloadPause)
			}
		case !wanted && b.keeping:
			b.setKeeping(false)
		case wanted:
			b.writeSheets(ctx)
		}
	}
}

func (b *Balancer) wantsKeeping() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.watching && !b.leaving
}

func (b *Balancer) setKeeping(on bool) {
	if b.keeping == on {
		return
	}
	b.keeping = on
	b.mu.Lock()
	b.steerer.SetKeeper(on)
	if !on {
		b.keeper.Clear()
	}
	b.mu.Unlock()
	b.deps.Log.Info().Str("event", "keeper").Bool("keeping", on).Send()
}

// loadSheets reads what is kept before anything is written: what agents have told an
// earlier keeper would be lost.
func (b *Balancer) loadSheets(ctx context.Context) bool {
	for shard := 0; shard < b.shards(); shard++ {
		if !b.loadSheet(ctx, shard) {
			return false
		}
	}
	return true
}

func (b *Balancer) shards() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keeper.Shards()
}

func (b *Balancer) loadSheet(ctx context.Context, shard int) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := b.deps.Sheets.Load(ctx, shard)
	switch {
	case err == nil:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.keeper.Load(b.deps.Clock.Now(), time.Now().UnixMilli(), &s)
		return true
	case errors.Is(err, platform.ErrNotFound):
		return true
	case errors.Is(err, checkpoint.ErrUnreadable):
		b.noCheckpoint(err, "a sheet cannot be read and is replaced")
		return true
	default:
		b.noCheckpoint(err, "a sheet cannot be loaded")
		return false
	}
}

func (b *Balancer) noCheckpoint(err error, message string) {
	b.deps.Log.Warn().Str("event", "nocheckpoint").Err(err).Msg(message)
	b.deps.Scope.Counter("nocheckpoint").Inc(1)
}

// writeSheets writes what is due, and tells the agents.
func (b *Balancer) writeSheets(ctx context.Context) {
	b.mu.Lock()
	now := b.deps.Clock.Now()
	b.keeper.Drop(func(agent netip.AddrPort) bool { return b.steerer.Targets.Left(now, agent) })
	b.keeper.SetDomains(b.peers.Domains(now))
	due := b.keeper.Due(now)
	b.mu.Unlock()
	for i := range due {
		b.writeSheet(ctx, &due[i])
	}
	if len(due) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keeper.Rest(b.deps.Clock.Now(), rand.Float64())
}

func (b *Balancer) writeSheet(ctx context.Context, s *checkpoint.Sheet) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := b.deps.Sheets.Write(ctx, s)
	if errors.Is(err, platform.ErrConflict) {
		b.loadSheet(ctx, s.Shard)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.noCheckpoint(err, "a sheet cannot be written")
		b.keeper.Failed(s.Shard)
		return
	}
	b.deps.Scope.Counter("checkpoints").Inc(1)
	b.deps.Log.Debug().Str("event", "checkpoint").Int("shard", s.Shard).Int("targets", len(s.Entries)).Send()
	for _, a := range b.keeper.Wrote(s.Shard) {
		b.send(a.Agent, &wire.Parcel{Verb: wire.Verb_VERB_KEPT, Checkpoint: &wire.Checkpoint{
			Number: a.Number, Pause: uint32(a.Pause),
		}})
	}
}

// takeCheckpoint takes a part of an agent's checkpoint. The lock is held.
func (b *Balancer) takeCheckpoint(from netip.AddrPort, c *wire.Checkpoint) {
	t, ok := b.steerer.Targets.Find(from)
	if !b.steerer.Keeper() || c == nil || !ok || t.Domain != b.settings.Domain {
		return
	}
	if err := b.keeper.Hear(b.deps.Clock.Now(), time.Now().UnixMilli(), from, c); err != nil {
		b.malformed.Record("parcels", from, err)
	}
}
