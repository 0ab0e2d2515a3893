package agent

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

func listenUDP(t *testing.T) (*net.UDPConn, netip.AddrPort) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// newAgentBesidePeer returns an agent whose only peer is t2, with the given tunnel.
func newAgentBesidePeer(t *testing.T, tunnel netip.AddrPort) *Agent {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	a := newTestAgent(t, c)
	a.service = config.Service{Number: 1, MaxFlows: 10, IdleTimeout: clock.Minute, ResendWindow: 10 * clock.Second}
	a.leaseStart.Store(int64(c.Now()))
	a.deps.Store = &fakeStore{failures: 1000}
	a.settings.Local = netip.MustParseAddr("127.0.0.1")
	a.settings.Upstream = netip.MustParseAddrPort("127.0.0.1:9")
	a.peers = []member.Member{peerRecord(tunnel, 1, member.Alive)}
	if err := a.initPacketPath(); err != nil {
		t.Fatal(err)
	}
	if err := a.openTunnel(); err != nil {
		t.Fatal(err)
	}
	a.mu.Lock()
	a.rebuildViewLocked()
	a.mu.Unlock()
	t.Cleanup(a.Kill)
	return a
}

func peerRecord(tunnel netip.AddrPort, incarnation uint32, s member.State) member.Member {
	return member.Member{
		Key:     member.Key{Kind: member.Target, Service: "web", Name: "t2"},
		Tunnels: []netip.AddrPort{tunnel}, Incarnation: incarnation, Sequence: 1, State: s,
	}
}

// handleSealed lets the agent handle an envelope from an address.
func handleSealed(t *testing.T, a *Agent, e *wire.Envelope, from netip.AddrPort) {
	t.Helper()
	sealed, err := a.sealer.Seal(nil, e)
	if err != nil {
		t.Fatal(err)
	}
	w := a.newWorker()
	w.size = copy(w.in[:], sealed)
	a.handleDatagram(w, from)
}

// handleCaller lets the agent handle a caller's datagram from a balancer.
func handleCaller(t *testing.T, a *Agent, stage wire.Stage, payload byte) {
	t.Helper()
	handleSealed(t, a, &wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: stage, Service: 1, Target: target.IDFromName("t1"), Incarnation: 4,
		Caller: envelope.AppendCaller(nil, netip.MustParseAddrPort("203.0.113.9:4433")), Budget: 9, Payload: []byte{payload},
	}, netip.MustParseAddrPort("127.0.0.1:7"))
}

func awaitDatagram(t *testing.T, conn *net.UDPConn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := conn.Read(make([]byte, envelope.MaxDatagramSize)); err != nil {
		t.Errorf("the successor received nothing: %v", err)
	}
}

// A peer is restarted. A datagram or a search that is passed to it in between must reach its
// successor, whose digest comes before its record.
func TestPassedDatagramReachesRestartedPeer(t *testing.T) {
	_, closed := listenUDP(t)
	a := newAgentBesidePeer(t, closed)
	leave := &wire.Envelope{Kind: wire.Kind_KIND_LEAVE, Service: 1, Target: target.IDFromName("t2"), Incarnation: 1}
	handleSealed(t, a, leave, closed)
	handleCaller(t, a, wire.Stage_STAGE_OWNED, 0x40)
	successor, address := listenUDP(t)
	handleSealed(t, a, &wire.Envelope{
		Kind: wire.Kind_KIND_DIGEST, Service: 1, Target: target.IDFromName("t1"), Incarnation: 4,
		Digest: &wire.Digest{Sequence: 1, Sender: target.IDFromName("t2"), Incarnation: 2},
	}, address)
	awaitDatagram(t, successor)
	if len(a.outOfSync) != 1 {
		t.Error("the successor's record is not asked for")
	}
}

// The successor's digest is lost, and its record reaches the agent in a balancer's reply.
func TestPassedDatagramReachesPeerOfNextView(t *testing.T) {
	_, closed := listenUDP(t)
	a := newAgentBesidePeer(t, closed)
	a.workers.Go(a.serveWaiting)
	setPeer := func(m member.Member) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.peers = []member.Member{m}
		a.rebuildViewLocked()
	}
	setPeer(peerRecord(closed, 1, member.Leaving))
	handleCaller(t, a, wire.Stage_STAGE_OWNED, 0x40)
	successor, address := listenUDP(t)
	setPeer(peerRecord(address, 2, member.Alive))
	awaitDatagram(t, successor)
}

