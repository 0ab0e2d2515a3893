package stream

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// nearStage and wideStage are how long a search waits for its first two
	// circles of targets: some round trips inside a failure domain, and between
	// them.
	nearStage = 15 * clock.Millis(1)
	wideStage = 60 * clock.Millis(1)
	// askAgain is the pause before a question without answer is repeated; it
	// doubles each time. Thousands of searches at once, after all VMs lost power,
	// must not fill the links that their answers need.
	askAgain = 100 * clock.Millis(1)
	// denialFor is how long a denial holds for the next search of the flow. The
	// target could get the flow only by an opening, and the agent's process
	// and the target must be the same ones.
	denialFor = 5 * clock.Second
	// searchFor is how long a search goes on. By then the caller has sent its
	// packet again, which begins the next search.
	searchFor = clock.Second
	// mostKept bounds the packets that a search keeps. A caller has at most 16
	// in flight.
	mostKept = 16
	// mostSearches bounds the searches under way: packets of flows that nobody
	// owns must not cost more than the flows that are there.
	mostSearches = 4096
)

// stage is how wide a search has become.
type stage int

const (
	// near asks the targets in the balancer's failure domain that may own the
	// flow, wide those everywhere, and all also those of other services: what
	// the listener went to before this process started is not known.
	near stage = iota
	wide
	all
)

// asked is one target of a search.
type asked struct {
	at      clock.Millis
	pause   clock.Millis
	holding wire.Holding
	// handed tells how many of the kept packets the target was handed.
	handed int
}

// denial is an agent's word that its target does not hold a flow.
type denial struct {
	at    clock.Millis
	epoch uint64
	born  uint64
}

// holds reports whether the denial still counts.
func (d denial) holds(now clock.Millis, t *Target) bool {
	return d.at != 0 && now.Sub(d.at) < denialFor && d.epoch == t.Epoch && d.born == t.Born
}

// search is a balancer's question who owns a flow.
type search struct {
	id   segment.Flow
	flow *flow
	// known is how many targets there were when the last ones were asked.
	known int
	// over tells that the search has ended.
	over    bool
	began   clock.Millis
	stage   stage
	asked   map[netip.AddrPort]*asked
	packets [][]byte
}

func (x *search) keep(packet []byte) {
	if len(x.packets) < mostKept {
		x.packets = append(x.packets, slices.Clone(packet))
	}
}

// end takes the search off its flow.
func (x *search) end() {
	x.over = true
	x.flow.search = nil
}

// begin starts a search for the owner of a flow.
func (s *Steerer) begin(now clock.Millis, id segment.Flow, f *flow, packet []byte) {
	if len(s.searches) >= mostSearches {
		s.out.note(Event{Kind: GaveUp, Flow: id, Reason: "too many searches", Count: len(s.searches)})
		return
	}
	f.taken = false
	f.pending = 0
	f.search = &search{id: id, flow: f, began: now, asked: map[netip.AddrPort]*asked{}}
	f.search.keep(packet)
	s.searches = append(s.searches, f.search)
	s.out.note(Event{Kind: Searched, Flow: id, Service: f.service, Version: s.version()})
	s.ask(now, f.search)
	s.advance(now, f.search)
}

// ask asks the targets of the search's stage that were not asked yet.
func (s *Steerer) ask(now clock.Millis, x *search) {
	x.known = s.Targets.Len()
	for _, t := range s.Targets.Sorted() {
		if x.asked[t.Address] != nil || !s.within(x.stage, x.id, t) {
			continue
		}
		q := &asked{at: now, pause: askAgain}
		x.asked[t.Address] = q
		if x.flow.denied[t.Address].holds(now, t) {
			q.holding = wire.Holding_HOLDING_NOT
			continue
		}
		s.question(x, t.Address)
	}
}

func (s *Steerer) question(x *search, to netip.AddrPort) {
	s.questions.add(to, &wire.Question{Flow: segment.AppendFlow(nil, x.id), Ack: x.flow.ack})
}

func (s *Steerer) within(at stage, id segment.Flow, t *Target) bool {
	allowed := s.history.Allows(id.Listener, t.Service)
	switch at {
	case near:
		return allowed && t.Domain == s.settings.Domain
	case wide:
		return allowed
	default:
		return true
	}
}

