package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// nearStage and wideStage are how long a search waits for its first two
	// circles of targets: some round trips inside a failure domain, and between
	// them.
	domainTimeout  = 15 * clock.Millis(1)
	serviceTimeout = 60 * clock.Millis(1)
	// unsureStage is how long a circle is given in which a target was handed the
	// packet, because its agent is unsure, and has not returned it. A target
	// returns a packet within a millisecond and answers a request in some tens;
	// one whose agent has just started among all others needs longer.
	unsureTimeout = 700 * clock.Millis(1)
	// behindStage is how long a circle is given while questions wait for their budget.
	throttledTimeout = 400 * clock.Millis(1)
	// askAgain is the pause before questions without answer are repeated; it
	// doubles each time. Thousands of searches at once, after all VMs lost power,
	// must not fill the links that their answers need.
	initialRetryDelay = 100 * clock.Millis(1)
	// searchFor is how long a search goes on. By then the caller has sent its
	// packet again, which begins the next search.
	searchTimeout = clock.Second
	// mostKept bounds the packets that a search keeps. A caller has at most 16
	// in flight.
	maxSearchPackets = 16
	// mostSearches bounds the searches under way: packets of flows that nobody
	// owns must not cost more than the flows that are there. mostAsked bounds what
	// they remember of targets, some 120 bytes each: 18 MB of the 120 that a
	// small VM has. leastSearches is how many there may be among any number of
	// targets.
	maxSearches      = 4096
	maxSearchAnswers = 150_000
	minSearches      = 64
	// mostKeptBytes bounds the packets that all searches keep together.
	maxBufferedBytes = 8 << 20
)

// stage is how wide a search has become.
type scope int

const (
	// near asks the targets in the balancer's failure domain that may own the
	// flow, wide those everywhere, and all also those of other services: what
	// the listener went to before this process started is not known.
	scopeDomain scope = iota
	scopeService
	scopeAll
)

// search is a balancer's question who owns a flow. Thousands may be under way at
// a balancer with a small part of a core, so a search is looked at only when an
// answer comes or its time is due.
type search struct {
	id   segment.Flow
	flow *flow
	// over tells that the search has ended.
	ended     bool
	startedAt clock.Millis
	scope     scope
	// known is how many targets there were when the last ones were asked, and
	// open how many of those asked have not denied the flow, unsure how many of
	// these were handed its packets.
	targetCount int
	candidates  int
	unsure      int
	// hungry tells that unsure targets wait to be handed the packet.
	speculationPending bool
	// due is when time alone changes something next, again when questions are
	// repeated, and pause what the next pause is.
	nextDue    clock.Millis
	retryAt    clock.Millis
	retryDelay clock.Millis
	packets    [][]byte
	// kept is the size of the packets.
	bufferedBytes int
}

// room is how many searches there may be, and how many flows whose denials are kept.
func (s *Steerer) searchLimit() int {
	return min(max(maxSearchAnswers/max(s.Targets.Len(), 1), minSearches), maxSearches)
}

// end takes the search off its flow.
func (x *search) finish() {
	x.ended = true
	x.flow.search = nil
}

// begin starts a search for the owner of a flow.
func (s *Steerer) startSearch(now clock.Millis, id segment.Flow, f *flow, packet []byte) {
	if len(s.searches) >= s.searchLimit() {
		s.out.record(Event{Kind: SearchFailed, Flow: id, Reason: "too many searches", Count: len(s.searches)})
		return
	}
	f.pending = 0
	x := &search{id: id, flow: f, startedAt: now, retryAt: now + initialRetryDelay, retryDelay: 2 * initialRetryDelay}
	f.search = x
	if f.answers == nil {
		f.answers = map[netip.AddrPort]*agentAnswer{}
	}
	s.bufferPacket(x, packet)
	s.searches = append(s.searches, x)
	s.out.record(Event{Kind: SearchStarted, Flow: id, Service: f.service, Version: s.version()})
	s.askTargets(now, x)
	s.advance(now, x)
}

