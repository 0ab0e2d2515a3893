package stream

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// The simulation runs the decisions of balancers and agents over a network that
// delays, loses and reorders datagrams, with targets and callers that follow the
// protocol of flows. It has a simulated clock, and checks callers' observations
// against its full knowledge of the system's state.

const (
	simPort           = 7000
	testFlowTTL       = 60 * clock.Second
	simHeartbeat      = 1200 * clock.Millis(1)
	simRecoveryTime   = 4 * clock.Second
	simMaxDelay       = 6
	simResetDelay     = 2
	simOpeningCopies  = 3
	simDuplicateRate  = 0.01
	simDuplicateDelay = 400
	// simSummaryInterval is the interval between two summaries of all targets.
	simSummaryInterval = 500 * clock.Millis(1)
	// simRequestSize is the size of a request, in bytes.
	simRequestSize = 200
)

// simEvent is a scheduled event of the simulation.
type simEvent struct {
	at     clock.Millis
	order  int
	action func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type simulation struct {
	t        testing.TB
	random   *rand.Rand
	now      clock.Millis
	sequence int
	queue    eventQueue
	loss     float64
	table    *routing.Table
	allowed  map[string]bool
	// snapshots are all snapshots of evacuations so far, and evacuated is since when
	// failure domains have been evacuated.
	snapshots []evacuation.Snapshot
	evacuated map[string]clock.Millis
	balancers []*simBalancer
	agents    []*simAgent
	callers   []*simCaller
	blocked   map[[2]netip.AddrPort]bool
	served    int
	failures  []string
	// objects are the stored checkpoints, by failure domain.
	objects map[string]*simObject
	// trace, if set, is called with all events.
	trace func(who string, events []Event)
}

func (sim *simulation) traceEvents(who netip.AddrPort, events []Event) {
	if sim.trace != nil && len(events) > 0 {
		sim.trace(who.String(), events)
	}
}

type simBalancer struct {
	address       netip.AddrPort
	domain        string
	steerer       *Steerer
	keeper        *checkpoint.Keeper
	up            bool
	born          clock.Millis
	knowsAllSince clock.Millis
	// summarizedAt is when the last summary of all targets was sent, and summaryNumber its number.
	summarizedAt  clock.Millis
	summaryNumber uint32
	faultWindow
}

// faultWindow is until when a process or target had an unplanned fault.
type faultWindow struct{ faultEnd clock.Millis }

func (f *faultWindow) extend(end clock.Millis) { f.faultEnd = max(f.faultEnd, end) }

type simAgent struct {
	address netip.AddrPort
	domain  string
	service string
	tracker *Tracker
	epoch   uint64
	up      bool
	target  *simTarget
	faultWindow
}

// simTarget is one incarnation of a target.
type simTarget struct {
	born         uint64
	sequence     uint64
	alive        bool
	draining     bool
	drainAckedAt clock.Millis
	// failsUntil is until when requests fail: they are reset, or not answered if unresponsive.
	failsUntil   clock.Millis
	unresponsive bool
	flows        map[segment.Flow]*simEndpoint
}

// simEndpoint is a target's end of a flow.
type simEndpoint struct {
	seq  uint32
	open bool
}

// simCaller keeps one flow open and sends a request on it from time to time.
type simCaller struct {
	flow           segment.Flow
	target         *simTarget
	agent          *simAgent
	seq            uint32
	nextSeq        uint32
	flowOpenedAt   clock.Millis
	requestedAt    clock.Millis
	copies         int
	awaitingAnswer bool
	port           uint16
	ip             netip.Addr
}

func newSimulation(t testing.TB, seed uint64, balancers, agents, callers int) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 24 * clock.Hour,
		blocked: map[[2]netip.AddrPort]bool{}, allowed: map[string]bool{},
		objects:   map[string]*simObject{},
		snapshots: []evacuation.Snapshot{evacuation.New(1, nil)}, evacuated: map[string]clock.Millis{},
	}
	sim.setTable(1, "one")
	for i := range balancers {
		b := &simBalancer{address: testAddress(1, i), domain: fmt.Sprint("zone-", i%3)}
		sim.balancers = append(sim.balancers, b)
		sim.startBalancer(b)
	}
	for i := range agents {
		service := "one"
		if i%3 == 2 {
			service = "two"
		}
		a := &simAgent{address: testAddress(2, i), domain: fmt.Sprint("zone-", i%3), service: service}
		sim.agents = append(sim.agents, a)
		sim.startTarget(a)
		sim.startAgent(a)
	}
	for i := range callers {
		c := &simCaller{ip: netip.AddrFrom4([4]byte{100, 64, 0, byte(i + 1)}), port: 1000}
		sim.callers = append(sim.callers, c)
		sim.schedule(clock.Millis(3000+sim.random.IntN(2000)), func() { sim.openFlow(c) })
	}
	return sim
}

