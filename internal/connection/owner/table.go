package owner

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// shardCount spreads the table's locks over the workers.
const shardCount = 32

// Link is the local socket of one flow to its upstream.
type Link interface {
	Send(datagram []byte) error
	Port() uint16
	Close()
}

// Dialer opens the link of a flow. Port 0 selects any free port.
type Dialer interface {
	Dial(f *Flow, port uint16) (Link, error)
}

// Flow is one flow that this target owns. The fields after Link are guarded by
// the lock of the flow's shard.
type Flow struct {
	Caller netip.AddrPort
	// OpeningNumber numbers the flows of this incarnation. A late answer
	// carries the number of its flow, so it never reaches a later flow of the
	// same addresses.
	OpeningNumber uint64
	// Home is the target that placed the flow here.
	Home target.ID
	Link Link

	// Via is the balancer's address that the last datagram came from.
	Via      netip.AddrPort
	Started  clock.Millis
	LastIn   clock.Millis
	LastOut  clock.Millis
	Answered bool
	// keepUntil is when a restored flow may end as idle at the earliest: its caller may be
	// waiting for an answer that the restart has cost it.
	keepUntil clock.Millis

	// Trace is the trace context of a datagram that has not been answered
	// yet, so that the answer's hops are added to its trace.
	Trace []byte

	// chosenID is the connection ID that the upstream chose, usedID the one
	// that the caller used last.
	chosenID string
	usedID   string
}

// ReturnPath is where an answer of the upstream is sent.
type ReturnPath struct {
	Via   netip.AddrPort
	Trace []byte
}

// Limits bound an agent's tables.
type Limits struct {
	// MaxFlows bounds the open flows. Above it openings are declined.
	MaxFlows int
	// MaxPlacements bounds the placements that a home records. Above it the
	// least recently used is evicted; a resent opening then starts a search.
	MaxPlacements int
	// IdleTimeout is how long a flow without any datagram is kept.
	IdleTimeout clock.Millis
	// UnansweredTimeout is how long a flow is kept that its upstream has never
	// answered.
	UnansweredTimeout clock.Millis
}

// record is what a target keeps about a flow that another target owns or
// searches for, or that it has refused itself.
type record struct {
	to         target.ID
	recordedAt clock.Millis
	// searching is set in a search record: to is a home that searched for an
	// owner. Otherwise to is a target on which this one placed the flow.
	searching bool
	// refused is set if this target refused the flow.
	refused bool
}

type shard struct {
	mu       sync.Mutex
	flows    map[netip.AddrPort]*Flow
	records  *simplelru.LRU[netip.AddrPort, record]
	searches *simplelru.LRU[netip.AddrPort, search]
	// expired holds the time of the last datagram of flows that have expired.
	expired *simplelru.LRU[netip.AddrPort, clock.Millis]
}

// Table is the flow state of one agent. It is safe for concurrent use.
//
// Lock order: the lock of one shard, then that of the peer loads or that of the
// connection IDs. At most one shard is locked at a time.
type Table struct {
	limits            atomic.Pointer[Limits]
	shards            [shardCount]shard
	ids               connectionIDs
	loads             *PeerLoads
	count             atomic.Int64
	unanswered        atomic.Int64
	active            atomic.Int64
	expiredFlows      atomic.Uint64
	lastOpeningNumber atomic.Uint64
}

// NewTable returns an empty table.
func NewTable(limits Limits, loads *PeerLoads) *Table {
	t := &Table{loads: loads}
	t.limits.Store(&limits)
	t.ids.flows = map[string]*Flow{}
	for i := range t.shards {
		s := &t.shards[i]
		s.flows = map[netip.AddrPort]*Flow{}
		s.records, _ = simplelru.NewLRU[netip.AddrPort, record](max(limits.MaxPlacements/shardCount, 1), nil)
		s.searches, _ = simplelru.NewLRU[netip.AddrPort, search](max(limits.MaxPlacements/shardCount, 1), nil)
		s.expired, _ = simplelru.NewLRU[netip.AddrPort, clock.Millis](max(limits.MaxFlows/shardCount, 1), nil)
	}
	return t
}

// SetLimits replaces the limits. The capacity of the records does not change
// after NewTable.
func (t *Table) SetLimits(limits Limits) {
	t.limits.Store(&limits)
}

// full reports whether the table accepts no further flow.
func (t *Table) full() bool {
	return t.Len() >= t.limits.Load().MaxFlows
}

func (t *Table) shard(caller netip.AddrPort) *shard {
	var buf [18]byte
	b := envelope.AppendCaller(buf[:0], caller)
	return &t.shards[xxh3.Hash(b)%shardCount]
}

