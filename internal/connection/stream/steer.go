package stream

import (
	"net/netip"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtailtray/wagtailtray/internal/connection/admission"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Settings configures a Steerer.
type Settings struct {
	// Domain is the balancer's failure domain.
	Domain string
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// AwaitEvacuations is set where operators evacuate failure domains: no flow is
	// opened until the evacuated ones are known.
	AwaitEvacuations bool
	// CPUShare is the balancer's share of a core, in thousandths; zero if unknown.
	CPUShare uint32
	// Address is where this balancer receives parcels.
	Address netip.AddrPort
	// Seed differs between balancers and breaks ties between targets of equal cost.
	Seed uint64
	// MaxFlows is the size of the flow table. Beyond it the least recently used
	// flow is evicted, and its next packet starts a search.
	MaxFlows int
	// FlowTTL is the maximum lifetime of a flow.
	FlowTTL clock.Millis
}

// flow is the state that a balancer keeps for one flow.
type flow struct {
	owner   owner
	service string
	// homeRegions are the regions in which it may be opened; any if empty.
	homeRegions []string
	// class describes its requests; nil if it is not known.
	class *routing.Class
	// moreUrgent are the more urgent priorities present when it was opened.
	moreUrgent uint32
	// tried lists the agents that the opening packet was sent to; pending counts
	// those that have not answered.
	tried   []netip.AddrPort
	pending int
	// busyReturns counts the targets that returned the opening packet since they are loaded.
	busyReturns int
	opening     opening
	// carried is set if the caller has continued the flow since its opening packet.
	carried bool
	// lastSeen is when any packet last arrived.
	lastSeen clock.Millis
	search   *search
	// answers are those of agents in the last search for the owner, and searchFailedAt
	// is when that search ended without an owner.
	answers        map[netip.AddrPort]*agentAnswer
	searchFailedAt clock.Millis
	// lastAck is the caller's last acknowledgement number.
	lastAck uint32
	// handedBy is the balancer that handed the opening on; the zero value if none did.
	handedBy netip.AddrPort
	// inherited is set if the owner was learned from another balancer and no packet has
	// arrived here since; ended if the caller has ended the flow.
	inherited bool
	ended     bool
}

// Steerer makes the decisions of one balancer process. It is not safe for
// concurrent use.
type Steerer struct {
	settings Settings
	Targets  *Targets
	flows    *simplelru.LRU[segment.Flow, *flow]
	// searches are the searches under way, in the order of their start; ended ones
	// are removed at the next tick.
	searches []*search
	// bufferedBytes is the size of the packets that searches buffer, and failedSearches
	// lists the searches that ended without an owner, oldest first.
	bufferedBytes  int
	failedSearches []failedSearch
	// speculativeTokens is how many packets could be forwarded to unsure targets at the
	// time speculativeRefilled.
	speculativeTokens   float64
	speculativeRefilled clock.Millis
	// questions batches ownership questions to agents.
	questions questions
	table     *routing.Table
	history   *routing.History
	// settled reports that this balancer knows all targets that other balancers know.
	settled bool
	// keeper reports that this balancer stores the checkpoints of its failure domain.
	keeper bool
	// relay reports that this balancer sends the state of its failure domain's targets
	// to other domains, and changes are the targets that changed since the last time.
	relay   bool
	changes []*wire.Entry
	// relayBucket limits the questions that this balancer forwards as a relay.
	relayBucket tokenBucket
	// started is when the process started, and queued are opening packets for which
	// there was no route or target.
	started clock.Millis
	queued  []queuedOpening
	// leastShares holds, by priority, how many openings this balancer may still pass on
	// although the targets refuse their class.
	leastShares [routing.MaxPriority + 1]float64
	// presence holds, by service, the priorities of the openings seen lately.
	presence map[string]*admission.Presence
	// upToDate lists the balancers to which openings are handed on, as they have a version that
	// this balancer should have by now; empty if it has it.
	upToDate []netip.AddrPort
	out      Outcome
}

// NewSteerer returns a Steerer without targets and flows.
func NewSteerer(now clock.Millis, settings Settings) *Steerer {
	s := &Steerer{
		settings: settings, started: now, Targets: NewTargets(settings.Domain, settings.Regions, settings.Seed),
		presence:    map[string]*admission.Presence{},
		relayBucket: newQuestionBucket(settings.CPUShare), history: routing.NewHistory(settings.FlowTTL.Duration()),
	}
	s.questions = newQuestions(settings.CPUShare, s.isSearching)
	s.flows, _ = simplelru.NewLRU[segment.Flow, *flow](max(settings.MaxFlows, 1), nil)
	return s
}

// TakeOutcome returns and clears the actions collected since the last call.
func (s *Steerer) TakeOutcome() Outcome {
	out := s.out
	s.out = Outcome{}
	return out
}

// SetTable activates a routing table, unless its version is not newer than the
// active one. It reports whether it did.
func (s *Steerer) SetTable(now clock.Millis, t *routing.Table) bool {
	return s.Activate(now, routing.Compare(s.table, t))
}

// Activate is SetTable with the comparison already made, so that its cost grows with the
// changes only.
func (s *Steerer) Activate(now clock.Millis, c routing.Changes) bool {
	if s.table != nil && c.To.Version <= s.table.Version {
		return false
	}
	if c.From != s.table {
		c = routing.Compare(s.table, c.To)
	}
	s.table = c.To
	s.removePresence(c)
	s.history.Activate(now, c)
	s.retryQueued(now)
	return true
}

// removePresence removes the presence of services to which no listener routes any more.
func (s *Steerer) removePresence(c routing.Changes) {
	for _, l := range c.Replaced {
		for _, share := range l.Shares {
			if !c.To.Routes(share.Service) {
				delete(s.presence, share.Service)
			}
		}
	}
}

// Table returns the active routing table, or nil.
func (s *Steerer) Table() *routing.Table {
	return s.table
}

// SetSettled sets whether this balancer knows all targets that other balancers know,
// and has for long enough to have learned of any new one.
func (s *Steerer) SetSettled(settled bool) {
	s.settled = settled
}

// SetKeeper sets whether this balancer stores the checkpoints of its failure domain.
func (s *Steerer) SetKeeper(keeper bool) {
	s.keeper = keeper
}

// Keeper reports whether this balancer stores the checkpoints of its failure domain.
func (s *Steerer) Keeper() bool {
	return s.keeper
}

func (s *Steerer) version() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// Flows returns the number of flows in the table.
func (s *Steerer) Flows() int {
	return s.flows.Len()
}

// isSearching reports whether a search for the flow's owner is under way.
func (s *Steerer) isSearching(id segment.Flow) bool {
	f, ok := s.flows.Peek(id)
	return ok && f.search != nil
}

// Searches returns the number of searches under way.
func (s *Steerer) Searches() int {
	return len(s.searches)
}

// HandlePacket handles a packet from a caller. The packet's memory may be reused only
// after the outcome was taken and sent.
func (s *Steerer) HandlePacket(now clock.Millis, seg *segment.Segment, packet []byte) {
	defer s.questions.flush(now, len(s.searches), &s.out)
	id := seg.FromCaller()
	f, known := s.flows.Get(id)
	if seg.Opening() {
		s.handleOpening(now, id, f, seg.Seq, packet)
		return
	}
	if !known {
		f = &flow{opening: unseenOpening(now)}
		s.flows.Add(id, f)
	}
	f.lastSeen = now
	f.carried = true
	f.lastAck = seg.Ack
	f.inherited = false
	f.ended = f.ended || seg.Flags&(segment.Ends|segment.Resets) != 0
	if f.search != nil {
		s.addPacket(now, f.search, packet)
		return
	}
	if agent, ok := f.owner.Agent(); ok {
		s.forward(now, id, f, agent, packet)
		return
	}
	s.startSearch(now, id, f, packet)
}

// forward sends a packet to the flow's owner. A target that is known to be gone
// cannot answer any more, so a new search starts: the flow may have been opened at
// two targets.
func (s *Steerer) forward(now clock.Millis, id segment.Flow, f *flow, agent netip.AddrPort, packet []byte) {
	t, ok := s.Targets.Find(agent)
	if !ok || t.Service != f.service {
		f.owner = owner{}
		s.startSearch(now, id, f, packet)
		return
	}
	if t.Lost(now) && s.mayReset(now) {
		s.resetFlow(id, f, "its target is lost", now.Sub(t.HeardAt))
		return
	}
	s.out.send(agent, &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: f.service, Packet: packet})
}

