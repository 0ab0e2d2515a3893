package target

import (
	"sync/atomic"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// pathCount is the number of paths. Targets whose IDs are equal modulo
	// pathCount share a path and change ports together, which is harmless.
	pathCount = 4096
	// minPortChangeInterval is the minimum time between two changes of one
	// path's port.
	minPortChangeInterval = clock.Second
	// minUnanswered is how many consecutive asks, for any flows, the target
	// must leave unanswered before its path's port changes.
	minUnanswered = 8
)

// Paths selects the source port that a balancer uses towards each target.
//
// A device between a balancer and an agent may lose the state of one pair of ports and
// drop all datagrams between them. When asks to a target go unanswered, for one flow or
// several, the next datagrams are sent from another port. Flows are not affected: the
// agent holds them and answers to the port from which a datagram came.
//
// Workers share Paths without locks.
type Paths struct {
	paths [pathCount]path
}

type path struct {
	port            atomic.Uint32
	changedAt       atomic.Int64
	unanswered      atomic.Uint32
	unansweredSince atomic.Int64
}

func (p *Paths) pathTo(id ID) *path {
	return &p.paths[id%pathCount]
}

// Port returns the index of the port towards a target; the caller takes it modulo
// the number of its ports.
func (p *Paths) Port(id ID) uint32 {
	return p.pathTo(id).port.Load()
}

// RecordAsk records that a target was asked about a flow, and reports whether the
// path's port was changed.
func (p *Paths) RecordAsk(now clock.Millis, id ID) bool {
	s := p.pathTo(id)
	n := s.unanswered.Add(1)
	if n == 1 {
		s.unansweredSince.Store(int64(now))
	}
	if n < minUnanswered || now.Sub(clock.Millis(s.unansweredSince.Load())) <= askTimeout {
		return false
	}
	return p.ChangePort(now, id)
}

// RecordAnswer records an answer from a target.
func (p *Paths) RecordAnswer(id ID) {
	p.pathTo(id).unanswered.Store(0)
}

// ChangePort changes the port of a path, unless it was changed less than
// minPortChangeInterval ago. It reports whether the port was changed.
func (p *Paths) ChangePort(now clock.Millis, id ID) bool {
	s := p.pathTo(id)
	last := s.changedAt.Load()
	if now.Sub(clock.Millis(last)) < minPortChangeInterval || !s.changedAt.CompareAndSwap(last, int64(now)) {
		return false
	}
	s.unanswered.Store(0)
	s.port.Add(1)
	return true
}
