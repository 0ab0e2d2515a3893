package stream

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// activeFor is the silence after which an open flow no longer counts as
	// load. Callers pause between requests for about a second.
	activeFor = 5 * clock.Second
	// busyFor bounds how long a request counts as under way.
	busyFor = 5 * clock.Second
	// sweepEvery is how often flows that are over are looked for.
	sweepEvery = clock.Second
	// endedFor is how long a flow that has ended is remembered: its last
	// packets may be sent again, with doubling pauses of up to 1.6 s.
	endedFor = 10 * clock.Second
	// loadOver is over how long the requests under way are averaged: some ten
	// requests of a slot.
	loadOver = clock.Second
)

// Tick ends what is over and measures the load.
func (h *Holder) Tick(now clock.Millis) {
	h.sample(now)
	h.judgePast(now)
	h.resetLost(now)
	h.keep(now)
	if h.upstream.outlier.due(now) {
		h.noteCondition(now, "on trial")
	}
	if now.Sub(h.swept) < sweepEvery {
		return
	}
	h.swept = now
	h.active = 0
	for _, id := range h.flows.Keys() {
		f, ok := h.flows.Peek(id)
		if !ok {
			continue
		}
		switch {
		case h.over(now, f):
			h.flows.Remove(id)
		case f.ended == 0 && now.Sub(f.last()) <= activeFor:
			h.active++
		}
	}
}

// Loaded reports that the target's slots are in use: what balancers know of its load
// matters for each new flow.
func (h *Holder) Loaded() bool {
	return h.load > overload*float64(max(h.upstream.slots, 1))
}

// sample adds the requests under way to their mean, weighted by the time since
// the last sample.
func (h *Holder) sample(now clock.Millis) {
	busy := 0
	for id, f := range h.working {
		if now.Sub(f.busy) > busyFor {
			delete(h.working, id)
			continue
		}
		busy++
	}
	weight := min(float64(now.Sub(h.sampled))/float64(loadOver), 1)
	h.load += (float64(busy) - h.load) * weight
	h.sampled = now
}

func (h *Holder) over(now clock.Millis, f *held) bool {
	if f.ended != 0 && now.Sub(f.last()) > endedFor {
		return true
	}
	return now.Sub(f.opened) > h.settings.FlowLife && now.Sub(f.last()) > h.settings.FlowLife
}
