// Package exchange defines the application protocol that the test callers and
// upstreams speak over QUIC streams, and the oracle that records what both ends
// observed.
//
// # The model
//
// A caller opens a stream, writes one Request as a line of JSON and reads the
// answer until the stream ends. A revision must run at most once; a feed sends
// ticks; a download sends a stated number of bytes. The last line of an answer is a
// Trailer that repeats the request's ID, so that an answer that is truncated or
// belongs to another request is detected.
//
// Both ends report to the Oracle, whose verdict depends on these reports alone.
//
// # Usage
//
//	o := exchange.NewOracle()
//	... // callers and upstreams report to o
//	verdict := o.Verdict()
package exchange

import (
	"sync"
)

// Op is the operation of a request.
type Op string

// Operations.
const (
	Revision Op = "revision"
	Feed     Op = "feed"
	Download Op = "download"
)

// Protocol is the ALPN protocol name.
const Protocol = "wagtailtray-standin"

// Request is the first line of a stream.
type Request struct {
	ID      uint64 `json:"id"`
	Service string `json:"service"`
	Op      Op     `json:"op"`
	// Size is the number of ticks of a feed or bytes of a download.
	Size int `json:"size"`
	// IntervalMillis is the time between the ticks of a feed.
	IntervalMillis int `json:"every"`
}

// Trailer is the last line of an answer.
type Trailer struct {
	ID   uint64 `json:"id"`
	Size int    `json:"size"`
}

// Outcome is the outcome of a request as observed by the caller.
type Outcome int

// Outcomes.
const (
	// Complete means that the complete answer to the request arrived.
	Complete Outcome = iota
	// Crossed means that an answer to another request arrived.
	Crossed
	// Partial means that an answer began to arrive and did not end.
	Partial
	// Lost means that no answer arrived on an open session.
	Lost
)

// Verdict is the result of a run. The fields are counts.
type Verdict struct {
	Flows      int
	Opened     int
	Refused    int
	Broken     int
	Planned    int
	Requests   int
	Crossed    int
	Doubled    int
	Lost       int
	Partial    int
	RanRefused int
	Late       int
}

// Oracle records what callers and upstreams observed.
type Oracle struct {
	mu              sync.Mutex
	lastID          uint64
	runCounts       map[uint64]int
	sessionOf       map[uint64]uint64
	refusedSessions map[uint64]bool
	verdict         Verdict
	// crashed are the targets that were killed without a drain.
	crashed map[string]bool
	// servedBy is the target that ran a session's requests last.
	servedBy map[uint64]string
}

// NewOracle returns an oracle without records.
func NewOracle() *Oracle {
	return &Oracle{
		runCounts: map[uint64]int{}, sessionOf: map[uint64]uint64{}, refusedSessions: map[uint64]bool{},
		crashed: map[string]bool{}, servedBy: map[uint64]string{},
	}
}

// StartSession starts the record of a session and returns its ID.
func (o *Oracle) StartSession() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	o.verdict.Flows++
	return o.lastID
}

// RecordOpened records that a session's handshake has completed.
func (o *Oracle) RecordOpened() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdict.Opened++
}

// RecordRefused records that a session was refused: none of its requests may run.
func (o *Oracle) RecordRefused(session uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdict.Refused++
	o.refusedSessions[session] = true
}

// RecordBroken records that an open session ended with an error. This violates the
// guarantees unless its target crashed.
func (o *Oracle) RecordBroken(session uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdict.Broken++
	if !o.crashed[o.servedBy[session]] {
		o.verdict.Planned++
	}
}

// RecordCrash records that a target was killed without a drain.
func (o *Oracle) RecordCrash(target string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.crashed[target] = true
}

// StartRequest starts the record of a request and returns its ID.
func (o *Oracle) StartRequest(session uint64) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	o.verdict.Requests++
	o.sessionOf[o.lastID] = session
	return o.lastID
}

// RecordOutcome records the outcome of a request at the caller.
func (o *Oracle) RecordOutcome(outcome Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch outcome {
	case Crossed:
		o.verdict.Crossed++
	case Partial:
		o.verdict.Partial++
	case Lost:
		o.verdict.Lost++
	}
}

// RecordRun records that a target of a service ran a request.
func (o *Oracle) RecordRun(r *Request, service, target string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runCounts[r.ID]++
	session := o.sessionOf[r.ID]
	if r.Service != service {
		o.verdict.Crossed++
	}
	if previous, ok := o.servedBy[session]; ok && previous != target {
		// Two targets served one session, whose state is at the first.
		o.verdict.Crossed++
	}
	o.servedBy[session] = target
}

// ServedBy returns the target that ran a session's requests last, or an empty string
// if none ran.
func (o *Oracle) ServedBy(session uint64) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.servedBy[session]
}

// RecordLateOpening records that a target got a connection too long after its drain
// began.
func (o *Oracle) RecordLateOpening() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdict.Late++
}

// Verdict returns the result of the run so far.
func (o *Oracle) Verdict() Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.verdict
	for id, runs := range o.runCounts {
		if runs > 1 {
			v.Doubled++
		}
		if o.refusedSessions[o.sessionOf[id]] {
			v.RanRefused++
		}
	}
	return v
}

// Passed reports whether all guarantees held.
func (v *Verdict) Passed() bool {
	return v.Crossed+v.Doubled+v.Lost+v.Partial+v.RanRefused+v.Planned+v.Late == 0
}