// ask asks the targets of the search's stage that were not asked yet.
func (s *Steerer) askTargets(now clock.Millis, x *search) {
	x.targetCount = s.Targets.Len()
	for _, t := range s.Targets.Sorted() {
		q := x.flow.answers[t.Address]
		if q != nil && q.search == x || !s.inScope(x.scope, x.id, t) {
			continue
		}
		if q == nil {
			q = &agentAnswer{}
			x.flow.answers[t.Address] = q
		}
		q.search, q.forwarded, q.candidate = x, 0, false
		if q.stillDenies(now, t) {
			continue
		}
		q.holding = wire.Holding_HOLDING_UNKNOWN
		if t.Lost(now) {
			// It would not answer; it is asked if it comes back meanwhile.
			continue
		}
		q.candidate = true
		x.candidates++
		if relay, ok := s.Targets.Relay(now, t.Domain); ok {
			s.questions.addRelayed(now, relay, t.Domain, x.id, x.flow.lastAck)
			continue
		}
		s.askDirectly(now, x, t)
	}
}

// question asks an agent itself. Those of other failure domains are asked by way of a
// relay first; one that fails costs the pause until what was not answered is asked again.
func (s *Steerer) askDirectly(now clock.Millis, x *search, t *Target) {
	s.questions.add(now, t.Address, t.Domain != s.settings.Domain, x.id, x.flow.lastAck)
}

func (s *Steerer) inScope(at scope, id segment.Flow, t *Target) bool {
	switch at {
	case scopeDomain:
		return t.Domain == s.settings.Domain && s.history.Allows(id.Listener, t.Service)
	case scopeService:
		return s.history.Allows(id.Listener, t.Service)
	default:
		return true
	}
}

// advance widens a search whose present circle has denied the flow, or was
// given its time, asks again where no answer came, and ends one that is over.
func (s *Steerer) advance(now clock.Millis, x *search) {
	if x.ended || now < x.nextDue && x.candidates > 0 && !x.onlyUnsureLeft() && x.targetCount == s.Targets.Len() {
		return
	}
	if now.Sub(x.startedAt) > searchTimeout {
		s.failSearch(now, x)
		return
	}
	if x.targetCount != s.Targets.Len() {
		// This process has just started and learns of targets meanwhile.
		s.askTargets(now, x)
	}
	for x.scope < scopeAll && (x.candidates == 0 || now.Sub(x.startedAt) > s.scopeTimeout(x)) {
		x.scope++
		s.askTargets(now, x)
	}
	if x.scope == scopeAll && x.onlyUnsureLeft() && s.settled {
		s.resolveByElimination(now, x)
		return
	}
	if x.scope == scopeAll && (x.candidates == 0 || now >= x.retryAt) && s.deniedByAll(now, x) {
		x.finish()
		s.resetFlow(x.id, x.flow, "no target holds it", now.Sub(x.startedAt))
		return
	}
	s.retryQuestions(now, x)
	x.nextDue = min(x.retryAt, x.startedAt+searchTimeout+1)
	if x.scope < scopeAll {
		x.nextDue = min(x.nextDue, x.startedAt+s.scopeTimeout(x)+1)
	}
}

// last reports that one target is left that may own the flow, and was handed its
// packets.
func (x *search) onlyUnsureLeft() bool {
	return x.candidates == 1 && x.unsure == 1
}

// patience is how long the search's circle is given.
//
// An unsure target that does not return the packet is most likely the owner, so it is
// given longer before the packet goes to targets everywhere. Where questions wait for
// their budget, no answer can be expected yet.
func (s *Steerer) scopeTimeout(x *search) clock.Millis {
	switch {
	case x.speculationPending:
		return searchTimeout
	case s.questions.throttled():
		return throttledTimeout
	case x.unsure > 0:
		return unsureTimeout
	case x.scope == scopeDomain:
		return domainTimeout
	default:
		return serviceTimeout
	}
}

