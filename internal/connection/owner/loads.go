package owner

import (
	"slices"
	"sync"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// fullWarmth is the warmth of a target that takes its full share, in thousandths.
const fullWarmth = 1000

// LocalState is the present state of the agent's own target.
type LocalState struct {
	// Flows is the number of open flows.
	Flows int
	// Accepting is false while the target drains, sheds or is not up.
	Accepting bool
	// Slots is the target's capacity, or 0 if the target does not report it.
	Slots uint32
	// Busy is the number of slots in use.
	Busy uint32
	// Warmth is in thousandths.
	Warmth uint32
}

// PeerLoads is what an agent knows of the load of its peers: their last digests
// and the flows it has placed on each since.
//
// A home counts its own placements so that a burst does not herd onto the one
// target that looked idle. Between two digests every other home places flows
// there too, so each placement counts once for every home.
type PeerLoads struct {
	mu     sync.Mutex
	maxAge clock.Millis
	peers  map[target.ID]*load
}

type load struct {
	incarnation uint32
	digest      loadDigest
	receivedAt  clock.Millis
	placedSince uint32
}

// loadDigest holds the fields of a wire.Digest that decisions use, so that the
// message can be reused.
type loadDigest struct {
	sequence  uint64
	flows     uint32
	slots     uint32
	warmth    uint32
	accepting bool
}

// NewPeerLoads returns an empty state. A target whose digest is older than maxAge
// is of unknown load: it is chosen only if no other target can be.
func NewPeerLoads(maxAge clock.Millis) *PeerLoads {
	return &PeerLoads{maxAge: maxAge, peers: map[target.ID]*load{}}
}

// SetMaxAge replaces the maximum age of digests.
func (l *PeerLoads) SetMaxAge(maxAge clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxAge = maxAge
}

// Update stores a peer's digest, and reports false if it is out of date.
func (l *PeerLoads) Update(now clock.Millis, from target.ID, incarnation uint32, d *wire.Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[from]
	if p == nil {
		p = &load{}
		l.peers[from] = p
	}
	if incarnation < p.incarnation || incarnation == p.incarnation && d.Sequence <= p.digest.sequence {
		return false
	}
	p.incarnation = incarnation
	p.receivedAt = now
	p.placedSince = 0
	p.digest = loadDigest{
		sequence: d.Sequence, flows: d.Flows, slots: d.Slots, warmth: d.Warmth, accepting: d.Accepting,
	}
	return true
}

// Retain removes the peers that are not in the set, so that the table does not
// outgrow the service.
func (l *PeerLoads) Retain(set *target.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.peers {
		if _, ok := set.Find(id); !ok {
			delete(l.peers, id)
		}
	}
}

// bestChoice is the best target so far.
type bestChoice struct {
	candidate *target.Candidate
	cost      float64
	rank      uint64
}

func (c *bestChoice) consider(t *target.Candidate, cost float64, rank uint64) {
	if c.candidate == nil || cost < c.cost || cost == c.cost && rank > c.rank {
		*c = bestChoice{candidate: t, cost: cost, rank: rank}
	}
}

// Choose returns the target for a new flow: the one with the fewest flows per
// slot. Cold targets get at most an even share scaled by their warmth, unless all
// are cold. Targets of unknown load come last.
func (l *PeerLoads) Choose(now clock.Millis, v *View, local LocalState, skip []target.ID, random float64) (*target.Candidate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best, cold, unknown bestChoice
	homes := v.homeCount()
	for i := range v.Set.Targets {
		c := &v.Set.Targets[i]
		if !c.AcceptsFlows() || slices.Contains(skip, c.ID) {
			continue
		}
		rank := tieBreakRank(random, c.ID)
		state, ok := l.candidateState(now, c, v, local, homes)
		if !ok {
			unknown.consider(c, 0, rank)
			continue
		}
		if !state.accepting {
			continue
		}
		if state.warmth < fullWarmth && random*float64(homes*fullWarmth) >= float64(state.warmth) {
			cold.consider(c, state.cost, rank)
			continue
		}
		best.consider(c, state.cost, rank)
	}
	for _, b := range []bestChoice{best, cold, unknown} {
		if b.candidate != nil {
			l.countPlacement(b.candidate, v.Self)
			return b.candidate, true
		}
	}
	return nil, false
}

type candidateState struct {
	cost      float64
	warmth    uint32
	accepting bool
}

func (l *PeerLoads) candidateState(now clock.Millis, c *target.Candidate, v *View, local LocalState, homes int) (candidateState, bool) {
	if c.ID == v.Self {
		return candidateState{cost: cost(float64(local.Flows), local.Slots), warmth: local.Warmth, accepting: local.Accepting}, true
	}
	p, ok := l.peers[c.ID]
	if !ok || p.incarnation != c.Incarnation || now.Sub(p.receivedAt) > l.maxAge {
		return candidateState{}, false
	}
	flows := float64(p.digest.flows) + float64(p.placedSince)*float64(homes)
	return candidateState{cost: cost(flows, p.digest.slots), warmth: p.digest.warmth, accepting: p.digest.accepting}, true
}

func cost(flows float64, slots uint32) float64 {
	return flows / float64(max(slots, 1))
}

func (l *PeerLoads) countPlacement(c *target.Candidate, self target.ID) {
	if p, ok := l.peers[c.ID]; ok && c.ID != self {
		p.placedSince++
	}
}

// homeCount returns the number of targets that place flows.
func (v *View) homeCount() int {
	n := 0
	for i := range v.Set.Targets {
		if v.Set.Targets[i].AcceptsFlows() {
			n++
		}
	}
	return max(n, 1)
}

// tieBreakRank orders targets of equal load differently for each flow.
func tieBreakRank(random float64, id target.ID) uint64 {
	return (uint64(random*(1<<53)) ^ uint64(id)) * 0x9e3779b97f4a7c15
}
