package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"syscall"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
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

	TableChangeBytes = "tablebytes"
	TableChangeTime  = "tabletime"
	WholeTableBytes  = "wholebytes"
	WholeTableTime   = "wholetime"
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

// ErrUnknownSlope means that there is no slope with a name.
var ErrUnknownSlope = errs.New("capacity: unknown slope")

// Measure measures the slopes with the names given, or all, and reports each to progress.
func Measure(progress func(string, ...any), names ...string) (*Inputs, error) {
	in := &Inputs{Slopes: map[string]Slope{}}
	all := slopeMeasurements()
	for _, name := range names {
		if !slices.ContainsFunc(all, func(m slopeMeasurement) bool { return m.name == name }) {
			return nil, errs.Combine(ErrUnknownSlope, errs.New("%s", name))
		}
	}
	for _, p := range all {
		if len(names) > 0 && !slices.Contains(names, p.name) {
			continue
		}
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
	tables := []int{400, 1400, 3300, 6600}
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
		{TableChangeBytes, "bytes a listener of the table, for a change of one", tables, tableChangeBytes},
		{TableChangeTime, "ns of processor time a listener of the table, for a change of one, both ends", tables, tableChangeTime},
		{WholeTableBytes, "bytes a listener of a table read whole", tables, wholeTableBytes},
		{WholeTableTime, "ns of processor time a listener of a table read whole, both ends", tables, wholeTableTime},
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
