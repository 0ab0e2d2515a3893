package target

import (
	"net/netip"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"
	"golang.org/x/time/rate"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	shardCount = 64
	// hintRefreshAge is the age from which a hint is confirmed again.
	hintRefreshAge = 2 * clock.Second
	// minAskInterval is the minimum time between two asks for one flow, so
	// that a fast flow does not fill the path with them.
	minAskInterval = 100 * clock.Millis(1)
	// askTimeout is how long asks go unanswered before the next walk starts
	// at another target. It is several round trips between failure domains
	// and shorter than a caller's second retransmission.
	askTimeout = 300 * clock.Millis(1)
	// minAsks is how many asks must also have gone unanswered, so that one
	// lost datagram does not divert a flow from its owner.
	minAsks = 3
	// maxWalkHops bounds the hops of one datagram over all rounds of a walk.
	maxWalkHops = 2 * envelope.MaxVisited
	// firstHopOnly is the hop budget of a datagram beyond the rate of walks.
	firstHopOnly = 1
)

// Limits bounds a balancer's memory for hints and its work for flows without one.
type Limits struct {
	// MaxHints is the number of flows whose owner is cached. Beyond it the
	// least recently used is evicted, and that flow's next datagram walks.
	MaxHints int
	// MaxPending is the number of flows without a hint whose state is kept.
	MaxPending int
	// WalksPerSecond limits the walks for flows without a hint. Beyond it a
	// datagram is sent to one target only.
	WalksPerSecond int
}

// Route is the destination of a datagram and the fields of its envelope.
type Route struct {
	Target *Candidate
	Stage  wire.Stage
	Ask    bool
	Budget uint32
	// Hinted reports that the target is known to own the flow.
	Hinted bool
	// SilentTarget is a target that stopped answering asks, or zero.
	SilentTarget ID
}

type flowKey struct {
	service uint32
	caller  netip.AddrPort
}

// flowState is the state of one flow. owner is zero while none is known.
type flowState struct {
	owner ID
	// silentTarget is the target that last stopped answering; the next walk
	// does not start there.
	silentTarget ID
	incarnation  uint32
	confirmedAt  clock.Millis
	// askedIncarnation is the process of the owner that was asked last.
	askedIncarnation uint32
	// firstAskAt, lastAskAt and askCount describe the asks since the last
	// confirmation.
	firstAskAt clock.Millis
	lastAskAt  clock.Millis
	askCount   int
	attempt    int
}

type shard struct {
	mu      sync.Mutex
	hints   *simplelru.LRU[flowKey, *flowState]
	pending *simplelru.LRU[flowKey, *flowState]
}

// Hints is a balancer's soft state: which target owns a flow, and which flows have
// unanswered asks. Workers share it; each call takes the lock of one shard and no
// other lock.
type Hints struct {
	shards      [shardCount]shard
	walkLimiter *rate.Limiter
}

// NewHints returns a Hints without entries.
func NewHints(limits Limits) *Hints {
	h := &Hints{walkLimiter: rate.NewLimiter(rate.Limit(limits.WalksPerSecond), limits.WalksPerSecond)}
	for i := range h.shards {
		// NewLRU only fails for a size that is not positive.
		h.shards[i].hints, _ = simplelru.NewLRU[flowKey, *flowState](max(limits.MaxHints/shardCount, 1), nil)
		h.shards[i].pending, _ = simplelru.NewLRU[flowKey, *flowState](max(limits.MaxPending/shardCount, 1), nil)
	}
	return h
}

func (h *Hints) shard(caller []byte) *shard {
	return &h.shards[xxh3.Hash(caller)%shardCount]
}

// Route selects the target of a caller's datagram. It reports false for a service
// without targets.
func (h *Hints) Route(now clock.Millis, set *Set, key netip.AddrPort, caller []byte, opening bool) (Route, bool) {
	s := h.shard(caller)
	k := flowKey{service: set.Service, caller: key}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.hints.Get(k)
	if !ok || opening && t.ownerLeaving(set) {
		return h.routeWithoutHint(now, s, k, set, caller, opening)
	}
	if r, ok := t.routeByHint(now, set, opening); ok {
		return r, true
	}
	s.dropHint(k, t)
	r, ok := h.routeWithoutHint(now, s, k, set, caller, opening)
	if t.ownerSilent(now) {
		r.SilentTarget = t.owner
	}
	return r, ok
}

// routeByHint routes to the owner or its successor, unless the owner has left or stopped
// answering. A successor usually has its predecessor's flows; it is asked whether it does.
func (t *flowState) routeByHint(now clock.Millis, set *Set, opening bool) (Route, bool) {
	c, ok := set.Find(t.owner)
	if !ok || c.Incarnation < t.incarnation {
		return Route{}, false
	}
	if c.Leaving {
		// The owner may not answer any more, and only its successor will have the flow.
		t.resetAsks(c.Incarnation)
		return Route{Target: c, Stage: wire.Stage_STAGE_OWNED, Budget: maxWalkHops, Hinted: true}, true
	}
	if c.Incarnation != t.askedIncarnation {
		t.resetAsks(c.Incarnation)
	}
	if t.ownerSilent(now) {
		return Route{}, false
	}
	stage := wire.Stage_STAGE_OWNED
	if opening {
		stage = wire.Stage_STAGE_OPEN
	}
	succeeded := c.Incarnation > t.incarnation
	ask := (succeeded || now.Sub(t.confirmedAt) > hintRefreshAge) && t.startAsk(now)
	return Route{Target: c, Stage: stage, Ask: ask, Budget: maxWalkHops, Hinted: !succeeded}, true
}

