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

// Link is the local socket of one flow towards its upstream.
type Link interface {
	Send(datagram []byte) error
	Port() uint16
	Close()
}

// Dialer opens the link of a flow. Port 0 takes any free one.
type Dialer interface {
	Dial(f *Flow, port uint16) (Link, error)
}

// Flow is one flow that this target owns. The fields below Link change under
// the lock of the flow's shard.
type Flow struct {
	Caller netip.AddrPort
	// Opening numbers the flows of this incarnation. A late answer carries
	// the number of its flow and never reaches a later flow of the same
	// addresses.
	Opening uint64
	// Home is the target that placed the flow here.
	Home target.ID
	Link Link

	// Via is the balancer's socket that the last datagram came from.
	Via      netip.AddrPort
	Started  clock.Millis
	LastIn   clock.Millis
	LastOut  clock.Millis
	Answered bool

	// Trace is the context of a traced datagram whose answer is not back
	// yet, so that the answer's hops belong to its trace.
	Trace []byte

	chosen string
	used   string
}

// Reply is where an answer of the upstream goes.
type Reply struct {
	Via   netip.AddrPort
	Trace []byte
}

// Limits bound an agent's tables.
type Limits struct {
	// Flows is the number of open flows. Beyond it openings are declined.
	Flows int
	// Memory is the number of placements that a home remembers. Beyond it
	// the longest unused goes; a resent opening then starts a search.
	Memory int
	// Idle is how long a flow without any datagram is kept.
	Idle clock.Millis
	// Opening is how long a flow is kept that its upstream never answered.
	Opening clock.Millis
}

// note is what a target remembers of a flow that another one owns or claims.
type note struct {
	to target.ID
	at clock.Millis
	// mark tells that the other one is a home that searched for an owner;
	// otherwise it is a target on which this one placed the flow.
	mark bool
	// refused tells that this target refused the flow.
	refused bool
}

type shard struct {
	mu     sync.Mutex
	flows  map[netip.AddrPort]*Flow
	memory *simplelru.LRU[netip.AddrPort, note]
	claims *simplelru.LRU[netip.AddrPort, claim]
	// over has the flows that ended as idle, with their last datagram.
	over *simplelru.LRU[netip.AddrPort, clock.Millis]
}

// Table is the state of one agent. Workers share it.
//
// Lock order: the lock of one shard, then that of the loads or that of the
// identifiers. No two shards are locked at once.
type Table struct {
	limits atomic.Pointer[Limits]
	shards [shardCount]shard
	ids    identifiers
	loads  *Loads
	count  atomic.Int64
	fresh  atomic.Int64
	active atomic.Int64
	ended  atomic.Uint64
	number atomic.Uint64
}

// NewTable returns an empty table.
func NewTable(limits Limits, loads *Loads) *Table {
	t := &Table{loads: loads}
	t.limits.Store(&limits)
	t.ids.flows = map[string]*Flow{}
	for i := range t.shards {
		s := &t.shards[i]
		s.flows = map[netip.AddrPort]*Flow{}
		s.memory, _ = simplelru.NewLRU[netip.AddrPort, note](max(limits.Memory/shardCount, 1), nil)
		s.claims, _ = simplelru.NewLRU[netip.AddrPort, claim](max(limits.Memory/shardCount, 1), nil)
		s.over, _ = simplelru.NewLRU[netip.AddrPort, clock.Millis](max(limits.Flows/shardCount, 1), nil)
	}
	return t
}

// SetLimits brings later limits into force. Memory keeps the size that it was
// made with.
func (t *Table) SetLimits(limits Limits) {
	t.limits.Store(&limits)
}

// full reports that the table takes no further flow.
func (t *Table) full() bool {
	return t.Len() >= t.limits.Load().Flows
}

func (t *Table) shard(caller netip.AddrPort) *shard {
	var room [18]byte
	b := envelope.AppendCaller(room[:0], caller)
	return &t.shards[xxh3.Hash(b)%shardCount]
}

// Owns reports that a caller's flow is open here.
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

// Opening returns the number of flows that no upstream has answered yet.
func (t *Table) Opening() int {
	return int(t.fresh.Load())
}

// add puts a flow into its shard, whose lock is held.
func (t *Table) add(s *shard, f *Flow) {
	s.flows[f.Caller] = f
	s.memory.Remove(f.Caller)
	s.claims.Remove(f.Caller)
	s.over.Remove(f.Caller)
	t.count.Add(1)
	if !f.Answered {
		t.fresh.Add(1)
	}
}

// remove takes a flow out of its shard, whose lock is held.
func (t *Table) remove(s *shard, f *Flow) {
	delete(s.flows, f.Caller)
	t.ids.forget(f)
	t.count.Add(-1)
	if !f.Answered {
		t.fresh.Add(-1)
	}
}

// Answer notes a datagram of the upstream on a flow and returns the balancer
// that takes it back. It reports false where the flow has ended.
func (t *Table) Answer(now clock.Millis, f *Flow, datagram []byte) (Reply, bool) {
	s := t.shard(f.Caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[f.Caller] != f {
		return Reply{}, false
	}
	f.LastOut = now
	if !f.Answered {
		f.Answered = true
		t.fresh.Add(-1)
	}
	t.ids.answered(f, datagram)
	r := Reply{Via: f.Via, Trace: f.Trace}
	f.Trace = nil
	return r, true
}

// quiet is the silence after which a flow may well be over: its end is
// encrypted, so an agent does not see it.
const quiet = clock.Second

// Active returns how many flows had a datagram shortly before the last Expire.
func (t *Table) Active() int {
	return int(t.active.Load())
}

// EndedFlows returns how many flows Expire has ended.
func (t *Table) EndedFlows() uint64 {
	return t.ended.Load()
}

// Expire removes the flows that have ended by now and returns them. With all it
// removes every flow: a drain has reached its limit.
func (t *Table) Expire(now clock.Millis, all bool) []*Flow {
	var ended []*Flow
	active := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, f := range s.flows {
			if all || t.over(now, f) {
				t.remove(s, f)
				ended = append(ended, f)
				if !all {
					s.over.Add(f.Caller, max(f.LastIn, f.LastOut))
				}
				continue
			}
			if now.Sub(max(f.LastIn, f.LastOut)) <= quiet {
				active++
			}
		}
		s.mu.Unlock()
	}
	t.active.Store(int64(active))
	t.ended.Add(uint64(len(ended)))
	return ended
}

func (t *Table) over(now clock.Millis, f *Flow) bool {
	limits := t.limits.Load()
	last := max(f.LastIn, f.LastOut)
	if now.Sub(last) > limits.Idle {
		return true
	}
	return !f.Answered && now.Sub(f.Started) > limits.Opening
}

// Ended tells a home that a flow which it placed is over.
func (t *Table) Ended(caller netip.AddrPort, owner target.ID) {
	s := t.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if n, ok := s.memory.Peek(caller); ok && n.to == owner {
		s.memory.Remove(caller)
	}
}

// Found tells a home that its search has ended at the owner of the flow.
func (t *Table) Found(now clock.Millis, caller netip.AddrPort, owner target.ID) {
	s := t.shard(caller)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, own := s.flows[caller]; own {
		return
	}
	s.claims.Remove(caller)
	s.memory.Add(caller, note{to: owner, at: now})
}

// Vias moves the flows that answer through a balancer which leaves to another
// one, and returns how many there were.
func (t *Table) Vias(leaving func(netip.AddrPort) bool, other netip.AddrPort) int {
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
