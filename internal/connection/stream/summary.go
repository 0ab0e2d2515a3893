package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// summaryTTL is how long a summary replaces probes: four summaries of one relay.
	summaryTTL = 2 * clock.Second
	// firstSummaryWait is how long a remote target that was only named waits for a summary
	// before it is probed: a few round trips between failure domains.
	firstSummaryWait = 300 * clock.Millis(1)
	// departureRetention is how long summaries list a target that has left: several of them
	// may be lost.
	departureRetention = 2 * clock.Second
	// maxSummaryDelay is the maximum delay of a summary that still describes a target as it
	// was before it left. A later one that lists the target describes another target, even
	// if the VM's clock was set back in between.
	maxSummaryDelay = 3 * clock.Second
	// nameInterval is the number of full summaries of which one includes the targets'
	// names: they are used only in logs.
	nameInterval = 4
	// maxSummaryPartSize keeps a part of a summary within one frame.
	maxSummaryPartSize = 1200
	// maxChanges bounds the changes queued for the next incremental summary; the next full
	// summary includes the rest.
	maxChanges = 1024
	// maxSummaries bounds the failure domains whose summaries are tracked, and
	// maxSummaryParts the parts of one: enough for the maximum number of targets. The
	// bounds are needed since anyone can send a summary.
	maxSummaries    = 64
	maxSummaryParts = 1024
	// maxSummaryRelays bounds the relays of a failure domain whose summaries are tracked:
	// there are two, and for a while those that they have replaced.
	maxSummaryRelays = 4
)

// summaryParts tracks the arrival of the last full summary of one relay.
type summaryParts struct {
	number  uint32
	parts   map[uint32]bool
	heardAt clock.Millis
}

// summaryState tracks the arrival of the full summaries of a failure domain.
type summaryState struct {
	// relays holds the summaries of its relays, by the start time of their processes: the
	// parts of two summaries may arrive in turn.
	relays map[uint64]*summaryParts
	// completeAt is when all parts of a full summary had arrived whose sender knew all
	// targets.
	completeAt clock.Millis
	// relay is the balancer that sent the last summary, at relayHeardAt; none did if that
	// is zero.
	relay        netip.AddrPort
	relayHeardAt clock.Millis
}

// urgent reports whether remote balancers must be notified at once.
func (c TargetChange) urgent() bool {
	return c.New || c.Restarted || c.Left || c.Condition
}

// summaryEntry returns the entry of a summary for a report.
func summaryEntry(a netip.AddrPort, r *wire.Report, age, silent clock.Millis) *wire.Entry {
	e := &wire.Entry{
		Address: segment.AppendAddress(nil, a), Age: uint32(max(age, 0)), Silent: uint32(max(silent, 0)),
		Report: &wire.Report{
			Name: r.Name, Service: r.Service, Epoch: r.Epoch, Sequence: r.Sequence, Born: r.Born,
			Condition: r.Condition, Slots: r.Slots, Flows: r.Flows, Busy: r.Busy, Cold: r.Cold, Restarting: r.Restarting,
			Room: r.Room, Serving: r.Serving, Refused: r.Refused,
		},
	}
	if float64(r.Busy) > lowLoad*busyScale*float64(max(r.Slots, 1)) {
		e.Report.Work, e.Report.Running = r.Work, r.Running
	}
	return e
}

// report returns the target's state as last reported by its agent.
func (t *Target) report(now clock.Millis) *wire.Report {
	return &wire.Report{
		Name: t.Name, Service: t.Service, Epoch: t.Epoch, Sequence: t.Sequence, Born: t.Born,
		Condition: t.Condition, Slots: uint32(t.Slots), Flows: uint32(t.Flows), Busy: uint32(t.Busy * busyScale),
		Cold: uint32(max(t.ColdUntil.Sub(now), 0)), Restarting: t.Restarting, Room: uint32(t.room),
		Serving: uint32(t.MeanLatency), Work: uint32(t.Work * microsPerMilli), Running: t.encodeRunning(),
		Refused: t.refused,
	}
}

// silence returns how long the target has left probes unanswered; zero unless it is
// suspected.
func (t *Target) silence(now clock.Millis) clock.Millis {
	if !t.Suspected(now) {
		return 0
	}
	return max(now.Sub(t.unansweredSince), 1)
}

// coveredBySummary reports whether summaries from a remote target's failure domain replace
// this balancer's probes.
//
// Probes from each balancer to each target would grow with the product of both. Some things
// cannot be learned from summaries and still take a probe: whether a target is lost, and
// whether its agent knows what an earlier process opened.
func (ts *Targets) coveredBySummary(now clock.Millis, t *Target) bool {
	if t.Domain == ts.domain || t.unansweredSince != 0 || t.unresponsiveAt != 0 || t.previousUnreported {
		return false
	}
	if t.HeardAt == 0 {
		return now.Sub(t.learnedAt) <= firstSummaryWait
	}
	return t.respondingAt != 0 && now.Sub(t.respondingAt) <= summaryTTL
}

