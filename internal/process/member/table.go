package member

import (
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Buckets is the number of parts in which two tables are compared. At 3,790
// records a bucket holds 60, so one difference costs a few kilobytes.
const Buckets = 64

// Table holds one process's beliefs. Its digests are kept up with each merge,
// so comparing two tables that agree costs 8 bytes.
type Table struct {
	members map[Key]*entry
	// services holds the same records by service, in the order of their
	// keys; balancers have none. A service has two or three targets, for
	// which a map would take ten times a slice's memory.
	services  map[string][]*entry
	digests   [Buckets]uint64
	forgotten map[Key]Since
}

type entry struct {
	Since
	hash uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{members: map[Key]*entry{}, services: map[string][]*entry{}, forgotten: map[Key]Since{}}
}

// Bucket returns the part of the table that a process belongs to.
func Bucket(k Key) int {
	return int(xxh3.HashString(string(k.Kind)+"/"+k.Service+"/"+k.Name) % Buckets)
}

// Merge takes a record if it is newer than what is there, and reports that.
func (t *Table) Merge(now clock.Millis, m Member) bool {
	old, ok := t.members[m.Key]
	if ok && !Newer(&m, &old.Member) {
		return false
	}
	if f, ok := t.forgotten[m.Key]; ok && !Newer(&m, &f.Member) {
		return false
	}
	delete(t.forgotten, m.Key)
	t.put(&entry{Since: Since{Member: m, At: now}, hash: m.hash()})
	return true
}

func (t *Table) put(e *entry) {
	b := Bucket(e.Key)
	if old, ok := t.members[e.Key]; ok {
		t.digests[b] ^= old.hash
	}
	t.members[e.Key] = e
	t.digests[b] ^= e.hash
	of := t.services[e.Service]
	if i, ok := find(of, e.Key); ok {
		of[i] = e
	} else {
		t.services[e.Service] = slices.Insert(of, i, e)
	}
}

func find(of []*entry, k Key) (int, bool) {
	return slices.BinarySearchFunc(of, k, func(e *entry, k Key) int { return compareKeys(e.Key, k) })
}

// drop takes a record out of those of its service.
func (t *Table) drop(k Key) {
	of := t.services[k.Service]
	if i, ok := find(of, k); ok {
		of = slices.Delete(of, i, i+1)
	}
	if len(of) == 0 {
		delete(t.services, k.Service)
		return
	}
	t.services[k.Service] = of
}

// Suspect adds a suspicion to a process's record as it stands. It returns the
// record to spread.
func (t *Table) Suspect(now clock.Millis, k Key) (Member, bool) {
	e, ok := t.members[k]
	if !ok || e.Suspected || e.State == Left {
		return Member{}, false
	}
	m := e.Member
	m.Suspected = true
	return m, t.Merge(now, m)
}

// Expire forgets what has been suspected or gone for longer than the
// retention.
//
// Two tables forget a record at slightly different times and would get it back from each
// other for ever. So a table refuses for another retention what it has forgotten, unless
// the process itself has written since.
func (t *Table) Expire(now, retain clock.Millis) []Member {
	var gone []Member
	for k, e := range t.members {
		ended := e.Suspected || e.State.order() > 0
		if !ended || now.Sub(e.At) <= retain {
			continue
		}
		t.digests[Bucket(k)] ^= e.hash
		delete(t.members, k)
		t.drop(k)
		t.forgotten[k] = Since{Member: e.Member, At: now}
		gone = append(gone, e.Member)
	}
	for k, f := range t.forgotten {
		if now.Sub(f.At) > retain {
			delete(t.forgotten, k)
		}
	}
	return gone
}

// Get returns one record.
func (t *Table) Get(k Key) (Since, bool) {
	e, ok := t.members[k]
	if !ok {
		return Since{}, false
	}
	return e.Since, true
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.members)
}

// All returns the records that a test accepts, in the order of their keys.
func (t *Table) All(accept func(*Member) bool) []Since {
	var all []Since
	for _, e := range t.members {
		if accept(&e.Member) {
			all = append(all, e.Since)
		}
	}
	slices.SortFunc(all, func(a, b Since) int { return compareKeys(a.Key, b.Key) })
	return all
}

// Service returns the targets of a service, in the order of their names.
func (t *Table) Service(name string) []Since {
	return records(t.services[name])
}

// Balancers returns the balancers, in the order of their names.
func (t *Table) Balancers() []Since {
	return records(t.services[""])
}

func records(entries []*entry) []Since {
	all := make([]Since, 0, len(entries))
	for _, e := range entries {
		all = append(all, e.Since)
	}
	return all
}

// Hashes returns a hash of each record of some buckets.
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

// Compare takes another table's hashes of some buckets. It returns the records
// that the other lacks, and the hashes of those that are missing here.
func (t *Table) Compare(buckets []uint32, hashes []uint64) ([]Since, []uint64) {
	theirs := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		theirs[h] = true
	}
	var lacking []Since
	for k, e := range t.members {
		if !slices.Contains(buckets, uint32(Bucket(k))) {
			continue
		}
		if !theirs[e.hash] {
			lacking = append(lacking, e.Since)
		}
		delete(theirs, e.hash)
	}
	missing := make([]uint64, 0, len(theirs))
	for h := range theirs {
		missing = append(missing, h)
	}
	slices.Sort(missing)
	slices.SortFunc(lacking, func(a, b Since) int { return compareKeys(a.Key, b.Key) })
	return lacking, missing
}

// Hashed returns the records with these hashes.
func (t *Table) Hashed(hashes []uint64) []Since {
	wanted := make(map[uint64]bool, len(hashes))
	for _, h := range hashes {
		wanted[h] = true
	}
	var all []Since
	for _, e := range t.members {
		if wanted[e.hash] {
			all = append(all, e.Since)
		}
	}
	return all
}

// Digest returns one number for the whole table.
func (t *Table) Digest() uint64 {
	var d uint64
	for i, b := range t.digests {
		d ^= mix(b, i)
	}
	return d
}

// mix keeps equal digests of two buckets from cancelling each other.
func mix(digest uint64, bucket int) uint64 {
	return (digest + uint64(bucket)) * 0x9e3779b97f4a7c15
}

// Digests returns a number for each bucket.
func (t *Table) Digests() []uint64 {
	return slices.Clone(t.digests[:])
}

// Differ returns the buckets in which another table's digests differ.
func (t *Table) Differ(other []uint64) []uint32 {
	var buckets []uint32
	for i := range t.digests {
		if i >= len(other) || other[i] != t.digests[i] {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}
