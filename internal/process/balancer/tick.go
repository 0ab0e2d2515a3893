package balancer

import (
	"context"
	"errors"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// initialHeartbeat is used until the first configuration arrives.
	initialHeartbeat = 200 * clock.Millis(1)
	// syncEvery, housekeepEvery and syncSuspectedEvery are in heartbeats.
	syncEvery          = 4
	housekeepEvery     = 20
	syncSuspectedEvery = 10
	// initialRetention is used until the first configuration arrives.
	initialRetention = clock.Minute
)

// runTicker runs the balancer's periodic work: it probes overdue targets, syncs
// with one neighbour after the other, and removes expired members.
func (b *Balancer) runTicker(ctx context.Context) {
	for n := 0; ; n++ {
		timing := b.timing()
		select {
		case <-ctx.Done():
			return
		case <-after(timing.HeartbeatInterval):
		}
		now := b.deps.Clock.Now()
		for _, m := range b.overdueTargets(now, timing) {
			b.run(ctx, func(ctx context.Context) { b.probe(ctx, m) })
		}
		if n%syncEvery == 0 || b.Version() == 0 {
			b.syncNextNeighbour(ctx)
		}
		if n%syncSuspectedEvery == 0 {
			b.syncSuspected(ctx)
		}
		if n%housekeepEvery == 0 {
			b.housekeep(now, timing)
			b.run(ctx, b.contactFormer)
		}
	}
}

func (b *Balancer) timing() config.Timing {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.replica.State().Root.Timing
	if t.HeartbeatInterval <= 0 {
		return config.Timing{HeartbeatInterval: initialHeartbeat, SuspectTimeout: 4 * clock.Second, Retention: initialRetention}
	}
	return t
}

func (b *Balancer) housekeep(now clock.Millis, timing config.Timing) {
	b.trackUnheardTargets(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	expired := b.table.Expire(now, timing.Retention)
	for _, m := range expired {
		b.deps.Log.Info().Str("event", "forgotten").Str("service", m.Service).Str("name", m.Name).Msg("member removed after its retention")
	}
	b.addFormer(now, expired)
	b.updateSnapshot(expired)
}

// syncNextNeighbour syncs with the next neighbour, and suspects one that answers
// neither that nor a second call on a new connection.
func (b *Balancer) syncNextNeighbour(ctx context.Context) {
	neighbours := b.neighbours()
	if len(neighbours) == 0 {
		b.join(ctx)
		return
	}
	b.nextNeighbour++
	peer := neighbours[b.nextNeighbour%len(neighbours)]
	err := b.syncWith(ctx, peer.Control)
	if err == nil {
		b.count.synced.Inc(1)
		return
	}
	b.count.syncFailed.Inc(1)
	if errors.Is(err, control.ErrRefused) || ctx.Err() != nil {
		return
	}
	if b.call(ctx, peer.Control, control.Ping, &wire.Empty{}, &wire.Empty{}) != nil {
		b.suspect(peer.Key)
	}
}

// syncSuspected syncs with a random suspected balancer. The two sides of a network
// partition suspect each other and would not otherwise notice that it has ended.
func (b *Balancer) syncSuspected(ctx context.Context) {
	b.mu.Lock()
	suspected := b.table.Filter(func(m *member.Member) bool {
		return m.Kind == member.Balancer && m.Suspected && m.Name != b.settings.Name
	})
	b.mu.Unlock()
	if len(suspected) == 0 {
		return
	}
	peer := suspected[int(random()*float64(len(suspected)))]
	b.run(ctx, func(ctx context.Context) { _ = b.syncWith(ctx, peer.Control) })
}

// join syncs with the first peer that answers. The platform provides more peers,
// and the configuration where none answers.
func (b *Balancer) join(ctx context.Context) {
	b.mu.Lock()
	b.table.Merge(b.deps.Clock.Now(), b.self)
	b.mu.Unlock()
	for _, p := range append(b.settings.Peers, b.syncRoster(ctx)...) {
		if p == b.self.Control {
			continue
		}
		err := b.syncWith(ctx, p)
		b.client.Drop(p)
		if err == nil {
			break
		}
	}
	if b.Version() == 0 {
		b.loadFromPlatform(ctx)
	}
	b.mu.Lock()
	self := b.self
	b.mu.Unlock()
	b.queueUpdate(update{members: []member.Member{self}})
}

// setLeaving propagates that this balancer is about to stop.
func (b *Balancer) setLeaving() {
	b.mu.Lock()
	b.self.State = member.Leaving
	b.self.Sequence++
	b.table.Merge(b.deps.Clock.Now(), b.self)
	self := b.self
	b.mu.Unlock()
	b.queueUpdate(update{members: []member.Member{self}})
}
