// Package decisions logs and counts what processes decide about flows, in one
// form for all of them.
//
// # The model
//
// Each decision is one line: its kind as "event", the flow, the target, the age
// of the input that decided it, and the version in force. The volume is bounded:
// what is over the budget is counted, and the next line tells how many were left
// out. Writing never blocks: a reader of standard output that is slow costs
// lines, and no packet waits for it.
//
// # Usage
//
//	out, closeLog := decisions.Writer(os.Stdout)
//	defer closeLog()
//	r := decisions.NewRecorder(zerolog.New(out), scope)
//	r.Record(events)
package decisions

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
)

const (
	// linesPerSecond and burst bound the lines about flows: at some 20 us a line, 0.2 %
	// of a core and 3 % of the smallest share that a balancer gets.
	linesPerSecond = 100
	burst          = 400
	// kept is how many lines wait for a slow reader, and closeWait how long a process
	// that ends waits until it has read them.
	kept      = 1000
	closeWait = 500 * time.Millisecond
)

// Buckets are the bounds of latency histograms: from a hop inside a failure domain
// to the longest patience of callers.
var Buckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// timed are the decisions whose age is a latency: how long the flow waited for it.
var timed = []stream.EventKind{stream.OwnerConfirmed, stream.Accepted, stream.OwnerFound, stream.SearchFailed}

// Writer returns a writer that never blocks, and a function that writes what
// still waits, within a bounded time: a process that stops must not be there for as long
// as nobody reads. Lines that find no room are lost and counted in a line.
func Writer(w io.Writer) (io.Writer, func()) {
	out := diode.NewWriter(w, kept, 0, func(missed int) {
		// The diode calls this from its own goroutine, after it has made room.
		l := zerolog.New(w)
		l.Warn().Str("event", "loglost").Int("lines", missed).Msg("the reader of the log is too slow")
	})
	return out, func() {
		written := make(chan struct{})
		go func() {
			_ = out.Close()
			close(written)
		}()
		select {
		case <-written:
		case <-time.After(closeWait):
		}
	}
}

// Recorder logs and counts decisions.
type Recorder struct {
	log     zerolog.Logger
	scope   tally.Scope
	limit   *rate.Limiter
	left    int
	counter map[stream.EventKind]tally.Counter
	latency map[stream.EventKind]tally.Histogram
}

// NewRecorder returns a recorder. It is used under the lock of the decisions
// that it records.
func NewRecorder(log zerolog.Logger, scope tally.Scope) *Recorder {
	r := &Recorder{
		log: log, scope: scope, limit: rate.NewLimiter(linesPerSecond, burst),
		counter: map[stream.EventKind]tally.Counter{}, latency: map[stream.EventKind]tally.Histogram{},
	}
	for _, k := range timed {
		r.latency[k] = scope.Histogram("latency_"+string(k), Buckets)
	}
	return r
}

// Record takes the events of one outcome.
func (r *Recorder) Record(events []stream.Event) {
	for i := range events {
		r.count(&events[i])
		if !r.limit.AllowN(time.Now(), 1) {
			r.left++
			continue
		}
		r.write(&events[i])
	}
}

func (r *Recorder) count(e *stream.Event) {
	c, ok := r.counter[e.Kind]
	if !ok {
		c = r.scope.Counter("decisions_" + string(e.Kind))
		r.counter[e.Kind] = c
	}
	c.Inc(1)
	if h, ok := r.latency[e.Kind]; ok {
		h.RecordDuration(e.Age.Duration())
	}
}

func (r *Recorder) write(e *stream.Event) {
	line := r.log.Info().Str("event", string(e.Kind))
	if e.Flow.Caller.IsValid() {
		line = line.Stringer("flow", e.Flow)
	}
	if e.Target.IsValid() {
		line = line.Stringer("target", e.Target)
	}
	for _, text := range []struct{ key, value string }{
		{"name", e.Name}, {"service", e.Service}, {"reason", e.Reason},
	} {
		if text.value != "" {
			line = line.Str(text.key, text.value)
		}
	}
	if e.Version != 0 {
		line = line.Uint64("version", e.Version)
	}
	if r.left > 0 {
		line = line.Int("left", r.left)
		r.left = 0
	}
	line.Int64("age", int64(e.Age)).Int("count", e.Count).Send()
}
