// Package target decides, for each datagram of a caller, which target a
// balancer sends it to.
//
// A flow belongs to one target of its service, and only that target's agent holds
// its state. A balancer ranks the service's targets for the flow by rendezvous
// hashing and sends the datagram to the first; agents forward it along that ranking
// until it reaches the owner. This is called a walk. A balancer caches owners in
// Hints, so that later datagrams take one hop; losing the cache breaks no flow.
//
// # Usage
//
//	set := target.NewSet(number, candidates)
//	route, ok := hints.Route(now, set, caller, opening)
package target

import (
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"
)

// ID identifies a target within its service. It is a hash of the target's
// name, so every process derives the same one.
type ID = uint32

// IDFromName returns the ID of the target with the given name. It is never zero.
func IDFromName(name string) ID {
	id := ID(xxh3.HashString(name))
	if id == 0 {
		return 1
	}
	return id
}

// Candidate is a process's view of one target of a service.
type Candidate struct {
	ID          ID
	Name        string
	Incarnation uint32
	// Sequence counts the changes of the target's own record.
	Sequence uint64
	// Tunnel is the address at which the target's agent receives envelopes.
	Tunnel netip.AddrPort
	// Draining targets keep their flows and get no opening datagrams.
	Draining bool
	// Leaving targets are stopping, and a successor will have their flows. They get
	// no opening datagrams, and they come late in a walk, because nobody serves
	// their flows until the successor does.
	Leaving bool
	// Suspected targets missed heartbeats. They get no opening datagrams and
	// come last in a walk, because they may drop what they are sent.
	Suspected bool
}

// AcceptsFlows reports whether the target may be the home of a new flow. It ignores
// load: the home must be the same in every view, or two copies of a datagram would
// go to two homes.
func (c *Candidate) AcceptsFlows() bool {
	return !c.Draining && !c.Leaving && !c.Suspected
}

// Set holds the targets of one service in one view. It is immutable.
type Set struct {
	Service uint32
	Targets []Candidate
}

// NewSet returns a set with its targets sorted by ID.
func NewSet(service uint32, targets []Candidate) *Set {
	sorted := slices.Clone(targets)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return compareIDs(a.ID, b.ID)
	})
	return &Set{Service: service, Targets: sorted}
}

func compareIDs(a, b ID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// Find returns the target with the given ID.
func (s *Set) Find(id ID) (*Candidate, bool) {
	for i := range s.Targets {
		if s.Targets[i].ID == id {
			return &s.Targets[i], true
		}
	}
	return nil, false
}

// Score returns the rendezvous weight of a target for a caller. It depends only on
// inputs that are equal in all views.
func Score(caller []byte, id ID) uint64 {
	return xxh3.HashSeed(caller, uint64(id))
}

// Home returns the target that places a new flow: among those that accept flows, the
// one with the highest score.
func (s *Set) Home(caller []byte) (*Candidate, bool) {
	var best *Candidate
	var high uint64
	for i := range s.Targets {
		c := &s.Targets[i]
		if !c.AcceptsFlows() {
			continue
		}
		if score := Score(caller, c.ID); best == nil || score > high {
			best, high = c, score
		}
	}
	return best, best != nil
}

// Next returns the target that follows the visited ones in a walk: targets are ordered
// by descending score, leaving targets after the others and suspected ones last.
//
// A dead target drops what it is sent, so targets after it are never reached. With
// suspected targets last, this affects only flows whose owner is a suspected target.
// Likewise only the flows of a leaving target wait for its successor.
func (s *Set) Next(caller []byte, visited []ID) (*Candidate, bool) {
	var best *Candidate
	var high uint64
	for i := range s.Targets {
		c := &s.Targets[i]
		if slices.Contains(visited, c.ID) {
			continue
		}
		score := Score(caller, c.ID)
		if best == nil || ranksBefore(c, score, best, high) {
			best, high = c, score
		}
	}
	return best, best != nil
}

func ranksBefore(c *Candidate, score uint64, best *Candidate, high uint64) bool {
	if c.absence() != best.absence() {
		return c.absence() < best.absence()
	}
	return score > high
}

// absence ranks targets by how likely they are not to answer.
func (c *Candidate) absence() int {
	switch {
	case c.Suspected:
		return 2
	case c.Leaving:
		return 1
	default:
		return 0
	}
}

// Start returns the target at which a walk starts; attempt counts from zero. Every
// target is the start of some attempt, so a dead target in the middle of the walk
// cannot make the owner unreachable forever.
func (s *Set) Start(caller []byte, attempt int) (*Candidate, bool) {
	if len(s.Targets) == 0 {
		return nil, false
	}
	var buf [16]ID
	visited := buf[:0]
	for range attempt % len(s.Targets) {
		c, ok := s.Next(caller, visited)
		if !ok {
			break
		}
		visited = append(visited, c.ID)
	}
	return s.Next(caller, visited)
}
