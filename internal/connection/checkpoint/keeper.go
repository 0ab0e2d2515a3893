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
	// leastPause is the shortest pause between two writes of a sheet, and mostPause
	// bounds the one after failed writes.
	leastPause = 2 * clock.Second
	mostPause  = 30 * clock.Second
	// bytesPerTarget bounds what a keeper writes a second for each target, in the
	// mean: a tenth of what a process may use for control.
	bytesPerTarget = 300
	// mostShards bounds the objects of a failure domain.
	mostShards = 256
	// mostEntries bounds the targets of a failure domain: twice as many as are
	// planned for in two years.
	mostEntries = 2048
	// mostBytes bounds the flows of all entries that a keeper holds: where there are
	// more, each target has an equal part.
	mostBytes = 8 << 20
	// mostParts bounds the parts of one entry.
	mostParts = (mostFlows + flowsPerPart - 1) / flowsPerPart
	// fullPart is the part of a value that a sheet may fill, in percent, before it
	// is split.
	fullPart = 75
)

// KeeperSettings are what a Keeper is told at start.
type KeeperSettings struct {
	// Value is the largest value of the store, in bytes.
	Value int
	// Life is how long a flow may live.
	Life clock.Millis
	// Writes is how many writes a second all keepers together may make.
	Writes float64
}

// kept is the entry of one target.
type kept struct {
	entry Entry
	// number is the agent's number of it; zero if it was read from the store.
	number uint32
	at     clock.Millis
	// told tells that the agent knows that the entry is in the store.
	told bool
}

// assembly is an entry of which parts are missing.
type assembly struct {
	writer uint64
	number uint32
	parts  []Flows
	have   int
}

// Acknowledgement tells an agent that its entry is in the store.
type Acknowledgement struct {
	Agent  netip.AddrPort
	Number uint32
	Pause  clock.Millis
}

// Keeper collects the entries of a failure domain's targets. It belongs to one process
// and is not safe for concurrent use.
type Keeper struct {
	settings KeeperSettings
	entries  map[netip.AddrPort]*kept
	parts    map[netip.AddrPort]*assembly
	shards   int
	// changed are the shards that are to be written.
	changed map[int]bool
	// writing are the numbers of the entries in the sheets that are being written.
	writing map[int]map[netip.AddrPort]uint32
	domains int
	next    clock.Millis
	failed  int
}

// NewKeeper returns a Keeper that knows nothing yet.
func NewKeeper(settings KeeperSettings) *Keeper {
	k := &Keeper{settings: settings, domains: 1}
	k.Clear()
	return k
}

// Clear forgets everything: another balancer keeps the entries now.
func (k *Keeper) Clear() {
	k.entries, k.parts = map[netip.AddrPort]*kept{}, map[netip.AddrPort]*assembly{}
	k.changed, k.writing = map[int]bool{}, map[int]map[netip.AddrPort]uint32{}
	k.shards = 1
}

// SetDomains tells how many failure domains there are; each has a keeper.
func (k *Keeper) SetDomains(n int) {
	k.domains = max(n, 1)
}

// Shards returns over how many objects the entries are spread.
func (k *Keeper) Shards() int {
	return k.shards
}

// Load takes a sheet that is in the store. What agents have said themselves stays.
func (k *Keeper) Load(now clock.Millis, wall int64, s *Sheet) {
	k.join(s.Shards)
	for i := range s.Entries {
		e := &s.Entries[i]
		if k.entries[e.Agent] != nil || e.old(wall, k.settings.Life) || len(k.entries) >= mostEntries {
			continue
		}
		age := min(max(clock.Millis(wall-e.At), 0), k.settings.Life)
		k.entries[e.Agent] = &kept{entry: *e, at: now - age, told: true}
	}
}

// join goes over to the number of objects that the store has. What agents have told
// this keeper may belong to another one of them then.
func (k *Keeper) join(shards int) {
	if shards <= k.shards {
		return
	}
	k.shards = shards
	clear(k.changed)
	for a, e := range k.entries {
		if !e.told {
			k.changed[k.shard(a)] = true
		}
	}
}

// Hear takes a part of the entry of an agent's target.
func (k *Keeper) Hear(now clock.Millis, wall int64, agent netip.AddrPort, c *wire.Checkpoint) error {
	flows := Flows(c.Flows)
	if err := flows.check(); err != nil {
		return err
	}
	if c.Born == 0 || c.Number == 0 || c.Parts == 0 || c.Parts > mostParts || c.Part >= c.Parts {
		return ErrUnreadable
	}
	a := k.parts[agent]
	if a == nil && len(k.parts) >= mostEntries {
		return nil
	}
	if a == nil || a.writer != c.Writer || a.number != c.Number || len(a.parts) != int(c.Parts) {
		a = &assembly{writer: c.Writer, number: c.Number, parts: make([]Flows, c.Parts)}
		k.parts[agent] = a
	}
	if a.parts[c.Part] == nil {
		a.parts[c.Part] = flows
		a.have++
	}
	if a.have == len(a.parts) {
		delete(k.parts, agent)
		k.take(now, Entry{
			Agent: agent, Service: c.Service, Born: c.Born, Writer: c.Writer, At: wall, Flows: slices.Concat(a.parts...),
		}, c.Number)
	}
	return nil
}

