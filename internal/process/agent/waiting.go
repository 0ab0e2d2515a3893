package agent

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/retain"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// retain keeps a copy of the envelope that was passed to a leaving target.
func (a *Agent) retain(w *worker, d owner.Decision) {
	if !owner.PrepareRetained(&w.envelope) {
		return
	}
	caller := envelope.ParseCaller(w.envelope.Caller)
	data, err := w.envelope.MarshalVT()
	if err != nil || !a.retained.Add(a.deps.Clock.Now(), w.envelope.Service, d.To, caller, data) {
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
	for _, c := range r.Copies {
		sealed, err := a.sealer.SealAged(nil, c.Data, c.Age)
		if err == nil {
			_, err = a.tunnel.WriteToUDPAddrPort(sealed, r.To.Tunnel)
		}
		if err != nil {
			a.count.unsent.Inc(1)
		}
	}
	a.count.released.Inc(int64(len(r.Copies)))
	a.count.unretained.Inc(int64(r.Expired))
	a.deps.Log.Info().Str("event", "released").Str("name", r.To.Name).Uint32("incarnation", r.To.Incarnation).
		Int("count", len(r.Copies)).Int("expired", r.Expired).Int64("age", int64(r.Oldest())).
		Msg("sent the datagrams that waited for a restarted target")
}
