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

func newTest(t *testing.T, c clock.Clock) *Agent {
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
	a.leaseTime.Store(1500)
	a.inherited.Store(true)
	a.familiar = true
	return a
}

// The process is paused for longer than its lease, and a successor takes over
// its target. When it wakes it finds the lease lapsed and serves nothing. The
// next heartbeat's answer tells it of the successor, and it ends.
func TestWokenHolderIsFenced(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	a := newTest(t, c)
	a.confirmed.Store(int64(c.Now()))
	if a.fenced(c.Advance(1500)) {
		t.Error("fenced within the lease")
	}
	if !a.fenced(c.Advance(1)) {
		t.Error("serves beyond the lease")
	}
	err := a.takeReply(&wire.Announced{Incarnation: 5}, false)
	if !errors.Is(err, ErrSuperseded) {
		t.Fatalf("got %v", err)
	}
	a.confirmed.Store(int64(c.Now()))
	a.supersede(err)
	if !a.fenced(c.Now()) {
		t.Error("serves beside its successor")
	}
	if err := <-a.Fatal(); !errors.Is(err, ErrSuperseded) {
		t.Errorf("ends with %v", err)
	}
}

// A contact tells the target that it is suspected. Its next heartbeat carries a
// higher sequence, which beats the suspicion. A balancer that is behind with
// its configuration takes no drain back.
func TestReply(t *testing.T) {
	a := newTest(t, &clock.Manual{})
	a.version = 7
	a.drained = true
	if err := a.takeReply(&wire.Announced{Incarnation: 4, Sequence: 9, Suspected: true, Version: 6}, true); err != nil {
		t.Fatal(err)
	}
	if a.self.Sequence <= 9 || a.self.State != member.Draining {
		t.Errorf("sequence %d, state %s", a.self.Sequence, a.self.State)
	}
	if err := a.takeReply(&wire.Announced{Incarnation: 4, Version: 7}, true); err != nil {
		t.Fatal(err)
	}
	if a.self.State != member.Alive {
		t.Errorf("state %s after the drain was taken back", a.self.State)
	}
}

// The operators stop an agent that still waits for its first configuration. It
// has no tunnel and no upstream yet, and ends all the same.
func TestStoppedBeforeItServes(t *testing.T) {
	a := newTest(t, clock.System())
	a.settings.Control = netip.MustParseAddrPort("127.0.0.1:0")
	a.deps.Store = platform.NewClient("http://127.0.0.1:1")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := a.Start(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("start ended with %v", err)
	}
	a.Kill()
}

// A target starts without flows, and others may not have heard of it: it opens
// none until they have. One that took over its predecessor's flows is known, unless
// the predecessor has been forgotten meanwhile, and a drain goes before either.
func TestJoining(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	a := newTest(t, c)
	a.version = 1
	a.inherited.Store(false)
	if err := a.openTunnel(); err != nil {
		t.Fatal(err)
	}
	a.join()
	if a.self.State != member.Joining || a.accepting.Load() || a.Ready() == "" {
		t.Errorf("state %s, accepting %t", a.self.State, a.accepting.Load())
	}
	c.Advance(owner.NewsLag)
	if a.settle() {
		t.Error("joined before the news are everywhere")
	}
	c.Advance(1)
	if !a.settle() || a.self.State != member.Alive || !a.accepting.Load() {
		t.Errorf("state %s after its time, accepting %t", a.self.State, a.accepting.Load())
	}
	a.inherited.Store(true)
	a.join()
	if a.self.State != member.Alive || !a.accepting.Load() {
		t.Errorf("state %s with a predecessor's flows", a.self.State)
	}
	a.familiar = false
	a.join()
	if a.self.State != member.Joining || a.accepting.Load() {
		t.Errorf("state %s with flows of a predecessor that is forgotten", a.self.State)
	}
	a.drained = true
	a.join()
	if a.self.State != member.Draining || a.accepting.Load() {
		t.Errorf("a restarted target that drains is %s, accepting %t", a.self.State, a.accepting.Load())
	}
}