// An agent stops. What its flows are sent until its leave has spread must still be served.
func TestLeavingAgentServesUntilKnown(t *testing.T) {
	a := newAgentBesidePeer(t, netip.MustParseAddrPort("127.0.0.1:9"))
	peer, address := listenUDP(t)
	a.mu.Lock()
	a.peers = []member.Member{peerRecord(address, 1, member.Alive)}
	a.timing.LingerTime = 300
	a.rebuildViewLocked()
	a.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	a.cancel = cancel
	a.serve(ctx)
	a.accepting.Store(true)
	handleCaller(t, a, wire.Stage_STAGE_PLACED, 0x80)
	if a.Flows() != 1 {
		t.Fatalf("%d flows", a.Flows())
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		a.Stop(ctx)
	}()
	awaitKind(t, a, peer, wire.Kind_KIND_LEAVE)
	if _, err := a.tunnel.WriteToUDPAddrPort([]byte{1}, address); err != nil {
		t.Errorf("the tunnel is closed before peers know that the agent leaves: %v", err)
	}
	<-stopped
}

// awaitKind waits until an envelope of a kind arrives.
func awaitKind(t *testing.T, a *Agent, conn *net.UDPConn, kind wire.Kind) {
	t.Helper()
	opener := envelope.NewOpener(a.deps.Ring)
	buffer := make([]byte, envelope.MaxDatagramSize)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			t.Fatalf("no %s: %v", kind, err)
		}
		var e wire.Envelope
		if opener.Open(&e, buffer[:n]) == nil && e.Kind == kind {
			return
		}
	}
}

// A target without flows is removed. Searches must not go to it while balancers have not
// passed that on: each datagram of an opening would be lost there.
func TestPeerThatLeftIsNotAsked(t *testing.T) {
	a := newAgentBesidePeer(t, netip.MustParseAddrPort("127.0.0.1:9"))
	leave := func(incarnation uint32, final *wire.Beat) {
		handleSealed(t, a, &wire.Envelope{
			Kind: wire.Kind_KIND_LEAVE, Service: 1, Target: target.IDFromName("t2"), Incarnation: incarnation, Beat: final,
		}, netip.MustParseAddrPort("127.0.0.1:9"))
	}
	peer := func() (*target.Candidate, bool) { return a.view.Load().Set.Find(target.IDFromName("t2")) }
	leave(1, nil)
	if c, ok := peer(); !ok || !c.Leaving {
		t.Error("a peer with flows is not leaving")
	}
	leave(1, &wire.Beat{})
	leave(1, nil)
	if _, ok := peer(); ok {
		t.Error("a peer without flows is still asked")
	}
	a.mu.Lock()
	a.peers[0].Incarnation = 2
	a.rebuildViewLocked()
	a.mu.Unlock()
	leave(1, &wire.Beat{})
	if c, ok := peer(); !ok || c.Leaving {
		t.Error("the leave of the earlier process holds for the next one")
	}
}

// A balancer serves for a while after it has said that it leaves. Answers to what it still brings
// must go through another one: they would be lost once it has ended, until the caller sends again.
func TestAnswersAvoidLeavingBalancer(t *testing.T) {
	a := newAgentBesidePeer(t, netip.MustParseAddrPort("127.0.0.1:9"))
	a.accepting.Store(true)
	leaving, other := netip.MustParseAddrPort("127.0.0.1:7"), netip.MustParseAddrPort("127.0.0.2:7")
	a.tunnels = []netip.AddrPort{leaving, other}
	handleSealed(t, a, &wire.Envelope{Kind: wire.Kind_KIND_LEAVE}, leaving)
	handleCaller(t, a, wire.Stage_STAGE_PLACED, 0x80)
	handleCaller(t, a, wire.Stage_STAGE_OWNED, 0x40)
	entries := a.table.NewLedger(a.deps.Clock.Now(), "web.t1", a.view.Load()).Flows
	if len(entries) != 1 || entries[0].Via != other {
		t.Errorf("flows %+v, want one that is answered through %s", entries, other)
	}
}

// The tunnel of an agent has a fixed port, and its next process has it already. The peers must
// learn all the same that the target has no flows.
func TestLeaveNeedsNoFixedPort(t *testing.T) {
	a := newAgentBesidePeer(t, netip.MustParseAddrPort("127.0.0.1:9"))
	peer, address := listenUDP(t)
	_, a.settings.Tunnel = listenUDP(t)
	a.mu.Lock()
	a.peers = []member.Member{peerRecord(address, 1, member.Alive)}
	a.rebuildViewLocked()
	a.mu.Unlock()
	a.sendLeft()
	awaitKind(t, a, peer, wire.Kind_KIND_LEAVE)
}
