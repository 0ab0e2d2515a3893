package checkpoint

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// minWriteInterval is the minimum interval between two writes of a shard, and
	// maxRetryInterval bounds the interval after failed writes.
	minWriteInterval = 2 * clock.Second
	maxRetryInterval = 30 * clock.Second
	// writeBytesPerTarget bounds the bytes per second that a keeper writes for each
	// target on average: a tenth of what a process may use for control.
	writeBytesPerTarget = 300
	// maxShards bounds the shards of a failure domain.
	maxShards = 256
	// maxEntries bounds the targets of a failure domain: twice as many as are
	// planned for in two years.
	maxEntries = 2048
	// maxFlowBytes bounds the flows of all entries that a keeper holds: if there are
	// more, each target gets an equal share.
	maxFlowBytes = 8 << 20
	// maxParts bounds the parts of one entry.
	maxParts = (maxFlows + flowsPerPart - 1) / flowsPerPart
	// splitPercent is the percentage of a value that a shard may fill before it is
	// split.
	splitPercent = 75
)

// KeeperSettings are the settings of a Keeper.
type KeeperSettings struct {
	// MaxValueSize is the size of the largest value of the store, in bytes.
	MaxValueSize int
	// FlowTTL is how long a flow may live.
	FlowTTL clock.Millis
	// WritesPerSecond is how many writes a second all keepers together may make.
	WritesPerSecond float64
}

// keptEntry is the entry of one target.
type keptEntry struct {
	entry Entry
	// number is the agent's number of the entry, or zero if it was read from the store.
	number     uint32
	receivedAt clock.Millis
	// acknowledged is set if the agent was sent an acknowledgement that the entry is in
	// the store, or if it was read from there.
	acknowledged bool
}

// assembly is an entry with parts that have not been received yet.
type assembly struct {
	writer   uint64
	number   uint32
	parts    []Flows
	received int
}

// Acknowledgement confirms to an agent that its entry is in the store.
type Acknowledgement struct {
	Agent         netip.AddrPort
	Number        uint32
	WriteInterval clock.Millis
}

// Keeper collects the entries of a failure domain's targets. It is not safe for
// concurrent use.
type Keeper struct {
	settings   KeeperSettings
	entries    map[netip.AddrPort]*keptEntry
	assemblies map[netip.AddrPort]*assembly
	shardCount int
	// changed has the shards that are to be written.
	changed map[int]bool
	// writing has the numbers of the entries in the shards that are being written.
	writing      map[int]map[netip.AddrPort]uint32
	domainCount  int
	nextWrite    clock.Millis
	failedWrites int
}

// NewKeeper returns a Keeper without entries.
func NewKeeper(settings KeeperSettings) *Keeper {
	k := &Keeper{settings: settings, domainCount: 1}
	k.Reset()
	return k
}

// Reset removes all entries and forgets failures: another balancer is the keeper now.
func (k *Keeper) Reset() {
	k.entries, k.assemblies = map[netip.AddrPort]*keptEntry{}, map[netip.AddrPort]*assembly{}
	k.changed, k.writing = map[int]bool{}, map[int]map[netip.AddrPort]uint32{}
	k.shardCount = 1
	if k.failedWrites > 0 {
		k.failedWrites, k.nextWrite = 0, 0
	}
}

// SetDomainCount sets the number of failure domains; each has a keeper.
func (k *Keeper) SetDomainCount(n int) {
	k.domainCount = max(n, 1)
}

// ShardCount returns over how many shards the entries are spread.
func (k *Keeper) ShardCount() int {
	return k.shardCount
}

// Load adds the entries of a shard that is in the store. Those received from agents
// take precedence.
func (k *Keeper) Load(now clock.Millis, wall int64, s *Shard) {
	k.adoptShardCount(s.Count)
	for i := range s.Entries {
		e := &s.Entries[i]
		if k.entries[e.Agent] != nil || e.expired(wall, k.settings.FlowTTL) || len(k.entries) >= maxEntries {
			continue
		}
		age := min(max(clock.Millis(wall-e.At), 0), k.settings.FlowTTL)
		k.entries[e.Agent] = &keptEntry{entry: *e, receivedAt: now - age, acknowledged: true}
	}
}

// adoptShardCount adopts the number of shards that the store has, if it is larger. The
// entries that agents have sent to this keeper may belong to other shards then.
func (k *Keeper) adoptShardCount(count int) {
	if count <= k.shardCount {
		return
	}
	k.shardCount = count
	clear(k.changed)
	for a, e := range k.entries {
		if !e.acknowledged {
			k.changed[k.shardOf(a)] = true
		}
	}
}

// Receive adds a part of the entry of an agent's target.
func (k *Keeper) Receive(now clock.Millis, wall int64, agent netip.AddrPort, c *wire.Checkpoint) error {
	flows := Flows(c.Flows)
	if err := flows.validate(); err != nil {
		return err
	}
	if c.Born == 0 || c.Number == 0 || c.Parts == 0 || c.Parts > maxParts || c.Part >= c.Parts {
		return ErrUnreadable
	}
	a := k.assemblies[agent]
	if a == nil && len(k.assemblies) >= maxEntries {
		return nil
	}
	if a == nil || a.writer != c.Writer || a.number != c.Number || len(a.parts) != int(c.Parts) {
		a = &assembly{writer: c.Writer, number: c.Number, parts: make([]Flows, c.Parts)}
		k.assemblies[agent] = a
	}
	if a.parts[c.Part] == nil {
		a.parts[c.Part] = flows
		a.received++
	}
	if a.received == len(a.parts) {
		delete(k.assemblies, agent)
		k.setEntry(now, Entry{
			Agent: agent, Service: c.Service, Born: c.Born, Writer: c.Writer, At: wall, Flows: slices.Concat(a.parts...),
		}, c.Number)
	}
	return nil
}

