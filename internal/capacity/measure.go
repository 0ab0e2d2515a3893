package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"syscall"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/connection/upstream"
	"github.com/wagtailtray/wagtailtray/internal/process/balancer"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Names of the slopes, as in the stored inputs and on the page.
const (
	Hint          = "hint"
	Flow          = "flow"
	Record        = "record"
	Service       = "service"
	Edge          = "edge"
	Connection    = "connection"
	MemberChange  = "news"
	ContactSearch = "orphans"
	Datagram      = "datagram"
	Heartbeat     = "beat"
	Call          = "call"
	CallBytes     = "callbytes"
	ConfigChange  = "change"
	LoadDigest    = "digest"
	Ledger        = "ledger"

	ApprovalWrites = "approvalwrites"
	ApprovalReads  = "approvalreads"
	ApprovalBytes  = "approvalbytes"
	ApprovalTime   = "approvaltime"
	RelayReads     = "relayreads"
	Read           = "read"
	Watch          = "watch"
)

var (
	loopback        = netip.MustParseAddr("127.0.0.1")
	loopbackAnyPort = netip.AddrPortFrom(loopback, 0)
)

// slopeMeasurement measures one slope.
type slopeMeasurement struct {
	name, unit string
	sizes      []int
	measure    func(size int) (float64, error)
}

// Measure measures all slopes and reports each to progress.
func Measure(progress func(string, ...any)) (*Inputs, error) {
	in := &Inputs{Slopes: map[string]Slope{}}
	for _, p := range slopeMeasurements() {
		var points []Point
		for _, size := range p.sizes {
			v, err := p.measure(size)
			if err != nil {
				return nil, err
			}
			points = append(points, Point{Size: float64(size), Value: v})
		}
		s, err := NewSlope(p.name, p.unit, points)
		if err != nil {
			return nil, err
		}
		in.Slopes[p.name] = s
		progress("%-11s %10.1f %s (fit %.4f)", s.Name, s.Slope, s.Unit, s.R2)
	}
	return in, nil
}

func slopeMeasurements() []slopeMeasurement {
	flows := []int{1000, 2000, 4000, 8000}
	calls := []int{500, 1000, 2000, 4000}
	changes := []int{5, 10, 20, 40}
	services := []int{150, 300, 600, 1200}
	return []slopeMeasurement{
		{Hint, "bytes of heap a flow that a balancer has a hint for", []int{8192, 16384, 32768, 65536}, hintBytes},
		{Flow, "bytes of heap a flow at its agent, with its socket", flows, flowBytes},
		{Record, "bytes of heap a target in a balancer's members and snapshot", []int{500, 1000, 2000, 4000}, recordBytes},
		{Service, "bytes of heap a service in a balancer's configuration", []int{150, 300, 600, 1200}, serviceBytes},
		{Edge, "bytes of heap and stacks a service's socket towards callers", []int{64, 128, 256, 512}, edgeBytes},
		{Connection, "bytes of heap and stacks a kept control connection, both ends", []int{32, 64, 128, 256}, connectionBytes},
		{MemberChange, "ns of processor time a changed record that a balancer takes, at 3,300 targets", []int{100, 200, 400, 800}, memberChangeTime},
		{ContactSearch, "ns a target when a balancer looks who should announce itself, at 490 balancers", []int{500, 1000, 2000, 4000}, contactSearchTime},
		{Datagram, "ns of processor time a datagram sent and received on loopback, both ends", []int{20000, 40000, 80000, 160000}, datagramTime},
		{Heartbeat, "ns of processor time a heartbeat, both ends without the sockets", []int{5000, 10000, 20000, 40000}, heartbeatTime},
		{Call, "ns of processor time a control call, both ends", calls, callTime},
		{CallBytes, "bytes a control call of a comparison, both ways, on the wire without TCP", calls, callBytes},
		{ConfigChange, "ns a service when a balancer takes a change of one", []int{150, 300, 600, 1200}, configChangeTime},
		{LoadDigest, "ns of processor time a load digest, both ends without the sockets", []int{5000, 10000, 20000, 40000}, loadDigestTime},
		{Ledger, "bytes a flow in a ledger", flows, ledgerBytes},
		{ApprovalWrites, "writes an approval that changes the records of two services", changes, approvalWrites},
		{ApprovalReads, "reads an approval, at any number of services", changes, approvalReads},
		{ApprovalBytes, "bytes a service that an approval moves", services, approvalBytes},
		{ApprovalTime, "ns of processor time a service for an approval, both ends", services, approvalTime},
		{RelayReads, "reads a change at a relay", changes, relayReads},
		{Read, "ns of processor time a read of the platform, both ends", calls, readTime},
		{Watch, "bytes of heap and stacks a waiting watch, both ends", []int{32, 64, 128, 256}, watchBytes},
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// memoryGrowth returns by how much build grows the memory in use. keep is what must
// stay reachable until memory is read again.
func memoryGrowth(build func() (keep any, err error)) (float64, error) {
	before := memoryInUse()
	keep, err := build()
	after := memoryInUse()
	runtime.KeepAlive(keep)
	return after - before, err
}

// cpuTime returns the processor time of this process, in nanoseconds.
func cpuTime() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano() + u.Stime.Nano())
}

