// Package treatment says how a fake of the platform's store treats the calls of one process,
// in tests without a network: the store may serve some processes and fail for others.
//
// # Usage
//
//	err := treatments[name].Answer(ctx, treatment.Any) // waits as the store would
//	if treatments[name].Swallows() { <-ctx.Done() }    // a pending wait gets no answer
package treatment

import (
	"context"
	"time"

	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// Delay is the delay of an answer, slowDelay that of a slow store, and verySlowDelay is longer
// than balancers wait for an answer at first.
const (
	Delay         = 4 * time.Millisecond
	slowDelay     = 400 * time.Millisecond
	verySlowDelay = time.Second
)

// Treatment is how the store treats the calls of a process.
type Treatment int

// Treatments.
const (
	Served Treatment = iota
	// Silent swallows calls, also those that were pending when the silence began.
	Silent
	// Refused answers with platform.ErrUnavailable.
	Refused
	// ReplicaOnly is silent except for reads that a replica can answer.
	ReplicaOnly
	// Slow and VerySlow serve late.
	Slow
	VerySlow
)

// Call is a kind of call.
type Call int

// Calls.
const (
	// Any may be answered by a replica.
	Any Call = iota
	// Current is answered by the store itself.
	Current
)

// Swallows reports whether pending calls are not answered.
func (t Treatment) Swallows() bool {
	return t == Silent || t == ReplicaOnly
}

// Answer waits as long as the store takes for its answer to a call. It returns
// platform.ErrUnavailable if the store refuses the call, or does not answer before the
// context ends.
func (t Treatment) Answer(ctx context.Context, call Call) error {
	delay := time.After(t.delay())
	switch {
	case t == Refused:
		return platform.ErrUnavailable
	case t == Silent, t == ReplicaOnly && call == Current:
		delay = nil
	}
	select {
	case <-ctx.Done():
		return platform.ErrUnavailable
	case <-delay:
		return nil
	}
}

func (t Treatment) delay() time.Duration {
	switch t {
	case Slow:
		return slowDelay
	case VerySlow:
		return verySlowDelay
	default:
		return Delay
	}
}
