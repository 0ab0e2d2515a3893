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

// The world runs balancers' and agents' decisions over a network that delays,
// loses and reorders, with targets and callers that follow the protocol of
// flows, and an oracle that knows everything. It has its own time.

const (
	worldPort   = 7000
	worldLife   = 60 * clock.Second
	worldBeat   = 1200 * clock.Millis(1)
	worldCalm   = 4 * clock.Second
	worldDelay  = 6
	worldFar    = 2
	worldCopies = 3
	worldTwice  = 0.01
	worldLate   = 400
	// worldSummary is the pause between two summaries of all targets.
	worldSummary = 500 * clock.Millis(1)
	// worldRequest is the size of a request.
	worldRequest = 200
)

// moment is one event of the world.
type moment struct {
	at    clock.Millis
	order int
	do    func()
}

type moments []moment

func (m moments) Len() int      { return len(m) }
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].order < m[j].order
}
func (m *moments) Push(x any) { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

type world struct {
	t       testing.TB
	random  *rand.Rand
	now     clock.Millis
	order   int
	queue   moments
	loss    float64
	table   *routing.Table
	allowed map[string]bool
	// orders are all snapshots of evacuations so far, and evacuated since when failure
	// domains are.
	orders    []evacuation.Snapshot
	evacuated map[string]clock.Millis
	balancers []*worldBalancer
	agents    []*worldAgent
	callers   []*worldCaller
	cut       map[[2]netip.AddrPort]bool
	served    int
	failures  []string
	// objects are the sheets of checkpoints, by failure domain.
	objects map[string]*worldObject
	// trace, if set, is shown all events.
	trace func(who string, events []Event)
}

func (w *world) note(who netip.AddrPort, events []Event) {
	if w.trace != nil && len(events) > 0 {
		w.trace(who.String(), events)
	}
}

type worldBalancer struct {
	address netip.AddrPort
	domain  string
	steerer *Steerer
	keeper  *checkpoint.Keeper
	up      bool
	born    clock.Millis
	knows   clock.Millis
	// told is when the last summary of all targets was sent, and number its number.
	told   clock.Millis
	number uint32
	troubled
}

// troubled is until when something had an unplanned fault.
type troubled struct{ last clock.Millis }

func (t *troubled) until(end clock.Millis) { t.last = max(t.last, end) }

type worldAgent struct {
	address netip.AddrPort
	domain  string
	service string
	holder  *Holder
	epoch   uint64
	up      bool
	target  *worldTarget
	troubled
}

// worldTarget is one incarnation of a target.
type worldTarget struct {
	born     uint64
	sequence uint64
	alive    bool
	draining bool
	acked    clock.Millis
	// faulty is until when requests fail: they are reset, or with mute not answered.
	faulty clock.Millis
	mute   bool
	flows  map[segment.Flow]*worldEnd
}

// worldEnd is a flow at its target.
type worldEnd struct {
	seq  uint32
	open bool
}

// worldCaller keeps one flow and sends a request on it now and then.
type worldCaller struct {
	flow     segment.Flow
	openedAt *worldTarget
	owner    *worldAgent
	seq      uint32
	sent     uint32
	began    clock.Millis
	asked    clock.Millis
	copies   int
	waiting  bool
	port     uint16
	ip       netip.Addr
}

func newWorld(t testing.TB, seed uint64, balancers, agents, callers int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 24 * clock.Hour,
		cut: map[[2]netip.AddrPort]bool{}, allowed: map[string]bool{},
		objects: map[string]*worldObject{},
		orders:  []evacuation.Snapshot{evacuation.New(1, nil)}, evacuated: map[string]clock.Millis{},
	}
	w.setTable(1, "one")
	for i := range balancers {
		b := &worldBalancer{address: worldAddress(1, i), domain: fmt.Sprint("zone-", i%3)}
		w.balancers = append(w.balancers, b)
		w.startBalancer(b)
	}
	for i := range agents {
		service := "one"
		if i%3 == 2 {
			service = "two"
		}
		a := &worldAgent{address: worldAddress(2, i), domain: fmt.Sprint("zone-", i%3), service: service}
		w.agents = append(w.agents, a)
		w.startTarget(a)
		w.startAgent(a)
	}
	for i := range callers {
		c := &worldCaller{ip: netip.AddrFrom4([4]byte{100, 64, 0, byte(i + 1)}), port: 1000}
		w.callers = append(w.callers, c)
		w.after(clock.Millis(3000+w.random.IntN(2000)), func() { w.callerOpens(c) })
	}
	return w
}

func worldAddress(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(i >> 8), byte(i + 1)}), worldPort)
}

var worldListener = netip.MustParseAddrPort("198.18.0.1:443")

func (w *world) setTable(version uint64, service string) {
	t := &routing.Table{Version: version, Listeners: []routing.Listener{
		{Name: "l", Address: worldListener, Shares: []routing.Share{{Service: service, Weight: 1}}},
	}}
	if err := t.Check(); err != nil {
		w.t.Fatal(err)
	}
	w.table = t
	w.allowed[service] = true
	for _, b := range w.balancers {
		w.after(clock.Millis(w.random.IntN(300)), func() { b.steerer.SetTable(w.now, t) })
	}
}

