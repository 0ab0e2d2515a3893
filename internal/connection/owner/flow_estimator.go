package owner

import "github.com/wagtailtray/wagtailtray/pkg/clock"

const (
	// reportsPerIdleTimeout is how many reports are kept within one idle timeout.
	reportsPerIdleTimeout = 32
	// verifyDelay allows for the time until a sweep expires idle flows,
	// minExpiredShare and flowTolerance for the flows that open and end between
	// a report and the count of flows that it is compared with.
	verifyDelay     = 2 * clock.Second
	minExpiredShare = 0.9
	flowTolerance   = 3
	// distrustIdleTimeouts is for how many idle timeouts reports are ignored
	// after a wrong one.
	distrustIdleTimeouts = 10
	// sweepInterval is the time between two calls of Table.Expire.
	sweepInterval = clock.Second
)

// FlowEstimator corrects the agent's own count of flows. An agent does not see a
// flow's end, which is encrypted; the flow stays in its table until it expires.
//
// The agent itself knows how many flows expired within the last idle timeout.
// About as many have ended since and have not expired yet.
//
// The upstream's report of its connections is more recent and more exact, if it is
// true. A report of fewer connections than flows claims that the difference has
// ended, so all of those flows must expire within the idle timeout. If they do not,
// the report was wrong.
//
// Until one claim has been verified the report is used only to discount silent flows,
// and after a wrong one it is not used at all: an endpoint that reports a busy target
// as idle would attract every flow.
//
// For example, with an idle timeout of 30 s: 100 flows and a report of 60 claim
// that 40 have ended. If fewer than 33 flows expire within 32 s, reports are
// ignored for five minutes, and the agent uses its own estimate.
type FlowEstimator struct {
	idleTimeout clock.Millis
	pending     []pendingReport
	// endedUnexpired estimates how many flows have ended and have not expired yet.
	endedUnexpired  int
	verified        bool
	distrustedUntil clock.Millis
}

// pendingReport is a report that is not verified yet.
type pendingReport struct {
	receivedAt   clock.Millis
	claimedEnded int
	expired      uint64
}

// NewFlowEstimator returns an estimator for flows with that idle timeout.
func NewFlowEstimator(idleTimeout clock.Millis) *FlowEstimator {
	return &FlowEstimator{idleTimeout: idleTimeout}
}

// Report records a report. flows is the agent's own count, and expired how many
// of its flows have expired so far.
func (e *FlowEstimator) Report(now clock.Millis, flows, connections int, expired uint64) {
	for len(e.pending) > 0 && now.Sub(e.pending[0].receivedAt) > e.idleTimeout+verifyDelay {
		e.verify(now, e.pending[0], expired)
		e.endedUnexpired = e.estimateEnded(now, expired)
		e.pending = e.pending[1:]
	}
	if n := len(e.pending); n > 0 && now.Sub(e.pending[n-1].receivedAt) < e.idleTimeout/reportsPerIdleTimeout {
		return
	}
	e.pending = append(e.pending, pendingReport{receivedAt: now, claimedEnded: max(flows-connections, 0), expired: expired})
}

// estimateEnded estimates how many flows have ended and have not expired yet.
func (e *FlowEstimator) estimateEnded(now clock.Millis, expired uint64) int {
	first := e.pending[0]
	ended := float64(expired - first.expired)
	// A flow expires after its idle timeout and, on average, half a sweep interval.
	return int(ended * float64(e.idleTimeout+sweepInterval/2) / float64(now.Sub(first.receivedAt)))
}

func (e *FlowEstimator) verify(now clock.Millis, r pendingReport, expired uint64) {
	if float64(expired-r.expired) >= minExpiredShare*float64(r.claimedEnded)-flowTolerance {
		e.verified = true
		return
	}
	e.verified = false
	e.distrustedUntil = now + distrustIdleTimeouts*e.idleTimeout
}

// Flows corrects the number of flows by a report of connections. since counts
// the flows that were opened after the report, active the active flows.
func (e *FlowEstimator) Flows(now clock.Millis, flows, connections, since, active int) int {
	if now < e.distrustedUntil {
		return max(flows-e.endedUnexpired, 0)
	}
	if e.verified {
		return min(flows, connections+since)
	}
	return min(flows, max(connections+since, active))
}

// ReportTrust returns how far reports are trusted, for logs.
func (e *FlowEstimator) ReportTrust(now clock.Millis) string {
	switch {
	case now < e.distrustedUntil:
		return "ignored"
	case e.verified:
		return "believed"
	default:
		return "unproved"
	}
}