func testAddress(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(i >> 8), byte(i + 1)}), simPort)
}

var testListener = netip.MustParseAddrPort("198.18.0.1:443")

func (sim *simulation) setTable(version uint64, service string) {
	t := &routing.Table{Version: version, Listeners: []*routing.Listener{
		{Name: "l", Address: testListener, Shares: []routing.Share{{Service: service, Weight: 1}}},
	}}
	if err := t.Check(); err != nil {
		sim.t.Fatal(err)
	}
	sim.table = t
	sim.allowed[service] = true
	for _, b := range sim.balancers {
		sim.schedule(clock.Millis(sim.random.IntN(300)), func() { b.steerer.SetTable(sim.now, t) })
	}
}

func (sim *simulation) schedule(d clock.Millis, action func()) {
	sim.sequence++
	heap.Push(&sim.queue, simEvent{at: sim.now + d, order: sim.sequence, action: action})
}

func (sim *simulation) run(until clock.Millis) {
	end := sim.now + until
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(simEvent)
		sim.now = e.at
		e.action()
	}
	sim.now = end
}

func (sim *simulation) fail(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf("%.3f ", float64(sim.now-24*clock.Hour)/1000)+fmt.Sprintf(format, args...))
}

// transmit delivers after a delay, or never, or occasionally twice, the second time late.
func (sim *simulation) transmit(from, to netip.AddrPort, deliver func()) {
	if sim.random.Float64() < simDuplicateRate {
		sim.schedule(clock.Millis(1+sim.random.IntN(simDuplicateDelay)), deliver)
	}
	if sim.random.Float64() < sim.loss || sim.blocked[[2]netip.AddrPort{from, to}] {
		return
	}
	sim.schedule(1+clock.Millis(sim.random.IntN(simMaxDelay)), deliver)
}

// encode returns a segment as a packet, in an encoding for tests.
func encode(s segment.Segment) []byte {
	b := segment.AppendAddress(segment.AppendAddress(nil, s.Source), s.Destination)
	b = append(b, byte(s.Flags))
	b = binary.BigEndian.AppendUint32(b, s.Seq)
	b = binary.BigEndian.AppendUint32(b, s.Ack)
	b = binary.BigEndian.AppendUint32(b, s.Mark)
	return binary.BigEndian.AppendUint32(b, uint32(s.Size))
}

func decode(b []byte) *segment.Segment {
	s := &segment.Segment{Flags: segment.Flags(b[12])}
	s.Source, _ = segment.ParseAddress(b[:6])
	s.Destination, _ = segment.ParseAddress(b[6:12])
	s.Seq, s.Ack = binary.BigEndian.Uint32(b[13:]), binary.BigEndian.Uint32(b[17:])
	s.Mark, s.Size = binary.BigEndian.Uint32(b[21:]), int(binary.BigEndian.Uint32(b[25:]))
	return s
}

func mark(b []byte, value uint32, returned bool) []byte {
	s := decode(b)
	s.Mark = value
	s.Flags &^= segment.Returned
	if returned {
		s.Flags |= segment.Returned
	}
	return encode(*s)
}

