package owner

import (
	"sync"

	"github.com/wagtailtray/wagtailtray/internal/request/quic"
)

// minIDLength is the length of the shortest connection ID that identifies a flow. A
// shorter one would match unrelated datagrams too often.
const minIDLength = 4

// connectionIDs finds the flow of a caller that has a new address.
//
// A NAT may assign a new port to the caller of a long flow. The connection ID that the
// upstream chose, or that the caller used last on this flow, still identifies it; the
// upstream validates the new path itself.
type connectionIDs struct {
	mu    sync.Mutex
	flows map[string]*Flow
}

// learnChosen learns the connection ID that the upstream chose for the flow.
func (x *connectionIDs) learnChosen(f *Flow, datagram []byte) {
	if f.chosenID != "" {
		return
	}
	id, ok := quic.SourceID(datagram)
	if !ok || len(id) < minIDLength {
		return
	}
	f.chosenID = string(id)
	x.put(f, f.chosenID)
}

// learnUsed learns the connection ID that the caller uses on the flow.
func (x *connectionIDs) learnUsed(f *Flow, datagram []byte) {
	if f.chosenID == "" || !f.Answered {
		return
	}
	id, ok := quic.DestinationID(datagram, len(f.chosenID))
	if !ok || string(id) == f.usedID {
		return
	}
	old := f.usedID
	f.usedID = string(id)
	x.mu.Lock()
	defer x.mu.Unlock()
	if old != f.chosenID && x.flows[old] == f {
		delete(x.flows, old)
	}
	x.flows[f.usedID] = f
}

func (x *connectionIDs) put(f *Flow, id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.flows[id] = f
}

func (x *connectionIDs) remove(f *Flow) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range []string{f.chosenID, f.usedID} {
		if x.flows[id] == f {
			delete(x.flows, id)
		}
	}
}

// find returns the flow that a datagram from an unknown address belongs to.
func (x *connectionIDs) find(datagram []byte) (*Flow, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for size := minIDLength; size <= maxIDLength; size++ {
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

// maxIDLength is the length of the longest connection ID (RFC 9000, section 17.2).
const maxIDLength = 20
