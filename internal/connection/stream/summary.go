package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// coverFor is how long a summary stands in for probes: four of one relay.
	summaryTTL = 2 * clock.Second
	// coverSoon is how long a target elsewhere that was only named waits for a summary
	// until it is probed: a few round trips between failure domains.
	firstSummaryWait = 300 * clock.Millis(1)
	// departedFor is how long summaries name a target that has left: several of them
	// may be lost.
	departureRetention = 2 * clock.Second
	// lateFor is how late a summary may be that still tells of a target as it was before it
	// left. What says later that it is there tells of another one, also where the clock of
	// its VM was set back meanwhile.
	maxSummaryDelay = 3 * clock.Second
	// namedEvery is which summary of all targets has their names: only logs want them.
	nameInterval = 4
	// summarySize keeps a part of a summary within one frame.
	maxSummaryPartSize = 1200
	// mostNews bounds the changes that wait for the next summary of changes; a summary
	// of all targets tells what is over it.
	maxChanges = 1024
	// mostSummaries bounds the failure domains whose summaries are remembered, and
	// mostParts the parts of one: as many targets as may be known. Anybody may send one.
	maxSummaries    = 64
	maxSummaryParts = 1024
)

// summary is how far a summary of all targets of a failure domain has arrived.
type summaryState struct {
	epoch  uint64
	number uint32
	parts  map[uint32]bool
	// complete is when all parts of one were there whose sender knew all targets.
	completeAt clock.Millis
	// relay is the balancer that gathered the last one, at told; none did if that is zero.
	relay        netip.AddrPort
	relayHeardAt clock.Millis
}

// told reports that balancers elsewhere are to be told at once.
func (c TargetChange) urgent() bool {
	return c.New || c.Restarted || c.Left || c.Condition
}

// entry is a report as a summary tells it.
func summaryEntry(a netip.AddrPort, r *wire.Report, age, silent clock.Millis) *wire.Entry {
	return &wire.Entry{
		Address: segment.AppendAddress(nil, a), Age: uint32(max(age, 0)), Silent: uint32(max(silent, 0)),
		Report: &wire.Report{
			Name: r.Name, Service: r.Service, Epoch: r.Epoch, Sequence: r.Sequence, Born: r.Born,
			Condition: r.Condition, Slots: r.Slots, Flows: r.Flows, Busy: r.Busy, Cold: r.Cold, Restarting: r.Restarting,
			Room: r.Room, Serving: r.Serving,
		},
	}
}

// report is the target as its agent told it last.
func (t *Target) report(now clock.Millis) *wire.Report {
	return &wire.Report{
		Name: t.Name, Service: t.Service, Epoch: t.Epoch, Sequence: t.Sequence, Born: t.Born,
		Condition: t.Condition, Slots: uint32(t.Slots), Flows: uint32(t.Flows), Busy: uint32(t.Busy * busyScale),
		Cold: uint32(max(t.ColdUntil.Sub(now), 0)), Restarting: t.Restarting, Room: uint32(t.room),
		Serving: uint32(t.MeanLatency),
	}
}

// silence is for how long the target has left probes unanswered, once it is suspected.
func (t *Target) silence(now clock.Millis) clock.Millis {
	if !t.Suspected(now) {
		return 0
	}
	return max(now.Sub(t.unansweredSince), 1)
}

// covered reports that a target elsewhere needs no probe of this balancer: balancers of
// its failure domain tell how it does.
//
// Probes of each balancer to each target would grow with the product of both. What
// summaries cannot prove is still asked directly: that a target is lost, and whether its
// agent knows what an earlier process did.
func (ts *Targets) coveredBySummary(now clock.Millis, t *Target) bool {
	if t.Domain == ts.domain || t.unansweredSince != 0 || t.unresponsiveAt != 0 || t.previousUnreported {
		return false
	}
	if t.HeardAt == 0 {
		return now.Sub(t.learnedAt) <= firstSummaryWait
	}
	return t.respondingAt != 0 && now.Sub(t.respondingAt) <= summaryTTL
}