// mayReset reports whether this balancer may reset flows at their callers: it receives
// reports from most targets, so it is not itself partitioned, and it knows all targets
// that other balancers know.
func (s *Steerer) mayReset(now clock.Millis) bool {
	answering, all := s.Targets.Answering(now)
	return s.settled && 2*answering > all
}

// resetFlow resets a flow at its caller, so that the caller opens a new one instead of
// waiting for its timeout.
func (s *Steerer) resetFlow(id segment.Flow, f *flow, reason string, age clock.Millis) {
	agent, _ := f.owner.Agent()
	s.out.Resets = append(s.out.Resets, Reset{Flow: id, Seq: f.lastAck})
	s.out.record(Event{
		Kind: FlowReset, Flow: id, Target: agent, Service: f.service, Reason: reason, Age: age, Version: s.version(),
	})
	s.flows.Remove(id)
}

// HandleParcel handles a parcel from an agent. Its packet is referenced only until
// the outcome is taken; a search copies it. HandleParcel returns the target if this
// is its first report.
func (s *Steerer) HandleParcel(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) (*Target, bool) {
	added := p.Report != nil && s.handleReport(now, from, p.Report)
	switch p.Verb {
	case wire.Verb_VERB_RETURN:
		s.handleReturn(now, from, p, seg)
	case wire.Verb_VERB_ANSWER:
		s.handleAnswer(now, from, p)
	}
	s.questions.flush(now, len(s.searches), &s.out)
	if !added {
		return nil, false
	}
	return s.Targets.Find(from)
}

