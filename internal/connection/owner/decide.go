package owner

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Action is what an agent does with an envelope.
type Action int

// Actions.
const (
	// Drop ends the datagram here. Its caller is told nothing, for an
	// upstream may have seen the flow.
	Drop Action = iota
	// Deliver hands the payload to the upstream on Decision.Flow.
	Deliver
	// Pass sends the rewritten envelope to Decision.To.
	Pass
	// Refuse tells the caller that nothing ran.
	Refuse
)

// String returns the action's name, as traces show it.
func (a Action) String() string {
	return [...]string{"drop", "deliver", "pass", "refuse"}[a]
}

// Reason tells why a datagram was dropped or refused; each is counted.
type Reason string

// Reasons.
const (
	NoReason     Reason = ""
	Misaddressed Reason = "misaddressed"
	NoOwner      Reason = "unowned"
	NoBudget     Reason = "budget"
	Contested    Reason = "contested"
	Late         Reason = "late"
	Unknown      Reason = "unknown"
	NoTarget     Reason = "full"
	NoSocket     Reason = "sockets"
)

// Reasons lists all reasons, for counters.
var Reasons = []Reason{
	NoReason, Misaddressed, NoOwner, NoBudget, Contested, Late, Unknown, NoTarget, NoSocket,
}

// Decision is the outcome for one envelope.
type Decision struct {
	Action Action
	Reason Reason
	Flow   *Flow
	To     *target.Candidate
	// Searcher is the home whose search has found the flow here. It is to
	// be told, so that it does not search again without this target.
	Searcher *target.Candidate
	// Adopted tells that the flow began with this datagram.
	Adopted bool
	// Moved tells that the caller of an open flow has a new address.
	Moved bool
	// Outlived is how long the flow was silent when the datagram came, where this
	// target has ended it as idle; told once a flow. Its connection lasts longer than
	// the answers say, and is broken.
	Outlived clock.Millis
}

// packet is one envelope on its way through the decisions. The lock of its
// shard is held throughout.
type packet struct {
	now    clock.Millis
	e      *wire.Envelope
	caller netip.AddrPort
	view   *View
	own    Own
	dialer Dialer
	random float64
	via    netip.AddrPort
	shard  *shard
}

// Arrival is an envelope with what the shell knows about its arrival.
type Arrival struct {
	Now      clock.Millis
	Envelope *wire.Envelope
	// Via is the balancer's socket to answer through. For an envelope that
	// a peer passed on it is invalid, and the flow's last one stays.
	Via netip.AddrPort
	// Random is drawn evenly from [0, 1) for this arrival.
	Random float64
}

