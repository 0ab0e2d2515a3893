package agent

import (
	"bytes"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/retain"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// retain keeps a copy of the sealed datagram that was passed to a leaving target.
func (a *Agent) retain(w *worker, d owner.Decision) {
	caller := envelope.ParseCaller(w.envelope.Caller)
	if !a.retained.Add(a.deps.Clock.Now(), w.envelope.Service, d.To, caller, bytes.Clone(w.out)) {
		a.count.unretained.Inc(1)
	}
}

// wakeRetained signals serveRetained that the view has changed.
func (a *Agent) wakeRetained() {
	select {
	case a.viewChanged <- struct{}{}:
	default:
	}
}

// serveRetained sends the copies of datagrams to the successors in each new view, until
// the tunnel is closed.
func (a *Agent) serveRetained() {
	for {
		select {
		case <-a.closing:
			return
		case <-a.viewChanged:
		}
		for _, r := range a.retained.ReleaseSet(a.deps.Clock.Now(), a.view.Load().Set) {
			a.release(&r)
		}
	}
}

// noticeSuccessor handles a digest of a peer's process that the view does not have yet: what
// waits for it is sent to it, and a balancer is asked for its record.
func (a *Agent) noticeSuccessor(now clock.Millis, d *wire.Digest, from netip.AddrPort) {
	set := a.view.Load().Set
	known, ok := set.Find(d.Sender)
	if !ok || known.Incarnation >= d.Incarnation {
		return
	}
	a.requestAnnounce()
	successor := *known
	successor.Incarnation, successor.Tunnel = d.Incarnation, from
	if r, ok := a.retained.Release(now, set.Service, &successor); ok {
		a.release(&r)
	}
}

func (a *Agent) release(r *retain.Released[[]byte]) {
	for _, sealed := range r.Data {
		if _, err := a.tunnel.WriteToUDPAddrPort(sealed, r.To.Tunnel); err != nil {
			a.count.unsent.Inc(1)
		}
	}
	a.count.released.Inc(int64(len(r.Data)))
	a.count.unretained.Inc(int64(r.Expired))
	a.deps.Log.Info().Str("event", "released").Str("name", r.To.Name).Uint32("incarnation", r.To.Incarnation).
		Int("count", len(r.Data)).Int("expired", r.Expired).Int64("age", int64(r.Oldest)).
		Msg("sent the datagrams that waited for a restarted target")
}
