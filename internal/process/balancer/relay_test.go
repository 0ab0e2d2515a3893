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

// newTest returns a balancer with a settable clock, without its slow path.
func newTest(t testing.TB, c clock.Clock) *Balancer {
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

// configure brings a version with one service into force, whose one target's
// tunnel is given.
func configure(t testing.TB, b *Balancer, address, tunnel netip.AddrPort) {
	record := &config.Service{Name: "web", Number: 1, Address: address, Upstreams: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, MaxFlows: 100}
	name := config.NameOf(record)
	state := &config.State{Records: map[string]*config.Service{name: record}}
	state.Root.Version = 1
	state.Root.Timing = config.Timing{HeartbeatInterval: 500, SuspectTimeout: 1500, Retention: clock.Minute}
	state.Root.Services = []config.Entry{{Name: "web", Number: 1, RecordName: name}}
	b.takeMembers([]*wire.Member{webTarget(tunnel).Wire()})
	b.takeState(state)
	if b.Version() != 1 {
		t.Fatal("no configuration")
	}
}

func webTarget(tunnel netip.AddrPort) *member.Member {
	return &member.Member{
		Key: member.Key{Kind: member.Target, Service: "web", Name: "t1"}, Domain: "a", Control: anyPort,
		Tunnels: []netip.AddrPort{tunnel}, Upstream: netip.AddrPortFrom(local, 9), Incarnation: 1, Sequence: 1, State: member.Alive,
	}
}

// A balancer is paused for a minute and has heard no target meanwhile. It must
// not suspect them for that: the missing heartbeats are its own fault. A target
// that is silent while the balancer runs is late.
func TestOwnPauseSuspectsNobody(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	b := newTest(t, c)
	configure(t, b, anyPort, anyPort)
	timing := b.timing()
	m := webTarget(anyPort)
	if _, err := b.announced(&wire.Announce{Member: m.Wire()}); err != nil {
		t.Fatal(err)
	}
	b.overdue(c.Now(), timing)
	if late := b.overdue(c.Advance(clock.Minute), timing); len(late) != 0 {
		t.Errorf("%d targets are late after the balancer's own pause", len(late))
	}
	late := 0
	for range 10 {
		late += len(b.overdue(c.Advance(timing.HeartbeatInterval), timing))
	}
	if late != 1 {
		t.Errorf("late %d times, want once until it is probed", late)
	}
	b.Kill()
}

// An agent sends every beat to its first contact and every seventh to the
// others. For those it is not late in between, and they do not probe it.
func TestOtherContactsArePatient(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(clock.Hour)
	b := newTest(t, c)
	configure(t, b, anyPort, anyPort)
	timing := b.timing()
	a := arrived{service: 1, target: target.IDFromName("t1"), incarnation: 1, beat: &wire.Beat{Number: 7}}
	b.beat(a)
	b.overdue(c.Now(), timing)
	for number := uint32(8); number <= 7*20; number++ {
		if number%mostGap == 0 {
			a.beat.Number = number
			b.beat(a)
		}
		if late := b.overdue(c.Advance(timing.HeartbeatInterval), timing); len(late) > 0 && number > 2*mostGap {
			t.Fatalf("late at beat %d", number)
		}
		b.heard[webTarget(anyPort).Key].probing = false
	}
	b.Kill()
}

// The control path is busy with a large change and holds its lock, and more
// heartbeats arrive than the queue takes. The worker that reads them, and the
// answers behind them, goes on at once; what is over the bound is dropped.
func TestBeatsDoNotWait(t *testing.T) {
	b := newTest(t, clock.System())
	b.mu.Lock()
	for range 2 * beatQueue {
		b.queueBeat(&wire.Envelope{Beat: &wire.Beat{}}, nil, anyPort)
	}
	b.mu.Unlock()
	if len(b.beats) != beatQueue {
		t.Errorf("%d heartbeats wait, want %d", len(b.beats), beatQueue)
	}
	b.Kill()
}

// sink counts what arrives.
func sink(t testing.TB) (netip.AddrPort, *atomic.Uint64) {
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

// blast sends datagrams to an address as fast as it goes until the end, and
// returns how many a second the sink got.
func blast(t testing.TB, to netip.AddrPort, count *atomic.Uint64) float64 {
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

// relay is the bare UDP relay that the balancer is measured beside: two workers
// that read a datagram and write it to the sink.
func relay(t testing.TB, to netip.AddrPort) netip.AddrPort {
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

// BenchmarkThroughput gives datagrams a second through one balancer and through
// a bare relay, in turns, and their ratio.
func BenchmarkThroughput(b *testing.B) {
	to, count := sink(b)
	x := newTest(b, clock.System())
	if err := x.openTunnels(); err != nil {
		b.Fatal(err)
	}
	configure(b, x, anyPort, to)
	edge, _ := x.edge(1)
	edgeAddress := edge.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	bare := relay(b, to)
	var ours, theirs float64
	for b.Loop() {
		theirs += blast(b, bare, count)
		ours += blast(b, netip.AddrPortFrom(local, edgeAddress.Port()), count)
	}
	b.ReportMetric(ours/float64(b.N), "balancer-dgrams/s")
	b.ReportMetric(theirs/float64(b.N), "relay-dgrams/s")
	b.ReportMetric(ours/theirs, "ratio")
	x.Kill()
}

// BenchmarkReceive is what an answer costs a balancer besides the sockets.
func BenchmarkReceive(b *testing.B) {
	x := newTest(b, clock.System())
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
		x.receive(&e)
	}
}
