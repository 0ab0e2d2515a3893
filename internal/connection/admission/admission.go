// Package admission limits the openings of a target that has just started, or that is loaded.
//
// # The model
//
// A target that has just started can handle only a limited number of openings a second
// until it is warm. The limit applies to any period of a second, and balancers do not know
// what the others send, so it is enforced where all openings arrive: by the target's
// agent, in a Limiter. The agent reports the remaining openings to the balancers, which use
// other targets before an opening has to be returned.
//
// A loaded target serves its queue of requests in the order of their arrival, whatever their
// class, and rejects those that do not fit. A ClassLimiter, also in the agent, limits the
// requests at the target, and admits less urgent classes only up to a lower number. So there
// is room for the more urgent ones, and the queue is short enough for the objectives.
//
// # Usage
//
//	var l admission.Limiter
//	if l.Remaining(now, rate) > 0 {
//		l.Record(now) // and deliver the opening to the target
//	}
//
//	var c admission.ClassLimiter
//	c.ObserveOpening(now, class, elsewhere)
//	if c.Admits(now, load, class, insist) {
//		c.RecordAdmission(now, class) // and deliver the opening to the target
//	}
package admission

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// window is a second, with 50 ms more: openings may arrive at the target closer together
// than they left the agent.
const window = clock.Second + 50*clock.Millis(1)

// maxRate bounds the openings that are stored, whatever rate a parcel requests.
const maxRate = 10_000

// Limiter is a sliding-window rate limiter. The zero value has no recorded openings.
type Limiter struct {
	admitted []clock.Millis
	// blockedUntil is until when no opening is admitted, because it is not known how many
	// were admitted before.
	blockedUntil clock.Millis
}

// AssumeFull blocks openings for a window, because those before now are not known: an
// earlier process may have admitted as many as the rate allows.
func (l *Limiter) AssumeFull(now clock.Millis) {
	l.blockedUntil = now + window
}

// Remaining returns how many more openings are admitted now, at a rate per second.
func (l *Limiter) Remaining(now clock.Millis, rate int) int {
	if now < l.blockedUntil {
		return 0
	}
	l.removeExpired(now)
	return max(min(rate, maxRate)-len(l.admitted), 0)
}

// Record records an opening that was delivered to the target.
func (l *Limiter) Record(now clock.Millis) {
	l.removeExpired(now)
	if len(l.admitted) < maxRate {
		l.admitted = append(l.admitted, now)
	}
}

// removeExpired removes the openings before the window. Time does not go back.
func (l *Limiter) removeExpired(now clock.Millis) {
	out := 0
	for out < len(l.admitted) && now.Sub(l.admitted[out]) > window {
		out++
	}
	l.admitted = slices.Delete(l.admitted, 0, out)
}