// repeat asks again where no answer came.
func (s *Steerer) retryQuestions(now clock.Millis, x *search) {
	if now < x.retryAt {
		return
	}
	x.retryAt, x.retryDelay = now+x.retryDelay, 2*x.retryDelay
	if x.candidates == 0 || s.questions.throttled() {
		return
	}
	for _, t := range s.Targets.Sorted() {
		q := x.flow.answers[t.Address]
		if q != nil && q.search == x && q.holding == wire.Holding_HOLDING_UNKNOWN && !t.Lost(now) {
			s.askDirectly(now, x, t)
		}
	}
}

// unowned reports that no target holds the flow: each that there is has said so,
// or is lost.
//
// A wrong reset would break a flow that is well, so it takes the word of every target,
// also of those that have just started, and balancers that agree on who they are.
func (s *Steerer) deniedByAll(now clock.Millis, x *search) bool {
	if !s.mayReset(now) {
		return false
	}
	unowned := true
	s.Targets.Each(func(t *Target) {
		q := x.flow.answers[t.Address]
		if q == nil || q.search != x || q.holding != wire.Holding_HOLDING_NOT && !t.Lost(now) {
			unowned = false
		}
	})
	return unowned
}

// heard takes an answer to a search.
func (s *Steerer) handleSearchAnswer(now clock.Millis, id segment.Flow, f *flow, from netip.AddrPort, holding wire.Holding) {
	q := f.answers[from]
	if q == nil || q.search != f.search {
		return
	}
	switch holding {
	case wire.Holding_HOLDING_OWNED:
		s.ownerFound(now, id, f, from)
	case wire.Holding_HOLDING_NOT:
		s.handleDenial(now, f, from)
	case wire.Holding_HOLDING_UNSURE:
		if q.holding == wire.Holding_HOLDING_UNKNOWN && s.maySpeculate(id, from) {
			q.holding = holding
			f.search.unsure++
			f.search.speculationPending = true
			s.speculate(now, f.search)
			s.advance(now, f.search)
		}
	}
}

// denied notes that a target does not hold the flow.
func (s *Steerer) handleDenial(now clock.Millis, f *flow, from netip.AddrPort) {
	q := f.answers[from]
	if q == nil || q.search != f.search {
		return
	}
	if q.candidate {
		q.candidate = false
		f.search.candidates--
	}
	wasUnsure := q.holding == wire.Holding_HOLDING_UNSURE
	q.holding, q.deniedAt = wire.Holding_HOLDING_NOT, now
	if wasUnsure {
		f.search.unsure--
		s.forwardToUnsure(f.search)
	}
	if t, ok := s.Targets.Find(from); ok {
		q.deniedBy = process{epoch: t.Epoch, born: t.Born}
	}
	s.advance(now, f.search)
}

// found ends a search at the flow's owner, which gets the packets that it was
// not handed yet.
func (s *Steerer) ownerFound(now clock.Millis, id segment.Flow, f *flow, agent netip.AddrPort) {
	x := f.search
	t, ok := s.Targets.Find(agent)
	if !ok {
		return
	}
	x.finish()
	f.owner, f.service, f.lastSeen = confirmedBy(agent), t.Service, now
	s.out.record(Event{
		Kind: OwnerFound, Flow: id, Target: agent, Name: t.Name, Service: t.Service,
		Age: now.Sub(x.startedAt), Count: len(f.answers), Version: s.version(),
	})
	s.forwardBuffered(x, agent, f.answers[agent], len(x.packets))
	f.answers = nil
}

func (s *Steerer) failSearch(now clock.Millis, x *search) {
	e := Event{Kind: SearchFailed, Flow: x.id, Reason: "nobody holds it", Age: now.Sub(x.startedAt), Version: s.version()}
	for _, t := range s.Targets.Sorted() {
		q := x.flow.answers[t.Address]
		switch {
		case q == nil || q.search != x:
		case q.holding == wire.Holding_HOLDING_NOT:
			e.Count++
		case q.holding == wire.Holding_HOLDING_UNKNOWN:
			e.Reason, e.Target, e.Name = "targets are silent", t.Address, t.Name
		default:
			e.Reason, e.Target, e.Name = "a target is unsure", t.Address, t.Name
		}
	}
	s.out.record(e)
	x.finish()
	s.retainAnswers(now, x.flow)
}
