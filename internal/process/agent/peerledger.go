package agent

import (
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// maxPeerLedgers bounds the ledgers that an agent stores for peers.
const maxPeerLedgers = 8

// errFull is returned to a peer when no further ledger can be stored.
var errFull = errs.New("agent: no room for another ledger")

// peerLedger is a ledger stored for a peer.
type peerLedger struct {
	data       []byte
	receivedAt clock.Millis
	// takenBy is the incarnation of the successor that has received the ledger, or zero.
	takenBy uint32
}

// handleKeep stores a peer's ledger.
func (a *Agent) handleKeep(r *wire.Keep) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.peerLedgers[r.Target]; !ok && len(a.peerLedgers) >= maxPeerLedgers && !a.evictLedger() {
		return errFull
	}
	a.peerLedgers[r.Target] = peerLedger{data: r.Ledger, receivedAt: a.deps.Clock.Now()}
	return nil
}

// evictLedger removes a ledger that a successor has received or that has expired, and
// reports whether there was one. The caller holds a.mu.
func (a *Agent) evictLedger() bool {
	for target, l := range a.peerLedgers {
		if l.takenBy != 0 || a.ledgerExpired(&l) {
			delete(a.peerLedgers, target)
			return true
		}
	}
	return false
}

// ledgerExpired reports whether a ledger was stored longer ago than the caller of a flow may
// be silent, so that its flows have either timed out or are served by a successor that took
// the ledger from another peer: several peers may store the same ledger.
func (a *Agent) ledgerExpired(l *peerLedger) bool {
	idle := a.service.IdleTimeout
	return idle > 0 && a.deps.Clock.Now().Sub(l.receivedAt) > max(idle, owner.MaxCallerPause)
}

// handleTake returns a target's ledger to its successor.
//
// The reply may be lost or arrive too late, so the same successor may ask again. Any other
// successor gets nothing, since flows have started and ended in the meantime.
func (a *Agent) handleTake(r *wire.Take) *wire.Taken {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.peerLedgers[r.Target]
	if !ok || a.ledgerExpired(&l) || l.takenBy != 0 && l.takenBy != r.Incarnation {
		return &wire.Taken{}
	}
	l.takenBy = r.Incarnation
	a.peerLedgers[r.Target] = l
	return &wire.Taken{Ledger: l.data}
}
