package balancer

import (
	"context"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// addFormer remembers the addresses of removed balancers. After a partition neither side
// knows the other any more. It is called with mu held.
func (b *Balancer) addFormer(now clock.Millis, removed []member.Member) {
	for i := range removed {
		m := &removed[i]
		if m.Kind == member.Balancer && m.State != member.Left {
			b.former.Add(now, m.Control, 0)
		}
	}
}

// contactFormer calls the next one of the balancers whose records were removed. One that
// answers has probably removed this one's record as well, and accepts only a newer one for a
// while.
func (b *Balancer) contactFormer(ctx context.Context) {
	b.mu.Lock()
	to, ok := b.former.Next(b.deps.Clock.Now())
	b.mu.Unlock()
	if !ok || b.call(ctx, to, control.Ping, &wire.Empty{}, &wire.Empty{}) != nil {
		return
	}
	b.mu.Lock()
	b.former.TakeReturned(to, 0)
	b.self.Sequence++
	b.table.Merge(b.deps.Clock.Now(), b.self)
	self := b.self
	b.mu.Unlock()
	b.deps.Log.Info().Str("event", "rejoined").Stringer("control", to).Msg("a balancer that was removed answers again")
	b.queueUpdate(update{members: []member.Member{self}})
	if b.syncWith(ctx, to) != nil {
		b.count.syncFailed.Inc(1)
	}
}
