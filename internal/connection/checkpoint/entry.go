package checkpoint

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"iter"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
)

const (
	// formatVersion is the version of the format of a stored shard.
	formatVersion = 1
	// flowSize is the size of a flow in bytes: its addresses and the acknowledgement.
	flowSize = 16
	// maxFlows bounds the flows of an entry, also of one that is read: nearly twice
	// what a target holds at the size that is planned for in two years.
	maxFlows = 4096
)

// Errors of this package, tested with errors.Is.
var (
	// ErrUnreadable means that a shard has another writer or is corrupted.
	ErrUnreadable = errs.New("checkpoint: malformed shard")
	// ErrFormat means that a shard was written by a later version.
	ErrFormat = errs.New("checkpoint: shard has a later format version")
)

// Flow is one open flow.
type Flow struct {
	ID segment.Flow
	// Ack is the last acknowledgement of its caller.
	Ack uint32
}

// Flows are open flows, packed in 16 bytes each.
type Flows []byte

// Append appends a flow.
func (f Flows) Append(flow Flow) Flows {
	return binary.BigEndian.AppendUint32(segment.AppendFlow(f, flow.ID), flow.Ack)
}

// Len returns the number of flows.
func (f Flows) Len() int {
	return len(f) / flowSize
}

// All iterates over the flows in order.
func (f Flows) All() iter.Seq[Flow] {
	return func(yield func(Flow) bool) {
		for rest := f; len(rest) >= flowSize; rest = rest[flowSize:] {
			id, err := segment.ParseFlow(rest[:flowSize-4])
			if err != nil || !yield(Flow{ID: id, Ack: binary.BigEndian.Uint32(rest[flowSize-4:])}) {
				return
			}
		}
	}
}

// Split returns the first i flows, and the rest.
func (f Flows) Split(i int) (first, rest Flows) {
	i = min(max(i, 0), f.Len())
	return f[:i*flowSize], f[i*flowSize:]
}

// Last returns the last n flows.
func (f Flows) Last(n int) Flows {
	_, last := f.Split(f.Len() - n)
	return last
}

// validate returns ErrUnreadable if the length is not a multiple of flowSize or there
// are too many flows.
func (f Flows) validate() error {
	if len(f)%flowSize != 0 || f.Len() > maxFlows {
		return ErrUnreadable
	}
	return nil
}

// Entry is what is stored of one target.
type Entry struct {
	// Agent is the address where the target's agent receives parcels.
	Agent   netip.AddrPort
	Service string
	// Born is the start time of the target, as it reports it.
	Born uint64
	// Writer is the start time of the agent's process that wrote the entry.
	Writer uint64
	// At is when the entry was received, in Unix milliseconds by the clock of the VM
	// that received it. It serves only to ignore entries that are too old.
	At int64
	// Flows are in the order of their last use, unless they were read from the store.
	Flows Flows
}

// Shard is one object of the store: entries of the targets of a failure domain.
type Shard struct {
	// Count is over how many shards the domain's entries are spread, and Index
	// which of them this is. The first one always exists.
	Count   int
	Index   int
	Entries []Entry
}

// storedShard is the format of a shard in the store.
type storedShard struct {
	Format  int    `json:"format"`
	Shards  int    `json:"shards"`
	Shard   int    `json:"shard"`
	Entries int    `json:"entries"`
	Data    []byte `json:"data"`
}

// MarshalJSON returns the shard as it is stored.
func (s Shard) MarshalJSON() ([]byte, error) {
	out := storedShard{Format: formatVersion, Shards: s.Count, Shard: s.Index, Entries: len(s.Entries)}
	for i := range s.Entries {
		out.Data = s.Entries[i].pack(out.Data)
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads a shard, or returns ErrUnreadable or ErrFormat.
func (s *Shard) UnmarshalJSON(data []byte) error {
	var in storedShard
	err := json.Unmarshal(data, &in)
	if in.Format > formatVersion {
		return ErrFormat
	}
	if err != nil {
		return errors.Join(ErrUnreadable, err)
	}
	if in.Format < formatVersion || in.Shards < 1 || in.Shards > maxShards || in.Shard < 0 || in.Shard >= in.Shards {
		return ErrUnreadable
	}
	read := Shard{Count: in.Shards, Index: in.Shard}
	u := &unpacker{in: bytes.NewReader(in.Data)}
	for range min(in.Entries, maxEntries) {
		e := unpackEntry(u)
		if u.err != nil {
			return u.err
		}
		read.Entries = append(read.Entries, e)
	}
	*s = read
	return nil
}

// Find returns the entry of an agent's target.
func (s *Shard) Find(agent netip.AddrPort) (Entry, bool) {
	for i := range s.Entries {
		if s.Entries[i].Agent == agent {
			return s.Entries[i], true
		}
	}
	return Entry{}, false
}

// maxStoredSize returns an upper bound of the size of an entry in the store, in bytes.
func (e *Entry) maxStoredSize() int {
	// A caller takes up to 7 bytes, an acknowledgement 2, and JSON adds a third.
	const head, flow = 64, 9
	return (head + len(e.Service) + e.Flows.Len()*flow) * 4 / 3
}
