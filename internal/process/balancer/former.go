package balancer

import (
	"context"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// formerRetention is how long a balancer whose record was removed is still contacted: a
	// partition may last as long.
	formerRetention = 2 * clock.Hour
	// maxFormer bounds the balancers that are contacted: twice as many as are planned for.
	maxFormer = 1024
)

// addFormer remembers the addresses of removed balancers. After a partition neither side
// knows the other any more. It is called with mu held.
func (b *Balancer) addFormer(now clock.Millis, removed []member.Member) {
	for i := range removed {
		m := &removed[i]
		if m.Kind == member.Balancer && m.State != member.Left && len(b.former) < maxFormer {
			b.former[m.Control] = now
		}
	}
}

// contactFormer calls a random one of the balancers whose records were removed. One that
// answers has probably removed this one's record as well, and accepts only a newer one for a
// while.
func (b *Balancer) contactFormer(ctx context.Context) {
	to, ok := b.nextFormer()
	if !ok || b.call(ctx, to, control.Ping, &wire.Empty{}, &wire.Empty{}) != nil {
		return
	}
	b.mu.Lock()
	delete(b.former, to)
	b.self.Sequence++
	b.table.Merge(b.deps.Clock.Now(), b.self)
	self := b.self
	b.mu.Unlock()
	b.deps.Log.Info().Str("event", "met").Stringer("control", to).Msg("a balancer that was removed answers again")
	b.queueUpdate(update{members: []member.Member{self}})
	if b.syncWith(ctx, to) != nil {
		b.count.syncFailed.Inc(1)
	}
}

// nextFormer removes those that are too old and returns any of the others.
func (b *Balancer) nextFormer() (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	var next netip.AddrPort
	for a, at := range b.former {
		if now.Sub(at) > formerRetention {
			delete(b.former, a)
			continue
		}
		next = a
	}
	return next, next.IsValid()
}
