package agent

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// slow is a peer that takes its time before it does anything, or one thing.
type slow struct {
	peer  *Agent
	delay time.Duration
	only  control.Method
}

func (s *slow) Handle(ctx context.Context, m control.Method, params json.RawMessage) (any, error) {
	if s.only == "" || s.only == m {
		time.Sleep(s.delay)
	}
	return s.peer.Handle(ctx, m, params)
}

// serveAs makes a handler the only peer of an agent.
func serveAs(t *testing.T, a *Agent, h control.Handler) {
	t.Helper()
	server, err := control.Serve(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), a.deps.Ring, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	a.peers = append(a.peers, member.Member{State: member.Alive, Control: server.Address()})
}

// leaveWithPeer fails the test if no peer takes the flows.
func leaveWithPeer(t *testing.T, a *Agent) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), handoverLimit)
	defer cancel()
	if _, err := leave(ctx, a.peerRecipients(&owner.Ledger{Target: a.object(), Incarnation: 4})); err != nil {
		t.Errorf("no peer took the flows: %v", err)
	}
}

// Every peer of a stopping agent is short of processor time and answers after more than a
// second. The flows must not be lost for that.
func TestFlowsAreLeftWithSlowPeer(t *testing.T) {
	a, peer := newTest(t, clock.System()), newTest(t, clock.System())
	serveAs(t, a, &slow{peer: peer, delay: 1200 * time.Millisecond})
	leaveWithPeer(t, a)
}

// The only peer cannot be reached for a moment while an agent stops. The flows must not be
// lost for that.
func TestFlowsAreLeftAtTheSecondTry(t *testing.T) {
	a, peer := newTest(t, clock.System()), newTest(t, clock.System())
	serveAs(t, a, &late{peer: peer})
	leaveWithPeer(t, a)
}

// The only peer is late to keep the flows of an agent that is restarted without the
// platform, and tells its successor at once what it keeps. The successor must not begin
// with none of them.
func TestSuccessorGetsWhatSlowPeerKeeps(t *testing.T) {
	a, peer := newTest(t, clock.System()), newTest(t, clock.System())
	serveAs(t, a, &slow{peer: peer, delay: 1200 * time.Millisecond, only: control.Keep})
	a.deps.Store = &store{silent: 1000}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a.handOver(ctx, &owner.Ledger{Target: a.object(), Incarnation: 3})
	if l := a.findLedger(ctx); l == nil || l.Incarnation != 3 {
		t.Errorf("got %+v", l)
	}
}

// Peers are dead and swallow what they are asked. No more than three of them hold a whole
// ledger at a time, and one that is well is reached behind them.
func TestDeadPeersHoldFewLedgers(t *testing.T) {
	var mu sync.Mutex
	busy, most := 0, 0
	count := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		busy += n
		most = max(most, busy)
	}
	dead := recipient{name: "dead", keep: func(ctx context.Context) error {
		count(1)
		defer count(-1)
		<-ctx.Done()
		return ctx.Err()
	}}
	well := recipient{name: "well", keep: func(context.Context) error { return nil }}
	to, err := leave(t.Context(), []recipient{dead, dead, dead, dead, well})
	if err != nil || to != "well" || most != mostOffers {
		t.Errorf("left with %q, %v; %d at a time", to, err, most)
	}
}

// A suspected peer may be dead. It is asked last, and one that has left not at all.
func TestSuspectedPeersAreAskedLast(t *testing.T) {
	a := newTest(t, &clock.Manual{})
	a.peers = []member.Member{
		{Key: member.Key{Name: "suspected"}, State: member.Alive, Suspected: true},
		{Key: member.Key{Name: "left"}, State: member.Left},
		{Key: member.Key{Name: "well"}, State: member.Draining},
	}
	got := a.peerList()
	if len(got) != 2 || got[0].Name != "well" || got[1].Name != "suspected" {
		t.Errorf("asked in the order %+v", got)
	}
}
