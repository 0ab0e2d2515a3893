package balancer

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// contact is what a balancer keeps of a target that announces itself here.
type contact struct {
	heard clock.Millis
	// number is that of the last beat, and gap how many beats lie between
	// the last two that came here.
	number  uint32
	gap     uint32
	probing bool
	flows   uint32
	busy    uint32
	slots   uint32
	// view is what the target is told, made anew when anything changed.
	made     stamp
	view     uint64
	peers    []*wire.Member
	contacts []*wire.Member
}

// announced takes a heartbeat and answers with what the agent does not know.
func (b *Balancer) announced(r *wire.Announce) (*wire.Announced, error) {
	m, err := member.FromWire(r.Member)
	if err != nil || m.Kind != member.Target {
		return nil, member.ErrMember
	}
	b.count.announce.Inc(1)
	b.mu.Lock()
	var fresh []member.Member
	if m.Incarnation != 0 {
		fresh = b.merge(m)
	}
	b.membersChanged(fresh)
	reply := b.reply(r, m)
	b.mu.Unlock()
	if len(fresh) > 0 {
		b.tell(news{members: fresh})
	}
	return reply, nil
}

// reply runs with mu held.
func (b *Balancer) reply(r *wire.Announce, m member.Member) *wire.Announced {
	known, _ := b.table.Get(m.Key)
	state := b.book.State()
	reply := &wire.Announced{
		Version: state.Root.Version, Incarnation: known.Incarnation,
		Suspected: known.Suspected, Sequence: known.Sequence,
		Drain: state.Draining(m.Service, m.Name),
	}
	service, ok := state.Service(m.Service)
	reply.Barred = !ok || !service.AllowsUpstream(m.Upstream.Addr())
	if ok && r.Version < state.Root.Version {
		reply.Record, _ = json.Marshal(service)
		reply.Timing, _ = json.Marshal(state.Root.Timing)
	}
	c := &contact{}
	switch m.Incarnation {
	case 0:
		// An agent that starts asks before it announces itself.
		b.makeView(c, m)
	case known.Incarnation:
		c = b.hear(r, m)
	default:
		return reply
	}
	reply.View = c.view
	if r.View != c.view {
		reply.Peers = c.peers
		reply.Contacts = c.contacts
	}
	return reply
}

func (b *Balancer) hear(r *wire.Announce, m member.Member) *contact {
	c := b.heard[m.Key]
	if c == nil {
		c = &contact{}
		b.heard[m.Key] = c
	}
	c.heard = b.deps.Clock.Now()
	c.flows, c.busy, c.slots = r.Flows, r.Busy, r.Slots
	if c.made != b.stamp(m.Service) || c.view == 0 {
		b.makeView(c, m)
	}
	return c
}

// makeView prepares what a target is told of its service and its contacts.
func (b *Balancer) makeView(c *contact, m member.Member) {
	c.made = b.stamp(m.Service)
	state := b.book.State()
	c.peers = nil
	for _, p := range b.table.Service(m.Service) {
		if _, ok := candidate(state, &p.Member); !ok {
			continue
		}
		w := p.Wire()
		if state.Draining(p.Service, p.Name) && p.State == member.Alive {
			w.State = string(member.Draining)
		}
		c.peers = append(c.peers, w)
	}
	c.contacts = wireMembers(member.Contacts(b.table.Balancers(), m.Domain, m.Name))
	told := told{Peers: c.peers, Contacts: c.contacts, Drain: state.Draining(m.Service, m.Name), Timing: state.Root.Timing}
	told.Service, _ = state.Service(m.Service)
	data, _ := json.Marshal(told)
	c.view = xxh3.Hash(data)
}

// told is all that a target is told. Its hash in the answers to beats shows the
// target a difference; changes of other services are none.
type told struct {
	Peers    []*wire.Member  `json:"peers"`
	Contacts []*wire.Member  `json:"contacts"`
	Drain    bool            `json:"drain"`
	Timing   config.Timing   `json:"timing"`
	Service  *config.Service `json:"service"`
}

// overdue returns the targets whose heartbeats this balancer misses.
//
// A balancer that was paused itself has heard nobody. It would suspect every
// target at once, so after a gap of its own it starts to count anew.
func (b *Balancer) overdue(now clock.Millis, timing config.Timing) []member.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	paused := b.ticked != 0 && now.Sub(b.ticked) > 2*timing.HeartbeatInterval
	b.ticked = now
	var late []member.Member
	for k, c := range b.heard {
		if paused {
			c.heard = now
		}
		m, ok := b.table.Get(k)
		if !ok || m.State == member.Left {
			delete(b.heard, k)
			continue
		}
		if now.Sub(c.heard) > c.patience(timing) && !c.probing && !m.Suspected {
			c.probing = true
			late = append(late, m.Member)
		}
	}
	return late
}

// beaten notes the number of a beat.
func (c *contact) beaten(number uint32) {
	if c.number != 0 && number > c.number {
		c.gap = min(number-c.number, mostGap)
	}
	c.number = number
}

// mostGap is the most beats that an agent leaves out towards a contact that is
// not its first one.
const mostGap = 7

// patience is how long a target may be silent here. An agent sends every beat
// to its first contact and some of them to the others, so what is late for the
// first one is not late for them.
func (c *contact) patience(timing config.Timing) clock.Millis {
	if c.gap <= 1 {
		return timing.SuspectTimeout
	}
	return timing.SuspectTimeout + clock.Millis(c.gap-1)*timing.HeartbeatInterval
}

// probe asks a late target itself before it is suspected: its heartbeats may
// go to other balancers by now, or the connection may have died alone.
func (b *Balancer) probe(ctx context.Context, m member.Member) {
	err := b.call(ctx, m.Control, control.Ping, &wire.Empty{}, &wire.Empty{})
	b.mu.Lock()
	c := b.heard[m.Key]
	if c != nil {
		c.probing = false
		c.heard = b.deps.Clock.Now()
	}
	if err == nil {
		if !b.mine(m) {
			delete(b.heard, m.Key)
		}
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	b.suspect(m.Key)
}

// mine reports, with mu held, that the target should announce itself here.
func (b *Balancer) mine(m member.Member) bool {
	contacts := member.Contacts(b.table.Balancers(), m.Domain, m.Name)
	return slices.ContainsFunc(contacts, func(c member.Since) bool { return c.Name == b.settings.Name })
}

// suspect spreads a suspicion.
func (b *Balancer) suspect(k member.Key) {
	b.mu.Lock()
	m, ok := b.table.Suspect(b.deps.Clock.Now(), k)
	if ok {
		b.membersChanged([]member.Member{m})
	}
	b.mu.Unlock()
	if !ok {
		return
	}
	b.count.suspected.Inc(1)
	b.deps.Log.Warn().Str("event", "suspected").Str("kind", string(k.Kind)).Str("service", k.Service).Str("name", k.Name).Msg("no answer")
	b.tell(news{members: []member.Member{m}})
}

// adoptOrphans starts to listen for the targets that should announce
// themselves here and do not: their former contacts may have died together
// with them, and nobody else would notice.
func (b *Balancer) adoptOrphans(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balancers := b.table.Balancers()
	for _, m := range b.table.All(isTarget) {
		if _, ok := b.heard[m.Key]; ok || m.Suspected || m.State == member.Left {
			continue
		}
		contacts := member.Contacts(balancers, m.Domain, m.Name)
		if slices.ContainsFunc(contacts, func(c member.Since) bool { return c.Name == b.settings.Name }) {
			b.heard[m.Key] = &contact{heard: now}
		}
	}
}
