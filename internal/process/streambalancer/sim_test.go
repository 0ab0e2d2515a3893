package streambalancer

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/internal/process/streamagent"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// A simulation of a fleet without a network: the code of the balancers runs over links with
// delays, agents answer, and each datagram takes CPU time according to the process's share
// of a core.

const (
	// cpuMicrosPerDatagram is the time of a whole core for a datagram, and cpuMicrosPerByte
	// the addition for each byte, in microseconds.
	cpuMicrosPerDatagram = 30.0
	cpuMicrosPerByte     = 0.01
	// localDelayMicros and remoteDelayMicros are the one-way delays within a failure domain
	// and between two, in microseconds.
	localDelayMicros  = 200.0
	remoteDelayMicros = 3400.0
	// lookupMicros is how long a slow store takes to list balancers, in microseconds.
	lookupMicros = 400_000.0
	// burstMicros is the period over which bursts are measured, in microseconds.
	burstMicros = 50_000.0
	// lostFlowsPerBalancer is the number of lost flows on which callers send, for each
	// balancer.
	lostFlowsPerBalancer = 41
	// maxBacklogMicros is the backlog of a process, in microseconds, above which datagrams
	// to it are dropped.
	maxBacklogMicros = 2_000_000.0
)

// simEvent is a scheduled event; at is in microseconds.
type simEvent struct {
	at    float64
	order int
	do    func()
}

type simQueue []simEvent

func (h simQueue) Len() int      { return len(h) }
func (h simQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h simQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h *simQueue) Push(x any) { *h = append(*h, x.(simEvent)) }
func (h *simQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simProcess is a process of the fleet.
type simProcess struct {
	address netip.AddrPort
	domain  string
	share   float64
	startAt float64
	// registeredAt is when the directory lists a balancer; zero if it does from the start.
	registeredAt float64
	// unlisted is set if the store does not list an agent's target.
	unlisted bool
	// busyUntil is when it has handled everything that has arrived.
	busyUntil float64
	balancer  *Balancer
	tracker   *stream.Tracker
	clock     *clock.Manual
	// reportBalancers are the balancers to which an agent reports.
	reportBalancers *streamagent.Balancers
	settledAfter    float64
	// unheardTargets is the number of targets that a balancer had not heard from when it
	// settled.
	unheardTargets int
	// parcels and bytes count what arrived in the measured interval, and remoteBytes what
	// was sent to other failure domains.
	parcels, bytes, remoteBytes int
	// sentBytes counts what was sent in the measured interval, by verb.
	sentBytes map[wire.Verb]int
	// bursts are the bytes sent in each period of burstMicros of the measured interval.
	bursts  map[int]int
	verbs   map[wire.Verb]int
	dropped int
	// maxDelay is the longest queueing delay, in microseconds.
	maxDelay float64
}

// simFleet is a fleet whose VMs start at random times.
type simFleet struct {
	t         testing.TB
	random    *rand.Rand
	now       float64
	lastOrder int
	queue     simQueue
	byAddress map[netip.AddrPort]*simProcess
	processes []*simProcess
	table     *routing.Table
	// listed are the targets that the store lists in each failure domain; nil without
	// checkpoints. With unlisted, the store does not answer.
	listed   map[string][]checkpoint.Entry
	unlisted bool
	// strangers are balancers that find no other one: the directory's list is stale.
	strangers bool
	// directory is set if agents look balancers up while none probes them. registerMicros is
	// how long after its start a new balancer is listed there, in microseconds; zero if it is
	// from the start.
	directory      bool
	registerMicros float64
	// cut reports whether no datagram gets from one process to another; nil if all do.
	cut func(from, to *simProcess) bool
	// measureFrom is when the restart begins. Traffic is counted for the two seconds after
	// it.
	measureFrom float64
}

func (f *simFleet) measuring() bool {
	return f.now >= f.measureFrom && f.now < f.measureFrom+2e6
}

func (f *simFleet) schedule(d float64, do func()) {
	f.lastOrder++
	heap.Push(&f.queue, simEvent{at: f.now + d, order: f.lastOrder, do: do})
}

func (f *simFleet) run(until float64) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		h := heap.Pop(&f.queue).(simEvent)
		f.now = h.at
		h.do()
	}
	f.now = until
}

// syncClock sets the clock of a process to the time of the simulation.
func (f *simFleet) syncClock(s *simProcess) clock.Millis {
	at := testNow + clock.Millis(f.now/1000)
	s.clock.Advance(at.Sub(s.clock.Now()))
	return at
}

func (f *simFleet) add(s *simProcess) {
	s.verbs, s.sentBytes, s.bursts, s.clock = map[wire.Verb]int{}, map[wire.Verb]int{}, map[int]int{}, &clock.Manual{}
	f.byAddress[s.address] = s
	f.processes = append(f.processes, s)
}

// fleetSize is the number of balancers, agents and failure domains.
type fleetSize struct{ balancers, agents, domains int }

