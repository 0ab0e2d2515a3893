package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// suspectAfter is the age of the first unanswered probe from which a target is
	// suspected. Four probes are lost by then: at 3 % loss one suspicion in a million is
	// false.
	suspectAfter = 350 * clock.Millis(1)
	// lostAfter is the silence after which a target counts as lost. Its callers have then
	// waited longer than they are willing to, about a second. A planned restart of an agent
	// is announced and does not count.
	lostAfter = 2500 * clock.Millis(1)
	// restartTimeout bounds a planned restart of an agent, which takes less than a second.
	restartTimeout = 6 * clock.Second
)

// Target is a balancer's state of one target.
type Target struct {
	// Address is where the target's agent receives parcels.
	Address netip.AddrPort
	Name    string
	Domain  string
	Service string
	// Epoch is the start time of the agent's process, Born that of the target.
	Epoch uint64
	Born  uint64
	// Sequence counts the agent's reports.
	Sequence  uint64
	Condition wire.Condition
	Slots     int
	Flows     int
	// Busy is the mean number of requests in progress in the last second.
	Busy float64
	// MeanLatency is the mean latency of a request, or zero if unknown.
	MeanLatency clock.Millis
	// Work is the mean time in milliseconds that the target works on a request, without
	// the time that the request waits there; zero if unknown.
	Work float64
	// Running is the number of requests in progress when the report was made, and
	// RunningKnown is set if the agent reports it.
	Running      int
	RunningKnown bool
	// ColdUntil is when the target reaches its full speed.
	ColdUntil clock.Millis
	// Restarting is set if the agent announced its stop.
	Restarting bool
	// HeardAt is when the last report arrived at this balancer, or at the relay that
	// summarized it; zero if none did.
	HeardAt clock.Millis

	// learnedAt is when another balancer first named the target.
	learnedAt clock.Millis
	// respondingAt is when a summary of its failure domain last listed the target as
	// responding; unresponsiveAt is when one listed it as not responding since the last
	// report.
	respondingAt   clock.Millis
	unresponsiveAt clock.Millis
	// previous is the agent's process before the current one. previousUnreported is set
	// until a probe has reported it to the current one.
	previous           process
	previousUnreported bool
	// lastProbe is when the last probe was sent, with number probeNumber; unansweredSince
	// is when the first unanswered probe was sent.
	lastProbe       clock.Millis
	unansweredSince clock.Millis
	probeNumber     uint64
	// noticedAt is when the last notice came that the target is silent towards another
	// balancer of its failure domain. noticeSent is set if this balancer has sent one since
	// the last report.
	noticedAt  clock.Millis
	noticeSent bool
	// placed counts the openings sent since the last report, here and, by estimate, by
	// other balancers. placedBefore counts earlier ones that a report in a summary may not
	// include.
	placed       float64
	placedBefore float64
	// room is the number of openings that the target still accepts while it is slow after
	// its start, plus one; zero if not reported.
	room int
	// sentLoaded is set if the target's slots were in use when its load was last sent to
	// remote balancers.
	sentLoaded bool
	// refused are the priorities whose openings the target returns, as a set of bits.
	refused uint32
	// suspicionLogged is set if the target's suspicion has been logged.
	suspicionLogged bool
}

// process identifies a process of an agent and the target that it served.
type process struct {
	epoch uint64
	born  uint64
}

// Suspected reports whether the target's agent leaves probes of this balancer or of one in
// its failure domain unanswered, or has never sent a report.
func (t *Target) Suspected(now clock.Millis) bool {
	patience := suspectAfter
	if t.noticed() {
		patience = noticedSuspectAfter
	}
	return t.HeardAt == 0 || t.unresponsiveAt != 0 || t.unansweredSince != 0 && now.Sub(t.unansweredSince) > patience
}

// Lost reports whether the target has been silent for so long that its flows can no longer
// be served. An agent that announced a restart has more time.
func (t *Target) Lost(now clock.Millis) bool {
	patience := lostAfter
	if t.Restarting {
		patience = restartTimeout
	}
	return t.unansweredSince != 0 && now.Sub(t.unansweredSince) > patience
}

// AcceptsFlows reports whether the target may be chosen for new flows.
func (t *Target) AcceptsFlows(now clock.Millis) bool {
	return t.Condition == wire.Condition_CONDITION_READY && t.responding(now)
}

// failing reports whether the target accepts new flows but fails requests.
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
	t.Work = float64(r.Work) / microsPerMilli
	t.Running, t.RunningKnown = max(int(r.Running)-1, 0), r.Running > 0
	t.ColdUntil = now + clock.Millis(r.Cold)
	t.Restarting = r.Restarting
	t.HeardAt = now
	t.placed, t.placedBefore = 0, 0
	t.room, t.refused = int(r.Room), r.Refused
	t.unansweredSince, t.unresponsiveAt = 0, 0
	t.noticeSent = false
}

// encodeRunning returns the requests in progress as in a report.
func (t *Target) encodeRunning() uint32 {
	if !t.RunningKnown {
		return 0
	}
	return uint32(t.Running) + 1
}
