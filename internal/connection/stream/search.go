package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// domainTimeout and serviceTimeout are how long a search waits for the targets of
	// its first two scopes: some round trips within a failure domain, and between
	// domains.
	domainTimeout  = 15 * clock.Millis(1)
	serviceTimeout = 60 * clock.Millis(1)
	// unsureTimeout is how long a search waits in a scope in which the packet was
	// forwarded to a target whose agent is unsure, and the target has not returned it.
	// A target returns a packet within a millisecond and answers a request within
	// some tens of them; when all agents have just started, it takes longer.
	unsureTimeout = 700 * clock.Millis(1)
	// throttledTimeout is how long a search waits in a scope while questions are rate limited.
	throttledTimeout = 400 * clock.Millis(1)
	// throttledRetryDelay is the delay before a retry for which there was no budget is tried
	// again. If it were skipped, an agent that has just restarted would not be asked again
	// before the search ends.
	throttledRetryDelay = 50 * clock.Millis(1)
	// initialRetryDelay is the delay before unanswered questions are repeated; it
	// doubles each time. Thousands of searches at once, after all VMs lost power,
	// must not saturate the links that their answers need.
	initialRetryDelay = 100 * clock.Millis(1)
	// searchTimeout is the maximum duration of a search. By then the caller has
	// retransmitted its packet, which starts the next search.
	searchTimeout = clock.Second
	// maxSearchPackets bounds the packets that a search buffers. A caller has at most
	// 16 in flight.
	maxSearchPackets = 16
	// maxSearches bounds the searches under way: packets of flows without an owner
	// must not cost more than the existing flows. maxSearchAnswers bounds the answers
	// stored per target in all searches, some 120 bytes each: 18 MB of the 120 MB that
	// a small VM has. minSearches are allowed however many targets there are.
	maxSearches      = 4096
	maxSearchAnswers = 150_000
	minSearches      = 64
	// maxBufferedBytes bounds the packets that all searches buffer together.
	maxBufferedBytes = 8 << 20
)

// scope is the set of targets that a search asks.
type scope int

const (
	// scopeDomain are the targets in the balancer's failure domain that may own the
	// flow, scopeService those in all domains. scopeAll adds the targets of other
	// services: the routes of the listener before this process started are unknown.
	scopeDomain scope = iota
	scopeService
	scopeAll
)

// search looks for the owner of a flow. Thousands may be under way at a balancer
// with a small share of a core, so a search is processed only when an answer arrives
// or its deadline is due.
type search struct {
	id        segment.Flow
	flow      *flow
	ended     bool
	startedAt clock.Millis
	scope     scope
	// targetCount is how many targets were known when targets were last asked,
	// candidates how many of those asked have not denied the flow, and unsure how many
	// of these have an agent that is unsure.
	targetCount int
	candidates  int
	unsure      int
	// speculationPending is set while the packet is still to be forwarded to unsure targets.
	speculationPending bool
	// nextDue is the next deadline, retryAt when questions are repeated, and
	// retryDelay the delay after that.
	nextDue    clock.Millis
	retryAt    clock.Millis
	retryDelay clock.Millis
	packets    [][]byte
	// bufferedBytes is the size of packets.
	bufferedBytes int
}

// searchLimit returns the maximum number of searches under way, and of failed searches
// whose answers are retained.
func (s *Steerer) searchLimit() int {
	return min(max(maxSearchAnswers/max(s.Targets.Len(), 1), minSearches), maxSearches)
}

// finish marks the search as ended and detaches it from its flow.
func (x *search) finish() {
	x.ended = true
	x.flow.search = nil
}

// startSearch starts a search for the owner of a flow.
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

// askTargets asks the targets in the search's scope that were not asked yet.
func (s *Steerer) askTargets(now clock.Millis, x *search) {
	x.targetCount = s.Targets.Len()
	for _, t := range s.Targets.Sorted() {
		a := x.flow.answers[t.Address]
		if a != nil && a.search == x || !s.inScope(x.scope, x.id, t) {
			continue
		}
		if a == nil {
			a = &agentAnswer{}
			x.flow.answers[t.Address] = a
		}
		a.search, a.forwarded, a.candidate = x, 0, false
		if a.stillDenies(now, t) {
			continue
		}
		a.holding = wire.Holding_HOLDING_UNKNOWN
		if t.Lost(now) {
			// It would not answer; it is asked if it recovers during the search.
			continue
		}
		a.candidate = true
		x.candidates++
		if relay, ok := s.Targets.Relay(now, t.Domain); ok {
			s.questions.addRelayed(now, relay, t.Domain, x.id, x.flow.lastAck)
			continue
		}
		s.askDirectly(now, x, t)
	}
}

// askDirectly asks an agent without a relay. Agents of other failure domains are asked
// through a relay first; if it fails, the retry delay passes before they are asked directly.
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

