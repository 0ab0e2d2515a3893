package balancer

import (
	"context"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/retain"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
)

// retain keeps a copy of the envelope that was sent to a leaving target.
func (b *Balancer) retain(w *workerBuffers, r *target.Route, caller netip.AddrPort) {
	data, err := w.envelope.MarshalVT()
	if err != nil || !b.retained.Add(b.deps.Clock.Now(), w.envelope.Service, r.Target, caller, data) {
		b.count.unretained.Inc(1)
	}
}

// wakeRetained signals serveRetained that the snapshot has changed.
func (b *Balancer) wakeRetained() {
	select {
	case b.snapshotChanged <- struct{}{}:
	default:
	}
}

// serveRetained sends the copies of datagrams to the successors in each new snapshot.
func (b *Balancer) serveRetained(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.snapshotChanged:
		}
		if b.retained.Len() > 0 {
			b.releaseAll()
		}
	}
}

func (b *Balancer) releaseAll() {
	for _, set := range b.snapshot.Load().sets {
		for _, r := range b.retained.ReleaseSet(b.deps.Clock.Now(), set) {
			b.release(&r)
		}
	}
}

func (b *Balancer) release(r *retain.Released[[]byte]) {
	for _, c := range r.Copies {
		sealed, err := b.agedSealer.SealAged(nil, c.Data, c.Age)
		if err == nil {
			err = b.tunnelTo(r.To.ID).write(sealed, r.To.Tunnel)
		}
		if err != nil {
			b.count.unsent.Inc(1)
		}
	}
	b.count.released.Inc(int64(len(r.Copies)))
	b.count.unretained.Inc(int64(r.Expired))
	b.deps.Log.Info().Str("event", "released").Str("name", r.To.Name).Uint32("incarnation", r.To.Incarnation).
		Int("count", len(r.Copies)).Int("expired", r.Expired).Int64("age", int64(r.Oldest())).
		Msg("sent the datagrams that waited for a restarted target")
}
