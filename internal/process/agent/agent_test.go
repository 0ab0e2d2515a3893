package agent

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

func newTestAgent(t *testing.T, c clock.Clock) *Agent {
	ring, err := key.Parse(key.Generate())
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort("127.0.0.1:0")
	a, err := New(Settings{Name: "t1", Service: "web", Tunnel: address, MTU: 1500}, Deps{
		Ring: ring, Clock: c, Log: zerolog.Nop(), Scope: tally.NoopScope,
	})
	if err != nil {
		t.Fatal(err)
	}
	a.self = member.Member{
		Key:         member.Key{Kind: member.Target, Service: "web", Name: "t1"},
		Incarnation: 4, Sequence: 9, State: member.Alive,
	}
	a.leaseMillis.Store(1500)
	a.tookOver.Store(true)
	a.predecessorKnown = true
	return a
}

// A process that resumes after a pause longer than its lease must not serve: a
// successor may have taken over its target. The answer to its next heartbeat
// reports the successor, and the agent ends.
func TestWokenHolderIsFenced(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	a := newTestAgent(t, c)
	a.leaseStart.Store(int64(c.Now()))
	if a.fenced(c.Advance(1500)) {
		t.Error("fenced within the lease")
	}
	if !a.fenced(c.Advance(1)) {
		t.Error("not fenced after the lease")
	}
	err := a.applyReply(&wire.Announced{Incarnation: 5}, false)
	if !errors.Is(err, ErrSuperseded) {
		t.Fatalf("got %v", err)
	}
	a.leaseStart.Store(int64(c.Now()))
	a.supersede(err)
	if !a.fenced(c.Now()) {
		t.Error("not fenced although superseded")
	}
	if err := <-a.Fatal(); !errors.Is(err, ErrSuperseded) {
		t.Errorf("Fatal returned %v", err)
	}
}

// A reply that reports the target as suspected must raise its sequence, which
// overrides the suspicion. A reply with an older configuration must not cancel a
// drain.
func TestApplyReply(t *testing.T) {
	a := newTestAgent(t, &clock.Manual{})
	a.version = 7
	a.drainRequested = true
	if err := a.applyReply(&wire.Announced{Incarnation: 4, Sequence: 9, Suspected: true, Version: 6}, true); err != nil {
		t.Fatal(err)
	}
	if a.self.Sequence <= 9 || a.self.State != member.Draining {
		t.Errorf("sequence %d, state %s", a.self.Sequence, a.self.State)
	}
	if err := a.applyReply(&wire.Announced{Incarnation: 4, Version: 7}, true); err != nil {
		t.Fatal(err)
	}
	if a.self.State != member.Alive {
		t.Errorf("state %s after the drain was canceled", a.self.State)
	}
}

// An agent that still waits for its first configuration has no tunnel and no
// upstream pool. Kill must work without them.
func TestKillBeforeServing(t *testing.T) {
	a := newTestAgent(t, clock.System())
	a.settings.Control = netip.MustParseAddrPort("127.0.0.1:0")
	a.deps.Store = platform.NewClient("http://127.0.0.1:1")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := a.Start(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Start returned %v", err)
	}
	a.Kill()
}

// A new target must not open flows until the other processes know it. A target
// that took over flows is known already, unless the balancers have forgotten its
// predecessor. A requested drain takes precedence over both.
func TestJoining(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	a := newTestAgent(t, c)
	a.version = 1
	a.tookOver.Store(false)
	if err := a.openTunnel(); err != nil {
		t.Fatal(err)
	}
	a.join()
	if a.self.State != member.Joining || a.accepting.Load() || a.Ready() == "" {
		t.Errorf("state %s, accepting %t", a.self.State, a.accepting.Load())
	}
	c.Advance(owner.MaxPropagationDelay)
	if a.refreshState() {
		t.Error("state changed within the propagation delay")
	}
	c.Advance(1)
	if !a.refreshState() || a.self.State != member.Alive || !a.accepting.Load() {
		t.Errorf("state %s after the propagation delay, accepting %t", a.self.State, a.accepting.Load())
	}
	a.tookOver.Store(true)
	a.join()
	if a.self.State != member.Alive || !a.accepting.Load() {
		t.Errorf("state %s with a predecessor's flows", a.self.State)
	}
	a.predecessorKnown = false
	a.join()
	if a.self.State != member.Joining || a.accepting.Load() {
		t.Errorf("state %s with flows of a forgotten predecessor", a.self.State)
	}
	a.drainRequested = true
	a.join()
	if a.self.State != member.Draining || a.accepting.Load() {
		t.Errorf("state %s of a draining target after a restart, accepting %t", a.self.State, a.accepting.Load())
	}
}

