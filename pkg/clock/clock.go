// Package clock provides the time used throughout the project: milliseconds since an
// origin that is private to the process.
//
// Clocks differ between VMs, so a reading is never sent to another process: a
// process compares only its own readings. Ages and durations may be sent, because
// they need no common origin.
//
// # Usage
//
// Decision code takes a Millis as an argument and never reads a clock. The code
// around it holds a Clock and reads it once per event:
//
//	c := clock.System()
//	start := c.Now()
//	...
//	if c.Now().Sub(start) > 3*clock.Second {
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a clock reading or a duration, in milliseconds.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Sub returns the time from o to m, in milliseconds.
func (m Millis) Sub(o Millis) Millis {
	return m - o
}

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a time.Duration, truncating it to milliseconds.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock returns the time of one process.
type Clock interface {
	Now() Millis
}

type systemClock struct {
	origin time.Time
}

// System returns a clock that starts at 24 hours rather than at zero, so that zero
// is in the distant past. It is monotonic: a step of the VM's wall clock does not
// affect it.
func System() Clock {
	return &systemClock{origin: time.Now().Add(-24 * time.Hour)}
}

func (s *systemClock) Now() Millis {
	return FromDuration(time.Since(s.origin))
}

// Manual is a clock that tests control.
type Manual struct {
	now atomic.Int64
}

// Now returns the current reading.
func (m *Manual) Now() Millis {
	return Millis(m.now.Load())
}

// Advance moves the clock forward by d and returns the new reading.
func (m *Manual) Advance(d Millis) Millis {
	return Millis(m.now.Add(int64(d)))
}
