package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// suspectAfter is how long the first unanswered probe may be old. Four
	// probes are lost by then: at 3 % loss one suspicion in a million is false.
	suspectAfter = 350 * clock.Millis(1)
	// deadAfter is the silence after which a target counts as lost: its callers
	// have waited for longer than they have patience for, a second or so. A
	// planned restart of an agent is announced and does not count.
	lostAfter = 2500 * clock.Millis(1)
	// restartFor is how long a planned restart of an agent may take; one takes
	// less than a second.
	restartTimeout = 6 * clock.Second
)

// Target is one target as a balancer knows it.
type Target struct {
	// Address is where its agent takes parcels.
	Address netip.AddrPort
	Name    string
	Domain  string
	Service string
	// Epoch is the start of the agent's process, Born that of the target.
	Epoch uint64
	Born  uint64
	// Sequence counts the agent's reports.
	Sequence  uint64
	Condition wire.Condition
	Slots     int
	Flows     int
	// Busy is the mean number of requests under way in the last second.
	Busy float64
	// Serving is how long it takes for a request on the mean; zero when not known.
	MeanLatency clock.Millis
	// ColdUntil is when the target is as fast as it will be.
	ColdUntil clock.Millis
	// Restarting tells that the agent announced its stop.
	Restarting bool
	// Heard is when the last report arrived, at this balancer or at the one that told
	// of it; zero if none did.
	HeardAt clock.Millis

	// learned is when the target was named by another balancer.
	learnedAt clock.Millis
	// told is when a summary of its failure domain last said that it answers, and
	// doubted when one said that it does not, since the last report.
	respondingAt   clock.Millis
	unresponsiveAt clock.Millis
	// former is the agent's process before the present one. owed tells that the
	// present one is to be asked about it.
	previous           process
	previousUnreported bool
	// probed is when the last probe was sent, waiting when the first one was
	// that has no answer yet, and probe its number.
	lastProbe       clock.Millis
	unansweredSince clock.Millis
	probeNumber     uint64
	// placed counts the openings that were sent since the last report, here and, as far as
	// can be expected, by others; earlier are those of before that a report in a summary
	// may not know of.
	placed       float64
	placedBefore float64
	// room is how many openings more it takes while it is slow after its start, plus one;
	// zero if it has not said.
	room int
	// loaded tells that its slots were in use when balancers elsewhere were told last.
	sentLoaded bool
	// noted tells that the target's suspicion was logged.
	suspicionLogged bool
}

// process is one process of an agent, with the target that it served.
type process struct {
	epoch uint64
	born  uint64
}

// Suspected reports that the target's agent leaves probes unanswered, of this balancer
// or of one in the target's failure domain, or was never heard.
func (t *Target) Suspected(now clock.Millis) bool {
	return t.HeardAt == 0 || t.unresponsiveAt != 0 || t.unansweredSince != 0 && now.Sub(t.unansweredSince) > suspectAfter
}

// Lost reports that the target was silent for so long that its flows can no
// longer be served. An agent that said that it restarts has more time.
func (t *Target) Lost(now clock.Millis) bool {
	patience := lostAfter
	if t.Restarting {
		patience = restartTimeout
	}
	return t.unansweredSince != 0 && now.Sub(t.unansweredSince) > patience
}

// Opens reports whether the target may be chosen for new flows.
func (t *Target) AcceptsFlows(now clock.Millis) bool {
	return t.Condition == wire.Condition_CONDITION_READY && t.responding(now)
}

// failing reports that the target would take new flows, but fails requests.
func (t *Target) failing(now clock.Millis) bool {
	return t.Condition == wire.Condition_CONDITION_FAILING && t.responding(now)
}

func (t *Target) responding(now clock.Millis) bool {
	return !t.Restarting && !t.Suspected(now)
}

func (t *Target) applyReport(now clock.Millis, r *wire.Report) {
	if t.HeardAt != 0 && t.Epoch != r.Epoch {
		t.previous = process{epoch: t.Epoch, born: t.Born}
		t.previousUnreported = true
	}
	if r.Probe != 0 {
		t.previousUnreported = false
	}
	if r.Name != "" {
		t.Name = r.Name
	}
	t.Domain, t.Service = r.Domain, r.Service
	t.Epoch, t.Sequence, t.Born = r.Epoch, r.Sequence, r.Born
	t.Condition = r.Condition
	t.Slots, t.Flows, t.Busy = int(r.Slots), int(r.Flows), float64(r.Busy)/busyScale
	t.MeanLatency = clock.Millis(r.Serving)
	t.ColdUntil = now + clock.Millis(r.Cold)
	t.Restarting = r.Restarting
	t.HeardAt = now
	t.placed, t.placedBefore = 0, 0
	t.room = int(r.Room)
	t.unansweredSince, t.unresponsiveAt = 0, 0
}
