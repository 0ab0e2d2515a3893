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
	// idleHeartbeat is used until the first configuration arrives.
	idleHeartbeat = 200 * clock.Millis(1)
	// syncEvery, housekeepEvery and heal count in heartbeats.
	syncEvery      = 4
	housekeepEvery = 20
	healEvery      = 10
	// retainIdle is the retention before the first configuration.
	retainIdle = clock.Minute
)

// tick is the balancer's slow path: it looks for late targets, compares with
// one neighbour after the other, and keeps the table small.
func (b *Balancer) tick(ctx context.Context) {
	for n := 0; ; n++ {
		timing := b.timing()
		select {
		case <-ctx.Done():
			return
		case <-after(timing.HeartbeatInterval):
		}
		now := b.deps.Clock.Now()
		for _, m := range b.overdue(now, timing) {
			b.run(ctx, func(ctx context.Context) { b.probe(ctx, m) })
		}
		if n%syncEvery == 0 || b.Version() == 0 {
			b.syncNext(ctx)
		}
		if n%healEvery == 0 {
			b.heal(ctx)
		}
		if n%housekeepEvery == 0 {
			b.housekeep(now, timing)
		}
		b.relay(ctx)
	}
}

func (b *Balancer) timing() config.Timing {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.book.State().Root.Timing
	if t.HeartbeatInterval <= 0 {
		return config.Timing{HeartbeatInterval: idleHeartbeat, SuspectTimeout: 4 * clock.Second, Retention: retainIdle}
	}
	return t
}

func (b *Balancer) housekeep(now clock.Millis, timing config.Timing) {
	b.adoptOrphans(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	gone := b.table.Expire(now, timing.Retention)
	for _, m := range gone {
		b.deps.Log.Info().Str("event", "forgotten").Str("service", m.Service).Str("name", m.Name).Msg("retention has passed")
	}
	b.membersChanged(gone)
}

// syncNext compares with the next neighbour, and suspects one that answers
// neither that nor a second call on a new connection.
func (b *Balancer) syncNext(ctx context.Context) {
	neighbours := b.neighbours()
	if len(neighbours) == 0 {
		b.join(ctx)
		return
	}
	b.next++
	peer := neighbours[b.next%len(neighbours)]
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

// heal tries a suspected balancer now and then. Two halves of a cut network
// suspect each other, and nobody would otherwise notice that it is over.
func (b *Balancer) heal(ctx context.Context) {
	b.mu.Lock()
	suspected := b.table.All(func(m *member.Member) bool {
		return m.Kind == member.Balancer && m.Suspected && m.Name != b.settings.Name
	})
	b.mu.Unlock()
	if len(suspected) == 0 {
		return
	}
	peer := suspected[int(random()*float64(len(suspected)))]
	b.run(ctx, func(ctx context.Context) { _ = b.syncWith(ctx, peer.Control) })
}

// join learns from the first peer that answers; the platform names more peers
// and the configuration where none does.
func (b *Balancer) join(ctx context.Context) {
	b.mu.Lock()
	b.table.Merge(b.deps.Clock.Now(), b.self)
	b.mu.Unlock()
	for _, p := range append(b.settings.Peers, b.roster(ctx)...) {
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
		b.readPlatform(ctx)
	}
	b.mu.Lock()
	self := b.self
	b.mu.Unlock()
	b.tell(news{members: []member.Member{self}})
}

// leave says that this balancer stops soon.
func (b *Balancer) leave() {
	b.mu.Lock()
	b.self.State = member.Leaving
	b.self.Sequence++
	b.table.Merge(b.deps.Clock.Now(), b.self)
	self := b.self
	b.mu.Unlock()
	b.tell(news{members: []member.Member{self}})
}