// advance widens the scope of a search once all targets in it have denied the flow or
// its timeout has passed, repeats unanswered questions, and ends a search that is
// resolved or has timed out.
func (s *Steerer) advance(now clock.Millis, x *search) {
	if x.ended || now < x.nextDue && x.candidates > 0 && !x.onlyUnsureLeft() && x.targetCount == s.Targets.Len() {
		return
	}
	if now.Sub(x.startedAt) > searchTimeout {
		s.failSearch(now, x)
		return
	}
	if x.targetCount != s.Targets.Len() {
		// This process has just started and is still learning of targets.
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

// onlyUnsureLeft reports that a single target is left that may own the flow, and its
// agent is unsure.
func (x *search) onlyUnsureLeft() bool {
	return x.candidates == 1 && x.unsure == 1
}

// scopeTimeout returns how long the search waits before its scope is widened.
//
// An unsure target that does not return the packet is most likely the owner, so it has
// more time before the packet goes to targets in all domains. While questions are rate
// limited, no answer can be expected yet.
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

// retryQuestions repeats unanswered questions.
func (s *Steerer) retryQuestions(now clock.Millis, x *search) {
	if now < x.retryAt {
		return
	}
	if x.candidates > 0 && s.questions.throttled() {
		x.retryAt = now + throttledRetryDelay
		return
	}
	x.retryAt, x.retryDelay = now+x.retryDelay, 2*x.retryDelay
	if x.candidates == 0 {
		return
	}
	for _, t := range s.Targets.Sorted() {
		a := x.flow.answers[t.Address]
		if a != nil && a.search == x && a.holding == wire.Holding_HOLDING_UNKNOWN && !t.Lost(now) {
			s.askDirectly(now, x, t)
		}
	}
}

// deniedByAll reports that no target holds the flow: each known target has denied it
// or is lost.
//
// A wrong reset would break a healthy flow, so every target must have answered,
// including those that have just started, and balancers must agree on the set of targets.
func (s *Steerer) deniedByAll(now clock.Millis, x *search) bool {
	if !s.mayReset(now) {
		return false
	}
	denied := true
	s.Targets.Each(func(t *Target) {
		a := x.flow.answers[t.Address]
		if a == nil || a.search != x || a.holding != wire.Holding_HOLDING_NOT && !t.Lost(now) {
			denied = false
		}
	})
	return denied
}

// handleSearchAnswer handles an agent's answer during a search.
func (s *Steerer) handleSearchAnswer(now clock.Millis, id segment.Flow, f *flow, from netip.AddrPort, holding wire.Holding) {
	a := f.answers[from]
	if a == nil || a.search != f.search {
		return
	}
	switch holding {
	case wire.Holding_HOLDING_OWNED:
		s.ownerFound(now, id, f, from)
	case wire.Holding_HOLDING_NOT:
		s.handleDenial(now, f, from)
	case wire.Holding_HOLDING_UNSURE:
		if a.holding == wire.Holding_HOLDING_UNKNOWN && s.maySpeculate(id, from) {
			a.holding = holding
			f.search.unsure++
			f.search.speculationPending = true
			s.speculate(now, f.search)
			s.advance(now, f.search)
		}
	}
}

// handleDenial records that a target does not hold the flow.
func (s *Steerer) handleDenial(now clock.Millis, f *flow, from netip.AddrPort) {
	a := f.answers[from]
	if a == nil || a.search != f.search {
		return
	}
	if a.candidate {
		a.candidate = false
		f.search.candidates--
	}
	wasUnsure := a.holding == wire.Holding_HOLDING_UNSURE
	a.holding, a.deniedAt = wire.Holding_HOLDING_NOT, now
	if wasUnsure {
		f.search.unsure--
		s.forwardToUnsure(now, f.search)
	}
	if t, ok := s.Targets.Find(from); ok {
		a.deniedBy = process{epoch: t.Epoch, born: t.Born}
	}
	s.advance(now, f.search)
}

// ownerFound ends a search with the flow's owner, and forwards to it the buffered
// packets that it has not received yet.
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
	s.forwardBuffered(now, x, agent, f.answers[agent], len(x.packets))
	f.answers = nil
}

func (s *Steerer) failSearch(now clock.Millis, x *search) {
	e := Event{Kind: SearchFailed, Flow: x.id, Reason: "no owner was found", Age: now.Sub(x.startedAt), Version: s.version()}
	for _, t := range s.Targets.Sorted() {
		a := x.flow.answers[t.Address]
		switch {
		case a == nil || a.search != x:
		case a.holding == wire.Holding_HOLDING_NOT:
			e.Count++
		case a.holding == wire.Holding_HOLDING_UNKNOWN:
			e.Reason, e.Target, e.Name = "a target did not answer", t.Address, t.Name
		default:
			e.Reason, e.Target, e.Name = "a target is unsure", t.Address, t.Name
		}
	}
	s.out.record(e)
	x.finish()
	s.retainAnswers(now, x.flow)
}