// summarize returns the targets of the own failure domain, and those that have just
// left it.
func (ts *Targets) summarize(now clock.Millis) []*wire.Entry {
	var all []*wire.Entry
	for _, t := range ts.Sorted() {
		if t.Domain == ts.domain && t.HeardAt != 0 && !t.Lost(now) {
			all = append(all, summaryEntry(t.Address, t.report(now), now.Sub(t.HeardAt), t.silence(now)))
		}
	}
	for a, d := range ts.departed {
		if d.report.Domain == ts.domain && now.Sub(d.at) < departureRetention {
			all = append(all, summaryEntry(a, d.report, now.Sub(d.at), 0))
		}
	}
	return all
}

// Summarized takes an entry of a summary of another failure domain.
//
// Summaries come late, twice and from several balancers; the agents' epochs and counts of
// reports tell which one is later. One of an earlier process says nothing of this one.
func (ts *Targets) ApplySummaryEntry(now clock.Millis, a netip.AddrPort, r *wire.Report, age, silent clock.Millis) TargetChange {
	if d, ok := ts.departed[a]; ok && !madeAfter(r, d.report) && now.Sub(d.at) < maxSummaryDelay {
		return TargetChange{}
	}
	t, known := ts.known[a]
	if known && t.HeardAt != 0 && r.Epoch < t.Epoch {
		return TargetChange{}
	}
	fresh := !known || t.HeardAt == 0 || r.Epoch > t.Epoch || r.Sequence > t.Sequence
	placed := 0.0
	if known {
		placed = t.placed
	}
	c := TargetChange{}
	if fresh {
		c = ts.ApplyReport(now, a, r)
	}
	t, known = ts.known[a]
	if !known {
		return c
	}
	if fresh {
		t.HeardAt, t.placedBefore = max(now-age, 1), placed
	}
	switch {
	case silent == 0:
		t.respondingAt = now
	case r.Sequence >= t.Sequence:
		t.unresponsiveAt = now
	}
	return c
}

// after reports that a report was made after the one with which its target left.
func madeAfter(r, left *wire.Report) bool {
	return r.Epoch > left.Epoch || r.Epoch == left.Epoch && r.Sequence > left.Sequence
}

// Complete reports that a balancer of another failure domain that knows all targets
// there has told this one of them lately.
func (ts *Targets) Complete(now clock.Millis, domain string) bool {
	s := ts.summaries[domain]
	return s != nil && s.completeAt != 0 && now.Sub(s.completeAt) <= summaryTTL
}

// arrived notes a summary of another failure domain.
func (ts *Targets) recordSummary(now clock.Millis, m *wire.Summary) {
	s := ts.summaries[m.Domain]
	if s == nil {
		if len(ts.summaries) >= maxSummaries {
			return
		}
		s = &summaryState{}
		ts.summaries[m.Domain] = s
	}
	if relay, err := segment.ParseAddress(m.Relay); err == nil {
		s.relay, s.relayHeardAt = relay, now
	}
	if m.Number != 0 && m.Parts <= maxSummaryParts {
		s.recordPart(now, m)
	}
}

// part notes a part of a summary of all targets.
func (s *summaryState) recordPart(now clock.Millis, m *wire.Summary) {
	if s.epoch != m.Epoch || s.number != m.Number {
		s.epoch, s.number, s.parts = m.Epoch, m.Number, map[uint32]bool{}
	}
	if m.Part < m.Parts {
		s.parts[m.Part] = true
	}
	if m.Complete && len(s.parts) == int(m.Parts) {
		s.completeAt = now
	}
}

// FarAge returns how many targets of other failure domains answer, and how old what is
// known of them is on the mean.
func (ts *Targets) RemoteAge(now clock.Millis) (count int, age clock.Millis) {
	for _, t := range ts.known {
		if t.Domain != ts.domain && !t.Suspected(now) {
			count++
			age += now.Sub(t.HeardAt)
		}
	}
	return count, age / clock.Millis(max(count, 1))
}

