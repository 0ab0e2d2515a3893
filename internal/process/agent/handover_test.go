package agent

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// slow is a peer that takes its time before it does anything.
type slow struct {
	peer  *Agent
	delay time.Duration
}

func (s *slow) Handle(ctx context.Context, m control.Method, params json.RawMessage) (any, error) {
	time.Sleep(s.delay)
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

// Every peer of a stopping agent is short of processor time and answers after more than a
// second. The flows must not be lost for that.
func TestFlowsAreLeftWithSlowPeer(t *testing.T) {
	a, peer := newTest(t, clock.System()), newTest(t, clock.System())
	serveAs(t, a, &slow{peer: peer, delay: 1200 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := leave(ctx, a.peerRecipients(&owner.Ledger{Target: a.object(), Incarnation: 4})); err != nil {
		t.Errorf("no peer took the flows: %v", err)
	}
}

// The only peer cannot be reached for a moment while an agent stops. The flows must not be
// lost for that.
func TestFlowsAreLeftAtTheSecondTry(t *testing.T) {
	a, peer := newTest(t, clock.System()), newTest(t, clock.System())
	serveAs(t, a, &late{peer: peer})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := leave(ctx, a.peerRecipients(&owner.Ledger{Target: a.object(), Incarnation: 4})); err != nil {
		t.Errorf("no peer took the flows: %v", err)
	}
}