// Take decides about one forwarded envelope and rewrites it where it is to be
// passed on.
//
// An envelope may name an earlier incarnation: its sender has not heard of the
// restart. This agent has its predecessor's ledger, so it answers for it. Where
// there is no ledger the predecessor's flows are lost, and the answer that nobody
// owns the flow is true as well.
//
// Searches that name an earlier incarnation are answered all the same: dropped, they
// would leave openings undecided until the news are everywhere. A later incarnation
// means that a successor has the ledger, and another service that the address was
// given away.
func (t *Table) Take(a Arrival, view *View, own Own, dialer Dialer) Decision {
	e := a.Envelope
	if e.Service != view.Set.Service || e.Target != view.Self || e.Incarnation > view.Incarnation {
		return Decision{Reason: Misaddressed}
	}
	caller := envelope.ParseCaller(e.Caller)
	p := &packet{
		now: a.Now, e: e, caller: caller, view: view, own: own,
		dialer: dialer, random: a.Random, via: a.Via, shard: t.shard(caller),
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if f, ok := p.shard.flows[caller]; ok {
		return t.deliver(p, f)
	}
	switch e.Stage {
	case wire.Stage_STAGE_OWNED:
		silent := p.outlived()
		d := t.walk(p)
		d.Outlived = silent
		return d
	case wire.Stage_STAGE_MOVED:
		return t.recognise(p)
	case wire.Stage_STAGE_OPEN:
		return t.open(p)
	case wire.Stage_STAGE_SEARCH:
		return t.search(p)
	case wire.Stage_STAGE_SEARCHED:
		return t.searched(p)
	case wire.Stage_STAGE_PLACED:
		return t.placed(p)
	case wire.Stage_STAGE_DECLINED:
		return t.declined(p)
	default:
		return Decision{Reason: Unknown}
	}
}

func (t *Table) deliver(p *packet, f *Flow) Decision {
	f.LastIn = p.now
	if p.via.IsValid() {
		f.Via = p.via
	}
	if len(p.e.Trace) > 0 {
		f.Trace = slices.Clone(p.e.Trace)
	}
	t.ids.received(f, p.e.Payload)
	d := Decision{Action: Deliver, Flow: f}
	if p.e.Stage == wire.Stage_STAGE_SEARCH {
		d.Searcher, _ = p.view.Set.Find(p.e.Home)
	}
	return d
}

// walk passes a datagram that opens nothing on to the next target. What this
// target remembers of the flow goes first.
func (t *Table) walk(p *packet) Decision {
	p.visit()
	if n, ok := p.shard.memory.Get(p.caller); ok {
		if c, ok := p.unvisited(n.to); ok {
			return p.pass(c)
		}
	}
	if c, ok := p.view.Set.Next(p.e.Caller, p.e.Visited); ok {
		return p.pass(c)
	}
	p.e.Stage = wire.Stage_STAGE_MOVED
	p.e.Visited = p.e.Visited[:0]
	return t.recognise(p)
}

// recognise is the second round of a walk that found no owner: the caller may
// have a new address. It comes after the first round has ended, so that an
// identifier which two targets happen to share never takes a datagram away
// from the owner of its addresses.
func (t *Table) recognise(p *packet) Decision {
	if _, ok := t.ids.find(p.e.Payload); ok {
		d := t.adopt(p, p.view.Self)
		d.Moved = d.Adopted
		return d
	}
	p.visit()
	if c, ok := p.view.Set.Next(p.e.Caller, p.e.Visited); ok {
		return p.pass(c)
	}
	return Decision{Reason: NoOwner}
}

// outlived returns for how long a flow was silent that this target has ended as idle.
func (p *packet) outlived() clock.Millis {
	last, ok := p.shard.over.Get(p.caller)
	if !ok {
		return 0
	}
	p.shard.over.Remove(p.caller)
	return p.now.Sub(last)
}

// visit notes this target in the envelope.
func (p *packet) visit() {
	if !slices.Contains(p.e.Visited, p.view.Self) {
		p.e.Visited = append(p.e.Visited, p.view.Self)
	}
}

// unvisited returns a target of the view that the datagram has not been to.
func (p *packet) unvisited(id target.ID) (*target.Candidate, bool) {
	if id == p.view.Self || slices.Contains(p.e.Visited, id) {
		return nil, false
	}
	return p.view.Set.Find(id)
}

// pass addresses the envelope to the next target, unless its hops are spent.
func (p *packet) pass(c *target.Candidate) Decision {
	if p.e.Budget <= 1 || len(p.e.Visited) > envelope.MaxVisited {
		return Decision{Reason: NoBudget}
	}
	p.e.Budget--
	p.e.Target = c.ID
	p.e.Incarnation = c.Incarnation
	return Decision{Action: Pass, To: c}
}

// adopt makes the flow this target's own.
func (t *Table) adopt(p *packet, home target.ID) Decision {
	f := &Flow{
		Caller: p.caller, Opening: t.number.Add(1), Home: home,
		Via: p.via, Started: p.now, LastIn: p.now, Trace: slices.Clone(p.e.Trace),
	}
	link, err := p.dialer.Dial(f, 0)
	if err != nil {
		// No socket was opened, so no upstream saw the datagram.
		return Decision{Action: Refuse, Reason: NoSocket}
	}
	f.Link = link
	t.add(p.shard, f)
	return Decision{Action: Deliver, Flow: f, Adopted: true}
}
