package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// A successor asks a peer for its predecessor's flows while the platform is down, and the
// answer comes too late. It asks again and gets them; a later successor does not, for the
// flows are others by then.
func TestLedgerIsGivenAgain(t *testing.T) {
	a := newTest(t, &clock.Manual{})
	if err := a.keep(&wire.Keep{Target: "web.t2", Ledger: []byte("flows")}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		incarnation uint32
		want        string
	}{{5, "flows"}, {5, "flows"}, {6, ""}} {
		got := a.giveLedger(&wire.Take{Target: "web.t2", Incarnation: c.incarnation})
		if string(got.Ledger) != c.want {
			t.Errorf("incarnation %d got %q, want %q", c.incarnation, got.Ledger, c.want)
		}
	}
}

// Peers leave ledgers again and again. What was given makes room; what was not stays, and
// its peer is told that there is no room for another one.
func TestGivenLedgersMakeRoom(t *testing.T) {
	a := newTest(t, &clock.Manual{})
	keep := func(i int) error {
		return a.keep(&wire.Keep{Target: fmt.Sprint("t", i), Ledger: []byte{1}})
	}
	for i := range maxKept {
		if err := keep(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := keep(maxKept); !errors.Is(err, errFull) {
		t.Errorf("one more ended with %v", err)
	}
	a.giveLedger(&wire.Take{Target: "t3", Incarnation: 2})
	if err := keep(maxKept); err != nil || len(a.kept) != maxKept {
		t.Errorf("after one was given: %v, %d are kept", err, len(a.kept))
	}
	if _, ok := a.kept["t3"]; ok {
		t.Error("another one than the given one made room")
	}
}

// late is a peer whose first answer does not arrive.
type late struct {
	mu    sync.Mutex
	peer  *Agent
	calls int
}

func (l *late) Handle(ctx context.Context, m control.Method, params json.RawMessage) (any, error) {
	reply, err := l.peer.Handle(ctx, m, params)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.calls == 1 {
		return nil, errors.New("lost")
	}
	return reply, err
}

// The only peer that keeps the flows of a restarted agent is short of processor time, and
// its answer is lost. The agent must not start without them, or all of them break.
func TestLedgerOfSlowPeer(t *testing.T) {
	a, peer := newTest(t, clock.System()), newTest(t, clock.System())
	l := &owner.Ledger{Target: a.object(), Incarnation: 3}
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	if err := peer.keep(&wire.Keep{Target: a.object(), Ledger: data}); err != nil {
		t.Fatal(err)
	}
	server, err := control.Serve(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), a.deps.Ring, &late{peer: peer})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	a.peers = []member.Member{{State: member.Alive, Control: server.Address()}}
	if got := a.askPeers(t.Context()); got == nil || got.Incarnation != 3 {
		t.Errorf("got %+v", got)
	}
}
