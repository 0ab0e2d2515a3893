package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailtray/wagtailtray/internal/process/balancer"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	standin "github.com/wagtailtray/wagtailtray/internal/standin/platform"
	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// FleetSize is the size of a fleet run. Window is how long it is measured.
type FleetSize struct {
	Balancers, Targets, Services int
	Window                       time.Duration
	Approvals                    int
}

const (
	domains             = 7
	maxConcurrentStarts = 16
	inForceTimeout      = 30 * time.Second
	heartbeatInterval   = 900 * time.Millisecond
)

// fleet runs many balancers in one process, with the platform's stand-in and
// simulated heartbeats: its targets exist as records only.
type fleet struct {
	size       FleetSize
	ring       key.Ring
	client     *platform.Client
	platform   *standin.Server
	balancers  []*balancer.Balancer
	versions   []atomic.Uint64
	targets    []member.Member
	state      *config.State
	suspicions suspicionCounter
	// callLossRate is the share of calls between balancers that fail.
	callLossRate float64
	// killed marks balancers that a scenario has killed.
	killed []bool
	// pendingOutage is done when the platform outage is over.
	pendingOutage sync.WaitGroup
	// reverted counts versions that came into force in a balancer after a higher one.
	reverted atomic.Int64
}

func newFleet(size FleetSize) *fleet {
	return &fleet{
		size: size, versions: make([]atomic.Uint64, size.Balancers), killed: make([]bool, size.Balancers),
		state: newState(size.Services, 1),
	}
}

func domainOf(i int) string {
	return fmt.Sprintf("d%d", i%domains)
}

// RunFleet starts a fleet and measures it in operation. All its traffic is on
// loopback.
func RunFleet(ctx context.Context, size FleetSize, progress func(string, ...any)) (FleetResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newFleet(size)
	stop, err := f.startDependencies(ctx)
	if err != nil {
		return FleetResult{}, err
	}
	defer stop()
	before, resident := memoryInUse(), residentMemory()
	if err := f.startBalancers(ctx); err != nil {
		return FleetResult{}, err
	}
	defer f.killBalancers()
	progress("%d balancers are running", size.Balancers)
	go f.sendHeartbeats(ctx)
	settled := f.waitSettled()
	progress("startup traffic ended after %.0f s", settled.Seconds())
	out := FleetResult{SettleSeconds: settled.Seconds(), Balancers: size.Balancers, Targets: size.Targets, Services: size.Services, WindowSeconds: size.Window.Seconds()}
	f.measureWindow(&out, before, resident)
	progress("%d suspicions before the measurement, %d during it", f.suspicions.count.Load()-out.Suspicions, out.Suspicions)
	progress("per balancer: %.1f MB, %.2f %% of a core, %.0f bytes/s on loopback", out.LiveMemory/1e6, out.CPUShare*100, out.BytesPerSecond)
	if err := f.measureApprovals(ctx, &out); err != nil {
		return FleetResult{}, err
	}
	progress("approvals in force in all balancers after %v ms", out.DelayMillis)
	return out, nil
}

// startDependencies starts the platform's stand-in and the control server of the
// targets. It returns a function that stops them.
func (f *fleet) startDependencies(ctx context.Context) (func(), error) {
	var err error
	if f.ring, err = key.Parse(testKey); err != nil {
		return nil, err
	}
	f.platform = standin.NewServer()
	address, closePlatform, err := serve(f.platform)
	if err != nil {
		return nil, err
	}
	f.client = platform.NewClient(address)
	plan := approval.NewPlan(&config.State{}, f.state, "fleet", "")
	if f.state, err = approval.Commit(ctx, f.client, plan); err != nil {
		return nil, err
	}
	controlServer, err := control.Serve(ctx, loopbackAnyPort, f.ring, emptyHandler{})
	if err != nil {
		return nil, err
	}
	for i := range f.size.Targets {
		m := targetRecord(i, f.size.Services)
		// Nothing may be sent beyond this machine. No heartbeats are sent
		// while the fleet starts, so the targets answer probes: otherwise
		// balancers would suspect them.
		m.Control, m.Tunnels, m.Upstream = controlServer.Address(), []netip.AddrPort{loopbackAnyPort}, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 9)
		f.targets = append(f.targets, m)
	}
	return func() {
		controlServer.Close()
		closePlatform()
		f.client.Close()
	}, nil
}

