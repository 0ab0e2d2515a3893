package agent

import (
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// maxKept bounds the ledgers that an agent keeps for peers.
const maxKept = 8

// errFull is returned to a peer whose ledger finds no room here.
var errFull = errs.New("agent: no room for another ledger")

// keptLedger is a peer's ledger.
type keptLedger struct {
	data []byte
	// at is when it came.
	at clock.Millis
	// taker is the incarnation of the successor that was given it; zero before.
	taker uint32
}

func (a *Agent) keep(r *wire.Keep) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.kept[r.Target]; !ok && len(a.kept) >= maxKept && !a.dropGiven() {
		return errFull
	}
	a.kept[r.Target] = keptLedger{data: r.Ledger, at: a.deps.Clock.Now()}
	return nil
}

// dropGiven makes room by a ledger that a successor was given, or that is of no use any
// more, and reports whether there was one. The lock is held.
func (a *Agent) dropGiven() bool {
	for target, l := range a.kept {
		if l.taker != 0 || a.tooOld(&l) {
			delete(a.kept, target)
			return true
		}
	}
	return false
}

// tooOld reports that nobody has served a ledger's flows for longer than any of them may
// be idle. Several peers may keep one ledger, and its successor takes it from one of them.
func (a *Agent) tooOld(l *keptLedger) bool {
	return a.record.IdleTimeout > 0 && a.deps.Clock.Now().Sub(l.at) > a.record.IdleTimeout
}

// giveLedger gives a target's ledger to its successor.
//
// The answer may be lost or come too late, so the same successor may ask again; any other
// one gets nothing, for flows have begun and ended since.
func (a *Agent) giveLedger(r *wire.Take) *wire.Taken {
	a.mu.Lock()
	defer a.mu.Unlock()
	l, ok := a.kept[r.Target]
	if !ok || a.tooOld(&l) || l.taker != 0 && l.taker != r.Incarnation {
		return &wire.Taken{}
	}
	l.taker = r.Incarnation
	a.kept[r.Target] = l
	return &wire.Taken{Ledger: l.data}
}
