package replication

import (
	"sync"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
)

// maxArchiveBytes bounds the replaced listeners that a source keeps.
const maxArchiveBytes = 1 << 20

// Archive keeps the listeners that versions have replaced lately. A reader that has begun with
// an earlier version gets it whole; otherwise versions in quick succession would have it begin
// again and again. It is safe for concurrent use.
type Archive struct {
	mu      sync.Mutex
	encoded map[uint64][]byte
	// order lists the hashes, oldest first, and bytes is the size of their encodings.
	order []uint64
	bytes int
}

// Add adds what a version replaces. The oldest listeners are dropped beyond the bound.
func (a *Archive) Add(c routing.Changes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.encoded == nil {
		a.encoded = map[uint64][]byte{}
	}
	for hash, encoded := range c.ReplacedEncodings() {
		if _, known := a.encoded[hash]; known {
			continue
		}
		a.encoded[hash] = encoded
		a.order = append(a.order, hash)
		a.bytes += len(encoded)
	}
	for a.bytes > maxArchiveBytes {
		a.bytes -= len(a.encoded[a.order[0]])
		delete(a.encoded, a.order[0])
		a.order = a.order[1:]
	}
}

// Encoding returns the encoding of the listener with a hash.
func (a *Archive) Encoding(hash uint64) ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	encoded, ok := a.encoded[hash]
	return encoded, ok
}
