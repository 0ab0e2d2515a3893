package balancer

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

var (
	local   = netip.MustParseAddr("127.0.0.1")
	anyPort = netip.AddrPortFrom(local, 0)
)

// newTestBalancer returns a balancer with the given clock, without its ticker.
func newTestBalancer(t testing.TB, c clock.Clock) *Balancer {
	ring, err := key.Parse(key.Generate())
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(Settings{
		Name: "b1", Domain: "a", Control: anyPort, Tunnel: local, Ports: 2, Workers: 2, MTU: 1500,
		Limits: target.Limits{MaxHints: 1 << 16, MaxPending: 1 << 10, WalksPerSecond: 1 << 20},
	}, Deps{Ring: ring, Clock: c, Log: zerolog.Nop(), Scope: tally.NoopScope})
	if err != nil {
		t.Fatal(err)
	}
	b.self = member.Member{Key: member.Key{Kind: member.Balancer, Name: "b1"}, Domain: "a", Incarnation: 1, Sequence: 1, State: member.Alive}
	return b
}

// configure puts a version with one service into force, whose only target has the
// given tunnel address.
func configure(t testing.TB, b *Balancer, address, tunnel netip.AddrPort) {
	record := &config.Service{Name: "web", Number: 1, Address: address, Upstreams: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, MaxFlows: 100}
	name := config.NameOf(record)
	state := &config.State{Records: map[string]*config.Service{name: record}}
	state.Root.Version = 1
	state.Root.Timing = config.Timing{HeartbeatInterval: 500, SuspectTimeout: 1500, Retention: clock.Minute}
	state.Root.Services = []config.Entry{{Name: "web", Number: 1, RecordName: name}}
	b.mergeMembers([]*wire.Member{webTarget(tunnel).Wire()})
	b.applyState(state)
	if b.Version() != 1 {
		t.Fatal("the configuration is not in force")
	}
}

func webTarget(tunnel netip.AddrPort) *member.Member {
	return &member.Member{
		Key: member.Key{Kind: member.Target, Service: "web", Name: "t1"}, Domain: "a", Control: anyPort,
		Tunnels: []netip.AddrPort{tunnel}, Upstream: netip.AddrPortFrom(local, 9), Incarnation: 1, Sequence: 1, State: member.Alive,
	}
}

// A balancer that was paused for a minute has received no heartbeats meanwhile, and
// must not suspect the targets for it. A target that is silent while the balancer
// runs is overdue.
func TestOwnPauseSuspectsNobody(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	b := newTestBalancer(t, c)
	configure(t, b, anyPort, anyPort)
	timing := b.timing()
	m := webTarget(anyPort)
	if _, err := b.handleAnnounce(&wire.Announce{Member: m.Wire()}); err != nil {
		t.Fatal(err)
	}
	b.overdueTargets(c.Now(), timing)
	if overdue := b.overdueTargets(c.Advance(clock.Minute), timing); len(overdue) != 0 {
		t.Errorf("%d targets are overdue after the balancer's own pause", len(overdue))
	}
	overdue := 0
	for range 10 {
		overdue += len(b.overdueTargets(c.Advance(timing.HeartbeatInterval), timing))
	}
	if overdue != 1 {
		t.Errorf("overdue %d times, want once until it is probed", overdue)
	}
	b.Kill()
}

// An agent sends every heartbeat to its first contact and every seventh to the
// others. Those must not take it for overdue in between and probe it.
func TestSuspectTimeoutAtOtherContacts(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	b := newTestBalancer(t, c)
	configure(t, b, anyPort, anyPort)
	timing := b.timing()
	h := queuedHeartbeat{service: 1, target: target.IDFromName("t1"), incarnation: 1, heartbeat: &wire.Beat{Number: 7}}
	b.handleHeartbeat(h)
	b.overdueTargets(c.Now(), timing)
	for number := uint32(8); number <= 7*20; number++ {
		if number%maxGap == 0 {
			h.heartbeat.Number = number
			b.handleHeartbeat(h)
		}
		if overdue := b.overdueTargets(c.Advance(timing.HeartbeatInterval), timing); len(overdue) > 0 && number > 2*maxGap {
			t.Fatalf("overdue at heartbeat %d", number)
		}
		b.tracked[webTarget(anyPort).Key].probing = false
	}
	b.Kill()
}