// cpuTimeOf returns the processor time that do takes, in nanoseconds.
func cpuTimeOf(do func() error) (float64, error) {
	before := cpuTime()
	err := do()
	return cpuTime() - before, err
}

func callerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 20), byte(i >> 12), byte(i >> 4)}), uint16(1024+i&0xf))
}

func hintBytes(n int) (float64, error) {
	return memoryGrowth(func() (any, error) {
		h := target.NewHints(target.Limits{MaxHints: 2 * n, MaxPending: 1, WalksPerSecond: 1})
		for i := range n {
			a := callerAddr(i)
			h.Confirm(clock.Hour, 1, a, envelope.AppendCaller(nil, a), 7, 1)
		}
		return h, nil
	})
}

// newTable returns an agent's table with n flows, opened through dialer.
func newTable(n int, dialer owner.Dialer) *owner.Table {
	id := target.IDFromName("a")
	set := target.NewSet(1, []target.Candidate{{ID: id, Name: "a", Incarnation: 1}})
	view := owner.NewObserver(id).View(0, set, 1, clock.Second)
	t := owner.NewTable(owner.Limits{MaxFlows: n + 1, MaxPlacements: 1000, IdleTimeout: clock.Hour, UnansweredTimeout: clock.Hour}, owner.NewPeerLoads(clock.Hour))
	for i := range n {
		e := &wire.Envelope{
			Kind: wire.Kind_KIND_FORWARD, Stage: wire.Stage_STAGE_PLACED, Service: 1, Target: id, Incarnation: 1,
			Caller: envelope.AppendCaller(nil, callerAddr(i)), Budget: 9, Payload: []byte{0x80},
		}
		t.Take(owner.Arrival{Now: clock.Hour, Envelope: e, Via: callerAddr(i)}, view, owner.LocalState{Accepting: true}, dialer)
	}
	return t
}

func flowBytes(n int) (float64, error) {
	pool, err := upstream.NewPool(loopback, netip.AddrPortFrom(loopback, 9), 2, func(*owner.Flow, []byte) {})
	if err != nil {
		return 0, err
	}
	defer pool.Close()
	return memoryGrowth(func() (any, error) { return newTable(n, pool), nil })
}

func ledgerBytes(n int) (float64, error) {
	pool, err := upstream.NewPool(loopback, netip.AddrPortFrom(loopback, 9), 2, func(*owner.Flow, []byte) {})
	if err != nil {
		return 0, err
	}
	defer pool.Close()
	t := newTable(n, pool)
	view := &owner.View{Incarnation: 1}
	data, err := json.Marshal(t.NewLedger(clock.Hour, "web.a", view))
	return float64(len(data)), err
}

func recordBytes(n int) (float64, error) {
	const services = 1200
	return memoryGrowth(func() (any, error) {
		b, err := newTestBalancer(false)
		if err != nil {
			return nil, err
		}
		b.Preload(newState(services, 1), targetRecords(n, services))
		return b, nil
	})
}

