package agent

import (
	"net"
	"net/netip"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/connection/upstream"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// pausedAgent is an agent with one flow that resumes after a pause longer than its lease.
type pausedAgent struct {
	*Agent
	t      *testing.T
	clock  *clock.Manual
	scope  tally.TestScope
	worker *worker
}

func newPausedAgent(t *testing.T) *pausedAgent {
	t.Helper()
	p := &pausedAgent{t: t, clock: &clock.Manual{}, scope: tally.NewTestScope("", nil)}
	p.clock.Advance(clock.Hour)
	a := newTestAgent(t, p.clock)
	p.Agent, p.worker = a, a.newWorker()
	a.count = newCounters(p.scope)
	a.service.Number, a.service.MaxFlows, a.service.IdleTimeout, a.service.UnansweredTimeout = 1, 10, clock.Minute, clock.Minute
	a.table = owner.NewTable(a.limits(), owner.NewPeerLoads(clock.Second))
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	address := server.LocalAddr().(*net.UDPAddr).AddrPort()
	a.pool, err = upstream.NewPool(address.Addr(), address, 1, a.handleAnswer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Kill)
	a.accepting.Store(true)
	a.rebuildViewLocked()
	a.leaseStart.Store(int64(p.clock.Now()))
	p.receiveForward("203.0.113.9:4433", wire.Stage_STAGE_OPEN)
	p.clock.Advance(a.lease() + 1)
	return p
}

// receiveForward handles a caller's datagram as a worker of the tunnel does.
func (p *pausedAgent) receiveForward(caller string, stage wire.Stage) {
	p.t.Helper()
	out, err := p.sealer.Seal(nil, &wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: stage, Service: 1, Target: target.IDFromName("t1"), Incarnation: 4,
		Caller: envelope.AppendCaller(nil, netip.MustParseAddrPort(caller)), Budget: 9, Payload: []byte{0xc0},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	p.worker.size = copy(p.worker.in[:], out)
	p.handleDatagram(p.worker, netip.MustParseAddrPort("10.0.0.1:1"))
}

// resume renews the lease after a delay and returns how many datagrams were delivered to
// the upstream.
func (p *pausedAgent) resume(after clock.Millis) int64 {
	p.renewLease(p.clock.Advance(after))
	p.processQueue(p.worker)
	return p.scope.Snapshot().Counters()["delivered+"].Value()
}

// A datagram of an open flow that an agent reads right after a pause must not be lost if the
// lease is renewed a moment later.
func TestFencedDatagramIsQueued(t *testing.T) {
	p := newPausedAgent(t)
	p.receiveForward("203.0.113.9:4433", wire.Stage_STAGE_OWNED)
	if n := p.resume(10); n != 2 {
		t.Errorf("%d datagrams delivered to the upstream", n)
	}
}

// A placement may have waited in the socket of a paused agent while its home placed the flow
// elsewhere. The agent must not adopt the flow as well.
func TestFencedPlacementIsDropped(t *testing.T) {
	p := newPausedAgent(t)
	p.receiveForward("203.0.113.10:4433", wire.Stage_STAGE_PLACED)
	if p.resume(10); p.table.Len() != 1 {
		t.Errorf("%d flows", p.table.Len())
	}
}

// The lease of a target has lapsed while its machine was short of processor time. An opening that
// it reads then must not be lost: the caller would pause for seconds before the next one.
func TestFencedOpeningIsQueued(t *testing.T) {
	p := newPausedAgent(t)
	p.receiveForward("203.0.113.10:4433", wire.Stage_STAGE_OPEN)
	if p.resume(10); p.table.Len() != 2 {
		t.Errorf("%d flows", p.table.Len())
	}
}

// A home searches for a flow while the lease of its owner has lapsed. It must learn of the owner
// once the lease is renewed, or it searches again for each further copy.
func TestFencedSearchIsAnswered(t *testing.T) {
	p := newPausedAgent(t)
	if err := p.openTunnel(); err != nil {
		t.Fatal(err)
	}
	home, address := listenUDP(t)
	p.peers = []member.Member{peerRecord(address, 1, member.Alive)}
	p.mu.Lock()
	p.rebuildViewLocked()
	p.mu.Unlock()
	handleSealed(t, p.Agent, &wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: wire.Stage_STAGE_SEARCH, Service: 1, Target: target.IDFromName("t1"), Incarnation: 4,
		Home:   target.IDFromName("t2"),
		Caller: envelope.AppendCaller(nil, netip.MustParseAddrPort("203.0.113.9:4433")), Budget: 9, Payload: []byte{0xc0},
	}, netip.MustParseAddrPort("127.0.0.1:7"))
	p.resume(10)
	awaitKind(t, p.Agent, home, wire.Kind_KIND_FOUND)
}

// Queued datagrams must not be delivered by a superseded agent, nor after the maximum time in
// the queue.
func TestQueueAfterSupersessionOrTimeout(t *testing.T) {
	p := newPausedAgent(t)
	p.receiveForward("203.0.113.9:4433", wire.Stage_STAGE_OWNED)
	p.supersede(ErrSuperseded)
	p.processQueue(p.worker)
	late := newPausedAgent(t)
	late.receiveForward("203.0.113.9:4433", wire.Stage_STAGE_OWNED)
	if n := late.resume(maxQueueTime + 1); n != 1 || len(p.queued) != 1 {
		t.Errorf("%d datagrams delivered after a late renewal, %d queued by the superseded agent", n, len(p.queued))
	}
}
