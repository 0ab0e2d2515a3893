// Package successor retains datagrams for targets that are being restarted and sends them to
// the targets' successors. Balancers and agents share it.
//
// A process keeps a copy of each envelope that it sends to a leaving target, and sends the
// copies once one of its views has the successor.
//
// # Usage
//
//	w := successor.New(deps)
//	go w.Run(stop, views)
//	if to.Leaving {
//		w.Keep(e, to)
//	}
//	w.Wake() // after each change of a view
package successor

import (
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/retain"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Deps are the dependencies of a Waiting.
type Deps struct {
	Clock  clock.Clock
	Sealer *envelope.Sealer
	// Write sends a datagram to a target.
	Write func(to *target.Candidate, datagram []byte) error
	Log   zerolog.Logger
	Scope tally.Scope
}

// Waiting holds the envelopes that wait for successors. It is safe for concurrent use.
type Waiting struct {
	deps    Deps
	buffer  *retain.Buffer[[]byte]
	changed chan struct{}
	// released counts the copies that were sent, lost those that were given up.
	released, lost, unsent tally.Counter
}

// New returns a Waiting without envelopes.
func New(deps Deps) *Waiting {
	return &Waiting{
		deps: deps, buffer: retain.NewBuffer[[]byte](retain.DefaultLimits()), changed: make(chan struct{}, 1),
		released: deps.Scope.Counter("released"), lost: deps.Scope.Counter("unretained"), unsent: deps.Scope.Counter("unsent"),
	}
}

// Keep keeps a copy of an envelope that was sent to a leaving target.
func (w *Waiting) Keep(e *wire.Envelope, to *target.Candidate) {
	data, err := e.MarshalVT()
	if err != nil || !w.buffer.Add(w.deps.Clock.Now(), e.Service, to, envelope.ParseCaller(e.Caller), data) {
		w.lost.Inc(1)
	}
}

// Wake signals Run that a view has changed.
func (w *Waiting) Wake() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// Run sends the copies to the successors in each new view until stop is closed.
func (w *Waiting) Run(stop <-chan struct{}, views func() []*target.Set) {
	for {
		select {
		case <-stop:
			return
		case <-w.changed:
		}
		if w.buffer.Len() == 0 {
			continue
		}
		for _, set := range views() {
			for _, r := range w.buffer.ReleaseSet(w.deps.Clock.Now(), set) {
				w.send(&r)
			}
		}
	}
}

// ReleaseTo sends the copies for a target to a successor that no view may have yet.
func (w *Waiting) ReleaseTo(service uint32, successor *target.Candidate) {
	if r, ok := w.buffer.Release(w.deps.Clock.Now(), service, successor); ok {
		w.send(&r)
	}
}

func (w *Waiting) send(r *retain.Released[[]byte]) {
	for _, c := range r.Copies {
		sealed, err := w.deps.Sealer.SealAged(nil, c.Data, c.Age)
		if err == nil {
			err = w.deps.Write(r.To, sealed)
		}
		if err != nil {
			w.unsent.Inc(1)
		}
	}
	w.released.Inc(int64(len(r.Copies)))
	w.lost.Inc(int64(r.Expired))
	w.deps.Log.Info().Str("event", "released").Str("name", r.To.Name).Uint32("incarnation", r.To.Incarnation).
		Int("count", len(r.Copies)).Int("expired", r.Expired).Int64("age", int64(r.Oldest())).
		Msg("sent the datagrams that waited for a restarted target")
}