func serviceBytes(n int) (float64, error) {
	return memoryGrowth(func() (any, error) {
		b, err := newTestBalancer(false)
		if err != nil {
			return nil, err
		}
		b.Preload(newState(n, 1), nil)
		return b, nil
	})
}

func edgeBytes(n int) (float64, error) {
	var b *balancer.Balancer
	withEdges, err := memoryGrowth(func() (any, error) {
		var err error
		if b, err = newTestBalancer(true); err != nil {
			return nil, err
		}
		b.Preload(newState(n, 1), nil)
		return b, nil
	})
	if err != nil {
		return 0, err
	}
	b.Kill()
	without, err := serviceBytes(n)
	return withEdges - without, err
}

func memberChangeTime(n int) (float64, error) {
	const services, known = 1200, 3300
	b, err := newTestBalancer(false)
	if err != nil {
		return 0, err
	}
	b.Preload(newState(services, 1), targetRecords(known, services))
	return cpuTimeOf(func() error {
		for i := range n {
			m := targetRecord(i, services)
			m.Sequence = 2
			params, err := json.Marshal(&wire.Push{Members: []*wire.Member{m.Wire()}, From: "peer"})
			if err != nil {
				return err
			}
			if _, err := b.Handle(context.Background(), control.Push, params); err != nil {
				return err
			}
		}
		return nil
	})
}

func contactSearchTime(n int) (float64, error) {
	balancers := make([]member.Observed, 490)
	for i := range balancers {
		balancers[i].Member = balancerRecord(i)
	}
	return cpuTimeOf(func() error {
		for i := range n {
			m := targetRecord(i, 1200)
			if len(member.Contacts(balancers, m.Domain, m.Name)) == 0 {
				return fmt.Errorf("capacity: target has no contacts")
			}
		}
		return nil
	})
}

// datagramTime sends datagrams from one socket to another and receives each before
// it sends the next, so that none is lost to a full buffer.
func datagramTime(n int) (float64, error) {
	in, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopbackAnyPort))
	if err != nil {
		return 0, err
	}
	defer func() { _ = in.Close() }()
	out, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopbackAnyPort))
	if err != nil {
		return 0, err
	}
	defer func() { _ = out.Close() }()
	to := in.LocalAddr().(*net.UDPAddr).AddrPort()
	payload, buffer := make([]byte, 120), make([]byte, 1500)
	return cpuTimeOf(func() error {
		for range n {
			if _, err := out.WriteToUDPAddrPort(payload, to); err != nil {
				return err
			}
			if _, _, err := in.ReadFromUDPAddrPort(buffer); err != nil {
				return err
			}
		}
		return nil
	})
}

