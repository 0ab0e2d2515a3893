package target

import (
	"sync/atomic"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// pathSlots is how many targets have a path of their own. Two targets
	// that share one change ports together, which harms neither.
	pathSlots = 4096
	// rotateGap is the least time between two changes for one target.
	rotateGap = clock.Second
	// leastUnanswered asks in a row, of any flows, must have gone without an
	// answer of the target before its path is given up.
	leastUnanswered = 8
)

// Paths says which of a balancer's ports is used towards each target.
//
// Something between a balancer and an agent may lose track of one pair of ports, and all
// that is sent through it disappears. When asks to a target go unanswered, of one flow or
// of several, the next datagrams leave from another port. Flows stay: they are the
// agent's, which answers to whatever port it hears from.
//
// Workers share it without locks.
type Paths struct {
	slots [pathSlots]path
}

type path struct {
	port       atomic.Uint32
	changed    atomic.Int64
	unanswered atomic.Uint32
	since      atomic.Int64
}

func (p *Paths) slot(id ID) *path {
	return &p.slots[id%pathSlots]
}

// Port returns the number of the port towards a target; the caller takes it
// modulo the number of its ports.
func (p *Paths) Port(id ID) uint32 {
	return p.slot(id).port.Load()
}

// Asked notes that the owner of a flow was asked at a target, and reports that
// the path was given up for it.
func (p *Paths) Asked(now clock.Millis, id ID) bool {
	s := p.slot(id)
	n := s.unanswered.Add(1)
	if n == 1 {
		s.since.Store(int64(now))
	}
	if n < leastUnanswered || now.Sub(clock.Millis(s.since.Load())) <= patience {
		return false
	}
	return p.Change(now, id)
}

// Heard notes an answer of a target.
func (p *Paths) Heard(id ID) {
	p.slot(id).unanswered.Store(0)
}

// Change gives a path up, unless that was done a moment ago.
func (p *Paths) Change(now clock.Millis, id ID) bool {
	s := p.slot(id)
	last := s.changed.Load()
	if now.Sub(clock.Millis(last)) < rotateGap || !s.changed.CompareAndSwap(last, int64(now)) {
		return false
	}
	s.unanswered.Store(0)
	s.port.Add(1)
	return true
}
