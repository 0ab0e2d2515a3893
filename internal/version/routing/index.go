package routing

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// PartCount is the number of parts of a table: about as many as each of them has
	// listeners at the size planned for in two years.
	PartCount = 1 << partBits
	partBits  = 6
	hashBits  = 64
	// HashSize is the size of an encoded hash, in bytes.
	HashSize = 8
)

// entry is a listener with its encoding, which identifies it.
type entry struct {
	hash     uint64
	encoded  []byte
	listener *Listener
}

func compareEntries(a, b entry) int { return cmp.Compare(a.hash, b.hash) }

// NewTable returns the table with a head, the listeners of a base table that have one of the
// hashes, which ascend, and additional listeners by their encoding. Nothing of the base is
// copied.
func NewTable(head *wire.TableHead, base *Table, hashes []uint64, added map[uint64][]byte) (*Table, error) {
	entries, err := joinEntries(base, hashes, added)
	if err != nil {
		return nil, err
	}
	t := decodeHead(head)
	t.entries = entries
	t.Listeners = make([]*Listener, 0, len(entries))
	for i := range entries {
		t.Listeners = append(t.Listeners, entries[i].listener)
	}
	t.buildDigests()
	if err := t.checkRules(); err != nil {
		return nil, err
	}
	if len(t.entries) != len(t.Listeners) {
		return nil, fmt.Errorf("%w: listeners with the same address", ErrInvalid)
	}
	return t, nil
}

// joinEntries returns the entries with the hashes: those of the base, and the ones added.
func joinEntries(base *Table, hashes []uint64, added map[uint64][]byte) ([]entry, error) {
	var rest []entry
	if base != nil {
		rest = base.entries
	}
	entries := make([]entry, 0, len(hashes))
	for _, h := range hashes {
		for len(rest) > 0 && rest[0].hash < h {
			rest = rest[1:]
		}
		if len(rest) > 0 && rest[0].hash == h {
			entries = append(entries, rest[0])
			continue
		}
		l, err := decodeListener(added[h])
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry{hash: h, encoded: added[h], listener: l})
	}
	return entries, nil
}

// buildEntries encodes the listeners.
func (t *Table) buildEntries() error {
	t.entries = make([]entry, 0, len(t.Listeners))
	for _, l := range t.Listeners {
		encoded, err := l.encode()
		if err != nil {
			return err
		}
		t.entries = append(t.entries, entry{hash: xxh3.Hash(encoded), encoded: encoded, listener: l})
	}
	slices.SortFunc(t.entries, compareEntries)
	t.buildDigests()
	return nil
}

// buildDigests computes the digests of the parts, so that they are there for all that ask.
func (t *Table) buildDigests() {
	t.partDigests = make([]byte, 0, PartCount*HashSize)
	for i := range PartCount {
		t.partDigests = binary.BigEndian.AppendUint64(t.partDigests, xxh3.Hash(t.Part(i)))
	}
}

func (t *Table) find(hash uint64) (entry, bool) {
	if t == nil {
		return entry{}, false
	}
	i, ok := slices.BinarySearchFunc(t.entries, hash, func(e entry, h uint64) int { return cmp.Compare(e.hash, h) })
	if !ok {
		return entry{}, false
	}
	return t.entries[i], true
}

// Encoding returns the encoding of the listener with a hash. It must not be changed.
func (t *Table) Encoding(hash uint64) ([]byte, bool) {
	e, ok := t.find(hash)
	return e.encoded, ok
}

// Part returns the hashes of the listeners of a part, in ascending order, encoded.
func (t *Table) Part(number int) []byte {
	if t == nil {
		return nil
	}
	first, _ := slices.BinarySearchFunc(t.entries, number, func(e entry, n int) int { return cmp.Compare(partOf(e.hash), n) })
	var hashes []byte
	for _, e := range t.entries[first:] {
		if partOf(e.hash) != number {
			break
		}
		hashes = binary.BigEndian.AppendUint64(hashes, e.hash)
	}
	return hashes
}