// setEntry replaces the entry of a target by the one that its agent has sent.
func (k *Keeper) setEntry(now clock.Millis, e Entry, number uint32) {
	if k.entries[e.Agent] == nil && len(k.entries) >= maxEntries {
		return
	}
	k.entries[e.Agent] = &keptEntry{entry: e, number: number, receivedAt: now}
	k.trimFlows()
	k.changed[k.shardOf(e.Agent)] = true
}

// trimFlows removes flows so that those of all targets stay within maxFlowBytes.
func (k *Keeper) trimFlows() {
	share := maxFlowBytes / flowSize / len(k.entries)
	for _, e := range k.entries {
		if e.entry.Flows.Len() > share {
			e.entry.Flows = slices.Clone(e.entry.Flows.Last(share))
		}
	}
}

// Remove removes the targets that have left as planned: their callers were notified, and
// balancers that replace all others need not wait for them.
func (k *Keeper) Remove(left func(agent netip.AddrPort) bool) {
	maps.DeleteFunc(k.entries, func(a netip.AddrPort, _ *keptEntry) bool {
		if left(a) {
			k.changed[k.shardOf(a)] = true
			return true
		}
		return false
	})
	maps.DeleteFunc(k.assemblies, func(a netip.AddrPort, _ *assembly) bool { return left(a) })
}

// Due returns the shards that are to be written now.
func (k *Keeper) Due(now clock.Millis) []Shard {
	if now < k.nextWrite || len(k.changed) == 0 {
		return nil
	}
	k.removeExpired(now)
	k.growShards()
	var due []Shard
	for _, i := range slices.Sorted(maps.Keys(k.changed)) {
		due = append(due, k.buildShard(i))
	}
	clear(k.changed)
	return due
}

// removeExpired removes the entries whose flows are older than FlowTTL.
func (k *Keeper) removeExpired(now clock.Millis) {
	maps.DeleteFunc(k.entries, func(_ netip.AddrPort, e *keptEntry) bool {
		return now.Sub(e.receivedAt) > k.settings.FlowTTL+maxClockSkew
	})
}

// growShards spreads the entries over more shards if one would be too large.
func (k *Keeper) growShards() {
	for k.shardCount < maxShards {
		fits := true
		sizes := make([]int, k.shardCount)
		for a, e := range k.entries {
			i := k.shardOf(a)
			sizes[i] += e.entry.maxStoredSize()
			fits = fits && sizes[i] <= k.settings.MaxValueSize*splitPercent/100
		}
		if fits {
			return
		}
		k.setShardCount(2 * k.shardCount)
	}
}

// setShardCount spreads the entries over count shards, all of which are to be written.
func (k *Keeper) setShardCount(count int) {
	k.shardCount = count
	for i := range count {
		k.changed[i] = true
	}
}

func (k *Keeper) shardOf(agent netip.AddrPort) int {
	return ShardOf(agent, k.shardCount)
}

// ShardOf returns which of count shards has a target's entry.
func ShardOf(agent netip.AddrPort, count int) int {
	return int(xxh3.Hash(segment.AppendAddress(nil, agent)) % uint64(max(count, 1)))
}

// buildShard builds one shard and records which entries it has.
func (k *Keeper) buildShard(index int) Shard {
	s := Shard{Count: k.shardCount, Index: index}
	numbers := map[netip.AddrPort]uint32{}
	size := 0
	for _, a := range slices.SortedFunc(maps.Keys(k.entries), netip.AddrPort.Compare) {
		e := k.entries[a]
		if k.shardOf(a) != index || size+e.entry.maxStoredSize() > k.settings.MaxValueSize {
			continue
		}
		size += e.entry.maxStoredSize()
		s.Entries = append(s.Entries, e.entry)
		numbers[a] = e.number
	}
	k.writing[index] = numbers
	return s
}

// WriteSucceeded records that a shard is in the store, and returns the acknowledgements
// that are to be sent to agents.
func (k *Keeper) WriteSucceeded(index int) []Acknowledgement {
	k.failedWrites = 0
	var all []Acknowledgement
	for a, number := range k.writing[index] {
		e := k.entries[a]
		if e == nil || e.acknowledged || e.number != number {
			continue
		}
		e.acknowledged = true
		all = append(all, Acknowledgement{Agent: a, Number: number, WriteInterval: k.WriteInterval()})
	}
	delete(k.writing, index)
	return all
}

// WriteFailed records that a shard was not written. The write is retried with a growing
// delay.
func (k *Keeper) WriteFailed(index int) {
	k.failedWrites++
	k.changed[index] = true
	delete(k.writing, index)
}

// ScheduleNext schedules the next writes after those that were due. jitter is a random
// number from 0 to 1 that spreads the writes of the failure domains' keepers.
func (k *Keeper) ScheduleNext(now clock.Millis, jitter float64) {
	interval := k.WriteInterval()
	k.nextWrite = now + interval*3/4 + clock.Millis(jitter*float64(interval)/2)
}

// WriteInterval returns the interval between two writes. It grows with the bytes and the
// shards that are to be written, and after failures.
func (k *Keeper) WriteInterval() clock.Millis {
	size := 0
	for _, e := range k.entries {
		size += e.entry.maxStoredSize()
	}
	bytes := clock.Millis(size/max(len(k.entries), 1)) * clock.Second / writeBytesPerTarget
	calls := clock.Millis(float64(k.shardCount*k.domainCount) / k.settings.WritesPerSecond * float64(clock.Second))
	interval := max(minWriteInterval, bytes, calls)
	return max(interval, min(minWriteInterval<<min(k.failedWrites, 8), maxRetryInterval)*clock.Millis(min(k.failedWrites, 1)))
}
