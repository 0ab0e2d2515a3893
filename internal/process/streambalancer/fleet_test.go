package streambalancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/internal/process/streamagent"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// What a fleet tells itself, without network: the balancers' own code over links with
// delays, and agents that answer, where each datagram costs a part of a core its time.

const (
	// workMicros is the time of a whole core for a datagram, and workPerByte what its
	// bytes add, in microseconds.
	workMicros  = 30.0
	workPerByte = 0.01
	// nearDelay and farDelay are one way inside a failure domain and between two, in
	// microseconds.
	nearDelay = 200.0
	farDelay  = 3400.0
	// flowsEach is how many lost flows callers use for each balancer.
	flowsEach = 41
	// backlog is how many microseconds a process may be behind until datagrams to it are
	// dropped.
	backlog = 2_000_000.0
)

// happening is one moment of the fleet, in microseconds.
type happening struct {
	at    float64
	order int
	do    func()
}

type happenings []happening

func (h happenings) Len() int      { return len(h) }
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// station is one process of the fleet.
type station struct {
	address netip.AddrPort
	domain  string
	share   float64
	start   float64
	// busy is until when it works on what has arrived.
	busy     float64
	balancer *Balancer
	holder   *stream.Holder
	clock    *clock.Manual
	// told are the balancers that an agent reports to.
	told    *streamagent.Balancers
	settled float64
	// unheard is how many targets a balancer had not heard when it settled.
	unheard int
	// parcels and bytes are what arrived in the span that is counted, and far what left
	// the failure domain.
	parcels, bytes, far int
	verbs               map[wire.Verb]int
	dropped             int
	// late is the longest that anything had to wait, in microseconds.
	late float64
}

// returning is a fleet whose VMs all start within a moment.
type returning struct {
	t        testing.TB
	random   *rand.Rand
	now      float64
	order    int
	queue    happenings
	stations map[netip.AddrPort]*station
	all      []*station
	table    *routing.Table
	// from is when the return begins; what arrives in the two seconds after it is counted.
	from float64
}

func (f *returning) counts() bool {
	return f.now >= f.from && f.now < f.from+2e6
}

func (f *returning) after(d float64, do func()) {
	f.order++
	heap.Push(&f.queue, happening{at: f.now + d, order: f.order, do: do})
}

func (f *returning) run(until float64) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		h := heap.Pop(&f.queue).(happening)
		f.now = h.at
		h.do()
	}
	f.now = until
}

// sender is the link of one station.
type sender struct {
	fleet *returning
	from  *station
}

// Send brings a parcel to another station, which works on one after the other.
func (l sender) Send(to netip.AddrPort, p *wire.Parcel) (int, error) {
	f, from := l.fleet, l.from
	size := p.SizeVT()
	other := f.stations[to]
	delay := farDelay
	if other != nil && other.domain == from.domain {
		delay = nearDelay
	} else if f.counts() {
		from.far += size
	}
	from.busy = max(from.busy, f.now) + (workMicros+workPerByte*float64(size))/from.share
	if other == nil {
		return size, nil
	}
	data, err := p.MarshalVT()
	if err != nil {
		return size, err
	}
	f.after(from.busy-f.now+delay*(1+0.3*f.random.Float64()), func() { f.arrive(from.address, other, data) })
	return size, nil
}

func (f *returning) arrive(from netip.AddrPort, to *station, data []byte) {
	if f.now < to.start {
		return
	}
	if to.busy-f.now > backlog {
		to.dropped++
		return
	}
	p := &wire.Parcel{}
	if err := p.UnmarshalVT(data); err != nil {
		f.t.Fatal(err)
	}
	if f.counts() {
		to.parcels++
		to.bytes += len(data)
		to.verbs[p.Verb]++
	}
	to.busy = max(to.busy, f.now) + (workMicros+workPerByte*float64(len(data)))/to.share
	to.late = max(to.late, to.busy-f.now)
	f.after(to.busy-f.now, func() { f.handle(from, to, p) })
}

