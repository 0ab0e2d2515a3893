package replication

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// minWindow and maxWindow bound the listeners that one question asks for. An answer that is
// cut off is lost, and each question takes a way there and back.
const (
	minWindow = 32
	maxWindow = 1024
)

// Transfer is the state of a reader. It stays useful if an attempt fails: what has been
// received is not asked for again. It is not safe for concurrent use.
type Transfer struct {
	head   *wire.TableHead
	digest []byte
	// hashes are those of the table to be read, and missing those that neither the base nor
	// received has.
	hashes, missing []uint64
	// window is the number of listeners of the next question. It doubles with each answer and
	// is halved by an attempt that ends early.
	window int
	// received holds encoded listeners by their hash. They belong to the table to be read.
	received map[uint64][]byte
}

// Question returns the first question of an attempt. The base is the table that the reader
// has, or nil.
func (t *Transfer) Question(base *routing.Table, above uint64) *wire.TableCompare {
	return &wire.TableCompare{Above: above, Parts: base.PartDigests()}
}

// Begin handles the answer to the first question.
func (t *Transfer) Begin(base *routing.Table, answer *wire.TableCompared) error {
	head := &wire.TableHead{}
	if err := head.UnmarshalVT(answer.Head); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	hashes, uncertain, err := expand(base, answer.Parts)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if t.window = max(t.window, 2*minWindow); !t.Complete() {
		t.window = max(t.window/2, minWindow)
	}
	t.head, t.digest, t.hashes, t.missing = head, answer.Digest, hashes, nil
	t.find(base, uncertain)
	return nil
}

// find drops what was received and is not wanted any more, and lists what is missing.
func (t *Transfer) find(base *routing.Table, hashes []uint64) {
	wanted := map[uint64][]byte{}
	for _, h := range hashes {
		if _, ok := base.Encoding(h); ok {
			continue
		}
		if encoded, ok := t.received[h]; ok {
			wanted[h] = encoded
			continue
		}
		t.missing = append(t.missing, h)
	}
	t.received = wanted
}

// expand returns the hashes of a table in ascending order: those of the parts given, and the
// base's for the others. Uncertain are those that the base may not have.
func expand(base *routing.Table, parts []*wire.TablePart) (hashes, uncertain []uint64, err error) {
	var differing [routing.PartCount]*wire.TablePart
	for _, p := range parts {
		if p == nil || p.Number >= routing.PartCount {
			return nil, nil, fmt.Errorf("%w: a part that there is not", ErrMalformed)
		}
		differing[p.Number] = p
	}
	for i, p := range differing {
		encoded := base.Part(i)
		if p != nil {
			encoded = p.Hashes
		}
		part, err := routing.DecodePart(i, encoded)
		if err != nil {
			return nil, nil, err
		}
		hashes = append(hashes, part...)
		if p != nil {
			uncertain = append(uncertain, part...)
		}
	}
	if len(hashes) > routing.MaxListeners {
		return nil, nil, fmt.Errorf("%w: %d listeners, more than %d", ErrMalformed, len(hashes), routing.MaxListeners)
	}
	return hashes, uncertain, nil
}

// Complete reports whether the reader has everything.
func (t *Transfer) Complete() bool { return len(t.missing) == 0 }

// Received returns the number of listeners that have been received and not yet used.
func (t *Transfer) Received() int { return len(t.received) }

// Next returns the next question for listeners.
func (t *Transfer) Next() *wire.TableListeners {
	m := &wire.TableListeners{}
	for _, h := range t.asked() {
		m.Hashes = binary.BigEndian.AppendUint64(m.Hashes, h)
	}
	return m
}

// asked returns the hashes of the next question, or of the one that is to be answered.
func (t *Transfer) asked() []uint64 {
	return t.missing[:min(len(t.missing), t.window)]
}

// Add handles the answer to Next and returns how many listeners it brought. If none, the
// source has another version in force by now, and the next question is the first one again.
func (t *Transfer) Add(answer *wire.TableListened) (int, error) {
	asked := map[uint64]bool{}
	for _, h := range t.asked() {
		asked[h] = true
	}
	added := 0
	for rest := answer.Listeners; len(rest) > 0; {
		size, n := binary.Uvarint(rest)
		if n <= 0 || size > uint64(len(rest)-n) {
			return added, fmt.Errorf("%w: a listener that is cut off", ErrMalformed)
		}
		encoded := rest[n:][:size]
		rest = rest[n:][size:]
		h := xxh3.Hash(encoded)
		if !asked[h] {
			return added, fmt.Errorf("%w: a listener that was not asked for", ErrMalformed)
		}
		if t.received[h] == nil {
			t.received[h] = bytes.Clone(encoded)
			added++
		}
	}
	t.window = min(2*t.window, maxWindow)
	t.missing = slices.DeleteFunc(t.missing, func(h uint64) bool { return t.received[h] != nil })
	return added, nil
}

// Finish returns the table. The transfer is then empty, also after an error: with ErrMismatch
// nothing that was received is to be trusted.
func (t *Transfer) Finish(base *routing.Table) (*routing.Table, error) {
	done := *t
	*t = Transfer{}
	table, err := routing.NewTable(done.head, base, done.hashes, done.received)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMismatch, err)
	}
	digest, err := table.Digest()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(digest, done.digest) {
		return nil, ErrMismatch
	}
	return table, nil
}