// SetRelay tells whether this balancer tells other failure domains of the targets of its
// own.
func (s *Steerer) SetRelay(relay bool) {
	s.relay = relay
	if !relay {
		s.news = nil
	}
}

// spread keeps a change of a target of the own failure domain for the next summary of
// changes.
func (s *Steerer) queueChange(e *wire.Entry) {
	if s.relay && len(s.news) < maxChanges {
		s.news = append(s.news, e)
	}
}

// noteLoads adds the targets of the own failure domain whose slots are in use, or were when
// they were told last, to the next summary of changes.
//
// Balancers elsewhere would all choose the target that had room half a second ago.
func (s *Steerer) queueLoads(now clock.Millis) {
	for _, t := range s.Targets.Sorted() {
		if t.Domain != s.settings.Domain || t.HeardAt == 0 {
			continue
		}
		loaded := t.Busy > overloadThreshold*float64(max(t.Slots, 1))
		if loaded || t.sentLoaded {
			s.queueChange(summaryEntry(t.Address, t.report(now), now.Sub(t.HeardAt), t.silence(now)))
		}
		t.sentLoaded = loaded
	}
}

// HasNews reports that a target of the own failure domain has changed in a way that
// balancers elsewhere are to be told at once.
func (s *Steerer) HasChanges() bool {
	return len(s.news) > 0
}

// News returns these targets in summaries of changes. With loads they tell of those whose
// slots are in use as well; there may be none then.
func (s *Steerer) Changes(now clock.Millis, loads bool) []*wire.Summary {
	if loads {
		s.queueLoads(now)
	}
	if len(s.news) == 0 {
		return nil
	}
	entries := s.news
	s.news = nil
	dropNames(entries)
	return s.split(entries)
}

func dropNames(entries []*wire.Entry) {
	for _, e := range entries {
		e.Report.Name = ""
	}
}

// Summary returns all targets of the own failure domain. number counts such summaries,
// and complete tells that this balancer knows all targets there.
func (s *Steerer) Summary(now clock.Millis, epoch uint64, number uint32, complete bool) []*wire.Summary {
	s.news = nil
	entries := s.Targets.summarize(now)
	if number%nameInterval != 1 {
		dropNames(entries)
	}
	parts := s.split(entries)
	for i, p := range parts {
		p.Epoch, p.Number, p.Complete = epoch, number, complete
		p.Part, p.Parts = uint32(i), uint32(len(parts))
	}
	return parts
}

// parts cuts entries into summaries of a frame; there is one at least.
func (s *Steerer) split(entries []*wire.Entry) []*wire.Summary {
	var parts []*wire.Summary
	size := maxSummaryPartSize
	for _, e := range entries {
		if n := e.SizeVT(); size+n > maxSummaryPartSize {
			parts = append(parts, s.emptySummary())
			size = 0
		}
		p := parts[len(parts)-1]
		p.Entries = append(p.Entries, e)
		size += e.SizeVT()
	}
	if len(parts) == 0 {
		return []*wire.Summary{s.emptySummary()}
	}
	return parts
}

func (s *Steerer) emptySummary() *wire.Summary {
	m := &wire.Summary{Domain: s.settings.Domain}
	if s.settings.Address.IsValid() {
		m.Relay = segment.AppendAddress(nil, s.settings.Address)
	}
	return m
}

// HearSummary takes a summary of another failure domain.
func (s *Steerer) HandleSummary(now clock.Millis, m *wire.Summary) {
	if m.Domain == s.settings.Domain {
		return
	}
	for _, e := range m.Entries {
		a, err := segment.ParseAddress(e.Address)
		if err != nil || e.Report == nil {
			continue
		}
		r := e.Report
		r.Domain, r.Probe = m.Domain, 0
		s.changed(now, a, r, s.Targets.ApplySummaryEntry(now, a, r, clock.Millis(e.Age), clock.Millis(e.Silent)))
	}
	s.Targets.recordSummary(now, m)
}
