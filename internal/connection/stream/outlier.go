package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// failureWeight is the weight of the last request in the share of failed
	// ones: some four requests decide, a tenth of a second of a busy target.
	failureWeight = 0.25
	// ejectShare is the share of failed requests from which a target is ejected.
	// At a target that was well it takes three failures in a row.
	ejectThreshold = 0.5
	// firstEjection is how long a target is ejected at first: callers whose
	// request fails come back within a second. It doubles each time, up to
	// longestEjection, and starts anew after a target was well for that long.
	baseEjectionTime = clock.Second
	maxEjectionTime  = 8 * clock.Second
	// trialFlows is how many new flows a target on trial gets at a time: they fail
	// if it has not recovered.
	trialFlows = 2
	// trialWait is how long a trial waits for a verdict until other flows may try:
	// a caller that opens a flow sends its request at once.
	trialTimeout = clock.Second
)

// phase is how an agent treats its target.
type phase int

const (
	healthy phase = iota
	ejected
	onTrial
)

// outlier finds out that a target ends requests without an answer while it still
// sends heartbeats and accepts flows.
//
// A target that resets each request looks idle and would draw all new flows. Balancers
// give an ejected one none, so what fails is what is there already, and a few flows when
// it is tried again.
//
// For example: three requests in a row are reset, and the target is ejected for a
// second. Then two flows may try. If one is answered, it is trusted again; if one
// is reset, it is ejected for two seconds.
type outlier struct {
	phase phase
	// failed is the share of failed requests, the last ones counting most.
	failureRate float64
	// since is when the phase began, and pause how long the last ejection was.
	since        clock.Millis
	ejectionTime clock.Millis
	// tries counts the flows of the trial that wait for a verdict, and tried is
	// when the last one was opened.
	pendingTrials int
	lastTrial     clock.Millis
}

// answered takes note of a request that was answered. It reports whether the
// target is trusted again.
func (o *outlier) recordSuccess(now clock.Millis) bool {
	o.failureRate -= o.failureRate * failureWeight
	if o.phase != onTrial {
		return false
	}
	*o = outlier{failureRate: ejectThreshold / 2, since: now, ejectionTime: o.ejectionTime}
	return true
}

// reset takes note of a request that the target ended without an answer. It
// reports whether the target is to be ejected.
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

// due reports that an ejection has ended and the target is tried again.
func (o *outlier) startTrial(now clock.Millis) bool {
	if o.phase != ejected || now.Sub(o.since) < o.ejectionTime {
		return false
	}
	o.phase, o.since, o.pendingTrials = onTrial, now, 0
	return true
}

// admits reports whether a new flow may be opened, and counts it.
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
