package agent

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// leaveRepeats is how many times a leave is sent while the agent lingers.
const leaveRepeats = 3

// leavingPeer is a process of a peer that sent this agent a leave message. The peer's record
// has the new state too, but reaches this agent only through a later heartbeat.
type leavingPeer struct {
	incarnation uint32
	// left is set if the process ended without flows, so that it leaves none to a successor.
	left bool
}

// spreadLeave announces the leave to balancers and peers. While there are flows, it waits for
// the linger time, so that the leave is known everywhere when the flows are served no more.
func (a *Agent) spreadLeave(ctx context.Context, linger clock.Millis) {
	a.sendLeave(a.tunnel, nil)
	a.announce(ctx)
	for range leaveRepeats {
		if a.table.Len() == 0 || !sleep(ctx, linger/leaveRepeats) {
			return
		}
		a.sendLeave(a.tunnel, nil)
	}
}

// sendLeft notifies the peers that this target has left. It uses a new socket, because the
// number of flows is final only once the tunnel is closed.
func (a *Agent) sendLeft() {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a.settings.Tunnel.Addr(), 0)))
	if err != nil {
		a.count.unsent.Inc(1)
		return
	}
	defer func() { _ = conn.Close() }()
	a.sendLeave(conn, &wire.Beat{})
}

// sendLeave sends the peers a leave message. final is nil while the target still serves.
func (a *Agent) sendLeave(conn *net.UDPConn, final *wire.Beat) {
	view := a.view.Load()
	e := &wire.Envelope{
		Kind: wire.Kind_KIND_LEAVE, Service: view.Set.Service, Target: view.Self, Incarnation: view.Incarnation, Beat: final,
	}
	for i := range view.Set.Targets {
		t := &view.Set.Targets[i]
		if t.ID == view.Self {
			continue
		}
		out, err := a.sealer.Seal(nil, e)
		if err == nil {
			_, err = conn.WriteToUDPAddrPort(out, t.Tunnel)
		}
		if err != nil {
			a.count.unsent.Inc(1)
		}
	}
}

// handlePeerLeave handles a peer's leave message, which holds until the peer's successor
// announces itself.
func (a *Agent) handlePeerLeave(e *wire.Envelope) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := leavingPeer{incarnation: e.Incarnation, left: e.Beat != nil && e.Beat.Flows == 0}
	old := a.leavingPeers[e.Target]
	if e.Service != a.service.Number || old.incarnation > p.incarnation || old == p || old.incarnation == p.incarnation && old.left {
		return
	}
	if _, known := a.view.Load().Set.Find(e.Target); !known {
		return
	}
	a.forgetLeavingPeers()
	a.leavingPeers[e.Target] = p
	a.rebuildViewLocked()
}

// forgetLeavingPeers removes the entries of processes that are not peers any more.
func (a *Agent) forgetLeavingPeers() {
	maps.DeleteFunc(a.leavingPeers, func(id target.ID, p leavingPeer) bool {
		return !slices.ContainsFunc(a.peers, func(m member.Member) bool {
			return target.IDFromName(m.Name) == id && m.Incarnation <= p.incarnation
		})
	})
}

// leaving reports whether a target is leaving, by its record or its leave message.
func (a *Agent) leaving(m *member.Member) bool {
	return m.State == member.Leaving || a.leavingPeers[target.IDFromName(m.Name)].incarnation == m.Incarnation
}

// left reports whether a peer has left, by its leave message.
func (a *Agent) left(m *member.Member) bool {
	p := a.leavingPeers[target.IDFromName(m.Name)]
	return p.left && p.incarnation == m.Incarnation
}
