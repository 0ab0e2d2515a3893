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

// The reply with a ledger may reach the successor too late. It must get the ledger when it
// asks again; a later successor must not, since the flows have changed by then.
func TestTakeIsRepeatable(t *testing.T) {
	a := newTestAgent(t, &clock.Manual{})
	if err := a.handleKeep(&wire.Keep{Target: "web.t2", Ledger: []byte("flows")}); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		incarnation uint32
		want        string
	}{{5, "flows"}, {5, "flows"}, {6, ""}} {
		got := a.handleTake(&wire.Take{Target: "web.t2", Incarnation: c.incarnation})
		if string(got.Ledger) != c.want {
			t.Errorf("incarnation %d got %q, want %q", c.incarnation, got.Ledger, c.want)
		}
	}
}

// When no further ledger fits, one that was taken by its successor must be evicted. If none
// was taken, the peer must get errFull.
func TestTakenLedgersAreEvicted(t *testing.T) {
	a := newTestAgent(t, &clock.Manual{})
	keep := func(i int) error {
		return a.handleKeep(&wire.Keep{Target: fmt.Sprint("t", i), Ledger: []byte{1}})
	}
	for i := range maxPeerLedgers {
		if err := keep(i); err != nil {
			t.Fatal(err)
		}
	}
	if err := keep(maxPeerLedgers); !errors.Is(err, errFull) {
		t.Errorf("storing one more returned %v", err)
	}
	a.handleTake(&wire.Take{Target: "t3", Incarnation: 2})
	if err := keep(maxPeerLedgers); err != nil || len(a.peerLedgers) != maxPeerLedgers {
		t.Errorf("after one was taken: %v, %d stored", err, len(a.peerLedgers))
	}
	if _, ok := a.peerLedgers["t3"]; ok {
		t.Error("a ledger other than the taken one was evicted")
	}
}

// lossyPeer is a peer whose first reply is lost.
type lossyPeer struct {
	mu    sync.Mutex
	peer  *Agent
	calls int
}

func (l *lossyPeer) Handle(ctx context.Context, m control.Method, params json.RawMessage) (any, error) {
	reply, err := l.peer.Handle(ctx, m, params)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.calls == 1 {
		return nil, errors.New("lost")
	}
	return reply, err
}

// The reply of the only peer that stores the ledger of a restarted agent is lost. The agent
// must not start without the flows, or all of them break.
func TestTakeRetriesLostReply(t *testing.T) {
	a, peer := newTestAgent(t, clock.System()), newTestAgent(t, clock.System())
	l := &owner.Ledger{Target: a.objectName(), Incarnation: 3}
	data, err := json.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	if err := peer.handleKeep(&wire.Keep{Target: a.objectName(), Ledger: data}); err != nil {
		t.Fatal(err)
	}
	server, err := control.Serve(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), a.deps.Ring, &lossyPeer{peer: peer})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	a.peers = []member.Member{{State: member.Alive, Control: server.Address()}}
	if got := a.queryPeers(t.Context()); got == nil || got.Incarnation != 3 {
		t.Errorf("got %+v", got)
	}
}
