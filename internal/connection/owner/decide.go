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
	// Drop discards the datagram. The caller is not notified, because an
	// upstream may have seen the flow.
	Drop Action = iota
	// Deliver sends the payload to the upstream on Decision.Flow.
	Deliver
	// Pass sends the rewritten envelope to Decision.To.
	Pass
	// Refuse notifies the caller that no upstream has received the datagram.
	Refuse
)

// String returns the action's name as it appears in traces.
func (a Action) String() string {
	return [...]string{"drop", "deliver", "pass", "refuse"}[a]
}

// Reason is why a datagram was dropped or refused. Each has a counter.
type Reason string

// Reasons.
const (
	NoReason         Reason = ""
	Misaddressed     Reason = "misaddressed"
	NoOwner          Reason = "unowned"
	HopLimitReached  Reason = "budget"
	ConcurrentSearch Reason = "contested"
	StaleSearch      Reason = "late"
	UnknownStage     Reason = "unknown"
	NoTarget         Reason = "full"
	NoSocket         Reason = "sockets"
)

// Reasons lists all reasons, for counters.
var Reasons = []Reason{
	NoReason, Misaddressed, NoOwner, HopLimitReached, ConcurrentSearch, StaleSearch, UnknownStage, NoTarget, NoSocket,
}

// Decision is the outcome for one envelope.
type Decision struct {
	Action Action
	Reason Reason
	Flow   *Flow
	To     *target.Candidate
	// Searcher is the home whose search has found the flow here. It must be
	// notified, so that it does not search again without this target.
	Searcher *target.Candidate
	// Adopted is set if the flow was opened by this datagram.
	Adopted bool
	// Moved is set if the caller of an open flow has a new address.
	Moved bool
	// ExpiredIdle is how long the flow had been silent when the datagram arrived,
	// if this target has expired the flow; it is set once for each flow. The
	// connection lasts longer than the idle timeout allows, and is broken.
	ExpiredIdle clock.Millis
}

// packet is an envelope that is being decided about. The lock of its shard is
// held throughout.
type packet struct {
	now    clock.Millis
	e      *wire.Envelope
	caller netip.AddrPort
	view   *View
	local  LocalState
	dialer Dialer
	random float64
	via    netip.AddrPort
	shard  *shard
}

// Arrival is an envelope with the circumstances of its arrival.
type Arrival struct {
	Now      clock.Millis
	Envelope *wire.Envelope
	// Via is the balancer's address to answer through. For an envelope that
	// a peer passed on it is invalid, and the flow keeps its last one.
	Via netip.AddrPort
	// Random is drawn uniformly from [0, 1) for this arrival.
	Random float64
}

