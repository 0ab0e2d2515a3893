// Package timeline provides a virtual clock with an event queue for discrete-event
// simulations.
//
// # Usage
//
//	var t timeline.Timeline
//	t.After(3*clock.Second, func() { ... })
//	t.Every(clock.Second, func() bool { return again })
//	t.Run(clock.Minute)
//
// A Timeline is not safe for concurrent use, and no method blocks.
package timeline

import (
	"container/heap"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Timeline is a virtual clock with its pending events. The zero value starts at
// time zero.
type Timeline struct {
	clock        clock.Manual
	events       events
	lastSequence uint64
}

// Now returns the virtual time.
func (t *Timeline) Now() clock.Millis {
	return t.clock.Now()
}

// After schedules a call after d. Calls that are due at the same time run in the
// order in which they were scheduled.
func (t *Timeline) After(d clock.Millis, fn func()) {
	t.lastSequence++
	heap.Push(&t.events, event{at: t.Now() + d, sequence: t.lastSequence, fn: fn})
}

// Every schedules a call at each interval d until the call returns false.
func (t *Timeline) Every(d clock.Millis, fn func() bool) {
	t.After(d, func() {
		if fn() {
			t.Every(d, fn)
		}
	})
}

// Run advances the clock by d and runs the events that become due.
func (t *Timeline) Run(d clock.Millis) {
	end := t.Now() + d
	for len(t.events) > 0 && t.events[0].at <= end {
		e := heap.Pop(&t.events).(event)
		t.clock.Advance(e.at - t.Now())
		e.fn()
	}
	t.clock.Advance(end - t.Now())
}

type event struct {
	at       clock.Millis
	sequence uint64
	fn       func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
