package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// activeFor is the silence after which an open flow no longer counts as
	// load. Callers pause between requests for about a second.
	flowIdleAfter = 5 * clock.Second
	// busyFor bounds how long a request counts as under way.
	maxRequestTime = 5 * clock.Second
	// sweepEvery is how often flows that are over are looked for.
	sweepInterval = clock.Second
	// endedFor is how long a flow that has ended is remembered: its last
	// packets may be sent again, with doubling pauses of up to 1.6 s.
	endedFlowRetention = 10 * clock.Second
	// loadOver is over how long the requests under way are averaged: some ten
	// requests of a slot.
	loadWindow = clock.Second
)

// Tick ends what is over and measures the load.
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

// Loaded reports that the target's slots are in use: what balancers know of its load
// matters for each new flow.
func (tr *Tracker) Loaded() bool {
	return tr.load > overloadThreshold*float64(max(tr.upstream.slots, 1))
}

// sample adds the requests under way to their mean, weighted by the time since
// the last sample.
func (tr *Tracker) sampleLoad(now clock.Millis) {
	busy := 0
	for id, f := range tr.busyFlows {
		if now.Sub(f.busySince) > maxRequestTime {
			delete(tr.busyFlows, id)
			continue
		}
		busy++
	}
	weight := min(float64(now.Sub(tr.lastSample))/float64(loadWindow), 1)
	tr.load += (float64(busy) - tr.load) * weight
	tr.lastSample = now
}

func (tr *Tracker) expired(now clock.Millis, f *trackedFlow) bool {
	if f.endedAt != 0 && now.Sub(f.lastPacket()) > endedFlowRetention {
		return true
	}
	return now.Sub(f.openedAt) > tr.settings.FlowTTL && now.Sub(f.lastPacket()) > tr.settings.FlowTTL
}