// summarize returns the targets of the local failure domain and those that have just left
// it.
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

// ApplySummaryEntry applies an entry of a summary of another failure domain.
//
// Summaries can be late, duplicated and sent by several balancers; epochs and sequence
// numbers of the agents show which report is later. An entry for an earlier process is
// ignored.
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

// madeAfter reports whether a report is later than the one with which its target left.
func madeAfter(r, left *wire.Report) bool {
	return r.Epoch > left.Epoch || r.Epoch == left.Epoch && r.Sequence > left.Sequence
}

// Complete reports whether a balancer of another failure domain that knows all targets
// there has recently sent a full summary.
func (ts *Targets) Complete(now clock.Millis, domain string) bool {
	s := ts.summaries[domain]
	return s != nil && s.completeAt != 0 && now.Sub(s.completeAt) <= summaryTTL
}

// recordSummary records the arrival of a summary of another failure domain.
func (ts *Targets) recordSummary(now clock.Millis, m *wire.Summary) {
	s := ts.summaries[m.Domain]
	if s == nil {
		if len(ts.summaries) >= maxSummaries {
			return
		}
		s = &summaryState{relays: map[uint64]*summaryParts{}}
		ts.summaries[m.Domain] = s
	}
	if relay, err := segment.ParseAddress(m.Relay); err == nil {
		s.relay, s.relayHeardAt = relay, now
	}
	if m.Number != 0 && m.Parts <= maxSummaryParts {
		s.recordPart(now, m)
	}
}

// recordPart records the arrival of a part of a full summary.
func (s *summaryState) recordPart(now clock.Millis, m *wire.Summary) {
	p := s.relays[m.Epoch]
	if p == nil {
		s.dropOldestRelay()
		p = &summaryParts{}
		s.relays[m.Epoch] = p
	}
	if p.number != m.Number {
		p.number, p.parts = m.Number, map[uint32]bool{}
	}
	p.heardAt = now
	if m.Part < m.Parts {
		p.parts[m.Part] = true
	}
	if m.Complete && len(p.parts) == int(m.Parts) {
		s.completeAt = now
	}
}

// dropOldestRelay makes room for another relay's summaries.
func (s *summaryState) dropOldestRelay() {
	if len(s.relays) < maxSummaryRelays {
		return
	}
	oldest := uint64(0)
	for epoch, p := range s.relays {
		if o := s.relays[oldest]; o == nil || p.heardAt < o.heardAt {
			oldest = epoch
		}
	}
	delete(s.relays, oldest)
}

// RemoteAge returns the number of remote targets that respond and the mean age of their
// reports.
func (ts *Targets) RemoteAge(now clock.Millis) (count int, age clock.Millis) {
	for _, t := range ts.known {
		if t.Domain != ts.domain && !t.Suspected(now) {
			count++
			age += now.Sub(t.HeardAt)
		}
	}
	return count, age / clock.Millis(max(count, 1))
}

// SetRelay sets whether this balancer sends summaries of its failure domain to others.
func (s *Steerer) SetRelay(relay bool) {
	s.relay = relay
	if !relay {
		s.changes = nil
	}
}

// queueChange queues a change of a local target for the next incremental summary.
func (s *Steerer) queueChange(e *wire.Entry) {
	if s.relay && len(s.changes) < maxChanges {
		s.changes = append(s.changes, e)
	}
}

// queueLoads queues the local targets whose slots are in use, or were when last sent, for
// the next incremental summary.
//
// Otherwise remote balancers would all choose the target that had room half a second ago.
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

// HasChanges reports whether remote balancers must be notified at once of a change of a local
// target.
func (s *Steerer) HasChanges() bool {
	return len(s.changes) > 0
}

// Changes returns the queued changes as incremental summaries. With loads it adds the
// targets whose slots are in use. The result may be nil.
func (s *Steerer) Changes(now clock.Millis, loads bool) []*wire.Summary {
	if loads {
		s.queueLoads(now)
	}
	if len(s.changes) == 0 {
		return nil
	}
	entries := s.changes
	s.changes = nil
	dropNames(entries)
	return s.split(entries)
}

func dropNames(entries []*wire.Entry) {
	for _, e := range entries {
		e.Report.Name = ""
	}
}

// Summary returns a full summary of the local failure domain, in parts. number is its
// number, and complete reports whether this balancer knows all targets there.
func (s *Steerer) Summary(now clock.Millis, epoch uint64, number uint32, complete bool) []*wire.Summary {
	s.changes = nil
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

// split divides entries into summaries that fit into one frame each, at least one.
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

// HandleSummary handles a summary of another failure domain.
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
		s.recordChange(now, a, r, s.Targets.ApplySummaryEntry(now, a, r, clock.Millis(e.Age), clock.Millis(e.Silent)))
	}
	s.Targets.recordSummary(now, m)
}
