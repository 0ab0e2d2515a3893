package stream

import (
	"net/netip"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Settings of a Steerer.
type Settings struct {
	// Domain is the balancer's failure domain.
	Domain string
	// Regions tells in which region each failure domain lies.
	Regions map[string]string
	// Evacuates tells that operators evacuate failure domains here: nothing is opened
	// until it is known which ones.
	Evacuates bool
	// Share is its part of a core, in thousandths; zero when not known.
	Share uint32
	// Address is where this balancer takes parcels.
	Address netip.AddrPort
	// Seed is a number of this balancer's own, for choices between targets that are alike.
	Seed uint64
	// Flows is how many flows are remembered. Beyond it the longest unused
	// is forgotten, and its next packet starts a search.
	Flows int
	// FlowLife is how long a flow may live.
	FlowLife clock.Millis
}

// flow is what a balancer remembers of one flow.
type flow struct {
	owner   owner
	service string
	// homes are the regions in which it may be opened; any if there are none.
	homes []string
	// tried lists the agents that the opening was sent to; pending counts
	// those that have not answered.
	tried   []netip.AddrPort
	pending int
	// since is when its opening came first, and last when a packet did last.
	since  clock.Millis
	last   clock.Millis
	search *search
	// asked is what agents said of the flow in its last search, and gaveUp when that
	// one ended without an owner.
	asked  map[netip.AddrPort]*asked
	gaveUp clock.Millis
	// ack is the caller's last acknowledgement.
	ack uint32
	// inherited tells that another balancer told the owner, and no packet came here since;
	// ended that the caller has ended the flow.
	inherited bool
	ended     bool
}

// Steerer is a balancer's decisions. It belongs to one process and is not safe
// for concurrent use.
type Steerer struct {
	settings Settings
	Targets  *Targets
	flows    *simplelru.LRU[segment.Flow, *flow]
	// searches are those under way, in the order of their beginnings; ended ones
	// are taken out at the next tick.
	searches []*search
	// kept is the size of the packets in them, and denials what is remembered of
	// those that ended in vain, the oldest first.
	kept    int
	denials []denials
	// hands is how many packets may be handed to unsure targets, at the time handed.
	hands  float64
	handed clock.Millis
	// questions are those that were not sent yet.
	questions questions
	table     *routing.Table
	history   *routing.History
	// settled tells that this balancer knows all targets that others do.
	settled bool
	// keeper tells that this balancer keeps the checkpoints of its failure domain.
	keeper bool
	// relay tells that this balancer tells other failure domains of the targets of its
	// own, and news are those that have changed since they were told last.
	relay bool
	news  []*wire.Entry
	// handing is the budget of questions that this balancer hands on as a relay.
	handing budget
	// started is when the process began, and waiting are openings from then on for
	// which there was no route or target.
	started clock.Millis
	waiting []waiting
	out     Outcome
}

// NewSteerer returns a Steerer that knows nothing yet.
func NewSteerer(now clock.Millis, settings Settings) *Steerer {
	s := &Steerer{
		settings: settings, started: now, Targets: NewTargets(settings.Domain, settings.Regions, settings.Seed),
		handing: newBudget(settings.Share), history: routing.NewHistory(settings.FlowLife.Duration()),
	}
	s.questions = newQuestions(settings.Share, s.searching)
	s.flows, _ = simplelru.NewLRU[segment.Flow, *flow](max(settings.Flows, 1), nil)
	return s
}

// Take returns what is to be done since the last call.
func (s *Steerer) Take() Outcome {
	out := s.out
	s.out = Outcome{}
	return out
}

// SetTable brings a version into force, unless a later one is. It reports
// whether it did.
func (s *Steerer) SetTable(now clock.Millis, t *routing.Table) bool {
	if s.table != nil && t.Version <= s.table.Version {
		return false
	}
	s.table = t
	s.history.SetCurrent(now, t)
	s.retry(now)
	return true
}

// Table returns the version in force, or nil.
func (s *Steerer) Table() *routing.Table {
	return s.table
}

// SetSettled tells whether this balancer knows all targets that others do, and
// has done so for long enough to have been told of any new one.
func (s *Steerer) SetSettled(settled bool) {
	s.settled = settled
}

// SetKeeper tells whether this balancer keeps the checkpoints of its failure domain.
func (s *Steerer) SetKeeper(keeper bool) {
	s.keeper = keeper
}

// Keeper reports whether this balancer keeps the checkpoints of its failure domain.
func (s *Steerer) Keeper() bool {
	return s.keeper
}

func (s *Steerer) version() uint64 {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// Flows returns how many flows are remembered.
func (s *Steerer) Flows() int {
	return s.flows.Len()
}

// searching reports whether a flow's owner is searched.
func (s *Steerer) searching(id segment.Flow) bool {
	f, ok := s.flows.Peek(id)
	return ok && f.search != nil
}

// Searches returns how many searches are under way.
func (s *Steerer) Searches() int {
	return len(s.searches)
}

// Arrive takes a packet of a caller. The packet may be reused afterwards only
// when the outcome was taken and sent.
func (s *Steerer) Arrive(now clock.Millis, seg *segment.Segment, packet []byte) {
	defer s.questions.flush(now, len(s.searches), &s.out)
	id := seg.FromCaller()
	f, known := s.flows.Get(id)
	if seg.Opening() {
		s.open(now, id, f, packet)
		return
	}
	if !known {
		f = &flow{}
		s.flows.Add(id, f)
	}
	f.last = now
	f.ack = seg.Ack
	f.inherited = false
	f.ended = f.ended || seg.Flags&(segment.Ends|segment.Resets) != 0
	if f.search != nil {
		s.add(f.search, packet)
		return
	}
	if agent, ok := f.owner.Agent(); ok {
		s.carry(now, id, f, agent, packet)
		return
	}
	s.begin(now, id, f, packet)
}

// carry sends a packet to the flow's owner. A target that is known to be gone
// cannot answer any more, so its flow is searched anew: it may have been opened
// at two targets.
func (s *Steerer) carry(now clock.Millis, id segment.Flow, f *flow, agent netip.AddrPort, packet []byte) {
	t, ok := s.Targets.Find(agent)
	if !ok || t.Service != f.service {
		f.owner = owner{}
		s.begin(now, id, f, packet)
		return
	}
	if t.Lost(now) && s.trusted(now) {
		s.end(id, f, "its target is lost", now.Sub(t.Heard))
		return
	}
	s.out.send(agent, &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: f.service, Packet: packet})
}

// trusted reports that this balancer may tell callers that a flow is over: it
// hears most targets, so it is not the one that is cut off, and it knows all
// targets that others do.
func (s *Steerer) trusted(now clock.Millis) bool {
	answering, all := s.Targets.Answering(now)
	return s.settled && 2*answering > all
}

// end tells a caller that its flow is over, so that it comes back on a new one
// instead of waiting until its patience ends.
func (s *Steerer) end(id segment.Flow, f *flow, reason string, age clock.Millis) {
	agent, _ := f.owner.Agent()
	s.out.Resets = append(s.out.Resets, Reset{Flow: id, Seq: f.ack})
	s.out.note(Event{
		Kind: Ended, Flow: id, Target: agent, Service: f.service, Reason: reason, Age: age, Version: s.version(),
	})
	s.flows.Remove(id)
}

// Hear takes a parcel of an agent. Packets in it are kept no longer than until
// the outcome is taken, unless a search needs them. It returns the target if it
// was heard for the first time.
func (s *Steerer) Hear(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) (*Target, bool) {
	added := p.Report != nil && s.report(now, from, p.Report)
	switch p.Verb {
	case wire.Verb_VERB_RETURN:
		s.returned(now, from, p, seg)
	case wire.Verb_VERB_ANSWER:
		s.hearAnswer(now, from, p)
	}
	s.questions.flush(now, len(s.searches), &s.out)
	if !added {
		return nil, false
	}
	return s.Targets.Find(from)
}

// report takes a report and tells whether its target is new.
func (s *Steerer) report(now clock.Millis, from netip.AddrPort, r *wire.Report) bool {
	c := s.Targets.Report(now, from, r)
	s.changed(now, from, r, c)
	return c.New
}

// changed notes what a report has changed.
func (s *Steerer) changed(now clock.Millis, from netip.AddrPort, r *wire.Report, c Change) {
	switch {
	case c.Left:
		s.out.note(Event{Kind: TargetGone, Target: from, Name: r.Name, Service: r.Service})
	case c.New || c.Condition || c.Reborn:
		s.out.note(Event{Kind: TargetNew, Target: from, Name: r.Name, Service: r.Service, Reason: r.Condition.String()})
	}
	if c.New || c.Condition {
		s.retry(now)
	}
	if r.Domain == s.settings.Domain && c.told() {
		s.spread(entry(from, r, 0, 0))
	}
}

// returned takes back a packet that a target did not take.
func (s *Steerer) returned(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	if seg == nil {
		return
	}
	id := seg.FromCaller()
	f, ok := s.flows.Get(id)
	if seg.Opening() {
		if ok {
			s.declined(now, id, f, from, p)
		}
		return
	}
	if !ok {
		// The process has just started; the packet was handed over by the
		// one before it.
		f = &flow{ack: seg.Ack}
		s.flows.Add(id, f)
	}
	if f.search != nil {
		s.denied(now, f, from)
		return
	}
	if taker, ok := f.owner.Taker(); ok && taker != from {
		// A target that a search has handed the packet to as well; the
		// owner has it.
		return
	}
	s.out.note(Event{Kind: Unowned, Flow: id, Target: from, Service: f.service, Reason: p.Cause.String()})
	if f.owner.is(from) {
		f.owner = owner{}
	}
	s.begin(now, id, f, p.Packet)
}

// hearAnswer takes the answer to a question, or what an agent says unasked.
func (s *Steerer) hearAnswer(now clock.Millis, from netip.AddrPort, p *wire.Parcel) {
	if p.Number == 0 {
		if id, err := segment.ParseFlow(p.Flow); err == nil {
			s.answered(now, from, id, p.Holding)
		}
		return
	}
	t, ok := s.Targets.Find(from)
	if !ok {
		return
	}
	for i, id := range s.questions.asked(p.Number, from, t.Domain) {
		if i < len(p.Holdings) {
			s.answered(now, from, id, wire.Holding(p.Holdings[i]))
		}
	}
}

// answered takes an agent's word about a flow.
func (s *Steerer) answered(now clock.Millis, from netip.AddrPort, id segment.Flow, holding wire.Holding) {
	f, ok := s.flows.Get(id)
	if !ok {
		return
	}
	if f.search != nil {
		s.heard(now, id, f, from, holding)
		return
	}
	if _, known := f.owner.Taker(); known || holding != wire.Holding_HOLDING_OWNED {
		return
	}
	f.owner = takenBy(from)
	f.pending = 0
	s.out.note(Event{Kind: Took, Flow: id, Target: from, Service: f.service, Age: now.Sub(f.last)})
}

// Tick does what is due: probes, later stages of searches, and the end of what
// was forgotten.
func (s *Steerer) Tick(now clock.Millis) {
	for _, t := range s.Targets.Due(now) {
		r := &wire.Report{
			Probe: t.probe, Epoch: t.former.epoch, Born: t.former.born, Domain: s.settings.Domain,
			Keeper: s.keeper && t.Domain == s.settings.Domain,
			Orders: s.Targets.evacuated.Revision, Evacuated: s.Targets.evacuated.Has(t.Domain),
		}
		s.out.send(t.Address, &wire.Parcel{Verb: wire.Verb_VERB_PROBE, Report: r})
	}
	s.watch(now)
	for _, x := range s.searches {
		if x.hungry && !x.over {
			s.feed(now, x)
		}
		s.advance(now, x)
	}
	s.drop()
	s.retry(now)
	for len(s.denials) > 0 && now.Sub(s.denials[0].at) > denialFor {
		s.lapse()
	}
	s.questions.flush(now, len(s.searches), &s.out)
	for _, t := range s.Targets.Forget(now) {
		s.out.note(Event{Kind: TargetGone, Target: t.Address, Name: t.Name, Service: t.Service, Reason: "silent", Age: now.Sub(t.Heard)})
	}
}

// watch notes what has become suspected, or is no longer.
func (s *Steerer) watch(now clock.Millis) {
	s.Targets.Each(func(t *Target) {
		suspected := t.Suspected(now) && t.Heard != 0
		if suspected == t.noted {
			return
		}
		kind := TargetBack
		if suspected {
			kind = TargetLost
		}
		t.noted = suspected
		if t.Domain == s.settings.Domain {
			s.spread(entry(t.Address, t.report(now), now.Sub(t.Heard), t.silence(now)))
		}
		s.out.note(Event{Kind: kind, Target: t.Address, Name: t.Name, Service: t.Service, Age: now.Sub(t.Heard)})
	})
}