// A flow that does not end must be ended at the drain limit of the service, not
// earlier. A later configuration may change the limit during the drain.
func TestDrainLimit(t *testing.T) {
	c := &clock.Manual{}
	a := newTestAgent(t, c)
	a.service = config.Service{DrainTimeout: clock.Hour, MaxFlows: 10}
	a.version = 1
	a.table = owner.NewTable(a.limits(), owner.NewPeerLoads(1))
	a.drainRequested = true
	a.updateState()
	if a.drainExpired(c.Advance(clock.Hour)) {
		t.Error("expired at the limit")
	}
	if !a.drainExpired(c.Advance(1)) {
		t.Error("not expired after the limit")
	}
	a.service.DrainTimeout = 2 * clock.Hour
	if a.drainExpired(c.Now()) {
		t.Error("expired although the limit was raised")
	}
	a.drainRequested = false
	a.updateState()
	if a.drainExpired(c.Advance(clock.Hour * 9)) {
		t.Error("expired although the target is not draining")
	}
}

// An answer must count from the time at which its heartbeat was sent, and numbers
// that were never sent or are too old must be rejected. When the primary contact
// leaves two heartbeats unanswered, the next contact becomes the primary one.
func TestHeartbeats(t *testing.T) {
	contacts := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"),
	}
	var s heartbeatState
	number, to := s.next(1000, contacts)
	if len(to) != 1 || to[0] != contacts[0] {
		t.Errorf("first heartbeat sent to %v", to)
	}
	if sent, ok := s.acknowledge(number); !ok || sent != 1000 {
		t.Errorf("sent at %d, %t", sent, ok)
	}
	if _, ok := s.acknowledge(number + 1); ok {
		t.Error("answer to a heartbeat that was not sent is accepted")
	}
	for range maxUnanswered {
		s.next(2000, contacts)
	}
	if _, to = s.next(3000, contacts); to[0] != contacts[1] {
		t.Errorf("after %d unanswered heartbeats the next is sent to %v", maxUnanswered, to)
	}
	for range maxInFlight {
		s.next(4000, contacts)
	}
	if _, ok := s.acknowledge(number); ok {
		t.Error("answer that is too old is accepted")
	}
	if !s.contactsLost(len(contacts)) {
		t.Error("loss of all contacts is not detected")
	}
}

// A worker may process an opening datagram while the agent stops, and add its flow
// after the socket is closed. The agent must wait for it before writing the ledger:
// otherwise the upstream has a session that no successor knows.
func TestStopWaitsForWorkers(t *testing.T) {
	a := newTestAgent(t, &clock.Manual{})
	if err := a.openTunnel(); err != nil {
		t.Fatal(err)
	}
	added := false
	a.workers.Go(func() {
		var b [1]byte
		_, _, _ = a.tunnel.ReadFromUDPAddrPort(b[:])
		time.Sleep(10 * time.Millisecond)
		added = true
	})
	a.closeTunnel()
	if !added {
		t.Error("closeTunnel returned while a worker was still running")
	}
}

// A reply may replace the contacts while a heartbeat is being sent. The heartbeat must go
// to the contacts that it was prepared for.
func TestHeartbeatKeepsContacts(t *testing.T) {
	a := newTestAgent(t, &clock.Manual{})
	reply := func(view uint64, tunnel string) *wire.Announced {
		return &wire.Announced{View: view, Contacts: []*wire.Member{{
			Kind: string(member.Balancer), Name: "b", State: string(member.Alive), Tunnels: []string{tunnel},
		}}}
	}
	a.applyMembership(reply(1, "10.0.0.1:1"))
	_, to := a.heartbeats.next(1000, a.tunnels)
	a.applyMembership(reply(2, "10.0.0.2:1"))
	if len(to) != 1 || to[0] != netip.MustParseAddrPort("10.0.0.1:1") {
		t.Errorf("heartbeat sent to %v", to)
	}
}
