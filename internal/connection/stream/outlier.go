package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// failureWeight is the weight of the last request in the failure rate: some four
	// requests decide, a tenth of a second of a busy target.
	failureWeight = 0.25
	// ejectThreshold is the failure rate above which a target is ejected. For a healthy
	// target that takes three failures in a row.
	ejectThreshold = 0.5
	// baseEjectionTime is the duration of the first ejection: callers whose request fails
	// retry within a second. It doubles with each ejection up to maxEjectionTime, and
	// starts again from the base after the target was healthy for that long.
	baseEjectionTime = clock.Second
	maxEjectionTime  = 8 * clock.Second
	// trialFlows is the number of concurrent new flows for a target on trial: they fail if
	// it has not recovered.
	trialFlows = 2
	// trialTimeout is how long a trial waits for a result before it admits other flows: a
	// caller that opens a flow sends its request at once.
	trialTimeout = clock.Second
)

// phase is the state of outlier detection.
type phase int

const (
	healthy phase = iota
	ejected
	onTrial
)

// outlier detects a target that ends requests without an answer although it sends
// heartbeats and accepts flows.
//
// A target that resets each request looks idle and would attract all new flows. Balancers
// send none to an ejected target, so only the flows that it already has fail, and a few at
// each trial.
//
// For example, a target resets three requests in a row and is ejected for a second. Then
// two flows are admitted on trial. If one is answered, the target is healthy again; if one
// is reset, it is ejected for two seconds.
type outlier struct {
	phase phase
	// failureRate is an exponentially weighted mean of failed requests.
	failureRate float64
	// since is when the phase began, ejectionTime the duration of the last ejection.
	since        clock.Millis
	ejectionTime clock.Millis
	// pendingTrials counts the trial flows without a result, lastTrial is when the last one
	// was opened.
	pendingTrials int
	lastTrial     clock.Millis
}

// recordSuccess records an answered request. It reports whether the target has become
// healthy again.
func (o *outlier) recordSuccess(now clock.Millis) bool {
	o.failureRate -= o.failureRate * failureWeight
	if o.phase != onTrial {
		return false
	}
	*o = outlier{failureRate: ejectThreshold / 2, since: now, ejectionTime: o.ejectionTime}
	return true
}

// recordFailure records a request that the target ended without an answer. It reports
// whether the target has been ejected.
func (o *outlier) recordFailure(now clock.Millis) bool {
	o.failureRate += (1 - o.failureRate) * failureWeight
	if o.phase == ejected || o.phase == healthy && o.failureRate <= ejectThreshold {
		return false
	}
	if o.phase == healthy && now.Sub(o.since) > maxEjectionTime {
		o.ejectionTime = 0
	}
	o.phase, o.since = ejected, now
	o.ejectionTime = min(max(2*o.ejectionTime, baseEjectionTime), maxEjectionTime)
	return true
}

// startTrial starts a trial if an ejection has ended, and reports whether it did.
func (o *outlier) startTrial(now clock.Millis) bool {
	if o.phase != ejected || now.Sub(o.since) < o.ejectionTime {
		return false
	}
	o.phase, o.since, o.pendingTrials = onTrial, now, 0
	return true
}

// admitFlow reports whether a new flow may be opened, and counts it.
func (o *outlier) admitFlow(now clock.Millis) bool {
	if o.phase != onTrial {
		return true
	}
	if now.Sub(o.lastTrial) > trialTimeout {
		o.pendingTrials = 0
	}
	if o.pendingTrials >= trialFlows {
		return false
	}
	o.pendingTrials++
	o.lastTrial = now
	return true
}
