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

// syncWith compares configuration and members with a peer and updates both sides
// to the same state. It repairs lost pushes, and is how a new process obtains its
// state.
func (b *Balancer) syncWith(ctx context.Context, peer netip.AddrPort) error {
	b.mu.Lock()
	request := &wire.Sync{From: b.settings.Name, Version: b.replica.Version(), Digest: b.table.Digest()}
	b.mu.Unlock()
	var reply wire.Synced
	if err := b.call(ctx, peer, control.Sync, request, &reply); err != nil {
		return err
	}
	b.applySynced(&reply)
	b.sendMissingDeltas(ctx, peer, &reply)
	if len(reply.Buckets) == 0 {
		return nil
	}
	return b.exchangeMembers(ctx, peer, reply.Buckets)
}

// applySynced applies the configuration of a peer that is ahead.
func (b *Balancer) applySynced(reply *wire.Synced) {
	var deltas []*config.Delta
	if len(reply.Deltas) > 0 && json.Unmarshal(reply.Deltas, &deltas) == nil {
		for _, d := range deltas {
			b.applyDelta(d)
		}
	}
	var state config.State
	if len(reply.State) > 0 && json.Unmarshal(reply.State, &state) == nil {
		b.applyState(&state)
	}
}

// sendMissingDeltas pushes the missing deltas to a peer that is behind.
func (b *Balancer) sendMissingDeltas(ctx context.Context, peer netip.AddrPort, reply *wire.Synced) {
	b.mu.Lock()
	var deltas []*config.Delta
	if reply.Version < b.replica.Version() {
		deltas, _ = b.replica.DeltasSince(reply.Version)
	}
	b.mu.Unlock()
	for _, d := range deltas {
		u := update{delta: d}
		if b.call(ctx, peer, control.Push, u.message(b.settings.Name), &wire.Empty{}) != nil {
			return
		}
	}
}

// exchangeMembers exchanges the members of the buckets that differ.
func (b *Balancer) exchangeMembers(ctx context.Context, peer netip.AddrPort, digests []uint64) error {
	b.mu.Lock()
	buckets := b.table.DifferingBuckets(digests)
	request := &wire.Exchange{Buckets: buckets, Hashes: b.table.Hashes(buckets)}
	b.mu.Unlock()
	if len(buckets) == 0 {
		return nil
	}
	var reply wire.Exchanged
	if err := b.call(ctx, peer, control.Exchange, request, &reply); err != nil {
		return err
	}
	b.mergeMembers(reply.Members)
	if len(reply.Wanted) == 0 {
		return nil
	}
	b.mu.Lock()
	wanted := &wire.Push{From: b.settings.Name, Members: wireMembers(b.table.ByHash(reply.Wanted))}
	b.mu.Unlock()
	return b.call(ctx, peer, control.Push, wanted, &wire.Empty{})
}

// handleExchange handles a peer's exchange.
func (b *Balancer) handleExchange(r *wire.Exchange) *wire.Exchanged {
	b.mu.Lock()
	defer b.mu.Unlock()
	lacking, missing := b.table.Compare(r.Buckets, r.Hashes)
	return &wire.Exchanged{Members: wireMembers(lacking), Wanted: missing}
}

func wireMembers(all []member.Observed) []*wire.Member {
	var out []*wire.Member
	for i := range all {
		out = append(out, all[i].Wire())
	}
	return out
}

// handleSync handles a peer's sync.
func (b *Balancer) handleSync(r *wire.Sync) *wire.Synced {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := &wire.Synced{Version: b.replica.Version(), Digest: b.table.Digest()}
	if r.Version < reply.Version {
		b.addConfiguration(reply, r.Version)
	}
	if r.Digest != reply.Digest {
		reply.Buckets = b.table.BucketDigests()
	}
	return reply
}

func (b *Balancer) addConfiguration(reply *wire.Synced, from uint64) {
	if deltas, ok := b.replica.DeltasSince(from); ok {
		reply.Deltas, _ = json.Marshal(deltas)
		return
	}
	reply.State, _ = json.Marshal(b.replica.State())
}

// applyDelta applies the next version and propagates it. behind reports that a
// version before it is missing.
func (b *Balancer) applyDelta(d *config.Delta) (behind bool) {
	b.mu.Lock()
	applied, behind := b.replica.ApplyDelta(d)
	if applied {
		b.activateVersion()
	}
	b.mu.Unlock()
	if applied {
		b.queueUpdate(update{delta: d})
	}
	return behind
}

// applyState applies a whole configuration, if it is a later one.
func (b *Balancer) applyState(s *config.State) {
	b.mu.Lock()
	d, applied := b.replica.Replace(s)
	if applied {
		b.activateVersion()
	}
	b.mu.Unlock()
	if applied {
		b.queueUpdate(update{delta: d})
	}
}

// activateVersion puts a new version into force. It is called with mu held.
func (b *Balancer) activateVersion() {
	b.count.applied.Inc(1)
	state := b.replica.State()
	b.bindEdges(state)
	b.rebuildSnapshot()
	b.deps.Log.Info().Str("event", "version").Uint64("version", state.Root.Version).Msg("configuration in force")
	if b.deps.OnVersion != nil {
		b.deps.OnVersion(state.Root.Version)
	}
}

// bulkRecords new records or more at once are not propagated: the process is
// joining, or returning from a network partition. Otherwise each joining balancer
// would push the whole table to its neighbours, which have it; syncs deliver what
// they lack.
const bulkRecords = 128

// mergeMembers merges records and propagates those that are new.
func (b *Balancer) mergeMembers(all []*wire.Member) {
	b.mu.Lock()
	var changed []member.Member
	for _, w := range all {
		m, err := member.FromWire(w)
		if err != nil {
			b.count.malformed.Inc(1)
			continue
		}
		changed = append(changed, b.mergeMember(m)...)
	}
	b.updateSnapshot(changed)
	b.mu.Unlock()
	if len(changed) > 0 && len(changed) < bulkRecords {
		b.queueUpdate(update{members: changed})
	}
}

// mergeMember merges one record and returns the records to propagate. It is called
// with mu held.
func (b *Balancer) mergeMember(m member.Member) []member.Member {
	if m.Key == b.self.Key {
		return b.refute(m)
	}
	if !b.table.Merge(b.deps.Clock.Now(), m) {
		return nil
	}
	return []member.Member{m}
}

// refute overrides a record of this process that it did not write: a suspicion,
// or a record of an earlier process of the same name. The earlier one may have
// used the same numbers that this one starts with, so contents are compared too.
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