// The control path holds its lock during a large change, and more heartbeats
// arrive than the queue takes. The worker that reads them must not block, or the
// answers after them would be delayed; heartbeats over the bound are dropped.
func TestHeartbeatsDoNotBlockWorkers(t *testing.T) {
	b := newTestBalancer(t, clock.System())
	b.mu.Lock()
	for range 2 * maxQueuedHeartbeats {
		b.queueHeartbeat(&wire.Envelope{Beat: &wire.Beat{}}, nil, anyPort)
	}
	b.mu.Unlock()
	if len(b.heartbeats) != maxQueuedHeartbeats {
		t.Errorf("%d heartbeats are queued, want %d", len(b.heartbeats), maxQueuedHeartbeats)
	}
	b.Kill()
}

// countingSink opens a socket and counts the datagrams that arrive.
func countingSink(t testing.TB) (netip.AddrPort, *atomic.Uint64) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadBuffer(envelope.SocketBufferSize)
	var count atomic.Uint64
	go func() {
		buffer := make([]byte, envelope.MaxDatagramSize)
		for {
			if _, _, err := conn.ReadFromUDPAddrPort(buffer); err != nil {
				return
			}
			count.Add(1)
		}
	}()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort(), &count
}

// measureRate sends datagrams to an address as fast as possible for a fixed time,
// and returns how many per second the sink received.
func measureRate(t testing.TB, to netip.AddrPort, count *atomic.Uint64) float64 {
	const senders = 2
	const length = 2 * time.Second
	conns := make([]*net.UDPConn, senders)
	for i := range conns {
		conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(to))
		if err != nil {
			t.Fatal(err)
		}
		conns[i] = conn
	}
	end := time.Now().Add(length)
	done := make(chan struct{})
	for _, conn := range conns {
		go func() {
			defer func() { done <- struct{}{} }()
			payload := make([]byte, 1200)
			payload[0] = 0x40
			for time.Now().Before(end) {
				_, _ = conn.Write(payload)
			}
			_ = conn.Close()
		}()
	}
	start := count.Load()
	for range conns {
		<-done
	}
	return float64(count.Load()-start) / length.Seconds()
}

// bareRelay is the plain UDP relay that the balancer is compared with: two workers
// that read a datagram and write it to the sink.
func bareRelay(t testing.TB, to netip.AddrPort) netip.AddrPort {
	in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		t.Fatal(err)
	}
	out, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = in.Close(), out.Close() })
	_ = in.SetReadBuffer(envelope.SocketBufferSize)
	for range 2 {
		go func() {
			buffer := make([]byte, envelope.MaxDatagramSize)
			for {
				n, _, err := in.ReadFromUDPAddrPort(buffer)
				if err != nil {
					return
				}
				_, _ = out.WriteToUDPAddrPort(buffer[:n], to)
			}
		}()
	}
	return in.LocalAddr().(*net.UDPAddr).AddrPort()
}

// BenchmarkThroughput measures datagrams per second through one balancer and
// through a bare relay, in turns, and their ratio.
func BenchmarkThroughput(b *testing.B) {
	to, count := countingSink(b)
	x := newTestBalancer(b, clock.System())
	if err := x.openTunnels(); err != nil {
		b.Fatal(err)
	}
	configure(b, x, anyPort, to)
	edge, _ := x.edgeOf(1)
	edgeAddress := edge.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	bare := bareRelay(b, to)
	var ours, theirs float64
	for b.Loop() {
		theirs += measureRate(b, bare, count)
		ours += measureRate(b, netip.AddrPortFrom(local, edgeAddress.Port()), count)
	}
	b.ReportMetric(ours/float64(b.N), "balancer-dgrams/s")
	b.ReportMetric(theirs/float64(b.N), "relay-dgrams/s")
	b.ReportMetric(ours/theirs, "ratio")
	x.Kill()
}

// BenchmarkReceive measures the cost of an answer in a balancer without the sockets.
func BenchmarkReceive(b *testing.B) {
	x := newTestBalancer(b, clock.System())
	caller := envelope.AppendCaller(nil, netip.MustParseAddrPort("203.0.113.9:4433"))
	sealed, err := x.sealer.Seal(nil, &wire.Envelope{Kind: wire.Kind_KIND_HINT, Service: 1, Target: 7, Incarnation: 1, Caller: caller})
	if err != nil {
		b.Fatal(err)
	}
	opener := envelope.NewOpener(x.deps.Ring)
	var e wire.Envelope
	b.ReportAllocs()
	for b.Loop() {
		if err := opener.Open(&e, sealed); err != nil {
			b.Fatal(err)
		}
		x.dispatch(&e)
	}
}
