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

// store has one ledger, or none, and does not answer the first reads.
type store struct {
	platform.Store
	mu     sync.Mutex
	ledger *owner.Ledger
	silent int
	// unreadable stores something else.
	unreadable bool
}

func (s *store) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent > 0 {
		s.silent--
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

func (s *store) List(context.Context, platform.Kind) (platform.List, error) {
	return platform.List{}, platform.ErrUnavailable
}

func (s *store) Delete(context.Context, platform.Kind, platform.Object) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger = nil
	return nil
}

// ledgerOf is what a predecessor has left.
func ledgerOf(incarnation uint32) *owner.Ledger {
	return &owner.Ledger{Target: "web.t1", Incarnation: incarnation}
}

// keptBy leaves a ledger with a peer that answers after a delay.
func keptBy(t *testing.T, a *Agent, l *owner.Ledger, delay time.Duration) {
	t.Helper()
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	peer := newTest(t, clock.System())
	if err := peer.keep(&wire.Keep{Target: a.object(), Ledger: data}); err != nil {
		t.Fatal(err)
	}
	serveAs(t, a, &slow{peer: peer, delay: delay})
}

// askPeers returns the newest ledger that a peer keeps.
func (a *Agent) askPeers(ctx context.Context) *owner.Ledger {
	return a.askAll(ctx, a.peerSources())
}

// taker is an agent that starts as the successor of incarnation 3, before it has looked
// for flows.
func taker(t *testing.T, s *store) *Agent {
	t.Helper()
	a := newTest(t, clock.System())
	a.deps.Store = s
	return a
}

// The platform still has a ledger that an earlier successor could not remove, and the
// newest one is with a peer. The flows of the newest one must not be lost for the old one.
func TestNewestFlowsAreTaken(t *testing.T) {
	a := taker(t, &store{ledger: ledgerOf(1)})
	keptBy(t, a, ledgerOf(3), 0)
	if l := a.findLedger(t.Context()); l == nil || l.Incarnation != 3 {
		t.Errorf("got %+v", l)
	}
}

// The platform does not answer the first read of a successor. The flows must not be lost
// for that.
func TestFlowsAreTakenFromSilentStore(t *testing.T) {
	a := taker(t, &store{ledger: ledgerOf(3), silent: 2})
	if l := a.findLedger(t.Context()); l == nil || l.Incarnation != 3 {
		t.Errorf("got %+v", l)
	}
}

// The only peer that keeps the flows answers every call after more than a second. The
// flows must not be lost for that.
func TestFlowsAreTakenFromSlowPeer(t *testing.T) {
	a := taker(t, &store{})
	keptBy(t, a, ledgerOf(3), 1200*time.Millisecond)
	if l := a.findLedger(t.Context()); l == nil || l.Incarnation != 3 {
		t.Errorf("got %+v", l)
	}
}

// The platform has something that is no ledger. An agent must not wait for it to become
// one, and takes it away.
func TestUnreadableLedgerIsNone(t *testing.T) {
	s := &store{ledger: ledgerOf(3), unreadable: true}
	a := taker(t, s)
	began := time.Now()
	if l := a.findLedger(t.Context()); l != nil || time.Since(began) > callTimeout {
		t.Errorf("got %+v after %s", l, time.Since(began))
	}
	if a.removeLedger(t.Context()); s.ledger != nil {
		t.Error("it is still there")
	}
}

// A target starts for the first time while neither platform nor peer answers. It has no
// predecessor and must not wait for one's flows.
func TestFirstStartWaitsForNobody(t *testing.T) {
	a := taker(t, &store{silent: 1000})
	a.self.Incarnation = 1
	began := time.Now()
	if l := a.findLedger(t.Context()); l != nil || time.Since(began) > callTimeout {
		t.Errorf("got %+v after %s", l, time.Since(began))
	}
}

// stopping is a peer at whose first call the caller is told to stop.
type stopping struct {
	peer *Agent
	stop context.CancelFunc
}

func (s *stopping) Handle(ctx context.Context, m control.Method, params json.RawMessage) (any, error) {
	s.stop()
	return s.peer.Handle(ctx, m, params)
}

// An agent is told to stop while it takes over its predecessor's flows from a peer, which
// gives them to no later one. They must not be lost with it.
func TestFlowsOutliveStoppedStart(t *testing.T) {
	a, peer := taker(t, &store{silent: 1000}), newTest(t, clock.System())
	ctx, cancel := context.WithCancel(t.Context())
	serveAs(t, a, &stopping{peer: peer, stop: cancel})
	if err := peer.keep(&wire.Keep{Target: "web.t1", Ledger: []byte(`{"target":"web.t1","incarnation":3}`)}); err != nil {
		t.Fatal(err)
	}
	if err := a.takeLedger(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("the start ended with %v", err)
	}
	a.self.Incarnation++
	if l := a.findLedger(t.Context()); l == nil || l.Incarnation != 4 {
		t.Errorf("the next one got %+v", l)
	}
}

// Two peers keep one ledger, and its successor has taken it from the other one. A later
// successor must not get the flows of long ago from this one.
func TestOldLedgerIsNotGiven(t *testing.T) {
	c := &clock.Manual{}
	a := newTest(t, c)
	a.record.IdleTimeout = clock.Minute
	if err := a.keep(&wire.Keep{Target: "web.t2", Ledger: []byte("flows")}); err != nil {
		t.Fatal(err)
	}
	c.Advance(clock.Minute + 1)
	if got := a.giveLedger(&wire.Take{Target: "web.t2", Incarnation: 6}); len(got.Ledger) > 0 {
		t.Errorf("got %q", got.Ledger)
	}
}
