package balancer

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// syncWith compares configuration and members with a peer and brings both
// sides to the same. It repairs what pushes lost, and is how a new process
// learns everything.
func (b *Balancer) syncWith(ctx context.Context, peer netip.AddrPort) error {
	b.mu.Lock()
	request := &wire.Sync{From: b.settings.Name, Version: b.book.Version(), Digest: b.table.Digest()}
	b.mu.Unlock()
	var reply wire.Synced
	if err := b.call(ctx, peer, control.Sync, request, &reply); err != nil {
		return err
	}
	b.takeSynced(&reply)
	b.catchUp(ctx, peer, &reply)
	if len(reply.Buckets) == 0 {
		return nil
	}
	return b.exchange(ctx, peer, reply.Buckets)
}

// takeSynced takes the configuration of a peer that is ahead.
func (b *Balancer) takeSynced(reply *wire.Synced) {
	var deltas []*config.Delta
	if len(reply.Deltas) > 0 && json.Unmarshal(reply.Deltas, &deltas) == nil {
		for _, d := range deltas {
			b.takeDelta(d)
		}
	}
	var state config.State
	if len(reply.State) > 0 && json.Unmarshal(reply.State, &state) == nil {
		b.takeState(&state)
	}
}

// catchUp pushes to a peer that is behind what it lacks.
func (b *Balancer) catchUp(ctx context.Context, peer netip.AddrPort, reply *wire.Synced) {
	b.mu.Lock()
	var deltas []*config.Delta
	if reply.Version < b.book.Version() {
		deltas, _ = b.book.DeltasSince(reply.Version)
	}
	b.mu.Unlock()
	for _, d := range deltas {
		n := news{delta: d}
		if b.call(ctx, peer, control.Push, n.wire(b.settings.Name), &wire.Empty{}) != nil {
			return
		}
	}
}

// exchange swaps the members of the buckets that differ.
func (b *Balancer) exchange(ctx context.Context, peer netip.AddrPort, digests []uint64) error {
	b.mu.Lock()
	buckets := b.table.Differ(digests)
	request := &wire.Exchange{Buckets: buckets, Hashes: b.table.Hashes(buckets)}
	b.mu.Unlock()
	if len(buckets) == 0 {
		return nil
	}
	var reply wire.Exchanged
	if err := b.call(ctx, peer, control.Exchange, request, &reply); err != nil {
		return err
	}
	b.takeMembers(reply.Members)
	if len(reply.Wanted) == 0 {
		return nil
	}
	b.mu.Lock()
	wanted := &wire.Push{From: b.settings.Name, Members: wireMembers(b.table.Hashed(reply.Wanted))}
	b.mu.Unlock()
	return b.call(ctx, peer, control.Push, wanted, &wire.Empty{})
}

// exchanged answers a peer's exchange.
func (b *Balancer) exchanged(r *wire.Exchange) *wire.Exchanged {
	b.mu.Lock()
	defer b.mu.Unlock()
	lacking, missing := b.table.Compare(r.Buckets, r.Hashes)
	return &wire.Exchanged{Members: wireMembers(lacking), Wanted: missing}
}

func wireMembers(all []member.Since) []*wire.Member {
	var out []*wire.Member
	for i := range all {
		out = append(out, all[i].Wire())
	}
	return out
}

// synced answers a peer's comparison.
func (b *Balancer) synced(r *wire.Sync) *wire.Synced {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := &wire.Synced{Version: b.book.Version(), Digest: b.table.Digest()}
	if r.Version < reply.Version {
		b.fillConfiguration(reply, r.Version)
	}
	if r.Digest != reply.Digest {
		reply.Buckets = b.table.Digests()
	}
	return reply
}

func (b *Balancer) fillConfiguration(reply *wire.Synced, from uint64) {
	if deltas, ok := b.book.DeltasSince(from); ok {
		reply.Deltas, _ = json.Marshal(deltas)
		return
	}
	reply.State, _ = json.Marshal(b.book.State())
}

// takeDelta takes the next version and passes it on. behind tells that
// something in between is missing.
func (b *Balancer) takeDelta(d *config.Delta) (behind bool) {
	b.mu.Lock()
	took, behind := b.book.ApplyDelta(d)
	if took {
		b.inForce()
	}
	b.mu.Unlock()
	if took {
		b.tell(news{delta: d})
	}
	return behind
}

// takeState takes a whole configuration, if it is a later one.
func (b *Balancer) takeState(s *config.State) {
	b.mu.Lock()
	d, took := b.book.Replace(s)
	if took {
		b.inForce()
	}
	b.mu.Unlock()
	if took {
		b.tell(news{delta: d})
	}
}

// inForce brings a new version into force. It runs with mu held.
func (b *Balancer) inForce() {
	b.count.applied.Inc(1)
	state := b.book.State()
	b.bind(state)
	b.versionChanged()
	b.deps.Log.Info().Str("event", "version").Uint64("version", state.Root.Version).Msg("configuration in force")
	if b.deps.OnVersion != nil {
		b.deps.OnVersion(state.Root.Version)
	}
}

// bulk is from how many records on what a process learns at once is no news: it
// joins, or comes back from a cut. Passed on, each joining balancer would push the
// whole table to its neighbours, which have it; the comparisons bring them what
// they lack.
const bulk = 128

// takeMembers merges records and passes on those that are news.
func (b *Balancer) takeMembers(all []*wire.Member) {
	b.mu.Lock()
	var fresh []member.Member
	for _, w := range all {
		m, err := member.FromWire(w)
		if err != nil {
			b.count.malformed.Inc(1)
			continue
		}
		fresh = append(fresh, b.merge(m)...)
	}
	b.membersChanged(fresh)
	b.mu.Unlock()
	if len(fresh) > 0 && len(fresh) < bulk {
		b.tell(news{members: fresh})
	}
}

// merge takes one record, with mu held, and returns what is to be told.
func (b *Balancer) merge(m member.Member) []member.Member {
	if m.Key == b.self.Key {
		return b.refute(m)
	}
	if !b.table.Merge(b.deps.Clock.Now(), m) {
		return nil
	}
	return []member.Member{m}
}

// refute answers a record of this process that it did not write: a suspicion,
// or what an earlier process of the name left behind. The earlier one may have
// written the very numbers that this one starts with, so contents count too.
func (b *Balancer) refute(m member.Member) []member.Member {
	newer := member.Newer(&m, &b.self)
	if !newer && (member.Newer(&b.self, &m) || m.Equal(&b.self)) {
		return nil
	}
	if newer && m.Incarnation == b.self.Incarnation && m.State == b.self.State {
		b.self.Sequence = m.Sequence + 1
	} else {
		b.self.Incarnation = m.Incarnation + 1
		b.self.Sequence = 1
	}
	b.count.refuted.Inc(1)
	b.table.Merge(b.deps.Clock.Now(), b.self)
	return []member.Member{b.self}
}