func (f *returning) handle(from netip.AddrPort, to *station, p *wire.Parcel) {
	now := f.tick(to)
	if to.balancer != nil {
		to.balancer.hear(from, p, nil)
		return
	}
	if to.told == nil {
		return
	}
	to.told.Heard(now, from)
	if p.Verb == wire.Verb_VERB_PROBE {
		to.told.Probed(now, from, p.Report.Domain)
	}
	to.holder.Hear(now, from, p, nil)
	f.flush(to)
}

// tick sets the clock of a station.
func (f *returning) tick(s *station) clock.Millis {
	at := testNow + clock.Millis(f.now/1000)
	s.clock.Advance(at.Sub(s.clock.Now()))
	return at
}

func (f *returning) flush(s *station) {
	for _, send := range s.holder.Take().Sends {
		_, _ = sender{f, s}.Send(send.To, send.Parcel)
	}
}

// WriteToUDPAddrPort takes what a balancer tells a caller.
func (s *station) WriteToUDPAddrPort(packet []byte, _ netip.AddrPort) (int, error) {
	return len(packet), nil
}

func (f *returning) add(s *station) {
	s.verbs, s.clock = map[wire.Verb]int{}, &clock.Manual{}
	f.stations[s.address] = s
	f.all = append(f.all, s)
}

// fleetSize is how many balancers and agents there are, in how many failure domains.
type fleetSize struct{ balancers, agents, domains int }

