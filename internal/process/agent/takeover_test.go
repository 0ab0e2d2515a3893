package agent

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// fakeStore is a store with one ledger or none. Its first reads fail.
type fakeStore struct {
	platform.Store
	mu       sync.Mutex
	ledger   *owner.Ledger
	failures int
	// unreadable replaces the ledger by data that is none.
	unreadable bool
}

func (s *fakeStore) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures > 0 {
		s.failures--
		return platform.Object{}, platform.ErrUnavailable
	}
	if s.ledger == nil {
		return platform.Object{}, platform.ErrNotFound
	}
	if s.unreadable {
		return platform.Object{Spec: []byte("[]")}, nil
	}
	data, err := json.Marshal(s.ledger)
	return platform.Object{Spec: data}, err
}

func (s *fakeStore) List(context.Context, platform.Kind) (platform.List, error) {
	return platform.List{}, platform.ErrUnavailable
}

func (s *fakeStore) Delete(context.Context, platform.Kind, platform.Object) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = nil
	return nil
}

// ledgerOf returns the ledger of a predecessor.
func ledgerOf(incarnation uint32) *owner.Ledger {
	return &owner.Ledger{Target: "web.t1", Incarnation: incarnation}
}

// servePeerLedger serves a peer that stores a ledger and answers after a delay.
func servePeerLedger(t *testing.T, a *Agent, l *owner.Ledger, delay time.Duration) {
	t.Helper()
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	peer := newTestAgent(t, clock.System())
	if err := peer.handleKeep(&wire.Keep{Target: a.objectName(), Ledger: data}); err != nil {
		t.Fatal(err)
	}
	servePeer(t, a, &slowPeer{peer: peer, delay: delay})
}

// queryPeers returns the newest ledger that a peer stores.
func (a *Agent) queryPeers(ctx context.Context) *owner.Ledger {
	return a.queryAll(ctx, a.peerSources())
}

// newSuccessor returns a starting agent, the successor of incarnation 3, that has not looked
// for a ledger yet.
func newSuccessor(t *testing.T, s *fakeStore) *Agent {
	t.Helper()
	a := newTestAgent(t, clock.System())
	a.deps.Store = s
	return a
}

// The platform may still have a ledger that an earlier successor could not remove, while a
// peer stores the newest one. The newest one must be restored.
func TestNewestLedgerIsTaken(t *testing.T) {
	a := newSuccessor(t, &fakeStore{ledger: ledgerOf(1)})
	servePeerLedger(t, a, ledgerOf(3), 0)
	if l := a.findLedger(t.Context()); l == nil || l.Incarnation != 3 {
		t.Errorf("got %+v", l)
	}
}

// The flows must not be lost if the platform does not answer the first reads of a successor.
func TestTakeoverRetriesPlatform(t *testing.T) {
	a := newSuccessor(t, &fakeStore{ledger: ledgerOf(3), failures: 2})
	if l := a.findLedger(t.Context()); l == nil || l.Incarnation != 3 {
		t.Errorf("got %+v", l)
	}
}

// The flows must not be lost if the only peer that stores the ledger answers every call after
// more than a second.
func TestTakeoverWaitsForSlowPeer(t *testing.T) {
	a := newSuccessor(t, &fakeStore{})
	servePeerLedger(t, a, ledgerOf(3), 1200*time.Millisecond)
	if l := a.findLedger(t.Context()); l == nil || l.Incarnation != 3 {
		t.Errorf("got %+v", l)
	}
}

// An agent must not retry when the platform's object is not a ledger, and must remove the
// object.
func TestUnreadableLedgerIsRemoved(t *testing.T) {
	s := &fakeStore{ledger: ledgerOf(3), unreadable: true}
	a := newSuccessor(t, s)
	start := time.Now()
	if l := a.findLedger(t.Context()); l != nil || time.Since(start) > callTimeout {
		t.Errorf("got %+v after %s", l, time.Since(start))
	}
	if a.removeLedger(t.Context()); s.ledger != nil {
		t.Error("the object was not removed")
	}
}

// A target that starts for the first time has no predecessor. It must not wait for flows if
// neither platform nor peer answers.
func TestFirstStartQueriesNobody(t *testing.T) {
	a := newSuccessor(t, &fakeStore{failures: 1000})
	a.self.Incarnation = 1
	start := time.Now()
	if l := a.findLedger(t.Context()); l != nil || time.Since(start) > callTimeout {
		t.Errorf("got %+v after %s", l, time.Since(start))
	}
}

// cancelingPeer is a peer that cancels the caller's context when it is called.
type cancelingPeer struct {
	peer   *Agent
	cancel context.CancelFunc
}

func (s *cancelingPeer) Handle(ctx context.Context, m control.Method, params json.RawMessage) (any, error) {
	s.cancel()
	return s.peer.Handle(ctx, m, params)
}

// An agent may be stopped while it takes over its predecessor's flows from a peer, which
// returns them to no later incarnation. They must be handed over again.
func TestCanceledTakeoverHandsOver(t *testing.T) {
	a, peer := newSuccessor(t, &fakeStore{failures: 1000}), newTestAgent(t, clock.System())
	ctx, cancel := context.WithCancel(t.Context())
	servePeer(t, a, &cancelingPeer{peer: peer, cancel: cancel})
	if err := peer.handleKeep(&wire.Keep{Target: "web.t1", Ledger: []byte(`{"target":"web.t1","incarnation":3}`)}); err != nil {
		t.Fatal(err)
	}
	if err := a.restoreLedger(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("restoreLedger returned %v", err)
	}
	a.self.Incarnation++
	if l := a.findLedger(t.Context()); l == nil || l.Incarnation != 4 {
		t.Errorf("the next incarnation got %+v", l)
	}
}

// Two peers may store the same ledger, of which the successor takes one. A later successor
// must not get the other one, whose flows have expired.
func TestExpiredLedgerIsNotReturned(t *testing.T) {
	c := &clock.Manual{}
	a := newTestAgent(t, c)
	a.service.IdleTimeout = clock.Minute
	if err := a.handleKeep(&wire.Keep{Target: "web.t2", Ledger: []byte("flows")}); err != nil {
		t.Fatal(err)
	}
	c.Advance(clock.Minute + 1)
	if got := a.handleTake(&wire.Take{Target: "web.t2", Incarnation: 6}); len(got.Ledger) > 0 {
		t.Errorf("got %q", got.Ledger)
	}
}

// A restart takes longer than a service's flows may be idle. A peer must still have the ledger:
// the callers of its flows wait for longer than that, and their flows would be lost.
func TestLedgerOutlastsRestart(t *testing.T) {
	c := &clock.Manual{}
	a := newTestAgent(t, c)
	a.service.IdleTimeout = 5 * clock.Second
	if err := a.handleKeep(&wire.Keep{Target: "web.t2", Ledger: []byte("flows")}); err != nil {
		t.Fatal(err)
	}
	c.Advance(owner.MaxCallerPause)
	if got := a.handleTake(&wire.Take{Target: "web.t2", Incarnation: 6}); string(got.Ledger) != "flows" {
		t.Errorf("got %q", got.Ledger)
	}
	c.Advance(1)
	if got := a.handleTake(&wire.Take{Target: "web.t2", Incarnation: 6}); len(got.Ledger) > 0 {
		t.Errorf("got %q after the pause", got.Ledger)
	}
}