func configChangeTime(n int) (float64, error) {
	const times = 20
	b, err := newTestBalancer(false)
	if err != nil {
		return 0, err
	}
	states := make([]*config.State, times+1)
	for i := range states {
		states[i] = newState(n, uint64(i+1))
	}
	b.Preload(states[0], nil)
	t, err := cpuTimeOf(func() error {
		for i := range times {
			data, err := json.Marshal(config.Diff(states[i], states[i+1]))
			if err != nil {
				return err
			}
			params, err := json.Marshal(&wire.Push{Delta: data, From: "peer"})
			if err != nil {
				return err
			}
			if _, err := b.Handle(context.Background(), control.Push, params); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && b.Version() != times+1 {
		return 0, fmt.Errorf("capacity: balancer is at version %d after %d configuration changes", b.Version(), times)
	}
	return t / times, err
}

func heartbeatTime(n int) (float64, error) {
	e := &wire.Envelope{
		Kind: wire.Kind_KIND_BEAT, Service: 7, Target: 1 << 31, Incarnation: 9,
		Beat: &wire.Beat{Number: 1 << 20, Incarnation: 9, Sequence: 3, View: 1 << 60, Version: 9999, Flows: 2364, Slots: 4},
	}
	// Two datagrams: one is sealed by the agent and opened by the contact, the
	// answer the other way round.
	return sealAndOpenTime(2*n, e)
}

func loadDigestTime(n int) (float64, error) {
	e := &wire.Envelope{
		Kind: wire.Kind_KIND_DIGEST, Service: 7, Target: 1 << 31, Incarnation: 9,
		Digest: &wire.Digest{Sequence: 1 << 20, Flows: 2364, Busy: 3, Slots: 4, Warmth: 1000, Accepting: true, Sender: 1 << 31, Incarnation: 9},
	}
	return sealAndOpenTime(n, e)
}

func sealAndOpenTime(n int, e *wire.Envelope) (float64, error) {
	ring, err := key.Parse(testKey)
	if err != nil {
		return 0, err
	}
	sealer, opener := envelope.NewSealer(ring, 1472), envelope.NewOpener(ring)
	var opened wire.Envelope
	out := make([]byte, 0, 1500)
	return cpuTimeOf(func() error {
		for range n {
			if out, err = sealer.Seal(out[:0], e); err != nil {
				return err
			}
			if err := opener.Open(&opened, out); err != nil {
				return err
			}
		}
		return nil
	})
}

// WireSize returns the size of a sealed envelope on the wire, with the headers of
// UDP and IPv4.
func WireSize(e *wire.Envelope) float64 {
	const headers = 28
	return float64(e.SizeVT() + envelope.TrailerSize + headers)
}

// syncedHandler answers comparisons like a balancer whose tables are the same as the
// caller's.
type syncedHandler struct{}

func (syncedHandler) Handle(context.Context, control.Method, json.RawMessage) (any, error) {
	return &wire.Synced{Version: 9999, Digest: 1 << 60}, nil
}

func callTime(n int) (float64, error) {
	var t float64
	err := withServer(func(address netip.AddrPort, client *control.Client) error {
		var err error
		t, err = cpuTimeOf(func() error { return callRepeatedly(n, address, client) })
		return err
	})
	return t, err
}

func callRepeatedly(n int, address netip.AddrPort, client *control.Client) error {
	for range n {
		var reply wire.Synced
		request := &wire.Sync{From: "norte-matosinhos-070", Version: 9999, Digest: 1 << 60}
		if err := client.Call(context.Background(), address, control.Sync, request, &reply); err != nil {
			return err
		}
	}
	return nil
}

func withServer(do func(netip.AddrPort, *control.Client) error) error {
	ring, err := key.Parse(testKey)
	if err != nil {
		return err
	}
	server, err := control.Serve(context.Background(), loopbackAnyPort, ring, syncedHandler{})
	if err != nil {
		return err
	}
	defer server.Close()
	client, err := control.NewClient(ring)
	if err != nil {
		return err
	}
	defer client.Close()
	if err := callRepeatedly(1, server.Address(), client); err != nil {
		return err
	}
	return do(server.Address(), client)
}

func callBytes(n int) (float64, error) {
	var count float64
	err := withServer(func(address netip.AddrPort, client *control.Client) error {
		proxy, err := newCountingProxy(address)
		if err != nil {
			return err
		}
		defer proxy.close()
		if err := callRepeatedly(1, proxy.address, client); err != nil {
			return err
		}
		before := proxy.bytes.Load()
		err = callRepeatedly(n, proxy.address, client)
		count = float64(proxy.bytes.Load() - before)
		return err
	})
	return count, err
}

func connectionBytes(n int) (float64, error) {
	var growth float64
	err := withServer(func(address netip.AddrPort, _ *control.Client) error {
		ring, err := key.Parse(testKey)
		if err != nil {
			return err
		}
		var clients []*control.Client
		growth, err = memoryGrowth(func() (any, error) {
			for range n {
				c, err := control.NewClient(ring)
				if err != nil {
					return nil, err
				}
				clients = append(clients, c)
				if err := callRepeatedly(1, address, c); err != nil {
					return nil, err
				}
			}
			time.Sleep(100 * time.Millisecond)
			return clients, nil
		})
		for _, c := range clients {
			c.Close()
		}
		return err
	})
	return growth, err
}