// ownerLeaving reports whether the owner is leaving, so that it opens no flows.
func (t *flowState) ownerLeaving(set *Set) bool {
	c, ok := set.Find(t.owner)
	return ok && c.Leaving
}

// resetAsks forgets the asks of an earlier process of the owner.
func (t *flowState) resetAsks(incarnation uint32) {
	t.askedIncarnation = incarnation
	t.askCount = 0
}

// ownerSilent reports whether the owner left several asks unanswered: its process
// died, or a device on the path lost the state of the tunnel.
func (t *flowState) ownerSilent(now clock.Millis) bool {
	return t.askCount >= minAsks && now.Sub(t.firstAskAt) > askTimeout
}

// startAsk reports whether to ask the owner now, and if so records the ask.
func (t *flowState) startAsk(now clock.Millis) bool {
	if t.askCount > 0 && now.Sub(t.lastAskAt) < minAskInterval {
		return false
	}
	if t.askCount == 0 {
		t.firstAskAt = now
	}
	t.lastAskAt = now
	t.askCount++
	return true
}

// dropHint turns a hint whose owner is unusable into a pending flow, whose walk does
// not start at that owner.
func (s *shard) dropHint(k flowKey, t *flowState) {
	s.hints.Remove(k)
	s.pending.Add(k, &flowState{silentTarget: t.owner})
}

// routeWithoutHint routes a datagram of a flow without a hint.
//
// The owner is asked at an opening, and otherwise from the flow's second datagram at
// this balancer. If a flow's datagrams are spread over so many balancers that each sees
// only one of them, asking at the first would double the datagrams on the path without
// producing a hint that is used.
func (h *Hints) routeWithoutHint(now clock.Millis, s *shard, k flowKey, set *Set, caller []byte, opening bool) (Route, bool) {
	t, again := s.pending.Get(k)
	if !again {
		t = &flowState{}
		s.pending.Add(k, t)
	}
	if opening {
		return t.routeOpening(now, set, caller)
	}
	var silent ID
	if t.ownerSilent(now) {
		silent = t.owner
		*t = flowState{attempt: t.attempt + 1, silentTarget: silent}
	}
	c, ok := t.firstTarget(set, caller)
	if !ok {
		return Route{}, false
	}
	t.owner = c.ID
	return Route{
		Target: c, Stage: wire.Stage_STAGE_OWNED, Ask: again && t.startAsk(now), Budget: h.hopBudget(), SilentTarget: silent,
	}, true
}

// firstTarget selects the first target of the walk. It avoids the target that just
// stopped answering, which would drop the datagram again.
func (t *flowState) firstTarget(set *Set, caller []byte) (*Candidate, bool) {
	c, ok := set.Start(caller, t.attempt)
	if ok && c.ID == t.silentTarget {
		t.attempt++
		return set.Start(caller, t.attempt)
	}
	return c, ok
}

// routeOpening routes an opening datagram to its home. If no target accepts flows, it
// goes to the first target of the walk, whose agent refuses it.
func (t *flowState) routeOpening(now clock.Millis, set *Set, caller []byte) (Route, bool) {
	c, ok := set.Home(caller)
	if !ok {
		c, ok = set.Start(caller, 0)
	}
	if !ok {
		return Route{}, false
	}
	return Route{Target: c, Stage: wire.Stage_STAGE_OPEN, Ask: t.startAsk(now), Budget: maxWalkHops}, true
}

// hopBudget bounds the cost of datagrams of unknown flows: beyond the rate of walks a
// datagram reaches only one target, so it is not amplified.
func (h *Hints) hopBudget() uint32 {
	if h.walkLimiter.Allow() {
		return maxWalkHops
	}
	return firstHopOnly
}

// Confirm records that a target owns a flow.
func (h *Hints) Confirm(now clock.Millis, service uint32, key netip.AddrPort, caller []byte, owner ID, incarnation uint32) {
	s := h.shard(caller)
	k := flowKey{service: service, caller: key}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.hints.Get(k); ok {
		*t = flowState{owner: owner, incarnation: incarnation, askedIncarnation: incarnation, confirmedAt: now}
		return
	}
	s.pending.Remove(k)
	s.hints.Add(k, &flowState{owner: owner, incarnation: incarnation, askedIncarnation: incarnation, confirmedAt: now})
}

// Len returns the number of flows with a hint.
func (h *Hints) Len() int {
	n := 0
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		n += s.hints.Len()
		s.mu.Unlock()
	}
	return n
}
