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
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// slowPeer is a peer that delays all calls, or those of one method.
type slowPeer struct {
	peer       *Agent
	delay      time.Duration
	onlyMethod control.Method
}

func (s *slowPeer) Handle(ctx context.Context, m control.Method, params json.RawMessage) (any, error) {
	if s.onlyMethod == "" || s.onlyMethod == m {
		time.Sleep(s.delay)
	}
	return s.peer.Handle(ctx, m, params)
}

// servePeer serves a handler as a peer of an agent.
func servePeer(t *testing.T, a *Agent, h control.Handler) {
	t.Helper()
	server, err := control.Serve(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), a.deps.Ring, h)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	a.peers = append(a.peers, member.Member{State: member.Alive, Control: server.Address()})
}

// offerToPeers fails the test if no peer stores the ledger.
func offerToPeers(t *testing.T, a *Agent) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), handoverTimeout)
	defer cancel()
	if _, err := offerLedger(ctx, a.peerRecipients(&owner.Ledger{Target: a.objectName(), Incarnation: 4})); err != nil {
		t.Errorf("no peer stored the ledger: %v", err)
	}
}

// The flows of a stopping agent must not be lost if every peer is short of CPU time and
// answers after more than a second.
func TestHandoverToSlowPeer(t *testing.T) {
	a, peer := newTestAgent(t, clock.System()), newTestAgent(t, clock.System())
	servePeer(t, a, &slowPeer{peer: peer, delay: 1200 * time.Millisecond})
	offerToPeers(t, a)
}

// The flows of a stopping agent must not be lost if the only peer fails at the first attempt.
func TestHandoverRetries(t *testing.T) {
	a, peer := newTestAgent(t, clock.System()), newTestAgent(t, clock.System())
	servePeer(t, a, &lossyPeer{peer: peer})
	offerToPeers(t, a)
}

// The platform is down, and the only peer stores the ledger of a restarting agent slowly but
// answers its successor at once. The successor must not start without the flows.
func TestHandoverToSlowPeerIsFound(t *testing.T) {
	a, peer := newTestAgent(t, clock.System()), newTestAgent(t, clock.System())
	servePeer(t, a, &slowPeer{peer: peer, delay: 1200 * time.Millisecond, onlyMethod: control.Keep})
	a.deps.Store = &fakeStore{failures: 1000}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a.handOver(ctx, &owner.Ledger{Target: a.objectName(), Incarnation: 3}, handoverTimeout)
	if l := a.findLedger(ctx); l == nil || l.Incarnation != 3 {
		t.Errorf("got %+v", l)
	}
}

// Dead peers never answer. At most three attempts, each with a whole ledger, may be in
// flight, and a healthy peer behind the dead ones must be reached.
func TestConcurrentOffersAreBounded(t *testing.T) {
	var mu sync.Mutex
	busy, most := 0, 0
	count := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		busy += n
		most = max(most, busy)
	}
	dead := recipient{name: "dead", store: func(ctx context.Context) error {
		count(1)
		defer count(-1)
		<-ctx.Done()
		return ctx.Err()
	}}
	healthy := recipient{name: "well", store: func(context.Context) error { return nil }}
	to, err := offerLedger(t.Context(), []recipient{dead, dead, dead, dead, healthy})
	if err != nil || to != "well" || most != maxConcurrentOffers {
		t.Errorf("stored by %q, error %v, %d concurrent attempts", to, err, most)
	}
}

// A suspected peer may be dead and must be tried last. A peer that has left must not be
// tried at all.
func TestSuspectedPeersAreLast(t *testing.T) {
	a := newTestAgent(t, &clock.Manual{})
	a.peers = []member.Member{
		{Key: member.Key{Name: "suspected"}, State: member.Alive, Suspected: true},
		{Key: member.Key{Name: "left"}, State: member.Left},
		{Key: member.Key{Name: "well"}, State: member.Draining},
	}
	got := a.ledgerPeers()
	if len(got) != 2 || got[0].Name != "well" || got[1].Name != "suspected" {
		t.Errorf("got peers %+v", got)
	}
}

// closingPeer answers calls until a time, and none after it.
type closingPeer struct {
	peer  *Agent
	until time.Time
}

func (c *closingPeer) Handle(ctx context.Context, m control.Method, params json.RawMessage) (any, error) {
	if time.Now().After(c.until) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c.peer.Handle(ctx, m, params)
}

// The platform is down, and the only peer answers while the agent still serves, but not later.
// The flows must not be lost, and their callers must not wait for the peer.
func TestFlowsAreHandedOverWhileServed(t *testing.T) {
	a, peer := newAgentBesidePeer(t, netip.MustParseAddrPort("127.0.0.1:9")), newTestAgent(t, clock.System())
	a.accepting.Store(true)
	handleCaller(t, a, wire.Stage_STAGE_PLACED, 0x80)
	a.timing.LingerTime = 2 * clock.Second
	a.peers = nil
	servePeer(t, a, &closingPeer{peer: peer, until: time.Now().Add(time.Second)})
	ctx, cancel := context.WithCancel(t.Context())
	a.cancel = cancel
	a.serve(ctx)
	start := time.Now()
	a.Stop(t.Context())
	if took := time.Since(start); took > 8*time.Second {
		t.Errorf("stopping took %s", took)
	}
	if l := peer.handleTake(&wire.Take{Target: a.objectName(), Incarnation: 5}); len(l.Ledger) == 0 {
		t.Error("the successor gets no flows")
	}
}

// The last flows of a target end while it serves after its leave. A ledger that was stored before
// must not bring them back: the next process of the target would pass for a successor with flows.
func TestEndedFlowsAreNotHandedOver(t *testing.T) {
	a, peer := newAgentBesidePeer(t, netip.MustParseAddrPort("127.0.0.1:9")), newTestAgent(t, clock.System())
	a.accepting.Store(true)
	handleCaller(t, a, wire.Stage_STAGE_PLACED, 0x80)
	a.timing.LingerTime = 600
	a.peers = nil
	servePeer(t, a, peer)
	ctx, cancel := context.WithCancel(t.Context())
	a.cancel = cancel
	a.serve(ctx)
	time.AfterFunc(300*time.Millisecond, func() { a.table.Expire(a.deps.Clock.Now(), true) })
	a.Stop(t.Context())
	l, err := decodeLedger(peer.handleTake(&wire.Take{Target: a.objectName(), Incarnation: 5}).Ledger)
	if err != nil || l != nil && len(l.Flows) > 0 {
		t.Errorf("the successor gets %+v, %v", l, err)
	}
}
