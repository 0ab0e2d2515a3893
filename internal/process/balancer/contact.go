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

// trackedTarget is the state of a target that announces itself to this balancer.
type trackedTarget struct {
	heardAt clock.Millis
	// lastNumber is that of the last heartbeat, and gap the difference
	// between the numbers of the last two that were received.
	lastNumber uint32
	gap        uint32
	probing    bool
	flows      uint32
	busy       uint32
	slots      uint32
	// The view is sent to the target and rebuilt when its revision changes.
	revision viewRevision
	viewHash uint64
	peers    []*wire.Member
	contacts []*wire.Member
}

// handleAnnounce handles an announcement and returns what the agent does not know.
func (b *Balancer) handleAnnounce(r *wire.Announce) (*wire.Announced, error) {
	m, err := member.FromWire(r.Member)
	if err != nil || m.Kind != member.Target {
		return nil, member.ErrMalformed
	}
	b.count.announce.Inc(1)
	b.mu.Lock()
	var changed []member.Member
	if m.Incarnation != 0 {
		changed = b.mergeMember(m)
	}
	b.updateSnapshot(changed)
	reply := b.buildReply(r, m)
	b.mu.Unlock()
	if len(changed) > 0 {
		b.queueUpdate(update{members: changed})
	}
	return reply, nil
}

// buildReply is called with mu held.
func (b *Balancer) buildReply(r *wire.Announce, m member.Member) *wire.Announced {
	known, _ := b.table.Get(m.Key)
	state := b.replica.State()
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
	c := &trackedTarget{}
	switch m.Incarnation {
	case 0:
		// A starting agent sends a query before it announces itself.
		b.buildView(c, m)
	case known.Incarnation:
		c = b.trackTarget(r, m)
	default:
		return reply
	}
	reply.View = c.viewHash
	if r.View != c.viewHash {
		reply.Peers = c.peers
		reply.Contacts = c.contacts
	}
	return reply
}

func (b *Balancer) trackTarget(r *wire.Announce, m member.Member) *trackedTarget {
	c := b.tracked[m.Key]
	if c == nil {
		c = &trackedTarget{}
		b.tracked[m.Key] = c
	}
	c.heardAt = b.deps.Clock.Now()
	c.flows, c.busy, c.slots = r.Flows, r.Busy, r.Slots
	if c.revision != b.viewRevision(m.Service) || c.viewHash == 0 {
		b.buildView(c, m)
	}
	return c
}

// buildView builds what is sent to a target about its service and its contacts.
func (b *Balancer) buildView(c *trackedTarget, m member.Member) {
	c.revision = b.viewRevision(m.Service)
	state := b.replica.State()
	c.peers = nil
	for _, p := range b.table.Targets(m.Service) {
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
	contents := viewContents{Peers: c.peers, Contacts: c.contacts, Drain: state.Draining(m.Service, m.Name), Timing: state.Root.Timing}
	contents.Service, _ = state.Service(m.Service)
	data, _ := json.Marshal(contents)
	c.viewHash = xxh3.Hash(data)
}

// viewContents is all that a target's view depends on. Its hash in the
// acknowledgements shows the target a difference; changes of other services do
// not affect it.
type viewContents struct {
	Peers    []*wire.Member  `json:"peers"`
	Contacts []*wire.Member  `json:"contacts"`
	Drain    bool            `json:"drain"`
	Timing   config.Timing   `json:"timing"`
	Service  *config.Service `json:"service"`
}

// overdueTargets returns the targets whose heartbeats are overdue.
//
// A balancer that was paused itself has received no heartbeats and would suspect
// every target at once, so after such a pause it restarts the timeouts.
func (b *Balancer) overdueTargets(now clock.Millis, timing config.Timing) []member.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	paused := b.lastTick != 0 && now.Sub(b.lastTick) > 2*timing.HeartbeatInterval
	b.lastTick = now
	var overdue []member.Member
	for k, c := range b.tracked {
		if paused {
			c.heardAt = now
		}
		m, ok := b.table.Get(k)
		if !ok || m.State == member.Left {
			delete(b.tracked, k)
			continue
		}
		if now.Sub(c.heardAt) > c.suspectTimeout(timing) && !c.probing && !m.Suspected {
			c.probing = true
			overdue = append(overdue, m.Member)
		}
	}
	return overdue
}

// recordHeartbeat updates the gap and the last number.
func (c *trackedTarget) recordHeartbeat(number uint32) {
	if c.lastNumber != 0 && number > c.lastNumber {
		c.gap = min(number-c.lastNumber, maxGap)
	}
	c.lastNumber = number
}

// maxGap is the longest interval, in heartbeats, at which an agent sends to a
// contact other than its first one.
const maxGap = 7

// suspectTimeout is how long a target may be silent before it is overdue. An
// agent sends every heartbeat to its first contact and only some of them to the
// others, so the timeout is longer there.
func (c *trackedTarget) suspectTimeout(timing config.Timing) clock.Millis {
	if c.gap <= 1 {
		return timing.SuspectTimeout
	}
	return timing.SuspectTimeout + clock.Millis(c.gap-1)*timing.HeartbeatInterval
}

// probe calls an overdue target before it is suspected: it may send its
// heartbeats to other balancers by now, or only the connection may have failed.
func (b *Balancer) probe(ctx context.Context, m member.Member) {
	err := b.call(ctx, m.Control, control.Ping, &wire.Empty{}, &wire.Empty{})
	b.mu.Lock()
	c := b.tracked[m.Key]
	if c != nil {
		c.probing = false
		c.heardAt = b.deps.Clock.Now()
	}
	if err == nil {
		if !b.isContactOf(m) {
			delete(b.tracked, m.Key)
		}
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	b.suspect(m.Key)
}

// isContactOf reports whether the target should announce itself to this balancer.
// It is called with mu held.
func (b *Balancer) isContactOf(m member.Member) bool {
	contacts := member.Contacts(b.table.Balancers(), m.Domain, m.Name)
	return slices.ContainsFunc(contacts, func(c member.Observed) bool { return c.Name == b.settings.Name })
}

// suspect marks a member as suspected and propagates it.
func (b *Balancer) suspect(k member.Key) {
	b.mu.Lock()
	m, ok := b.table.Suspect(b.deps.Clock.Now(), k)
	if ok {
		b.updateSnapshot([]member.Member{m})
	}
	b.mu.Unlock()
	if !ok {
		return
	}
	b.count.suspected.Inc(1)
	b.deps.Log.Warn().Str("event", "suspected").Str("kind", string(k.Kind)).Str("service", k.Service).Str("name", k.Name).Msg("no reply; member suspected")
	b.queueUpdate(update{members: []member.Member{m}})
}

// trackUnheardTargets starts to track the targets that should announce themselves
// to this balancer and do not: their former contacts may have failed together
// with them, and no other balancer would notice.
func (b *Balancer) trackUnheardTargets(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balancers := b.table.Balancers()
	for _, m := range b.table.Filter(isTarget) {
		if _, ok := b.tracked[m.Key]; ok || m.Suspected || m.State == member.Left {
			continue
		}
		contacts := member.Contacts(balancers, m.Domain, m.Name)
		if slices.ContainsFunc(contacts, func(c member.Observed) bool { return c.Name == b.settings.Name }) {
			b.tracked[m.Key] = &trackedTarget{heardAt: now}
		}
	}
}