// A target drains, and one flow does not end. It stays until the drain limit of
// the answers, and not longer; a later configuration may change the limit.
func TestDrainLimit(t *testing.T) {
	c := &clock.Manual{}
	a := newTest(t, c)
	a.record = config.Service{DrainTimeout: clock.Hour, MaxFlows: 10}
	a.version = 1
	a.table = owner.NewTable(a.limits(), owner.NewLoads(1))
	a.drained = true
	a.setState()
	if a.drainOver(c.Advance(clock.Hour)) {
		t.Error("over at the limit")
	}
	if !a.drainOver(c.Advance(1)) {
		t.Error("not over beyond the limit")
	}
	a.record.DrainTimeout = 2 * clock.Hour
	if a.drainOver(c.Now()) {
		t.Error("over although the limit is later now")
	}
	a.drained = false
	a.setState()
	if a.drainOver(c.Advance(clock.Hour * 9)) {
		t.Error("over although the target does not drain")
	}
}

// An answer to a beat from before a pause confirms no more than the time at
// which that beat was sent; numbers that were never sent confirm nothing. When
// the first contact is silent for two beats, the next one takes its place.
func TestBeats(t *testing.T) {
	contacts := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1"), netip.MustParseAddrPort("10.0.0.3:1"),
	}
	var s beats
	number, to := s.next(1000, contacts)
	if len(to) != 1 || to[0] != contacts[0] {
		t.Errorf("the first beat goes to %v", to)
	}
	if sent, ok := s.answered(number); !ok || sent != 1000 {
		t.Errorf("sent at %d, %t", sent, ok)
	}
	if _, ok := s.answered(number + 1); ok {
		t.Error("a beat that was not sent is answered")
	}
	for range missed {
		s.next(2000, contacts)
	}
	if _, to = s.next(3000, contacts); to[0] != contacts[1] {
		t.Errorf("after %d silent beats the next goes to %v", missed, to)
	}
	for range inFlight {
		s.next(4000, contacts)
	}
	if _, ok := s.answered(number); ok {
		t.Error("an answer that is too old is taken")
	}
	if !s.silent(len(contacts)) {
		t.Error("silence of all contacts goes unnoticed")
	}
}

// The agent stops while a worker holds an opening datagram. The worker's flow
// begins after the socket is closed, and the ledger must name it all the same:
// otherwise its upstream has a session that no successor knows.
func TestStopWaitsForWorkers(t *testing.T) {
	a := newTest(t, &clock.Manual{})
	if err := a.openTunnel(); err != nil {
		t.Fatal(err)
	}
	begun := false
	a.workers.Go(func() {
		var b [1]byte
		_, _, _ = a.tunnel.ReadFromUDPAddrPort(b[:])
		time.Sleep(10 * time.Millisecond)
		begun = true
	})
	a.shut()
	if !begun {
		t.Error("the table is written down while a worker still adds to it")
	}
}

// A heartbeat is on its way to the contacts when an announcement's answer brings others.
// It must not go to an address that is being written.
func TestBeatKeepsItsContacts(t *testing.T) {
	a := newTest(t, &clock.Manual{})
	told := func(view uint64, tunnel string) *wire.Announced {
		return &wire.Announced{View: view, Contacts: []*wire.Member{{
			Kind: string(member.Balancer), Name: "b", State: string(member.Alive), Tunnels: []string{tunnel},
		}}}
	}
	a.takePeers(told(1, "10.0.0.1:1"))
	_, to := a.beats.next(1000, a.tunnels)
	a.takePeers(told(2, "10.0.0.2:1"))
	if len(to) != 1 || to[0] != netip.MustParseAddrPort("10.0.0.1:1") {
		t.Errorf("the beat goes to %v", to)
	}
}