// partOf returns the number of the part to which a listener belongs.
func partOf(hash uint64) int { return int(hash >> (hashBits - partBits)) }

// PartDigests returns the digests of all parts, encoded one after the other; empty without a
// table. They must not be changed.
func (t *Table) PartDigests() []byte {
	if t == nil {
		return nil
	}
	return t.partDigests
}

// Digest identifies the table: two with the same digest route in the same way.
func (t *Table) Digest() ([]byte, error) {
	head, err := t.Head().MarshalVT()
	if err != nil {
		return nil, errs.Wrap(err)
	}
	sum := xxh3.Hash128(append(head, t.PartDigests()...)).Bytes()
	return sum[:], nil
}

// Head returns the table without its listeners.
func (t *Table) Head() *wire.TableHead {
	h := &wire.TableHead{Version: t.Version, Revision: t.Revision, Idle: int64(t.IdleTimeout), Ignored: t.Ignored}
	for _, s := range t.Services {
		h.Warmings = append(h.Warmings, &wire.Warming{Service: s.Name, Rate: uint32(s.WarmingRate)})
	}
	return h
}

func decodeHead(h *wire.TableHead) *Table {
	t := &Table{Version: h.Version, Revision: h.Revision, IdleTimeout: clock.Millis(h.Idle), Ignored: h.Ignored}
	for _, w := range h.Warmings {
		t.Services = append(t.Services, Service{Name: w.Service, WarmingRate: int(w.Rate)})
	}
	return t
}

// encode returns the listener's encoding, which is the same in all processes.
func (l *Listener) encode() ([]byte, error) {
	address, err := l.Address.MarshalBinary()
	if err != nil {
		return nil, errs.Wrap(err)
	}
	m := &wire.Listener{Name: l.Name, Address: address, Homes: l.HomeRegions}
	for _, s := range l.Shares {
		m.Shares = append(m.Shares, &wire.Share{Service: s.Service, Weight: s.Weight})
	}
	if c := l.Class; c != nil {
		m.Class = &wire.Class{Priority: uint32(c.Priority), Repeatable: c.Repeatable, Objective: uint32(c.Objective), Limit: uint32(c.Limit)}
	}
	encoded, err := m.MarshalVT()
	return encoded, errs.Wrap(err)
}

func decodeListener(encoded []byte) (*Listener, error) {
	m := &wire.Listener{}
	if err := m.UnmarshalVT(encoded); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	l := &Listener{Name: m.Name, HomeRegions: m.Homes}
	if err := l.Address.UnmarshalBinary(m.Address); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	for _, s := range m.Shares {
		l.Shares = append(l.Shares, Share{Service: s.Service, Weight: s.Weight})
	}
	if c := m.Class; c != nil {
		l.Class = &Class{Priority: int(c.Priority), Repeatable: c.Repeatable, Objective: clock.Millis(c.Objective), Limit: clock.Millis(c.Limit)}
	}
	return l, nil
}

// DecodeHashes decodes hashes.
func DecodeHashes(encoded []byte) ([]uint64, error) {
	if len(encoded)%HashSize != 0 {
		return nil, fmt.Errorf("%w: %d bytes of hashes", ErrInvalid, len(encoded))
	}
	list := make([]uint64, 0, len(encoded)/HashSize)
	for i := 0; i < len(encoded); i += HashSize {
		list = append(list, binary.BigEndian.Uint64(encoded[i:]))
	}
	return list, nil
}

// DecodePart decodes the hashes of a part, which must ascend and belong to it.
func DecodePart(number int, encoded []byte) ([]uint64, error) {
	list, err := DecodeHashes(encoded)
	if err != nil {
		return nil, err
	}
	for i, h := range list {
		if partOf(h) != number || i > 0 && h <= list[i-1] {
			return nil, fmt.Errorf("%w: part %d has a hash out of order", ErrInvalid, number)
		}
	}
	return list, nil
}
