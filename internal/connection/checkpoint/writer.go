package checkpoint

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// leastSend is the shortest pause between two entries of one agent: what balancers
	// keep of them is written no more often than every two seconds.
	leastSend = clock.Second
	// mostSend bounds the pause that a keeper may ask for.
	mostSend = 2 * clock.Minute
	// staleAck is how far a caller may acknowledge beyond what is kept: a reset is
	// taken within 76,800 bytes of what its caller acknowledged last.
	staleAck = 30_000
	// flowsPerPart keeps a part within one frame.
	flowsPerPart = 80
)

// Writer decides when an agent sends its entry to the keeper.
type Writer struct {
	// born and kept are of the last entry that is in the store.
	born uint64
	kept map[segment.Flow]uint32
	// sent is the entry that was sent last, and number its number.
	sent   Entry
	number uint32
	next   clock.Millis
	pause  clock.Millis
}

// NewWriter returns a Writer that has sent nothing yet.
func NewWriter() *Writer {
	return &Writer{kept: map[segment.Flow]uint32{}, pause: leastSend}
}

// Due reports that the entry is to be looked at, and notes that it is.
func (w *Writer) Due(now clock.Millis) bool {
	if now < w.next {
		return false
	}
	w.next = now + w.pause
	return true
}

// Changed reports that an entry is worth to be sent. A flow that has ended is no
// reason: to reset it does no harm.
func (w *Writer) Changed(e *Entry) bool {
	if len(e.Flows) > 0 && e.Born != w.born {
		return true
	}
	for f := range e.Flows.All() {
		if ack, ok := w.kept[f.ID]; !ok || int32(f.Ack-ack) > staleAck {
			return true
		}
	}
	return false
}

// Parts splits an entry that is sent now. Of too many flows those that were used last
// are in it; flows are in that order.
func (w *Writer) Parts(e *Entry) []*wire.Checkpoint {
	w.sent = *e
	w.sent.Flows = e.Flows.Last(mostFlows)
	w.number++
	var parts []*wire.Checkpoint
	for flows := range slices.Chunk(w.sent.Flows, flowsPerPart*flowSize) {
		parts = append(parts, &wire.Checkpoint{
			Service: e.Service, Born: e.Born, Writer: e.Writer, Number: w.number,
			Part: uint32(len(parts)), Flows: flows,
		})
	}
	for _, p := range parts {
		p.Parts = uint32(len(parts))
	}
	return parts
}

// Kept notes that an entry is in the store, and how long the keeper pauses. It reports
// whether it is the last one that was sent.
func (w *Writer) Kept(number uint32, pause clock.Millis) bool {
	if number != w.number {
		return false
	}
	w.pause = min(max(pause/2, leastSend), mostSend)
	w.born = w.sent.Born
	clear(w.kept)
	for f := range w.sent.Flows.All() {
		w.kept[f.ID] = f.Ack
	}
	return true
}
