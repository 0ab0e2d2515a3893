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

// leavingPeer is a process of a peer that has told this agent itself that it leaves. Its
// record says so too, but reaches this agent only with a later heartbeat.
type leavingPeer struct {
	incarnation uint32
	// left is set if the process has no flows, so that no successor will have them.
	left bool
}

// spreadLeave announces the leave to balancers and peers, and waits until it has spread
// unless there are no flows to serve.
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

// sendLeft tells the peers that this target has left, from another socket: the number of
// flows is final only once the tunnel is closed.
func (a *Agent) sendLeft() {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(a.settings.Tunnel.Addr(), 0)))
	if err != nil {
		a.count.unsent.Inc(1)
		return
	}
	defer func() { _ = conn.Close() }()
	a.sendLeave(conn, &wire.Beat{})
}

// sendLeave tells the peers that this target is stopping. The final numbers are known, and
// sent, only if it has no flows.
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

// handlePeerLeave records that a peer leaves, until its successor announces itself.
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

// leaving reports whether a target leaves, according to its record or its own word.
func (a *Agent) leaving(m *member.Member) bool {
	return m.State == member.Leaving || a.leavingPeers[target.IDFromName(m.Name)].incarnation == m.Incarnation
}

// left reports whether a peer has left according to its own word.
func (a *Agent) left(m *member.Member) bool {
	p := a.leavingPeers[target.IDFromName(m.Name)]
	return p.left && p.incarnation == m.Incarnation
}
