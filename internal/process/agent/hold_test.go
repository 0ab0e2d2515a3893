package agent

import (
	"net"
	"net/netip"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/connection/upstream"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// paused is an agent with one flow that wakes from a pause beyond its lease.
type paused struct {
	*Agent
	t      *testing.T
	clock  *clock.Manual
	scope  tally.TestScope
	worker *worker
}

func newPaused(t *testing.T) *paused {
	t.Helper()
	p := &paused{t: t, clock: &clock.Manual{}, scope: tally.NewTestScope("", nil)}
	p.clock.Advance(clock.Hour)
	a := newTest(t, p.clock)
	p.Agent, p.worker = a, a.newWorker()
	a.count = newCounters(p.scope)
	a.record.Number, a.record.MaxFlows, a.record.IdleTimeout, a.record.UnansweredTimeout = 1, 10, clock.Minute, clock.Minute
	a.table = owner.NewTable(a.limits(), owner.NewLoads(clock.Second))
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	address := server.LocalAddr().(*net.UDPAddr).AddrPort()
	a.pool, err = upstream.NewPool(address.Addr(), address, 1, a.answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Kill)
	a.accepting.Store(true)
	a.rebuildLocked()
	a.confirmed.Store(int64(p.clock.Now()))
	p.read("203.0.113.9:4433", wire.Stage_STAGE_OPEN)
	p.clock.Advance(a.lease() + 1)
	return p
}

// read takes a caller's datagram as the tunnel's worker does.
func (p *paused) read(caller string, stage wire.Stage) {
	p.t.Helper()
	out, err := p.sealer.Seal(nil, &wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: stage, Service: 1, Target: target.IDFromName("t1"), Incarnation: 4,
		Caller: envelope.AppendCaller(nil, netip.MustParseAddrPort(caller)), Budget: 9, Payload: []byte{0xc0},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	p.worker.size = copy(p.worker.in[:], out)
	p.take(p.worker, netip.MustParseAddrPort("10.0.0.1:1"))
}

// wakes confirms the lease after a while and returns how many datagrams have reached the
// upstream.
func (p *paused) wakes(after clock.Millis) int64 {
	p.confirm(p.clock.Advance(after))
	p.release(p.worker)
	return p.scope.Snapshot().Counters()["delivered+"].Value()
}

// The only copy of an open flow's datagram waits at an agent that wakes from a pause. It
// must not be lost when the lease is confirmed a moment later.
func TestOpenFlowOutlivesPause(t *testing.T) {
	p := newPaused(t)
	p.read("203.0.113.9:4433", wire.Stage_STAGE_OWNED)
	if n := p.wakes(10); n != 2 {
		t.Errorf("%d datagrams have reached the upstream", n)
	}
}

// A placement has waited in the socket of an agent that was paused, and its home has placed
// the flow elsewhere meanwhile. It must not be adopted here as well.
func TestPlacementDoesNotOutlivePause(t *testing.T) {
	p := newPaused(t)
	p.read("203.0.113.10:4433", wire.Stage_STAGE_PLACED)
	if p.wakes(10); p.table.Len() != 1 {
		t.Errorf("%d flows", p.table.Len())
	}
}

// The process that wakes has been replaced, or its lease is confirmed late. What it held is
// nobody's.
func TestHeldIsDroppedByReplaced(t *testing.T) {
	p := newPaused(t)
	p.read("203.0.113.9:4433", wire.Stage_STAGE_OWNED)
	p.supersede(ErrSuperseded)
	p.release(p.worker)
	late := newPaused(t)
	late.read("203.0.113.9:4433", wire.Stage_STAGE_OWNED)
	if n := late.wakes(heldFor + 1); n != 1 || len(p.held) != 1 {
		t.Errorf("%d datagrams late, %d held by the replaced one", n, len(p.held))
	}
}
