package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// denialFor is how long a denial holds for the next search of the flow. The
// target could get the flow only by an opening, and the agent's process
// and the target must be the same ones.
const denialTTL = 5 * clock.Second

// asked is what a target's agent has said of a flow.
type agentAnswer struct {
	holding wire.Holding
	// open tells that the search counts it among those that may own the flow.
	candidate bool
	// search is the search that asked last.
	search *search
	// handed tells how many of the kept packets the target was handed.
	forwarded int
	// at is when the agent denied the flow, for its process and target.
	deniedAt clock.Millis
	deniedBy process
}

// denies reports whether an earlier denial still holds.
func (q *agentAnswer) stillDenies(now clock.Millis, t *Target) bool {
	return q.holding == wire.Holding_HOLDING_NOT && now.Sub(q.deniedAt) < denialTTL &&
		q.deniedBy == process{epoch: t.Epoch, born: t.Born}
}

// denials are what was said of a flow in a search that has ended without an owner.
type failedSearch struct {
	flow *flow
	at   clock.Millis
}

// remember keeps what agents have said of a flow for its next search.
//
// It is kept for as long as it holds, and for a bounded number of flows: packets of flows
// that nobody owns may come in without an end.
func (s *Steerer) retainAnswers(now clock.Millis, f *flow) {
	f.searchFailedAt = now
	s.failedSearches = append(s.failedSearches, failedSearch{flow: f, at: now})
	for len(s.failedSearches) > s.searchLimit() {
		s.dropOldestAnswers()
	}
}

// lapse forgets the oldest denials, unless a later search of the flow has them.
func (s *Steerer) dropOldestAnswers() {
	d := s.failedSearches[0]
	s.failedSearches = s.failedSearches[1:]
	if d.flow.search == nil && d.flow.searchFailedAt == d.at {
		d.flow.answers = nil
	}
}
