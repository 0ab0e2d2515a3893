package checkpoint

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// minSendInterval is the minimum interval between two entries of one agent:
	// balancers write them no more often than every two seconds.
	minSendInterval = clock.Second
	// maxSendInterval bounds the interval that a keeper may request.
	maxSendInterval = 2 * clock.Minute
	// maxAckLag is how far a caller may acknowledge beyond what is stored: a caller
	// accepts a reset within 76,800 bytes of its last acknowledgement.
	maxAckLag = 30_000
	// flowsPerPart limits a part to one frame.
	flowsPerPart = 80
	// listedTTL is the age of the stored entry after which a new one is sent, also of a target
	// without flows: keepers remove entries after maxClockSkew and the lifetime of a flow.
	listedTTL = 30 * clock.Second
)

// Sender decides when an agent sends its entry to the keeper.
type Sender struct {
	// storedBorn and storedAcks are those of the last entry that is known to be in the
	// store.
	storedBorn uint64
	storedAcks map[segment.Flow]uint32
	// listed is set if the store has an entry of the target, which was sent at storedAt.
	listed   bool
	storedAt clock.Millis
	// sent is the entry that was sent last, with its number and the time.
	sent   Entry
	sentAt clock.Millis
	number uint32
	// checkedAt is when the entry was last checked, and nextDue when it is due again.
	checkedAt    clock.Millis
	nextDue      clock.Millis
	sendInterval clock.Millis
}

// NewSender returns a Sender that has sent nothing yet.
func NewSender() *Sender {
	return &Sender{storedAcks: map[segment.Flow]uint32{}, sendInterval: minSendInterval}
}

// Due reports whether the entry is to be checked now, and schedules the next check.
func (s *Sender) Due(now clock.Millis) bool {
	if now < s.nextDue {
		return false
	}
	s.nextDue, s.checkedAt = now+s.sendInterval, now
	return true
}

// Forget records that the target has left, and that keepers remove its entry.
func (s *Sender) Forget() {
	s.listed = false
}

// Listed reports whether the store surely lists the target. ttl is how long keepers retain
// an entry.
func (s *Sender) Listed(now, ttl clock.Millis) bool {
	return s.listed && now.Sub(s.storedAt) <= ttl
}

// NeedsSend reports whether an entry is to be sent. A flow that has ended is no reason
// to send it: resetting that flow does no harm. A target without flows is sent as well:
// balancers that replace all others take from the store which targets there are.
func (s *Sender) NeedsSend(e *Entry) bool {
	if !s.Listed(s.checkedAt, listedTTL) || len(e.Flows) > 0 && e.Born != s.storedBorn {
		return true
	}
	for f := range e.Flows.All() {
		if ack, ok := s.storedAcks[f.ID]; !ok || int32(f.Ack-ack) > maxAckLag {
			return true
		}
	}
	return false
}

// Parts splits an entry that is sent now. If there are too many flows, it has those that
// were used last; flows are in the order of their last use.
func (s *Sender) Parts(e *Entry) []*wire.Checkpoint {
	s.sent, s.sentAt = *e, s.checkedAt
	s.sent.Flows = e.Flows.Last(maxFlows)
	s.number++
	var parts []*wire.Checkpoint
	add := func(flows Flows) {
		parts = append(parts, &wire.Checkpoint{
			Service: e.Service, Born: e.Born, Writer: e.Writer, Number: s.number,
			Part: uint32(len(parts)), Flows: flows,
		})
	}
	if len(s.sent.Flows) == 0 {
		add(nil)
	}
	for flows := range slices.Chunk(s.sent.Flows, flowsPerPart*flowSize) {
		add(flows)
	}
	for _, p := range parts {
		p.Parts = uint32(len(parts))
	}
	return parts
}

// Acknowledge records that an entry is in the store, and the keeper's write interval. It
// reports whether the entry is the last one that was sent.
func (s *Sender) Acknowledge(number uint32, writeInterval clock.Millis) bool {
	if number != s.number {
		return false
	}
	s.sendInterval = min(max(writeInterval/2, minSendInterval), maxSendInterval)
	s.storedBorn, s.listed, s.storedAt = s.sent.Born, true, s.sentAt
	clear(s.storedAcks)
	for f := range s.sent.Flows.All() {
		s.storedAcks[f.ID] = f.Ack
	}
	return true
}
