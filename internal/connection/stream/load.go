package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// flowIdleAfter is the time without packets after which an open flow no longer counts
	// as load. Callers pause for about a second between requests.
	flowIdleAfter = 5 * clock.Second
	// maxRequestTime bounds how long a request counts as in progress.
	maxRequestTime = 5 * clock.Second
	// awaitedTimeout is how long the first request of a fresh flow counts as expected: callers
	// send it as soon as the flow is open.
	awaitedTimeout = 500 * clock.Millis(1)
	// sweepInterval is the interval at which expired flows are removed.
	sweepInterval = clock.Second
	// endedFlowRetention is how long a flow is kept that both ends have ended: its last
	// packets may be retransmitted with exponential delays of up to 1.6 s.
	endedFlowRetention = 10 * clock.Second
	// loadWindow is the averaging time of the number of requests in progress: about ten
	// requests per slot.
	loadWindow = clock.Second
)

// Tick updates the load, removes expired flows and runs what has become due.
func (tr *Tracker) Tick(now clock.Millis) {
	tr.sampleLoad(now)
	tr.judgePrevious(now)
	tr.resetLostFlows(now)
	tr.sendCheckpoint(now)
	if tr.upstream.outlier.startTrial(now) {
		tr.recordCondition(now, "on trial")
	}
	if now.Sub(tr.lastSweep) < sweepInterval {
		return
	}
	tr.lastSweep = now
	tr.activeFlows = 0
	for _, id := range tr.flows.Keys() {
		f, ok := tr.flows.Peek(id)
		if !ok {
			continue
		}
		switch {
		case tr.expired(now, f):
			tr.flows.Remove(id)
		case f.endedAt == 0 && now.Sub(f.lastPacket()) <= flowIdleAfter:
			tr.activeFlows++
		}
	}
}

// Loaded reports whether the target's slots are in use. Balancers then need its current
// load for each new flow.
func (tr *Tracker) Loaded() bool {
	return tr.load > overloadThreshold*float64(max(tr.upstream.slots, 1))
}

// sampleLoad updates the mean number of requests in progress, weighted by the time since
// the last sample.
func (tr *Tracker) sampleLoad(now clock.Millis) {
	for id, f := range tr.awaitedFlows {
		if now.Sub(f.opening.at) > awaitedTimeout {
			delete(tr.awaitedFlows, id)
		}
	}
	busy := 0
	for id, f := range tr.busyFlows {
		if now.Sub(f.busySince) > maxRequestTime {
			delete(tr.busyFlows, id)
			continue
		}
		busy++
	}
	if tr.lastSample != 0 {
		tr.work.addSample(min(busy, tr.upstream.slots), now.Sub(tr.lastSample))
	}
	weight := min(float64(now.Sub(tr.lastSample))/float64(loadWindow), 1)
	tr.load += (float64(busy) - tr.load) * weight
	tr.lastSample = now
}

func (tr *Tracker) expired(now clock.Millis, f *trackedFlow) bool {
	if f.endedAt != 0 && f.callerEnded && now.Sub(f.lastPacket()) > endedFlowRetention {
		return true
	}
	return now.Sub(f.opening.at) > tr.settings.FlowTTL && now.Sub(f.lastPacket()) > tr.settings.FlowTTL
}