// newSimFleet returns a fleet in which each VM starts at the time that start returns for
// its failure domain and a random fraction of 1. All but the first three balancers of each
// failure domain have a small share of a core.
func newSimFleet(t testing.TB, size fleetSize, from float64, start func(domain int, fraction float64) float64) *simFleet {
	f := &simFleet{t: t, random: rand.New(rand.NewPCG(1, 3)), byAddress: map[netip.AddrPort]*simProcess{}, measureFrom: from}
	table := &routing.Table{Version: 1, Listeners: []*routing.Listener{{
		Name: "l", Address: netip.MustParseAddrPort("198.18.0.1:443"),
		Shares: []routing.Share{{Service: "one", Weight: 1}},
	}}}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	f.table = table
	for i := range size.balancers {
		share := 0.061
		if i/size.domains < 3 {
			share = 0.8
		}
		f.add(&simProcess{
			address: peerAddress(i), domain: fmt.Sprint("d", i%size.domains), share: share,
			startAt: start(i%size.domains, f.random.Float64()),
		})
	}
	for i := range size.agents {
		f.add(&simProcess{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000),
			domain:  fmt.Sprint("d", i%size.domains), share: 0.24,
			startAt: start(i%size.domains, f.random.Float64()),
		})
	}
	for i, s := range f.processes {
		f.schedule(s.startAt, func() {
			if i < size.balancers {
				f.startBalancer(s, i, size.balancers, table)
				return
			}
			f.startAgent(s, i, size.balancers)
		})
	}
	return f
}

func (f *simFleet) startBalancer(s *simProcess, i, count int, table *routing.Table) {
	f.syncClock(s)
	b := newBalancer(Settings{
		Name: fmt.Sprintf("b%03d", i), Domain: s.domain, CPUShare: uint32(1000 * s.share), Parcels: s.address,
		FlowTTL: clock.Minute, Seeds: []netip.AddrPort{peerAddress(0), peerAddress(1), peerAddress(2)},
	}, Deps{Codec: fakeCodec{}, Clock: s.clock, Log: zerolog.Nop(), Scope: tally.NoopScope}, uint64(s.startAt)+1)
	b.parcelSender, b.callerWriter = simLink{f, s}, s
	s.balancer = b
	b.steerer.SetTable(s.clock.Now(), table)
	if f.registerMicros != 0 && s.registeredAt != 0 {
		b.peers.unlisted = true
		f.schedule(s.registeredAt-f.now, func() { b.peers.registeredAt = f.syncClock(s) })
		f.schedule(s.registeredAt-f.now+float64(minFindPeersDelay.Microseconds())+lookupMicros, func() { f.findPeers(s, b) })
	}
	if f.listed != nil {
		b.peers.listing = newListing(slices.Sorted(maps.Keys(f.listed)))
	}
	f.schedule(60_000, func() {
		if f.strangers {
			return
		}
		f.syncClock(s)
		for j := range count {
			b.peers.Learn(s.clock.Now(), peerAddress(j), Peer{
				Name: fmt.Sprintf("b%03d", j), Domain: f.byAddress[peerAddress(j)].domain,
				CPUShare: uint32(1000 * f.byAddress[peerAddress(j)].share),
			})
		}
	})
	var step func()
	step = func() {
		if s.balancer != b {
			return
		}
		now := f.syncClock(s)
		// Callers open flows all the time.
		b.steerer.Targets.Choose(now, stream.PlacementRequest{Service: "one"})
		f.readLists(now, b)
		pause := b.step()
		if s.settledAfter == 0 && b.settled {
			s.settledAfter = f.now - s.startAt
			s.unheardTargets = f.unheard(b)
		}
		f.schedule(max(float64(pause.Microseconds()), s.busyUntil-f.now), step)
	}
	step()
}

// startAgent reports to balancers of the agent's failure domain as agents do, until they
// probe it.
func (f *simFleet) startAgent(s *simProcess, i, balancers int) {
	now := f.syncClock(s)
	s.tracker = stream.NewTracker(now, stream.TrackerSettings{
		Name: fmt.Sprintf("side-place-%s-%d", s.domain, i), Domain: s.domain, Service: "one", Epoch: uint64(s.startAt) + 1,
		Port: 7000, MaxFlows: 100, FlowTTL: clock.Minute, Heartbeat: 1200, HeartbeatTimeout: 3600,
	})
	s.tracker.HandleHeartbeat(now, stream.Heartbeat{Service: "one", Born: 1, Sequence: 1, Slots: 2})
	s.reportBalancers = streamagent.NewBalancers(now, s.domain)
	f.schedule(60_000, func() {
		for j := range balancers {
			if a := peerAddress(j); f.byAddress[a].domain == s.domain {
				s.reportBalancers.Learn(f.syncClock(s), []netip.AddrPort{a}, s.domain)
			}
		}
	})
	if f.directory {
		f.lookUp(s, streamagent.NewLookups())
	}
	var step func()
	step = func() {
		if f.byAddress[s.address] != s {
			return
		}
		now := f.syncClock(s)
		s.reportBalancers.SetUnlisted(s.unlisted)
		s.tracker.SendReport(now, s.reportBalancers.DueForReport(now, s.tracker.Loaded()))
		s.tracker.Tick(now)
		f.flush(s)
		f.schedule(50_000, step)
	}
	step()
}
