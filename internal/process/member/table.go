package member

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Buckets is the number of buckets in which two tables are compared. With 3,790
// records a bucket holds 60, so one difference costs a few kilobytes.
const Buckets = 64

// Table holds the records that a process knows. Its digests are updated with each
// merge, so comparing two equal tables costs 8 bytes.
type Table struct {
	members map[Key]*entry
	// byService holds the same records by service, sorted by key; balancers
	// have the empty service. A service has two or three targets, for which a
	// map would take ten times the memory of a slice.
	byService  map[string][]*entry
	digests    [Buckets]uint64
	tombstones map[Key]Observed
}

type entry struct {
	Observed
	hash uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: map[Key]*entry{}, byService: map[string][]*entry{}, tombstones: map[Key]Observed{}}
}

// Bucket returns the bucket of a process.
func Bucket(k Key) int {
	return int(xxh3.HashString(string(k.Kind)+"/"+k.Service+"/"+k.Name) % Buckets)
}

// Merge stores a record if it is newer than the known one, and reports whether it
// did.
func (t *Table) Merge(now clock.Millis, m Member) bool {
	old, ok := t.members[m.Key]
	if ok && !Newer(&m, &old.Member) {
		return false
	}
	if tombstone, ok := t.tombstones[m.Key]; ok && !Newer(&m, &tombstone.Member) {
		return false
	}
	delete(t.tombstones, m.Key)
	t.put(&entry{Observed: Observed{Member: m, UpdatedAt: now}, hash: m.hash()})
	return true
}

func (t *Table) put(e *entry) {
	b := Bucket(e.Key)
	if old, ok := t.members[e.Key]; ok {
		t.digests[b] ^= old.hash
	}
	t.members[e.Key] = e
	t.digests[b] ^= e.hash
	entries := t.byService[e.Service]
	if i, ok := findEntry(entries, e.Key); ok {
		entries[i] = e
	} else {
		t.byService[e.Service] = slices.Insert(entries, i, e)
	}
}

func findEntry(entries []*entry, k Key) (int, bool) {
	return slices.BinarySearchFunc(entries, k, func(e *entry, k Key) int { return compareKeys(e.Key, k) })
}

// removeFromService removes a record from byService.
func (t *Table) removeFromService(k Key) {
	entries := t.byService[k.Service]
	if i, ok := findEntry(entries, k); ok {
		entries = slices.Delete(entries, i, i+1)
	}
	if len(entries) == 0 {
		delete(t.byService, k.Service)
		return
	}
	t.byService[k.Service] = entries
}

// Suspect adds a suspicion to a process's current record. It returns the record
// to disseminate.
func (t *Table) Suspect(now clock.Millis, k Key) (Member, bool) {
	e, ok := t.members[k]
	if !ok || e.Suspected || e.State == Left {
		return Member{}, false
	}
	m := e.Member
	m.Suspected = true
	return m, t.Merge(now, m)
}

// Expire removes and returns the records of processes that have been suspected, leaving or
// left for longer than the retention.
//
// Two tables remove a record at slightly different times and would restore it from each
// other forever. Therefore a removed record leaves a tombstone for another retention, during
// which only a newer record of the process is accepted.
func (t *Table) Expire(now, retain clock.Millis) []Member {
	var removed []Member
	for k, e := range t.members {
		ended := e.Suspected || e.State.terminalRank() > 0
		if !ended || now.Sub(e.UpdatedAt) <= retain {
			continue
		}
		t.digests[Bucket(k)] ^= e.hash
		delete(t.members, k)
		t.removeFromService(k)
		t.tombstones[k] = Observed{Member: e.Member, UpdatedAt: now}
		removed = append(removed, e.Member)
	}
	for k, tombstone := range t.tombstones {
		if now.Sub(tombstone.UpdatedAt) > retain {
			delete(t.tombstones, k)
		}
	}
	return removed
}

// Get returns one record.
func (t *Table) Get(k Key) (Observed, bool) {
	e, ok := t.members[k]
	if !ok {
		return Observed{}, false
	}
	return e.Observed, true
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.members)
}

// Filter returns the records that accept returns true for, sorted by key.
func (t *Table) Filter(accept func(*Member) bool) []Observed {
	var all []Observed
	for _, e := range t.members {
		if accept(&e.Member) {
			all = append(all, e.Observed)
		}
	}
	slices.SortFunc(all, func(a, b Observed) int { return compareKeys(a.Key, b.Key) })
	return all
}

// Targets returns the targets of a service, sorted by name.
func (t *Table) Targets(name string) []Observed {
	return observedRecords(t.byService[name])
}

// Balancers returns the balancers, sorted by name.
func (t *Table) Balancers() []Observed {
	return observedRecords(t.byService[""])
}

func observedRecords(entries []*entry) []Observed {
	all := make([]Observed, 0, len(entries))
	for _, e := range entries {
		all = append(all, e.Observed)
	}
	return all
}

// Hashes returns the sorted hashes of the records in some buckets.
func (t *Table) Hashes(buckets []uint32) []uint64 {
	var all []uint64
	for k, e := range t.members {
		if slices.Contains(buckets, uint32(Bucket(k))) {
			all = append(all, e.hash)
		}
	}
	slices.Sort(all)
	return all
}

// Compare compares the records in some buckets with another table's hashes. It
// returns the records that the other table lacks, and the hashes of those that
// this table lacks.
func (t *Table) Compare(buckets []uint32, hashes []uint64) ([]Observed, []uint64) {
	theirs := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		theirs[h] = true
	}
	var lacking []Observed
	for k, e := range t.members {
		if !slices.Contains(buckets, uint32(Bucket(k))) {
			continue
		}
		if !theirs[e.hash] {
			lacking = append(lacking, e.Observed)
		}
		delete(theirs, e.hash)
	}
	missing := make([]uint64, 0, len(theirs))
	for h := range theirs {
		missing = append(missing, h)
	}
	slices.Sort(missing)
	slices.SortFunc(lacking, func(a, b Observed) int { return compareKeys(a.Key, b.Key) })
	return lacking, missing
}

// ByHash returns the records with these hashes.
func (t *Table) ByHash(hashes []uint64) []Observed {
	wanted := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		wanted[h] = true
	}
	var all []Observed
	for _, e := range t.members {
		if wanted[e.hash] {
			all = append(all, e.Observed)
		}
	}
	return all
}

// Digest returns a digest of the whole table.
func (t *Table) Digest() uint64 {
	var d uint64
	for i, b := range t.digests {
		d ^= mix(b, i)
	}
	return d
}

// mix keeps equal digests of two buckets from canceling each other out.
func mix(digest uint64, bucket int) uint64 {
	return (digest + uint64(bucket)) * 0x9e3779b97f4a7c15
}

// BucketDigests returns the digest of each bucket.
func (t *Table) BucketDigests() []uint64 {
	return slices.Clone(t.digests[:])
}

// DifferingBuckets returns the buckets whose digests differ from another table's.
func (t *Table) DifferingBuckets(other []uint64) []uint32 {
	var buckets []uint32
	for i := range t.digests {
		if i >= len(other) || other[i] != t.digests[i] {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}