// newReturn starts a fleet: each VM of a failure domain when start says, given a random
// part of 1. All but the first three balancers of each failure domain have a small part of
// a core.
func newReturn(t testing.TB, size fleetSize, from float64, start func(domain int, part float64) float64) *returning {
	f := &returning{t: t, random: rand.New(rand.NewPCG(1, 3)), stations: map[netip.AddrPort]*station{}, from: from}
	table := &routing.Table{Version: 1, Listeners: []routing.Listener{{
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
		f.add(&station{
			address: peerAddress(i), domain: fmt.Sprint("d", i%size.domains), share: share,
			start: start(i%size.domains, f.random.Float64()),
		})
	}
	for i := range size.agents {
		f.add(&station{
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000),
			domain:  fmt.Sprint("d", i%size.domains), share: 0.24,
			start: start(i%size.domains, f.random.Float64()),
		})
	}
	for i, s := range f.all {
		f.after(s.start, func() {
			if i < size.balancers {
				f.startBalancer(s, i, size.balancers, table)
				return
			}
			f.startAgent(s, i, size.balancers)
		})
	}
	return f
}

// unheard counts the targets that run and that a balancer has not heard.
func (f *returning) unheard(b *Balancer) int {
	n := 0
	for _, s := range f.all {
		if s.holder == nil {
			continue
		}
		if t, ok := b.steerer.Targets.Find(s.address); !ok || t.Heard == 0 {
			n++
		}
	}
	return n
}

// restart ends the process of a balancer and starts another one later.
func (f *returning) restart(i int, size fleetSize, later float64) {
	s := f.all[i]
	s.start, s.settled, s.unheard, s.balancer = f.now+later, 0, 0, nil
	f.after(later, func() { f.startBalancer(s, i, size.balancers, f.table) })
}

func (f *returning) startBalancer(s *station, i, count int, table *routing.Table) {
	f.tick(s)
	b := newBalancer(Settings{
		Name: fmt.Sprintf("b%03d", i), Domain: s.domain, Share: uint32(1000 * s.share), Parcels: s.address,
		FlowLife: clock.Minute, Seeds: []netip.AddrPort{peerAddress(0), peerAddress(1), peerAddress(2)},
	}, Deps{Codec: plain{}, Clock: s.clock, Log: zerolog.Nop(), Scope: tally.NoopScope}, uint64(s.start)+1)
	b.link, b.callers = sender{f, s}, s
	s.balancer = b
	b.steerer.SetTable(s.clock.Now(), table)
	f.after(60_000, func() {
		f.tick(s)
		for j := range count {
			b.peers.Learn(s.clock.Now(), peerAddress(j), Peer{
				Name: fmt.Sprintf("b%03d", j), Domain: f.stations[peerAddress(j)].domain,
				Share: uint32(1000 * f.stations[peerAddress(j)].share),
			})
		}
	})
	var step func()
	step = func() {
		if s.balancer != b {
			return
		}
		now := f.tick(s)
		// Callers open flows all the while.
		b.steerer.Targets.Choose(now, stream.Demand{Service: "one"})
		pause := b.step()
		if s.settled == 0 && b.settled {
			s.settled = f.now - s.start
			s.unheard = f.unheard(b)
		}
		f.after(max(float64(pause.Microseconds()), s.busy-f.now), step)
	}
	step()
}

// startAgent tells balancers of its failure domain as agents do, until they probe it.
func (f *returning) startAgent(s *station, i, balancers int) {
	now := f.tick(s)
	s.holder = stream.NewHolder(now, stream.HolderSettings{
		Name: fmt.Sprintf("side-place-%s-%d", s.domain, i), Domain: s.domain, Service: "one", Epoch: uint64(s.start) + 1,
		Port: 7000, Flows: 100, FlowLife: clock.Minute, Heartbeat: 1200, SilentAfter: 3600,
	})
	s.holder.Beat(now, stream.Beat{Service: "one", Born: 1, Sequence: 1, Slots: 2})
	s.told = streamagent.NewBalancers(now, s.domain)
	f.after(60_000, func() {
		for j := range balancers {
			if a := peerAddress(j); f.stations[a].domain == s.domain {
				s.told.Learn(f.tick(s), []netip.AddrPort{a}, s.domain)
			}
		}
	})
	var step func()
	step = func() {
		now := f.tick(s)
		s.holder.Tell(now, s.told.Due(now, s.holder.Loaded()))
		s.holder.Tick(now)
		f.flush(s)
		f.after(50_000, step)
	}
	step()
}

// lostFlows lets callers of flows that were lost send what they have under way, again
// after each pause, to any balancer of their failure domain, within a second.
func (f *returning) lostFlows(balancers, domains int) {
	for i := range flowsEach * balancers {
		id := segment.Flow{Caller: peerAddress(10_000 + i), Listener: netip.MustParseAddrPort("198.18.0.1:443")}
		to := f.stations[peerAddress(f.random.IntN(balancers/domains)*domains+i%domains)]
		at := f.from + 400_000 + 1e6*f.random.Float64()
		for _, pause := range []float64{0, 200_000, 600_000} {
			f.after(at+pause, func() { f.packet(id, to) })
		}
	}
}

func (f *returning) packet(id segment.Flow, to *station) {
	if f.now < to.start {
		return
	}
	if to.busy-f.now > backlog {
		to.dropped++
		return
	}
	to.busy = max(to.busy, f.now) + workMicros/to.share
	f.after(to.busy-f.now, func() {
		seg := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100}
		to.late = max(to.late, to.busy-f.now)
		b := to.balancer
		b.steerer.Arrive(f.tick(to), &seg, []byte("packet"))
		b.flush()
	})
}

// plain stands in for the platform's head of packets.
type plain struct{}

func (plain) Decode([]byte) (segment.Segment, error) { return segment.Segment{}, nil }
func (plain) Mark([]byte, uint32)                    {}
func (plain) Reset(segment.Flow, uint32) []byte      { return nil }

// account is what balancers with a small part of a core got in the two seconds after the
// return, on the mean, and what the slowest of them took.
type account struct {
	parcels, bytes float64
	// settled and late are in milliseconds; late is how long something had to wait.
	settled, late float64
	dropped       int
	verbs         map[wire.Verb]int
}

func (f *returning) account() account {
	a := account{verbs: map[wire.Verb]int{}}
	count := 0
	for _, s := range f.all {
		if s.balancer == nil || s.share > 0.1 {
			continue
		}
		count++
		a.parcels += float64(s.parcels)
		a.bytes += float64(s.bytes)
		a.dropped += s.dropped
		a.settled = max(a.settled, s.settled/1000)
		a.late = max(a.late, s.late/1000)
		for v, n := range s.verbs {
			a.verbs[v] += n
		}
	}
	a.parcels /= float64(count)
	a.bytes /= float64(count)
	for v := range a.verbs {
		a.verbs[v] /= count
	}
	return a
}
