package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// denialTTL is how long a denial stays valid for the next search of the flow. The
// target could get the flow only by an opening packet, and the agent's process
// and the target must be the same ones.
const denialTTL = 5 * clock.Second

// agentAnswer is the answer of a target's agent about a flow, within a search.
type agentAnswer struct {
	holding wire.Holding
	// candidate is set while the search counts the target as a possible owner.
	candidate bool
	// search is the last search that asked.
	search *search
	// forwarded is how many of the buffered packets were forwarded to the target, and
	// forwardedAt is when the first one was.
	forwarded   int
	forwardedAt clock.Millis
	// deniedAt is when the agent denied the flow, and deniedBy its process and target then.
	deniedAt clock.Millis
	deniedBy process
}

// stillDenies reports whether an earlier denial is still valid.
func (a *agentAnswer) stillDenies(now clock.Millis, t *Target) bool {
	return a.holding == wire.Holding_HOLDING_NOT && now.Sub(a.deniedAt) < denialTTL &&
		a.deniedBy == process{epoch: t.Epoch, born: t.Born}
}

// failedSearch refers to the answers of a search that ended without an owner.
type failedSearch struct {
	flow *flow
	at   clock.Millis
}

// retainAnswers retains the answers of agents about a flow for its next search.
//
// They are retained while they are valid, and for a bounded number of flows: there is no
// limit to the packets that may arrive for flows without an owner.
func (s *Steerer) retainAnswers(now clock.Millis, f *flow) {
	f.searchFailedAt = now
	s.failedSearches = append(s.failedSearches, failedSearch{flow: f, at: now})
	for len(s.failedSearches) > s.searchLimit() {
		s.dropOldestAnswers()
	}
}

// dropOldestAnswers drops the oldest answers, unless a later search of the flow uses them.
func (s *Steerer) dropOldestAnswers() {
	d := s.failedSearches[0]
	s.failedSearches = s.failedSearches[1:]
	if d.flow.search == nil && d.flow.searchFailedAt == d.at {
		d.flow.answers = nil
	}
}