// suspicionCounter is a log writer that counts the suspicions logged by all
// balancers.
type suspicionCounter struct {
	count atomic.Int64
}

func (c *suspicionCounter) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(`"event":"suspected"`)) {
		c.count.Add(1)
	}
	return len(p), nil
}

// emptyHandler answers the calls to the targets.
type emptyHandler struct{}

func (emptyHandler) Handle(context.Context, control.Method, json.RawMessage) (any, error) {
	return &wire.Empty{}, nil
}

func (f *fleet) startBalancers(ctx context.Context) error {
	f.balancers = make([]*balancer.Balancer, f.size.Balancers)
	if err := f.startBalancer(ctx, 0, nil); err != nil {
		return err
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentStarts)
	first := f.balancers[0].Control()
	for i := 1; i < f.size.Balancers; i++ {
		group.Go(func() error { return f.startBalancer(ctx, i, []netip.AddrPort{first}) })
	}
	return group.Wait()
}

func (f *fleet) startBalancer(ctx context.Context, i int, peers []netip.AddrPort) error {
	var caller balancer.ControlClient
	if f.callLossRate > 0 {
		client, err := control.NewClient(f.ring)
		if err != nil {
			return err
		}
		caller = &lossyCaller{ControlClient: client, lossRate: f.callLossRate}
	}
	b, err := balancer.New(balancer.Settings{
		Name: fmt.Sprintf("balancer-%03d", i), Domain: domainOf(i), Control: loopbackAnyPort, Tunnel: loopback,
		Ports: 1, Peers: peers, Workers: 1, MTU: 1500, Limits: target.Limits{MaxHints: 64, MaxPending: 64, WalksPerSecond: 1},
	}, balancer.Deps{
		Ring: f.ring, Store: f.client, Clock: clock.System(), Log: zerolog.New(&f.suspicions).Level(zerolog.WarnLevel), Scope: tally.NoopScope, Listen: refuseListen,
		ControlClient: caller, OnVersion: func(v uint64) { f.recordVersion(i, v) },
	})
	if err != nil {
		return err
	}
	f.balancers[i] = b
	if f.state != nil {
		b.Preload(f.state, f.targets)
	}
	return b.Start(ctx)
}

// recordVersion records the version that has come into force in balancer i.
func (f *fleet) recordVersion(i int, version uint64) {
	if old := f.versions[i].Swap(version); old > version {
		f.reverted.Add(1)
	}
}

func (f *fleet) killBalancers() {
	var all sync.WaitGroup
	for _, b := range f.balancers {
		all.Go(b.Kill)
	}
	all.Wait()
}

// sendHeartbeats sends every target's heartbeats as its agent would: to the first
// contact, and every seventh to all contacts.
func (f *fleet) sendHeartbeats(ctx context.Context) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopbackAnyPort))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	go discardDatagrams(conn)
	sealer := envelope.NewSealer(f.ring, 1472)
	contacts := f.contactAddresses()
	ticker := time.NewTicker(heartbeatInterval / 50)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		for i := n % 50; i < len(f.targets); i += 50 {
			out, err := sealer.Seal(nil, f.newHeartbeat(i, uint32(n/50)))
			if err != nil {
				return
			}
			last := 1
			if n/50%7 == 0 {
				last = len(contacts[i])
			}
			for _, a := range contacts[i][:last] {
				_, _ = conn.WriteToUDPAddrPort(out, a)
			}
		}
	}
}

