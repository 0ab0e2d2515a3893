package agent

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/successor"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

func (a *Agent) newWaiting() *successor.Waiting {
	return successor.New(successor.Deps{
		Clock: a.deps.Clock, Sealer: a.sealer, Write: a.writeToPeer, Log: a.deps.Log, Scope: a.deps.Scope,
	})
}

func (a *Agent) writeToPeer(to *target.Candidate, datagram []byte) error {
	_, err := a.tunnel.WriteToUDPAddrPort(datagram, to.Tunnel)
	return err
}

// serveWaiting sends what waits for restarted peers until the tunnel is closed.
func (a *Agent) serveWaiting() {
	a.waiting.Run(a.closing, func() []*target.Set { return []*target.Set{a.view.Load().Set} })
}

// keepForSuccessor keeps a copy of the envelope that was passed to a leaving peer.
func (a *Agent) keepForSuccessor(w *worker, d owner.Decision) {
	if owner.PrepareRetained(&w.envelope) {
		a.waiting.Keep(&w.envelope, d.To)
	}
}

// noticeSuccessor handles a digest of a peer's process that the view does not have yet: what
// waits for it is sent to it, and a balancer is asked for its record.
func (a *Agent) noticeSuccessor(d *wire.Digest, from netip.AddrPort) {
	set := a.view.Load().Set
	known, ok := set.Find(d.Sender)
	if !ok || known.Incarnation >= d.Incarnation {
		return
	}
	a.requestAnnounce()
	next := *known
	next.Incarnation, next.Tunnel = d.Incarnation, from
	a.waiting.ReleaseTo(set.Service, &next)
}