// handleReport applies a report and reports whether its target is new.
func (s *Steerer) handleReport(now clock.Millis, from netip.AddrPort, r *wire.Report) bool {
	c := s.Targets.ApplyReport(now, from, r)
	s.recordChange(now, from, r, c)
	return c.New
}

// recordChange records what a report has changed.
func (s *Steerer) recordChange(now clock.Millis, from netip.AddrPort, r *wire.Report, c TargetChange) {
	switch {
	case c.Left:
		s.out.record(Event{Kind: TargetGone, Target: from, Name: r.Name, Service: r.Service})
	case c.New || c.Condition || c.Restarted:
		s.out.record(Event{Kind: TargetNew, Target: from, Name: r.Name, Service: r.Service, Reason: r.Condition.String()})
	}
	if c.New || c.Condition {
		s.retryQueued(now)
	}
	if r.Domain == s.settings.Domain && c.urgent() {
		s.queueChange(summaryEntry(from, r, 0, 0))
	}
}

// handleReturn handles a packet that a target did not take.
func (s *Steerer) handleReturn(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	if seg == nil {
		return
	}
	id := seg.FromCaller()
	f, ok := s.flows.Get(id)
	if seg.Opening() {
		if ok {
			s.handleDeclined(now, id, f, from, p, seg.Seq)
		}
		return
	}
	if !ok {
		// The process has just started; its predecessor forwarded the packet.
		f = &flow{lastAck: seg.Ack, carried: true, opening: unseenOpening(now)}
		s.flows.Add(id, f)
	}
	if f.search != nil {
		s.handleDenial(now, f, from)
		return
	}
	if agent, ok := f.owner.Confirmed(); ok && agent != from {
		// A search forwarded the packet to this target as well; the owner
		// has it.
		return
	}
	s.out.record(Event{Kind: OwnerDenied, Flow: id, Target: from, Service: f.service, Reason: p.Cause.String()})
	if f.owner.isAgent(from) {
		f.owner = owner{}
	}
	s.startSearch(now, id, f, p.Packet)
}