func discardDatagrams(conn *net.UDPConn) {
	buffer := make([]byte, 1500)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

func (f *fleet) newHeartbeat(i int, number uint32) *wire.Envelope {
	m := &f.targets[i]
	service, _ := f.state.Service(m.Service)
	return &wire.Envelope{
		Kind: wire.Kind_KIND_BEAT, Service: service.Number, Target: target.IDFromName(m.Name), Incarnation: m.Incarnation,
		Beat: &wire.Beat{Number: number, Incarnation: 1, Sequence: 1, View: 1 << 60, Version: 1, Flows: 2364, Slots: 4},
	}
}

// contactAddresses returns the addresses of each target's contacts.
func (f *fleet) contactAddresses() [][]netip.AddrPort {
	var all []member.Observed
	for i, b := range f.balancers {
		m := balancerRecord(i)
		m.Tunnels = b.Tunnels()
		all = append(all, member.Observed{Member: m})
	}
	out := make([][]netip.AddrPort, len(f.targets))
	for i := range f.targets {
		for _, c := range member.Contacts(all, f.targets[i].Domain, f.targets[i].Name) {
			out[i] = append(out[i], c.Tunnel())
		}
	}
	return out
}

const (
	settleInterval = 5 * time.Second
	settleTimeout  = 2 * time.Minute
	// settledBytesPerSecond is the traffic for each balancer below which the
	// startup is over: all tables are the same and only heartbeats and
	// comparisons are left.
	settledBytesPerSecond = 4000
)

// waitSettled waits until the traffic caused by starting all balancers at once is
// over, and returns the time that took.
func (f *fleet) waitSettled() time.Duration {
	start := time.Now()
	for time.Since(start) < settleTimeout {
		before := loopbackBytes()
		time.Sleep(settleInterval)
		if (loopbackBytes()-before)/settleInterval.Seconds() < settledBytesPerSecond*float64(f.size.Balancers) {
			break
		}
	}
	return time.Since(start)
}

// measureWindow measures the fleet while nothing changes. before and resident are
// the memory of the process without balancers.
func (f *fleet) measureWindow(out *FleetResult, before, resident float64) {
	n := float64(f.size.Balancers)
	out.ResidentMemory = (residentMemory() - resident) / n
	out.LiveMemory = (memoryInUse() - before) / n
	suspicionsBefore := f.suspicions.count.Load()
	cpuBefore, bytesBefore, start := cpuTime(), loopbackBytes(), time.Now()
	time.Sleep(f.size.Window)
	elapsed := time.Since(start).Seconds()
	out.CPUShare = (cpuTime() - cpuBefore) / 1e9 / elapsed / n
	out.BytesPerSecond = (loopbackBytes() - bytesBefore) / elapsed / n
	out.Suspicions = f.suspicions.count.Load() - suspicionsBefore
	calls := f.platform.Calls()
	out.Reads, out.Writes, out.WaitingWatches = calls.Reads, calls.Writes, calls.Waiting
}

// measureApprovals approves changes and waits for each to be in force in all
// balancers.
func (f *fleet) measureApprovals(ctx context.Context, out *FleetResult) error {
	for i := range f.size.Approvals {
		delay, err := f.approveOnce(ctx, i, func() error { return nil })
		if err != nil {
			return err
		}
		out.DelayMillis = append(out.DelayMillis, delay)
	}
	return nil
}

// approveOnce approves the drain of one target, calls afterCommit, and returns the
// milliseconds until the version is in force in all balancers.
func (f *fleet) approveOnce(ctx context.Context, i int, afterCommit func() error) (float64, error) {
	base, err := approval.Load(ctx, f.client)
	if err != nil {
		return 0, err
	}
	m := &f.targets[i]
	next := config.WithDrain(base, config.Drain{Service: m.Service, Target: m.Name}, true)
	state, err := approval.Commit(ctx, f.client, approval.NewPlan(base, next, "fleet", ""))
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := afterCommit(); err != nil {
		return 0, err
	}
	for !f.inForceEverywhere(state.Root.Version) {
		if time.Since(start) > inForceTimeout {
			return 0, errs.New("version %d is not in force in all balancers after %s", state.Root.Version, inForceTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return float64(time.Since(start).Milliseconds()), nil
}

func (f *fleet) inForceEverywhere(version uint64) bool {
	for i := range f.versions {
		if !f.killed[i] && f.versions[i].Load() < version {
			return false
		}
	}
	return true
}

// residentMemory returns this process's resident memory, in bytes.
func residentMemory() float64 {
	return readProcValue("/proc/self/status", "VmRSS:", 0) * 1024
}

// loopbackBytes returns the bytes that the loopback interface has received,
// with the headers of IP, TCP and UDP.
func loopbackBytes() float64 {
	return readProcValue("/proc/net/dev", "lo:", 0)
}

// readProcValue returns the number in the given field after the first occurrence
// of word in a file; zero if there is none.
func readProcValue(file, word string, field int) float64 {
	data, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), word)
	fields := strings.Fields(rest)
	if len(fields) <= field {
		return 0
	}
	v, _ := strconv.ParseFloat(fields[field], 64)
	return v
}