func (w *world) after(d clock.Millis, do func()) {
	w.order++
	heap.Push(&w.queue, moment{at: w.now + d, order: w.order, do: do})
}

func (w *world) run(until clock.Millis) {
	end := w.now + until
	for len(w.queue) > 0 && w.queue[0].at <= end {
		m := heap.Pop(&w.queue).(moment)
		w.now = m.at
		m.do()
	}
	w.now = end
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("%.3f ", float64(w.now-24*clock.Hour)/1000)+fmt.Sprintf(format, args...))
}

// network delivers later, or never, or now and then twice, the second time late.
func (w *world) network(from, to netip.AddrPort, deliver func()) {
	if w.random.Float64() < worldTwice {
		w.after(clock.Millis(1+w.random.IntN(worldLate)), deliver)
	}
	if w.random.Float64() < w.loss || w.cut[[2]netip.AddrPort{from, to}] {
		return
	}
	w.after(1+clock.Millis(w.random.IntN(worldDelay)), deliver)
}

// encode makes the packet of a segment, as a stand-in for the real head.
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

func mark(b []byte, echo uint32, returned bool) []byte {
	s := decode(b)
	s.Mark = echo
	s.Flags &^= segment.Returned
	if returned {
		s.Flags |= segment.Returned
	}
	return encode(*s)
}

// Balancers.

func (w *world) startBalancer(b *worldBalancer) {
	b.steerer = NewSteerer(w.now, Settings{
		Domain: b.domain, Address: b.address, Evacuates: true, Flows: 10000, FlowLife: worldLife,
	})
	b.up, b.born, b.knows = true, w.now, 0
	w.hearOrder(b, w.orders[len(w.orders)-1])
	b.steerer.SetTable(w.now, w.table)
	s := b.steerer
	var tick func()
	tick = func() {
		if b.steerer != s || !b.up {
			return
		}
		b.steerer.Tick(w.now)
		w.settle(b)
		w.flushBalancer(b)
		w.summarize(b)
		w.after(20, tick)
	}
	w.after(1, tick)
	w.keeps(b)
}

// summarize stands in for the relays: each balancer tells those of other failure domains
// of the targets of its own.
func (w *world) summarize(b *worldBalancer) {
	b.steerer.SetRelay(true)
	var parts []*wire.Summary
	switch {
	case w.now.Sub(b.told) >= worldSummary:
		b.told = w.now
		b.number++
		parts = b.steerer.Summary(w.now, uint64(b.born), b.number, false)
		w.repeatOrders(b)
	case b.steerer.HasNews():
		parts = b.steerer.News(w.now, false)
	}
	for _, other := range w.balancers {
		if other.domain == b.domain {
			continue
		}
		for _, p := range parts {
			p = copyParcel(&wire.Parcel{Summary: p}).Summary
			w.network(b.address, other.address, func() {
				if other.up {
					other.steerer.HearSummary(w.now, p)
					w.flushBalancer(other)
				}
			})
		}
	}
}

// repeatOrders stands in for the news of balancers, which tell the evacuations again and
// again: a process that stood still has missed some.
func (w *world) repeatOrders(b *worldBalancer) {
	s := b.steerer.Evacuations()
	for _, other := range w.balancers {
		w.network(b.address, other.address, func() {
			if other.up {
				other.steerer.TakeEvacuations(w.now, s)
				w.flushBalancer(other)
			}
		})
	}
}

// settle stands in for the balancers' exchange: a balancer counts as settled
// when it has known all running agents for a while.
func (w *world) settle(b *worldBalancer) {
	all := w.now.Sub(b.born) > 700
	for _, a := range w.agents {
		t, ok := b.steerer.Targets.Find(a.address)
		if a.up && !a.holder.Gone() && (!ok || t.Heard == 0) {
			all = false
		}
	}
	switch {
	case !all:
		b.knows = 0
	case b.knows == 0:
		b.knows = w.now
	}
	b.steerer.SetSettled(all && w.now.Sub(b.knows) > 400)
}

func (w *world) flushBalancer(b *worldBalancer) {
	out := b.steerer.Take()
	w.note(b.address, out.Events)
	for _, s := range out.Sends {
		w.sendAgent(b, s)
	}
	for _, r := range out.Resets {
		w.callerReset(r.Flow, "a balancer")
	}
}

func (w *world) sendAgent(b *worldBalancer, s Send) {
	p := copyParcel(s.Parcel)
	for _, relay := range w.balancers {
		if relay.address != s.To {
			continue
		}
		w.network(b.address, relay.address, func() {
			if relay.up {
				relay.steerer.HandOn(w.now, b.address, p)
				w.flushBalancer(relay)
			}
		})
	}
	for _, a := range w.agents {
		if a.address != s.To {
			continue
		}
		w.network(b.address, a.address, func() {
			if !a.up {
				return
			}
			a.holder.Hear(w.now, b.address, p, carried(p))
			w.flushAgent(a)
		})
	}
}

// carried is the segment of a parcel's packet, or nil if it has none.
func carried(p *wire.Parcel) *segment.Segment {
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
