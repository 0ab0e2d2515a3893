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

// FleetSize is how many of each a fleet run has.
type FleetSize struct {
	Balancers, Targets, Services int
	Window                       time.Duration
	Approvals                    int
}

const (
	domains      = 7
	startingOnce = 16
	inForceLimit = 30 * time.Second
	beatEvery    = 900 * time.Millisecond
)

// fleet is many balancers in one process, with the platform's stand-in, and
// heartbeats of targets that exist as records only.
type fleet struct {
	size      FleetSize
	ring      key.Ring
	store     *platform.Client
	platform  *standin.Server
	balancers []*balancer.Balancer
	versions  []atomic.Uint64
	targets   []member.Member
	state     *config.State
	warnings  lines
	// lost is the share of calls between balancers that fail.
	lost float64
	// dead balancers were killed on purpose.
	dead []bool
	// outage is under way until it has ended.
	outage sync.WaitGroup
	// reverted counts versions that came into force below an earlier one.
	reverted atomic.Int64
}

func newFleet(size FleetSize) *fleet {
	return &fleet{
		size: size, versions: make([]atomic.Uint64, size.Balancers), dead: make([]bool, size.Balancers),
		state: state(size.Services, 1),
	}
}

func domainOf(i int) string {
	return fmt.Sprintf("d%d", i%domains)
}

// RunFleet starts a fleet, lets it run, and measures it. All its traffic is on
// loopback.
func RunFleet(ctx context.Context, size FleetSize, progress func(string, ...any)) (Fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newFleet(size)
	stop, err := f.prepare(ctx)
	if err != nil {
		return Fleet{}, err
	}
	defer stop()
	before, resident := memory(), residentMemory()
	if err := f.start(ctx); err != nil {
		return Fleet{}, err
	}
	defer f.kill()
	progress("%d balancers run", size.Balancers)
	go f.beats(ctx)
	settled := f.settle()
	progress("settled after %.0f s", settled.Seconds())
	out := Fleet{Settled: settled.Seconds(), Balancers: size.Balancers, Targets: size.Targets, Services: size.Services, Seconds: size.Window.Seconds()}
	f.window(&out, before, resident)
	progress("%d suspicions before, %d in the window", f.warnings.count.Load()-out.Suspicions, out.Suspicions)
	progress("%.1f MB, %.2f %% of a core, %.0f bytes a second on loopback a balancer", out.Memory/1e6, out.Core*100, out.Bytes)
	if err := f.approvals(ctx, &out); err != nil {
		return Fleet{}, err
	}
	progress("in force everywhere after %v ms", out.Delays)
	return out, nil
}

// prepare starts what the fleet needs around it.
func (f *fleet) prepare(ctx context.Context) (func(), error) {
	var err error
	if f.ring, err = key.Parse(fleetKey); err != nil {
		return nil, err
	}
	f.platform = standin.NewServer()
	address, end, err := serve(f.platform)
	if err != nil {
		return nil, err
	}
	f.store = platform.NewClient(address)
	plan := approval.NewPlan(&config.State{}, f.state, "fleet", "")
	if f.state, err = approval.Commit(ctx, f.store, plan); err != nil {
		return nil, err
	}
	pings, err := control.Serve(ctx, any0, f.ring, pong{})
	if err != nil {
		return nil, err
	}
	for i := range f.size.Targets {
		m := targetRecord(i, f.size.Services)
		// Nothing may be sent beyond this machine. While the fleet starts,
		// no heartbeats are sent yet; the targets answer when they are
		// asked, so that nobody suspects them.
		m.Control, m.Tunnels, m.Upstream = pings.Address(), []netip.AddrPort{any0}, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 9)
		f.targets = append(f.targets, m)
	}
	return func() {
		pings.Close()
		end()
		f.store.Close()
	}, nil
}

// lines counts the suspicions in all balancers' logs.
type lines struct {
	count atomic.Int64
}

func (l *lines) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte(`"event":"suspected"`)) {
		l.count.Add(1)
	}
	return len(p), nil
}

// pong answers for the targets.
type pong struct{}

func (pong) Handle(context.Context, control.Method, json.RawMessage) (any, error) {
	return &wire.Empty{}, nil
}

func (f *fleet) start(ctx context.Context) error {
	f.balancers = make([]*balancer.Balancer, f.size.Balancers)
	if err := f.startOne(ctx, 0, nil); err != nil {
		return err
	}
	var group errgroup.Group
	group.SetLimit(startingOnce)
	first := f.balancers[0].Control()
	for i := 1; i < f.size.Balancers; i++ {
		group.Go(func() error { return f.startOne(ctx, i, []netip.AddrPort{first}) })
	}
	return group.Wait()
}