// advance widens a search whose present circle has denied the flow, or was
// given its time, asks again where no answer came, and ends one that is over.
func (s *Steerer) advance(now clock.Millis, x *search) {
	if x.over {
		return
	}
	if now.Sub(x.began) > searchFor {
		s.giveUp(now, x)
		return
	}
	if x.known != s.Targets.Len() {
		// This process has just started and learns of targets meanwhile.
		s.ask(now, x)
	}
	for x.stage < all && (x.denied() || now.Sub(x.began) > x.patience()) {
		x.stage++
		s.ask(now, x)
	}
	if x.stage == all && s.unowned(now, x) {
		x.end()
		s.end(x.id, x.flow, "no target holds it", now.Sub(x.began))
		return
	}
	for a, q := range x.asked {
		if q.holding == wire.Holding_HOLDING_UNKNOWN && now.Sub(q.at) > q.pause {
			q.at, q.pause = now, 2*q.pause
			s.question(x, a)
		}
	}
}

func (x *search) patience() clock.Millis {
	if x.stage == near {
		return nearStage
	}
	return wideStage
}

// denied reports that every asked target said that it does not hold the flow.
func (x *search) denied() bool {
	for _, q := range x.asked {
		if q.holding != wire.Holding_HOLDING_NOT {
			return false
		}
	}
	return true
}

// unowned reports that no target holds the flow: each that there is has said so,
// or is lost.
//
// Failure: all VMs lost power, and the callers still use the flows of before.
// Symptom: each waits until its patience ends, at every flow that it has. A reset
// sends it to a new flow at once. A wrong one would break a flow that is well, so
// it takes the word of every target, also of those that have just started, and
// balancers that agree on who they are.
func (s *Steerer) unowned(now clock.Millis, x *search) bool {
	if !s.trusted(now) {
		return false
	}
	unowned := true
	s.Targets.Each(func(t *Target) {
		q := x.asked[t.Address]
		if q == nil || q.holding != wire.Holding_HOLDING_NOT && !t.Lost(now) {
			unowned = false
		}
	})
	return unowned
}

// heard takes an answer to a search.
func (s *Steerer) heard(now clock.Millis, id segment.Flow, f *flow, from netip.AddrPort, holding wire.Holding) {
	x := f.search
	q := x.asked[from]
	if q == nil {
		return
	}
	switch holding {
	case wire.Holding_HOLDING_OWNED:
		s.found(now, id, f, from)
	case wire.Holding_HOLDING_NOT:
		s.denied(now, f, from)
	case wire.Holding_HOLDING_UNSURE:
		if q.holding != wire.Holding_HOLDING_NOT {
			q.holding = holding
			s.hand(x, from, q)
		}
	}
}

// hand gives the kept packets to a target whose agent is unsure. The target
// takes them or returns them.
func (s *Steerer) hand(x *search, to netip.AddrPort, q *asked) {
	t, ok := s.Targets.Find(to)
	if !ok {
		return
	}
	for _, packet := range x.packets[min(q.handed, len(x.packets)):] {
		s.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: t.Service, Packet: packet})
	}
	q.handed = len(x.packets)
}

// denied notes that a target does not hold the flow.
func (s *Steerer) denied(now clock.Millis, f *flow, from netip.AddrPort) {
	q := f.search.asked[from]
	if q == nil {
		return
	}
	q.holding = wire.Holding_HOLDING_NOT
	if t, ok := s.Targets.Find(from); ok {
		if f.denied == nil {
			f.denied = map[netip.AddrPort]denial{}
		}
		f.denied[from] = denial{at: now, epoch: t.Epoch, born: t.Born}
	}
	s.advance(now, f.search)
}

// found ends a search at the flow's owner, which gets the packets that it was
// not handed yet.
func (s *Steerer) found(now clock.Millis, id segment.Flow, f *flow, owner netip.AddrPort) {
	x := f.search
	t, ok := s.Targets.Find(owner)
	if !ok {
		return
	}
	x.end()
	f.denied = nil
	f.owner, f.service, f.taken, f.last = owner, t.Service, true, now
	s.out.note(Event{
		Kind: Found, Flow: id, Target: owner, Name: t.Name, Service: t.Service,
		Age: now.Sub(x.began), Count: len(x.asked), Version: s.version(),
	})
	s.hand(x, owner, x.asked[owner])
}

func (s *Steerer) giveUp(now clock.Millis, x *search) {
	silent, denied := 0, 0
	for _, q := range x.asked {
		switch q.holding {
		case wire.Holding_HOLDING_NOT:
			denied++
		case wire.Holding_HOLDING_UNKNOWN:
			silent++
		}
	}
	reason := "nobody holds it"
	if silent > 0 {
		reason = "targets are silent"
	}
	s.out.note(Event{Kind: GaveUp, Flow: x.id, Reason: reason, Age: now.Sub(x.began), Count: denied, Version: s.version()})
	x.end()
}