// Owns reports whether this target owns the caller's flow.
func (t *Table) Owns(caller netip.AddrPort) bool {
	s := t.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.flows[caller]
	return ok
}

// Len returns the number of open flows.
func (t *Table) Len() int {
	return int(t.count.Load())
}

// UnansweredFlows returns the number of flows that the upstream has not answered yet.
func (t *Table) UnansweredFlows() int {
	return int(t.unanswered.Load())
}

// add adds a flow to its shard, whose lock is held.
func (t *Table) add(s *shard, f *Flow) {
	s.flows[f.Caller] = f
	s.records.Remove(f.Caller)
	s.searches.Remove(f.Caller)
	s.expired.Remove(f.Caller)
	t.count.Add(1)
	if !f.Answered {
		t.unanswered.Add(1)
	}
}

// remove removes a flow from its shard, whose lock is held.
func (t *Table) remove(s *shard, f *Flow) {
	delete(s.flows, f.Caller)
	t.ids.remove(f)
	t.count.Add(-1)
	if !f.Answered {
		t.unanswered.Add(-1)
	}
}

// RecordAnswer records a datagram of the upstream on a flow and returns the path
// back to the caller. It reports false if the flow has ended.
func (t *Table) RecordAnswer(now clock.Millis, f *Flow, datagram []byte) (ReturnPath, bool) {
	s := t.shard(f.Caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[f.Caller] != f {
		return ReturnPath{}, false
	}
	f.LastOut = now
	if !f.Answered {
		f.Answered = true
		t.unanswered.Add(-1)
	}
	t.ids.learnChosen(f, datagram)
	r := ReturnPath{Via: f.Via, Trace: f.Trace}
	f.Trace = nil
	return r, true
}

// activeInterval is how long after its last datagram a flow counts as active. A
// flow that has been silent for longer may have ended: its end is encrypted, so an
// agent does not see it.
const activeInterval = clock.Second

// Active returns how many flows were active at the last Expire.
func (t *Table) Active() int {
	return int(t.active.Load())
}

// ExpiredFlows returns how many flows Expire has removed so far.
func (t *Table) ExpiredFlows() uint64 {
	return t.expiredFlows.Load()
}

// Expire removes the flows that have timed out and returns them. If all is set it
// removes every flow: a drain has reached its limit.
func (t *Table) Expire(now clock.Millis, all bool) []*Flow {
	var ended []*Flow
	active := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, f := range s.flows {
			if all || t.isExpired(now, f) {
				t.remove(s, f)
				ended = append(ended, f)
				if !all {
					s.expired.Add(f.Caller, max(f.LastIn, f.LastOut))
				}
				continue
			}
			if now.Sub(max(f.LastIn, f.LastOut)) <= activeInterval {
				active++
			}
		}
		s.mu.Unlock()
	}
	t.active.Store(int64(active))
	t.expiredFlows.Add(uint64(len(ended)))
	return ended
}

// MaxCallerPause is how long the caller of a flow in use may be silent: it doubles its pause
// each time that it gets no answer. It bounds the idle timeout from below.
const MaxCallerPause = 15 * clock.Second

func (t *Table) isExpired(now clock.Millis, f *Flow) bool {
	limits := t.limits.Load()
	last := max(f.LastIn, f.LastOut)
	if now.Sub(last) > max(limits.IdleTimeout, MaxCallerPause) && now > f.keepUntil {
		return true
	}
	return !f.Answered && now.Sub(f.Started) > limits.UnansweredTimeout
}

// HandleEnded removes the record of a flow that this home placed and that has ended.
func (t *Table) HandleEnded(caller netip.AddrPort, owner target.ID) {
	s := t.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records.Peek(caller); ok && r.to == owner {
		s.records.Remove(caller)
	}
}

// HandleFound records the owner that this home's search has found.
func (t *Table) HandleFound(now clock.Millis, caller netip.AddrPort, owner target.ID) {
	s := t.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, owned := s.flows[caller]; owned {
		return
	}
	s.searches.Remove(caller)
	s.records.Add(caller, record{to: owner, recordedAt: now})
}

// ReplaceVia moves the flows that answer through a leaving balancer to another
// one, and returns how many it has moved.
func (t *Table) ReplaceVia(leaving func(netip.AddrPort) bool, other netip.AddrPort) int {
	moved := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, f := range s.flows {
			if leaving(f.Via) {
				f.Via = other
				moved++
			}
		}
		s.mu.Unlock()
	}
	return moved
}