// take replaces what is known of a target by what its agent has said.
func (k *Keeper) take(now clock.Millis, e Entry, number uint32) {
	if k.entries[e.Agent] == nil && len(k.entries) >= mostEntries {
		return
	}
	k.entries[e.Agent] = &kept{entry: e, number: number, at: now}
	k.trim()
	k.changed[k.shard(e.Agent)] = true
}

// trim keeps the flows of all targets within their bound.
func (k *Keeper) trim() {
	part := mostBytes / flowSize / len(k.entries)
	for _, e := range k.entries {
		if e.entry.Flows.Len() > part {
			e.entry.Flows = slices.Clone(e.entry.Flows.Last(part))
		}
	}
}

// Drop forgets the targets that have left as planned: their callers were told.
func (k *Keeper) Drop(left func(agent netip.AddrPort) bool) {
	maps.DeleteFunc(k.entries, func(a netip.AddrPort, _ *kept) bool { return left(a) })
	maps.DeleteFunc(k.parts, func(a netip.AddrPort, _ *assembly) bool { return left(a) })
}

// Due returns the sheets that are to be written now.
func (k *Keeper) Due(now clock.Millis) []Sheet {
	if now < k.next || len(k.changed) == 0 {
		return nil
	}
	k.forget(now)
	k.resize()
	var due []Sheet
	for _, i := range slices.Sorted(maps.Keys(k.changed)) {
		due = append(due, k.sheet(i))
	}
	clear(k.changed)
	return due
}

// forget drops the entries whose flows are older than a flow may be.
func (k *Keeper) forget(now clock.Millis) {
	maps.DeleteFunc(k.entries, func(_ netip.AddrPort, e *kept) bool {
		return now.Sub(e.at) > k.settings.Life+clockSlack
	})
}

// resize splits the entries over more objects if one would be too large.
func (k *Keeper) resize() {
	for k.shards < mostShards {
		fits := true
		sizes := make([]int, k.shards)
		for a, e := range k.entries {
			i := k.shard(a)
			sizes[i] += e.entry.size()
			fits = fits && sizes[i] <= k.settings.Value*fullPart/100
		}
		if fits {
			return
		}
		k.split(2 * k.shards)
	}
}

// split spreads the entries over that many objects, all of which are to be written.
func (k *Keeper) split(shards int) {
	k.shards = shards
	for i := range shards {
		k.changed[i] = true
	}
}

func (k *Keeper) shard(agent netip.AddrPort) int {
	return ShardOf(agent, k.shards)
}

// ShardOf returns which of that many objects has a target's entry.
func ShardOf(agent netip.AddrPort, shards int) int {
	return int(xxh3.Hash(segment.AppendAddress(nil, agent)) % uint64(max(shards, 1)))
}

// sheet makes one object and notes what is in it.
func (k *Keeper) sheet(shard int) Sheet {
	s := Sheet{Shards: k.shards, Shard: shard}
	numbers := map[netip.AddrPort]uint32{}
	size := 0
	for _, a := range slices.SortedFunc(maps.Keys(k.entries), netip.AddrPort.Compare) {
		e := k.entries[a]
		if k.shard(a) != shard || size+e.entry.size() > k.settings.Value {
			continue
		}
		size += e.entry.size()
		s.Entries = append(s.Entries, e.entry)
		numbers[a] = e.number
	}
	k.writing[shard] = numbers
	return s
}

// Wrote notes that a sheet is in the store, and returns what is to be told to agents.
func (k *Keeper) Wrote(shard int) []Acknowledgement {
	k.failed = 0
	var all []Acknowledgement
	for a, number := range k.writing[shard] {
		e := k.entries[a]
		if e == nil || e.told || e.number != number {
			continue
		}
		e.told = true
		all = append(all, Acknowledgement{Agent: a, Number: number, Pause: k.Pause()})
	}
	delete(k.writing, shard)
	return all
}

// Failed notes that a sheet was not written: it is tried again, later each time.
func (k *Keeper) Failed(shard int) {
	k.failed++
	k.changed[shard] = true
	delete(k.writing, shard)
}

// Rest notes that the sheets that were due are done with. jitter is a random number of
// 0 to 1 that keeps the keepers of failure domains apart.
func (k *Keeper) Rest(now clock.Millis, jitter float64) {
	pause := k.Pause()
	k.next = now + pause*3/4 + clock.Millis(jitter*float64(pause)/2)
}

// Pause is the pause between two writes. It grows with the bytes and the objects that are to be written, and after failures.
func (k *Keeper) Pause() clock.Millis {
	size := 0
	for _, e := range k.entries {
		size += e.entry.size()
	}
	bytes := clock.Millis(size/max(len(k.entries), 1)) * clock.Second / bytesPerTarget
	calls := clock.Millis(float64(k.shards*k.domains) / k.settings.Writes * float64(clock.Second))
	pause := max(leastPause, bytes, calls)
	return max(pause, min(leastPause<<min(k.failed, 8), mostPause)*clock.Millis(min(k.failed, 1)))
}
