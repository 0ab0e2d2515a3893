package owner_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// newFilledTable returns a table with n flows, and how many bytes of heap it takes.
func newFilledTable(n int) (*owner.Table, *owner.View, *agent, uint64) {
	a := &agent{id: target.IDFromName("a"), local: owner.LocalState{Accepting: true, Warmth: 1000}}
	a.observer = owner.NewObserver(a.id)
	a.view = a.observer.View(0, target.NewSet(1, candidates([]string{"a"}, nil)), 1, window)
	before := heapBytes()
	table := owner.NewTable(owner.Limits{MaxFlows: n + 1, MaxPlacements: 1000, IdleTimeout: clock.Hour, UnansweredTimeout: clock.Hour}, owner.NewPeerLoads(clock.Hour))
	e := &wire.Envelope{}
	for i := range n {
		setOpening(e, a.id, i)
		table.Take(owner.Arrival{Now: clock.Hour, Envelope: e}, a.view, a.local, a)
	}
	return table, a.view, a, heapBytes() - before
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func setOpening(e *wire.Envelope, to target.ID, i int) {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 24), byte(i >> 16), byte(i >> 8)}), uint16(1024+i&0xff))
	*e = wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: wire.Stage_STAGE_OPEN, Service: 1, Target: to, Incarnation: 1,
		Caller: envelope.AppendCaller(e.Caller[:0], caller), Budget: 100, Payload: []byte{0x80},
	}
}

// BenchmarkTake measures an agent's decision about a datagram of an open flow.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{2000, 20000, 200000} {
		b.Run(fmt.Sprintf("flows=%d", n), func(b *testing.B) {
			table, view, a, bytes := newFilledTable(n)
			e := &wire.Envelope{}
			setOpening(e, a.id, n/2)
			e.Stage = wire.Stage_STAGE_OWNED
			b.ReportAllocs()
			for b.Loop() {
				table.Take(owner.Arrival{Now: clock.Hour, Envelope: e}, view, a.local, a)
			}
			b.ReportMetric(float64(bytes)/float64(n), "bytes/flow")
		})
	}
}