// Take decides about one forwarded envelope, and rewrites it if it is to be
// passed on.
//
// An envelope names an earlier incarnation if its sender has not learned of the
// restart yet. This agent has its predecessor's ledger, so it answers for it.
// Without a ledger the predecessor's flows are lost, and the answer that no target
// owns the flow is correct as well.
//
// Searches that name an earlier incarnation are answered too: if they were dropped,
// openings would stay undecided until the restart is known everywhere. A later
// incarnation means that a successor has the ledger, and another service means that
// the address was reassigned.
func (t *Table) Take(a Arrival, view *View, local LocalState, dialer Dialer) Decision {
	e := a.Envelope
	if e.Service != view.Set.Service || e.Target != view.Self || e.Incarnation > view.Incarnation {
		return Decision{Reason: Misaddressed}
	}
	caller := envelope.ParseCaller(e.Caller)
	p := &packet{
		now: a.Now, e: e, caller: caller, view: view, local: local,
		dialer: dialer, random: a.Random, via: a.Via, shard: t.shard(caller),
	}
	p.shard.mu.Lock()
	defer p.shard.mu.Unlock()
	if f, ok := p.shard.flows[caller]; ok {
		return t.deliver(p, f)
	}
	switch e.Stage {
	case wire.Stage_STAGE_OWNED:
		idle := p.takeExpiredIdle()
		d := t.handleOwned(p)
		d.ExpiredIdle = idle
		return d
	case wire.Stage_STAGE_MOVED:
		return t.handleMoved(p)
	case wire.Stage_STAGE_OPEN:
		return t.handleOpen(p)
	case wire.Stage_STAGE_SEARCH:
		return t.handleSearch(p)
	case wire.Stage_STAGE_SEARCHED:
		return t.handleSearched(p)
	case wire.Stage_STAGE_PLACED:
		return t.handlePlaced(p)
	case wire.Stage_STAGE_DECLINED:
		return t.handleDeclined(p)
	default:
		return Decision{Reason: UnknownStage}
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
	t.ids.learnUsed(f, p.e.Payload)
	d := Decision{Action: Deliver, Flow: f}
	if p.e.Stage == wire.Stage_STAGE_SEARCH {
		d.Searcher, _ = p.view.Set.Find(p.e.Home)
	}
	return d
}

// handleOwned passes a datagram that opens no flow to the next target. The
// target in this one's record of the flow is tried first.
func (t *Table) handleOwned(p *packet) Decision {
	p.markVisited()
	if r, ok := p.shard.records.Get(p.caller); ok {
		if c, ok := p.findUnvisited(r.to); ok {
			return p.pass(c)
		}
	}
	if c, ok := p.view.Set.Next(p.e.Caller, p.e.Visited); ok {
		return p.pass(c)
	}
	p.e.Stage = wire.Stage_STAGE_MOVED
	p.e.Visited = p.e.Visited[:0]
	return t.handleMoved(p)
}

// handleMoved looks a flow up by its connection ID, after a first round over the
// targets has found no owner: the caller may have a new address. It runs only
// after the first round has ended, so that a connection ID that two targets happen
// to share never diverts a datagram from the owner of its addresses.
func (t *Table) handleMoved(p *packet) Decision {
	if _, ok := t.ids.find(p.e.Payload); ok {
		d := t.adopt(p, p.view.Self)
		d.Moved = d.Adopted
		return d
	}
	p.markVisited()
	if c, ok := p.view.Set.Next(p.e.Caller, p.e.Visited); ok {
		return p.pass(c)
	}
	return Decision{Reason: NoOwner}
}

// takeExpiredIdle returns how long a flow that this target has expired has been
// silent, or 0, and removes the entry.
func (p *packet) takeExpiredIdle() clock.Millis {
	last, ok := p.shard.expired.Get(p.caller)
	if !ok {
		return 0
	}
	p.shard.expired.Remove(p.caller)
	return p.now.Sub(last)
}

// markVisited adds this target to the visited ones of the envelope.
func (p *packet) markVisited() {
	if !slices.Contains(p.e.Visited, p.view.Self) {
		p.e.Visited = append(p.e.Visited, p.view.Self)
	}
}

// findUnvisited finds a target in the view, unless the datagram has visited it.
func (p *packet) findUnvisited(id target.ID) (*target.Candidate, bool) {
	if id == p.view.Self || slices.Contains(p.e.Visited, id) {
		return nil, false
	}
	return p.view.Set.Find(id)
}

// pass addresses the envelope to the next target, unless its hop limit is reached.
func (p *packet) pass(c *target.Candidate) Decision {
	if p.e.Budget <= 1 || len(p.e.Visited) > envelope.MaxVisited {
		return Decision{Reason: HopLimitReached}
	}
	p.e.Budget--
	p.e.Target = c.ID
	p.e.Incarnation = c.Incarnation
	return Decision{Action: Pass, To: c}
}

// adopt makes this target the owner of the flow.
func (t *Table) adopt(p *packet, home target.ID) Decision {
	f := &Flow{
		Caller: p.caller, OpeningNumber: t.lastOpeningNumber.Add(1), Home: home,
		Via: p.via, Started: p.now, LastIn: p.now, Trace: slices.Clone(p.e.Trace),
	}
	link, err := p.dialer.Dial(f, 0)
	if err != nil {
		// No socket was opened, so the upstream has not seen the datagram.
		return Decision{Action: Refuse, Reason: NoSocket}
	}
	f.Link = link
	t.add(p.shard, f)
	return Decision{Action: Deliver, Flow: f, Adopted: true}
}
