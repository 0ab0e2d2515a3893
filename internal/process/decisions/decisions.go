// Package decisions logs and counts the decisions of all processes about flows,
// in one format.
//
// # The model
//
// Each decision is one line: its kind as "event", the flow, the target, the age
// of the input that it is based on, and the version in force. Lines are rate
// limited: all decisions are counted, and a line reports how many were omitted
// before it. Writing never blocks: if the reader of standard output is slow,
// lines are lost, but no packet is delayed.
//
// # Usage
//
//	out, closeLog := decisions.Writer(os.Stdout)
//	defer closeLog()
//	r := decisions.NewRecorder(zerolog.New(out), scope)
//	r.Record(events)
package decisions

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
)

const (
	// maxLinesPerSecond and maxLineBurst limit the lines about flows: at some 20 us a
	// line, 0.2 % of a core and 3 % of the smallest CPU share of a balancer.
	maxLinesPerSecond = 100
	maxLineBurst      = 400
	// maxBufferedLines is how many lines are buffered for a slow reader, and closeTimeout
	// how long a stopping process waits until the buffer is written.
	maxBufferedLines = 1000
	closeTimeout     = 500 * time.Millisecond
)

// Buckets are the bounds of latency histograms: from a hop inside a failure domain
// to the longest timeout of callers.
var Buckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// latencyKinds are the decisions whose age is a latency: how long the flow waited for
// the decision.
var latencyKinds = []stream.EventKind{stream.OwnerConfirmed, stream.Accepted, stream.OwnerFound, stream.SearchFailed}

// Writer returns a writer that never blocks, and a function that writes the buffered
// lines. That function returns after closeTimeout even if nobody reads, so that a
// process can stop. Lines that do not fit the buffer are lost, and a log line reports
// how many.
func Writer(w io.Writer) (io.Writer, func()) {
	out := diode.NewWriter(w, maxBufferedLines, 0, func(missed int) {
		// The diode calls this from its own goroutine, after it has freed buffer space.
		l := zerolog.New(w)
		l.Warn().Str("event", "loglost").Int("lines", missed).Msg("log lines were lost: the reader is too slow")
	})
	return out, func() {
		written := make(chan struct{})
		go func() {
			_ = out.Close()
			close(written)
		}()
		select {
		case <-written:
		case <-time.After(closeTimeout):
		}
	}
}

// Recorder logs and counts decisions.
type Recorder struct {
	log       zerolog.Logger
	scope     tally.Scope
	limiter   *rate.Limiter
	omitted   int
	counters  map[string]tally.Counter
	latencies map[stream.EventKind]tally.Histogram
}

// NewRecorder returns a Recorder. Its methods must be called under the lock of the
// component whose decisions it records.
func NewRecorder(log zerolog.Logger, scope tally.Scope) *Recorder {
	r := &Recorder{
		log: log, scope: scope, limiter: rate.NewLimiter(maxLinesPerSecond, maxLineBurst),
		counters: map[string]tally.Counter{}, latencies: map[stream.EventKind]tally.Histogram{},
	}
	for _, k := range latencyKinds {
		r.latencies[k] = scope.Histogram("latency_"+string(k), Buckets)
	}
	return r
}

// Record logs and counts the events of one outcome.
func (r *Recorder) Record(events []stream.Event) {
	for i := range events {
		r.count(&events[i])
		if !r.limiter.AllowN(time.Now(), 1) {
			r.omitted++
			continue
		}
		r.write(&events[i])
	}
}

func (r *Recorder) count(e *stream.Event) {
	r.counter(string(e.Kind)).Inc(1)
	if e.Class != nil {
		r.counter(fmt.Sprintf("%s_priority_%d", e.Kind, e.Class.Priority)).Inc(1)
	}
	if h, ok := r.latencies[e.Kind]; ok {
		h.RecordDuration(e.Age.Duration())
	}
}

// counter returns the counter of a kind of event.
func (r *Recorder) counter(name string) tally.Counter {
	c, ok := r.counters[name]
	if !ok {
		c = r.scope.Counter("decisions_" + name)
		r.counters[name] = c
	}
	return c
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
	if e.Class != nil {
		line = line.Int("priority", e.Class.Priority)
	}
	if e.Version != 0 {
		line = line.Uint64("version", e.Version)
	}
	if r.omitted > 0 {
		line = line.Int("left", r.omitted)
		r.omitted = 0
	}
	line.Int64("age", int64(e.Age)).Int("count", e.Count).Send()
}
