package capacity

import (
	"encoding/json"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/connection/upstream"
	"github.com/wagtailtray/wagtailtray/internal/process/balancer"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

func hintBytes(n int) (float64, error) {
	return memoryGrowth(func() (any, error) {
		h := target.NewHints(target.Limits{MaxHints: 2 * n, MaxPending: 1, WalksPerSecond: 1})
		for i := range n {
			a := callerAddr(i)
			h.Confirm(clock.Hour, 1, a, envelope.AppendCaller(nil, a), 7, 1)
		}
		return h, nil
	})
}

// newTable returns an agent's table with n flows, opened through dialer.
func newTable(n int, dialer owner.Dialer) *owner.Table {
	id := target.IDFromName("a")
	set := target.NewSet(1, []target.Candidate{{ID: id, Name: "a", Incarnation: 1}})
	view := owner.NewObserver(id).View(0, set, 1, clock.Second)
	t := owner.NewTable(owner.Limits{MaxFlows: n + 1, MaxPlacements: 1000, IdleTimeout: clock.Hour, UnansweredTimeout: clock.Hour}, owner.NewPeerLoads(clock.Hour))
	for i := range n {
		e := &wire.Envelope{
			Kind: wire.Kind_KIND_FORWARD, Stage: wire.Stage_STAGE_PLACED, Service: 1, Target: id, Incarnation: 1,
			Caller: envelope.AppendCaller(nil, callerAddr(i)), Budget: 9, Payload: []byte{0x80},
		}
		t.Take(owner.Arrival{Now: clock.Hour, Envelope: e, Via: callerAddr(i)}, view, owner.LocalState{Accepting: true}, dialer)
	}
	return t
}

func flowBytes(n int) (float64, error) {
	pool, err := upstream.NewPool(loopback, netip.AddrPortFrom(loopback, 9), 2, func(*owner.Flow, []byte) {})
	if err != nil {
		return 0, err
	}
	defer pool.Close()
	return memoryGrowth(func() (any, error) { return newTable(n, pool), nil })
}

func ledgerBytes(n int) (float64, error) {
	pool, err := upstream.NewPool(loopback, netip.AddrPortFrom(loopback, 9), 2, func(*owner.Flow, []byte) {})
	if err != nil {
		return 0, err
	}
	defer pool.Close()
	t := newTable(n, pool)
	view := &owner.View{Incarnation: 1}
	data, err := json.Marshal(t.NewLedger(clock.Hour, "web.a", view))
	return float64(len(data)), err
}

func recordBytes(n int) (float64, error) {
	const services = 1200
	return memoryGrowth(func() (any, error) {
		b, err := newTestBalancer(false)
		if err != nil {
			return nil, err
		}
		b.Preload(newState(services, 1), targetRecords(n, services))
		return b, nil
	})
}

func serviceBytes(n int) (float64, error) {
	return memoryGrowth(func() (any, error) {
		b, err := newTestBalancer(false)
		if err != nil {
			return nil, err
		}
		b.Preload(newState(n, 1), nil)
		return b, nil
	})
}

func edgeBytes(n int) (float64, error) {
	var b *balancer.Balancer
	withEdges, err := memoryGrowth(func() (any, error) {
		var err error
		if b, err = newTestBalancer(true); err != nil {
			return nil, err
		}
		b.Preload(newState(n, 1), nil)
		return b, nil
	})
	if err != nil {
		return 0, err
	}
	b.Kill()
	without, err := serviceBytes(n)
	return withEdges - without, err
}
