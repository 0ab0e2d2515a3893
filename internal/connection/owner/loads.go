package owner

import (
	"slices"
	"sync"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// warm is the warmth of a target that takes its full share.
const warm = 1000

// Own is what an agent knows of its own target at this moment.
type Own struct {
	// Flows is the number of open flows.
	Flows int
	// Accepting is false while the target drains, sheds or is not up.
	Accepting bool
	// Slots is the target's capacity; 0 means that it reports none.
	Slots uint32
	// Busy is the number of slots in use.
	Busy uint32
	// Warmth is in thousandths.
	Warmth uint32
}

// Loads is what an agent knows of the load of its peers: their last digests
// and the flows it placed on each since.
//
// The count that a home adds for its own placements is what keeps a burst from
// herding onto the one target that looked idle: between two digests every
// other home places there too, so each placement counts once for every home.
type Loads struct {
	mu    sync.Mutex
	bound clock.Millis
	peers map[target.ID]*load
}

type load struct {
	incarnation uint32
	digest      wireDigest
	at          clock.Millis
	placed      uint32
}

// wireDigest holds the fields of a wire.Digest that decisions use, so that
// messages can be reused.
type wireDigest struct {
	sequence  uint64
	flows     uint32
	slots     uint32
	warmth    uint32
	accepting bool
}

// NewLoads returns an empty state. A digest older than bound counts as
// unknown: its target is left out as long as any other is known.
func NewLoads(bound clock.Millis) *Loads {
	return &Loads{bound: bound, peers: map[target.ID]*load{}}
}

// SetBound brings a later bound into force.
func (l *Loads) SetBound(bound clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bound = bound
}

// Note takes a peer's digest, unless it is late.
func (l *Loads) Note(now clock.Millis, from target.ID, incarnation uint32, d *wire.Digest) bool {
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
	p.at = now
	p.placed = 0
	p.digest = wireDigest{
		sequence: d.Sequence, flows: d.Flows, slots: d.Slots, warmth: d.Warmth, accepting: d.Accepting,
	}
	return true
}

// Keep forgets the peers that are not in the set, so that the table stays as
// small as the service.
func (l *Loads) Keep(set *target.Set) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.peers {
		if _, ok := set.Find(id); !ok {
			delete(l.peers, id)
		}
	}
}

// choice is the best target so far.
type choice struct {
	candidate *target.Candidate
	cost      float64
	rank      uint64
}

func (c *choice) offer(t *target.Candidate, cost float64, rank uint64) {
	if c.candidate == nil || cost < c.cost || cost == c.cost && rank > c.rank {
		*c = choice{candidate: t, cost: cost, rank: rank}
	}
}

// Choose returns the target for a new flow: the one with the fewest flows a
// slot. Cold targets get no more than their warmth's part of an even share,
// unless all are cold. Targets of unknown load come last.
func (l *Loads) Choose(now clock.Millis, v *View, own Own, skip []target.ID, random float64) (*target.Candidate, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best, cold, unknown choice
	homes := v.homes()
	for i := range v.Set.Targets {
		c := &v.Set.Targets[i]
		if !c.AcceptsFlows() || slices.Contains(skip, c.ID) {
			continue
		}
		rank := mix(random, c.ID)
		state, ok := l.state(now, c, v, own, homes)
		if !ok {
			unknown.offer(c, 0, rank)
			continue
		}
		if !state.accepting {
			continue
		}
		if state.warmth < warm && random*float64(homes*warm) >= float64(state.warmth) {
			cold.offer(c, state.cost, rank)
			continue
		}
		best.offer(c, state.cost, rank)
	}
	for _, b := range []choice{best, cold, unknown} {
		if b.candidate != nil {
			l.count(b.candidate, v.Self)
			return b.candidate, true
		}
	}
	return nil, false
}

type state struct {
	cost      float64
	warmth    uint32
	accepting bool
}

func (l *Loads) state(now clock.Millis, c *target.Candidate, v *View, own Own, homes int) (state, bool) {
	if c.ID == v.Self {
		return state{cost: cost(float64(own.Flows), own.Slots), warmth: own.Warmth, accepting: own.Accepting}, true
	}
	p, ok := l.peers[c.ID]
	if !ok || p.incarnation != c.Incarnation || now.Sub(p.at) > l.bound {
		return state{}, false
	}
	flows := float64(p.digest.flows) + float64(p.placed)*float64(homes)
	return state{cost: cost(flows, p.digest.slots), warmth: p.digest.warmth, accepting: p.digest.accepting}, true
}

func cost(flows float64, slots uint32) float64 {
	return flows / float64(max(slots, 1))
}

func (l *Loads) count(c *target.Candidate, self target.ID) {
	if p, ok := l.peers[c.ID]; ok && c.ID != self {
		p.placed++
	}
}

// homes is the number of targets that place flows.
func (v *View) homes() int {
	n := 0
	for i := range v.Set.Targets {
		if v.Set.Targets[i].AcceptsFlows() {
			n++
		}
	}
	return max(n, 1)
}

// mix orders targets of equal load differently for each flow.
func mix(random float64, id target.ID) uint64 {
	return (uint64(random*(1<<53)) ^ uint64(id)) * 0x9e3779b97f4a7c15
}