// handleAnswer handles an agent's answer to a question, or its unsolicited notice.
func (s *Steerer) handleAnswer(now clock.Millis, from netip.AddrPort, p *wire.Parcel) {
	if p.Number == 0 {
		if id, err := segment.ParseFlow(p.Flow); err == nil {
			s.handleHolding(now, from, id, p.Holding)
		}
		return
	}
	t, ok := s.Targets.Find(from)
	if !ok {
		return
	}
	for i, id := range s.questions.answeredFlows(p.Number, from, t.Domain) {
		if i < len(p.Holdings) {
			s.handleHolding(now, from, id, wire.Holding(p.Holdings[i]))
		}
	}
}

// handleHolding handles an agent's statement whether its target holds a flow.
func (s *Steerer) handleHolding(now clock.Millis, from netip.AddrPort, id segment.Flow, holding wire.Holding) {
	f, ok := s.flows.Get(id)
	if !ok {
		return
	}
	if f.search != nil {
		s.handleSearchAnswer(now, id, f, from, holding)
		return
	}
	if _, known := f.owner.Confirmed(); known || holding != wire.Holding_HOLDING_OWNED {
		return
	}
	f.owner = confirmedBy(from)
	f.pending = 0
	s.tellOwner(id, f, from)
	s.out.record(Event{Kind: OwnerConfirmed, Flow: id, Target: from, Service: f.service, Age: now.Sub(f.lastSeen)})
}

// Tick does the work that is due: it sends probes, advances searches, retries queued
// opening packets, and removes targets and answers that have expired.
func (s *Steerer) Tick(now clock.Millis) {
	for _, t := range s.Targets.DueProbes(now) {
		r := &wire.Report{
			Probe: t.probeNumber, Epoch: t.previous.epoch, Born: t.previous.born, Domain: s.settings.Domain,
			Keeper: s.keeper && t.Domain == s.settings.Domain,
			Orders: s.Targets.evacuated.Revision, Evacuated: s.Targets.evacuated.Has(t.Domain),
		}
		s.out.send(t.Address, &wire.Parcel{Verb: wire.Verb_VERB_PROBE, Report: r})
	}
	s.recordSuspicions(now)
	s.recordShortages()
	for _, x := range s.searches {
		if x.speculationPending && !x.ended {
			s.speculate(now, x)
		}
		if !s.settled && !x.ended && len(x.packets) > 1 {
			s.forwardToUnsure(now, x)
		}
		s.advance(now, x)
	}
	s.removeEnded()
	s.retryQueued(now)
	for len(s.failedSearches) > 0 && now.Sub(s.failedSearches[0].at) > denialTTL {
		s.dropOldestAnswers()
	}
	s.questions.flush(now, len(s.searches), &s.out)
	for _, t := range s.Targets.RemoveSilent(now) {
		s.out.record(Event{Kind: TargetGone, Target: t.Address, Name: t.Name, Service: t.Service, Reason: "silent", Age: now.Sub(t.HeardAt)})
	}
}

// recordSuspicions records targets that have become suspected or have recovered.
func (s *Steerer) recordSuspicions(now clock.Millis) {
	s.Targets.Each(func(t *Target) {
		suspected := t.Suspected(now) && t.HeardAt != 0
		if suspected == t.suspicionLogged {
			return
		}
		kind := TargetRecovered
		if suspected {
			kind = TargetSuspected
		}
		t.suspicionLogged = suspected
		if t.Domain == s.settings.Domain {
			s.queueChange(summaryEntry(t.Address, t.report(now), now.Sub(t.HeardAt), t.silence(now)))
		}
		reason := ""
		if suspected && t.noticed() {
			reason = "after a notice"
		}
		s.out.record(Event{Kind: kind, Target: t.Address, Name: t.Name, Service: t.Service, Reason: reason, Age: now.Sub(t.HeardAt)})
	})
}
