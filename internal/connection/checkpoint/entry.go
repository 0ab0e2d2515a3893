package checkpoint

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
)

const (
	// format is the version of the layout of an entry.
	format = 1
	// flowSize is what a flow takes: its addresses and the acknowledgement, in bytes.
	flowSize = 16
	// mostFlows bounds the flows of an entry, also of one that is read.
	mostFlows = 32768
	// frame is what an entry takes beside its flows, in bytes: names and numbers.
	frame = 1024
)

// Errors of this package, tested with errors.Is.
var (
	// ErrUnreadable means that an entry has another writer or was damaged.
	ErrUnreadable = errs.New("checkpoint: the entry cannot be read")
	// ErrFormat means that an entry was written by a later version.
	ErrFormat = errs.New("checkpoint: the entry has a later format")
)

// Flow is one open flow.
type Flow struct {
	ID segment.Flow
	// Ack is what its caller acknowledged last.
	Ack uint32
}

// Entry is what is kept of one target.
type Entry struct {
	Service string
	// Born is the start of the target, as it says itself.
	Born uint64
	// Writer is the start of the agent's process that wrote the entry.
	Writer uint64
	// At is when it was written, in Unix milliseconds by the clock of the VM. It
	// bars entries that are too old and proves nothing.
	At    int64
	Flows []Flow
}

// stored is the layout of an entry in the store.
type stored struct {
	Format  int    `json:"format"`
	Service string `json:"service"`
	Born    uint64 `json:"born"`
	Writer  uint64 `json:"writer"`
	At      int64  `json:"at"`
	Flows   string `json:"flows"`
}

// Room returns how many flows an entry may have for values of that many bytes.
func Room(valueBytes int) int {
	packed := (valueBytes - frame) / 4 * 3
	return max(min(packed/flowSize, mostFlows), 0)
}

// MarshalJSON packs the entry. Equal entries have the same bytes.
func (e Entry) MarshalJSON() ([]byte, error) {
	flows := slices.Clone(e.Flows)
	slices.SortFunc(flows, func(a, b Flow) int {
		return cmp.Or(a.ID.Caller.Compare(b.ID.Caller), a.ID.Listener.Compare(b.ID.Listener))
	})
	packed := make([]byte, 0, len(flows)*flowSize)
	for i := range flows {
		packed = segment.AppendFlow(packed, flows[i].ID)
		packed = binary.BigEndian.AppendUint32(packed, flows[i].Ack)
	}
	return json.Marshal(stored{
		Format: format, Service: e.Service, Born: e.Born, Writer: e.Writer, At: e.At,
		Flows: base64.StdEncoding.EncodeToString(packed),
	})
}

// UnmarshalJSON reads an entry, or returns ErrUnreadable or ErrFormat.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var s stored
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Join(ErrUnreadable, err)
	}
	if s.Format > format {
		return ErrFormat
	}
	if s.Format < format || s.Born == 0 {
		return ErrUnreadable
	}
	packed, err := base64.StdEncoding.DecodeString(s.Flows)
	if err != nil {
		return errors.Join(ErrUnreadable, err)
	}
	if len(packed)%flowSize != 0 || len(packed) > mostFlows*flowSize {
		return ErrUnreadable
	}
	read := Entry{Service: s.Service, Born: s.Born, Writer: s.Writer, At: s.At}
	for ; len(packed) > 0; packed = packed[flowSize:] {
		id, err := segment.ParseFlow(packed[:flowSize-4])
		if err != nil {
			return errors.Join(ErrUnreadable, err)
		}
		read.Flows = append(read.Flows, Flow{ID: id, Ack: binary.BigEndian.Uint32(packed[flowSize-4:])})
	}
	*e = read
	return nil
}
