package checkpoint

import (
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// leastPause is the shortest pause between two writes of one agent.
	leastPause = 2 * clock.Second
	// mostPause bounds the pause after failed writes.
	mostPause = 30 * clock.Second
	// staleAck is how far a caller may acknowledge beyond what is written: a reset
	// is taken within 76,800 bytes of what its caller acknowledged last.
	staleAck = 30_000
)

// Settings of a Writer.
type Settings struct {
	// Writes is how many writes a second all agents together may make.
	Writes float64
	// Flows bounds the flows of an entry.
	Flows int
}

// Writer decides when an agent writes its entry.
type Writer struct {
	settings Settings
	// written is the last entry in the store, as far as this process wrote it.
	born    uint64
	written map[segment.Flow]uint32
	next    clock.Millis
	failed  int
}

// NewWriter returns a Writer that has written nothing yet.
func NewWriter(settings Settings) *Writer {
	return &Writer{settings: settings, written: map[segment.Flow]uint32{}}
}

// Due reports that the entry is to be looked at.
func (w *Writer) Due(now clock.Millis) bool {
	return now >= w.next
}

// Changed reports that an entry is worth a write. A flow that has ended is none: to
// claim or reset it does no harm.
func (w *Writer) Changed(e *Entry) bool {
	if len(e.Flows) > 0 && e.Born != w.born {
		return true
	}
	for i := range e.Flows {
		ack, ok := w.written[e.Flows[i].ID]
		if !ok || int32(e.Flows[i].Ack-ack) > staleAck {
			return true
		}
	}
	return false
}

// Trim keeps an entry within its bound. The flows that have waited longest for a
// packet go first; flows are in that order.
func (w *Writer) Trim(e *Entry) {
	if over := len(e.Flows) - w.settings.Flows; over > 0 {
		e.Flows = e.Flows[over:]
	}
}

// Looked notes that the entry was looked at, as one of that many agents. jitter is a
// random number of 0 to 1 that keeps agents apart.
func (w *Writer) Looked(now clock.Millis, agents int, jitter float64) {
	w.next = now + w.pause(agents, jitter)
}

// Wrote notes that an entry is in the store.
func (w *Writer) Wrote(e *Entry) {
	w.failed, w.born = 0, e.Born
	clear(w.written)
	for i := range e.Flows {
		w.written[e.Flows[i].ID] = e.Flows[i].Ack
	}
}

// Failed notes that the store did not take an entry: the next try waits longer.
func (w *Writer) Failed() {
	w.failed++
}

// pause spreads the agents' writes over their share of the store's rate.
func (w *Writer) pause(agents int, jitter float64) clock.Millis {
	share := clock.Millis(float64(agents) / w.settings.Writes * float64(clock.Second))
	base := max(leastPause, share)
	if w.failed > 0 {
		base = max(base, min(base<<min(w.failed, 8), mostPause))
	}
	return base*3/4 + clock.Millis(jitter*float64(base)/2)
}
