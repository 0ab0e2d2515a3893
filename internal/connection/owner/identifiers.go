package owner

import (
	"sync"

	"github.com/wagtailtray/wagtailtray/internal/request/quic"
)

// leastID is the shortest connection identifier that recognises a flow. A
// shorter one would match strangers' datagrams too often.
const leastID = 4

// identifiers recognises a flow whose caller has a new address.
//
// An address translator may give the caller of a long flow a new port. The identifier
// that the upstream chose, or that the caller used last on this flow, names it all the
// same; the upstream validates the new path itself.
type identifiers struct {
	mu    sync.Mutex
	flows map[string]*Flow
}

// answered learns the identifier that the upstream chose for the flow.
func (x *identifiers) answered(f *Flow, datagram []byte) {
	if f.chosen != "" {
		return
	}
	id, ok := quic.SourceID(datagram)
	if !ok || len(id) < leastID {
		return
	}
	f.chosen = string(id)
	x.put(f, f.chosen)
}

// received learns the identifier that the caller uses on the flow.
func (x *identifiers) received(f *Flow, datagram []byte) {
	if f.chosen == "" || !f.Answered {
		return
	}
	id, ok := quic.DestinationID(datagram, len(f.chosen))
	if !ok || string(id) == f.used {
		return
	}
	old := f.used
	f.used = string(id)
	x.mu.Lock()
	defer x.mu.Unlock()
	if old != f.chosen && x.flows[old] == f {
		delete(x.flows, old)
	}
	x.flows[f.used] = f
}

func (x *identifiers) put(f *Flow, id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flows[id] = f
}

func (x *identifiers) forget(f *Flow) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range []string{f.chosen, f.used} {
		if x.flows[id] == f {
			delete(x.flows, id)
		}
	}
}

// find returns the flow that a datagram from an unknown address belongs to.
func (x *identifiers) find(datagram []byte) (*Flow, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for size := leastID; size <= maxKnownID; size++ {
		id, ok := quic.DestinationID(datagram, size)
		if !ok {
			return nil, false
		}
		if f, ok := x.flows[string(id)]; ok {
			return f, true
		}
	}
	return nil, false
}

// maxKnownID is the longest connection identifier (RFC 9000, section 17.2).
const maxKnownID = 20