func (sim *simulation) startBalancer(b *simBalancer) {
	b.steerer = NewSteerer(sim.now, Settings{
		Domain: b.domain, Address: b.address, AwaitEvacuations: true, MaxFlows: 10000, FlowTTL: testFlowTTL,
	})
	b.up, b.born, b.knowsAllSince = true, sim.now, 0
	sim.sendEvacuations(b, sim.snapshots[len(sim.snapshots)-1])
	b.steerer.SetTable(sim.now, sim.table)
	s := b.steerer
	var tick func()
	tick = func() {
		if b.steerer != s || !b.up {
			return
		}
		b.steerer.Tick(sim.now)
		sim.updateSettled(b)
		sim.flushBalancer(b)
		sim.summarize(b)
		sim.schedule(20, tick)
	}
	sim.schedule(1, tick)
	sim.runKeeper(b)
}

// summarize simulates the relays: each balancer sends the state of its failure domain's
// targets to those of other domains.
func (sim *simulation) summarize(b *simBalancer) {
	b.steerer.SetRelay(true)
	var parts []*wire.Summary
	switch {
	case sim.now.Sub(b.summarizedAt) >= simSummaryInterval:
		b.summarizedAt = sim.now
		b.summaryNumber++
		parts = b.steerer.Summary(sim.now, uint64(b.born), b.summaryNumber, false)
		sim.resendEvacuations(b)
	case b.steerer.HasChanges():
		parts = b.steerer.Changes(sim.now, false)
	}
	for _, other := range sim.balancers {
		if other.domain == b.domain {
			continue
		}
		for _, p := range parts {
			p = copyParcel(&wire.Parcel{Summary: p}).Summary
			sim.transmit(b.address, other.address, func() {
				if other.up {
					other.steerer.HandleSummary(sim.now, p)
					sim.flushBalancer(other)
				}
			})
		}
	}
}

// resendEvacuations simulates the balancers' periodic messages, which repeat the
// evacuations: a process that was paused has missed some.
func (sim *simulation) resendEvacuations(b *simBalancer) {
	s := b.steerer.Evacuations()
	for _, other := range sim.balancers {
		sim.transmit(b.address, other.address, func() {
			if other.up {
				other.steerer.UpdateEvacuations(sim.now, s)
				sim.flushBalancer(other)
			}
		})
	}
}

// updateSettled simulates the balancers' exchange: a balancer is settled once it has
// known all running agents for a while.
func (sim *simulation) updateSettled(b *simBalancer) {
	all := sim.now.Sub(b.born) > 700
	for _, a := range sim.agents {
		t, ok := b.steerer.Targets.Find(a.address)
		if a.up && !a.tracker.Gone() && (!ok || t.HeardAt == 0) {
			all = false
		}
	}
	switch {
	case !all:
		b.knowsAllSince = 0
	case b.knowsAllSince == 0:
		b.knowsAllSince = sim.now
	}
	b.steerer.SetSettled(all && sim.now.Sub(b.knowsAllSince) > 400)
}

func (sim *simulation) flushBalancer(b *simBalancer) {
	out := b.steerer.TakeOutcome()
	sim.traceEvents(b.address, out.Events)
	for _, s := range out.Sends {
		sim.sendFromBalancer(b, s)
	}
	for _, r := range out.Resets {
		sim.resetCaller(r.Flow, "a balancer")
	}
}

func (sim *simulation) sendFromBalancer(b *simBalancer, s Send) {
	p := copyParcel(s.Parcel)
	for _, relay := range sim.balancers {
		if relay.address != s.To {
			continue
		}
		sim.transmit(b.address, relay.address, func() {
			if relay.up {
				relay.steerer.RelayQuestions(sim.now, b.address, p)
				sim.flushBalancer(relay)
			}
		})
	}
	for _, a := range sim.agents {
		if a.address != s.To {
			continue
		}
		sim.transmit(b.address, a.address, func() {
			if !a.up {
				return
			}
			a.tracker.HandleParcel(sim.now, b.address, p, packetSegment(p))
			sim.flushAgent(a)
		})
	}
}

// packetSegment returns the segment of a parcel's packet, or nil if it has none.
func packetSegment(p *wire.Parcel) *segment.Segment {
	if len(p.Packet) == 0 {
		return nil
	}
	return decode(p.Packet)
}

func copyParcel(p *wire.Parcel) *wire.Parcel {
	data, err := p.MarshalVT()
	if err != nil {
		panic(err)
	}
	out := &wire.Parcel{}
	if err := out.UnmarshalVT(data); err != nil {
		panic(err)
	}
	return out
}
