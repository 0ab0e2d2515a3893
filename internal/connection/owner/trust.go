package owner

import "github.com/wagtailtray/wagtailtray/pkg/clock"

const (
	// claims is how many reports are remembered over one idle time.
	claims = 32
	// graceTime covers the sweeps that end idle flows, graceShare and
	// graceFlows what opens and ends between a report and its count.
	graceTime  = 2 * clock.Second
	graceShare = 0.9
	graceFlows = 3
	// distrusted is how many idle times a report that was wrong costs.
	distrusted = 10
	// sweep is the time between two sweeps.
	sweep = clock.Second
)

// Trust corrects the agent's own count of flows. An agent does not see a flow's
// end, which is encrypted; the flow stays in its table until it has been idle.
//
// By itself the agent knows how many flows went idle within the last idle time.
// About as many have ended since and are not idle yet.
//
// The upstream's report of its connections says it sooner and more exactly, if
// it is true. A report of fewer connections than flows claims that the
// difference has ended, and every one of those must go idle within the idle
// time. A report whose claim does not come true was wrong.
//
// Until one claim has come true the report is used only against silent flows, and after
// one that did not it is not used at all: an endpoint that calls a busy target idle
// would draw every flow there.
//
// For example, with an idle time of 30 s: 100 flows and a report of 60 claim
// that 40 have ended. If fewer than 33 flows expire within 32 s, the report is
// not believed for five minutes, and the agent goes by its own estimate.
type Trust struct {
	idle clock.Millis
	open []claimed
	// recent is how many flows went idle within the last idle time.
	recent   int
	verified bool
	until    clock.Millis
}

// claimed is what a report claimed at a time.
type claimed struct {
	at      clock.Millis
	ended   int
	expired uint64
}

// NewTrust returns the state for flows of that idle time.
func NewTrust(idle clock.Millis) *Trust {
	return &Trust{idle: idle}
}

// Report notes a report. flows is the agent's own count, and expired how many
// of its flows have ended so far.
func (t *Trust) Report(now clock.Millis, flows, connections int, expired uint64) {
	for len(t.open) > 0 && now.Sub(t.open[0].at) > t.idle+graceTime {
		t.check(now, t.open[0], expired)
		t.recent = t.lingering(now, expired)
		t.open = t.open[1:]
	}
	if n := len(t.open); n > 0 && now.Sub(t.open[n-1].at) < t.idle/claims {
		return
	}
	t.open = append(t.open, claimed{at: now, ended: max(flows-connections, 0), expired: expired})
}

// lingering estimates how many flows have ended and are not idle yet.
func (t *Trust) lingering(now clock.Millis, expired uint64) int {
	first := t.open[0]
	ended := float64(expired - first.expired)
	// A flow waits for its idle time and half a sweep.
	return int(ended * float64(t.idle+sweep/2) / float64(now.Sub(first.at)))
}

func (t *Trust) check(now clock.Millis, c claimed, expired uint64) {
	if float64(expired-c.expired) >= graceShare*float64(c.ended)-graceFlows {
		t.verified = true
		return
	}
	t.verified = false
	t.until = now + distrusted*t.idle
}

// Flows corrects the number of flows by a report of connections. since counts
// the flows that were opened after the report, active those with a datagram a
// moment ago.
func (t *Trust) Flows(now clock.Millis, flows, connections, since, active int) int {
	if now < t.until {
		return max(flows-t.recent, 0)
	}
	if t.verified {
		return min(flows, connections+since)
	}
	return min(flows, max(connections+since, active))
}

// State says how far reports are believed, for logs.
func (t *Trust) State(now clock.Millis) string {
	switch {
	case now < t.until:
		return "ignored"
	case t.verified:
		return "believed"
	default:
		return "unproved"
	}
}
