// Package timeline is the time of a model: a settable clock with things that
// happen at later times, in order.
//
// # Usage
//
//	var t timeline.Timeline
//	t.After(3*clock.Second, func() { ... })
//	t.Every(clock.Second, func() bool { return goOn })
//	t.Run(clock.Minute)
//
// A Timeline is not safe for concurrent use; nothing in it waits.
package timeline

import (
	"container/heap"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Timeline is the time of one model. The zero value starts at zero.
type Timeline struct {
	clock  clock.Manual
	events events
	order  uint64
}

// Now returns the time.
func (t *Timeline) Now() clock.Millis {
	return t.clock.Now()
}

// After lets something happen later. What is due at one time happens in the
// order in which it was asked for.
func (t *Timeline) After(d clock.Millis, do func()) {
	t.order++
	heap.Push(&t.events, event{at: t.Now() + d, order: t.order, do: do})
}

// Every lets something happen again and again, until it reports false.
func (t *Timeline) Every(d clock.Millis, do func() bool) {
	t.After(d, func() {
		if do() {
			t.Every(d, do)
		}
	})
}

// Run lets time pass.
func (t *Timeline) Run(d clock.Millis) {
	end := t.Now() + d
	for len(t.events) > 0 && t.events[0].at <= end {
		e := heap.Pop(&t.events).(event)
		t.clock.Advance(e.at - t.Now())
		e.do()
	}
	t.clock.Advance(end - t.Now())
}

type event struct {
	at    clock.Millis
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
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