func (f *fleet) startOne(ctx context.Context, i int, peers []netip.AddrPort) error {
	var caller balancer.ControlClient
	if f.lost > 0 {
		client, err := control.NewClient(f.ring)
		if err != nil {
			return err
		}
		caller = &lossy{ControlClient: client, share: f.lost}
	}
	b, err := balancer.New(balancer.Settings{
		Name: fmt.Sprintf("balancer-%03d", i), Domain: domainOf(i), Control: any0, Tunnel: local,
		Ports: 1, Peers: peers, Workers: 1, MTU: 1500, Limits: target.Limits{MaxHints: 64, MaxPending: 64, WalksPerSecond: 1},
	}, balancer.Deps{
		Ring: f.ring, Store: f.store, Clock: clock.System(), Log: zerolog.New(&f.warnings).Level(zerolog.WarnLevel), Scope: tally.NoopScope, Listen: noEdges,
		ControlClient: caller, OnVersion: func(v uint64) { f.saw(i, v) },
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

// saw notes a version that has come into force in a balancer.
func (f *fleet) saw(i int, version uint64) {
	if old := f.versions[i].Swap(version); old > version {
		f.reverted.Add(1)
	}
}

func (f *fleet) kill() {
	var all sync.WaitGroup
	for _, b := range f.balancers {
		all.Go(b.Kill)
	}
	all.Wait()
}

// beats sends every target's heartbeats to its first contact, as its agent
// would, and every seventh to all of them.
func (f *fleet) beats(ctx context.Context) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(any0))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	go drain(conn)
	sealer := envelope.NewSealer(f.ring, 1472)
	to := f.contacts()
	gap := time.NewTicker(beatEvery / 50)
	defer gap.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		<-gap.C
		for i := n % 50; i < len(f.targets); i += 50 {
			out, err := sealer.Seal(nil, f.beat(i, uint32(n/50)))
			if err != nil {
				return
			}
			last := 1
			if n/50%7 == 0 {
				last = len(to[i])
			}
			for _, a := range to[i][:last] {
				_, _ = conn.WriteToUDPAddrPort(out, a)
			}
		}
	}
}

func drain(conn *net.UDPConn) {
	buffer := make([]byte, 1500)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

func (f *fleet) beat(i int, number uint32) *wire.Envelope {
	m := &f.targets[i]
	service, _ := f.state.Service(m.Service)
	return &wire.Envelope{
		Kind: wire.Kind_KIND_BEAT, Service: service.Number, Target: target.IDFromName(m.Name), Incarnation: m.Incarnation,
		Beat: &wire.Beat{Number: number, Incarnation: 1, Sequence: 1, View: 1 << 60, Version: 1, Flows: 2364, Slots: 4},
	}
}

// contacts returns where each target's heartbeats go.
func (f *fleet) contacts() [][]netip.AddrPort {
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
	settleStep = 5 * time.Second
	settleMost = 2 * time.Minute
	// settledBytes is the traffic a second for each balancer below which the
	// start is over: all tables are the same and only heartbeats and
	// comparisons are left.
	settledBytes = 4000
)

// settle waits until the start of all balancers at once is over.
func (f *fleet) settle() time.Duration {
	start := time.Now()
	for time.Since(start) < settleMost {
		before := loopbackBytes()
		time.Sleep(settleStep)
		if (loopbackBytes()-before)/settleStep.Seconds() < settledBytes*float64(f.size.Balancers) {
			break
		}
	}
	return time.Since(start)
}

// window measures the fleet while nothing changes.
func (f *fleet) window(out *Fleet, before, resident float64) {
	n := float64(f.size.Balancers)
	out.Resident = (residentMemory() - resident) / n
	out.Memory = (memory() - before) / n
	warned := f.warnings.count.Load()
	busyBefore, bytesBefore, start := busy(), loopbackBytes(), time.Now()
	time.Sleep(f.size.Window)
	took := time.Since(start).Seconds()
	out.Core = (busy() - busyBefore) / 1e9 / took / n
	out.Bytes = (loopbackBytes() - bytesBefore) / took / n
	out.Suspicions = f.warnings.count.Load() - warned
	calls := f.platform.Calls()
	out.Reads, out.Writes, out.Waiting = calls.Reads, calls.Writes, calls.Waiting
}

// approvals approves changes and waits for each to be in force everywhere.
func (f *fleet) approvals(ctx context.Context, out *Fleet) error {
	for i := range f.size.Approvals {
		took, err := f.approveOnce(ctx, i, func() error { return nil })
		if err != nil {
			return err
		}
		out.Delays = append(out.Delays, took)
	}
	return nil
}

// approveOnce approves the drain of one target, lets something happen, and
// returns the milliseconds until the version is in force everywhere.
func (f *fleet) approveOnce(ctx context.Context, i int, then func() error) (float64, error) {
	base, err := approval.Load(ctx, f.store)
	if err != nil {
		return 0, err
	}
	m := &f.targets[i]
	next := config.WithDrain(base, config.Drain{Service: m.Service, Target: m.Name}, true)
	state, err := approval.Commit(ctx, f.store, approval.NewPlan(base, next, "fleet", ""))
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := then(); err != nil {
		return 0, err
	}
	for !f.everywhere(state.Root.Version) {
		if time.Since(start) > inForceLimit {
			return 0, errs.New("version %d is not in force everywhere after %s", state.Root.Version, inForceLimit)
		}
		time.Sleep(time.Millisecond)
	}
	return float64(time.Since(start).Milliseconds()), nil
}

func (f *fleet) everywhere(version uint64) bool {
	for i := range f.versions {
		if !f.dead[i] && f.versions[i].Load() < version {
			return false
		}
	}
	return true
}

// residentMemory returns this process's resident memory, in bytes.
func residentMemory() float64 {
	return procNumber("/proc/self/status", "VmRSS:", 0) * 1024
}

// loopbackBytes returns the bytes that the loopback interface has received,
// with the headers of IP, TCP and UDP.
func loopbackBytes() float64 {
	return procNumber("/proc/net/dev", "lo:", 0)
}

// procNumber returns a number behind a word of a file.
func procNumber(file, word string, field int) float64 {
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
