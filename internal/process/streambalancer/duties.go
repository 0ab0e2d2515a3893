package streambalancer

import (
	"math/bits"

	"github.com/wagtailtray/wagtailtray/internal/process/failover"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// The balancer that watches the platform for its failure domain has further duties there.
// Each makes calls of its own, which the platform may leave unanswered while it answers the
// watch. The watcher then announces that the duty fails, and the next balancer that the
// platform answers performs it, until the watcher no longer announces that.

// Duties is a set of duties. The values are those of the wire format.
type Duties uint32

const (
	// EvacuationDuty is to watch the evacuations.
	EvacuationDuty Duties = 1 << iota
	// KeeperDuty is to store the checkpoints of the failure domain's targets.
	KeeperDuty
)

const dutyCount = 2

// dutyStartDelay is how long a balancer has watched the platform before it performs further
// duties: at a start many watch for a moment, and each wait and each load is billed.
const dutyStartDelay = 500 * clock.Millis(1)

var dutyNames = map[Duties]string{EvacuationDuty: "evacuations", KeeperDuty: "checkpoints"}

// Has reports whether the set contains a duty.
func (d Duties) Has(duty Duties) bool {
	return d&duty != 0
}

// With returns the set with or without a duty.
func (d Duties) With(duty Duties, on bool) Duties {
	if on {
		return d | duty
	}
	return d &^ duty
}

// index returns the position of a single duty.
func (d Duties) index() int {
	return bits.TrailingZeros32(uint32(d))
}

// updateDuties records what a balancer has announced about its duties.
func (ps *Peers) updateDuties(now clock.Millis, p *Peer, duties, failing Duties) {
	for duty := range dutyNames {
		if failing.Has(duty) && !p.Failing.Has(duty) {
			p.failingSince[duty.index()] = now
		}
		if p.Duties.Has(duty) && p.Domain == ps.self.Domain {
			ps.dutyHeldAt[duty.index()] = now
		}
	}
	p.Duties, p.Failing = duties, failing
}

// DutyDelay returns how long after now this balancer, which does not watch the platform, is
// to try or perform a duty, unless news come earlier. needed is false if the watcher of its
// failure domain does not announce that the duty fails.
//
// A balancer that performs the duty leaves it to one of higher rank that does as well. Others
// leave it to any that performs it.
func (ps *Peers) DutyDelay(now clock.Millis, duty Duties, performing bool) (delay clock.Millis, needed bool) {
	higher, since, heldAt := 0, clock.Millis(0), &ps.dutyHeldAt[duty.index()]
	for _, p := range ps.known {
		if p.Domain != ps.self.Domain || !p.Live(now) {
			continue
		}
		higherRank := compareRank(p, &ps.self) < 0
		switch {
		case p.isCurrentWatcher(now):
			needed = needed || p.Failing.Has(duty)
			since = max(since, p.failingSince[duty.index()])
		case p.Duties.Has(duty) && (higherRank || !performing):
			silentAt := p.HeardAt + watcherTimeout
			*heldAt = max(*heldAt, min(now, silentAt))
			delay = max(delay, silentAt+1-now)
		case higherRank:
			higher++
		}
	}
	if performing {
		return max(delay, 0), needed
	}
	return max(delay, max(since, *heldAt)+failover.Delay(higher)-now, 0), needed
}

// isCurrentWatcher reports whether the balancer's announcement that it watches the platform
// is recent enough.
func (p *Peer) isCurrentWatcher(now clock.Millis) bool {
	return p.isWatcher() && now.Sub(p.HeardAt) <= watcherTimeout
}

// dutyDelay returns how long after now this balancer is to perform or try a duty; needed is
// false if that is not known. The caller holds the lock.
func (b *Balancer) dutyDelay(now clock.Millis, duty Duties) (delay clock.Millis, needed bool) {
	if b.leaving {
		return 0, false
	}
	if b.watching {
		delay := max(b.watchingSince+dutyStartDelay-now, 0)
		return delay, duty != EvacuationDuty || b.peers.readsEvacuations(now)
	}
	return b.peers.DutyDelay(now, duty, b.duties.Has(duty))
}

// isDutyTurn reports whether it is this balancer's turn to perform a duty. The caller
// holds the lock.
func (b *Balancer) isDutyTurn(now clock.Millis, duty Duties) bool {
	delay, needed := b.dutyDelay(now, duty)
	return needed && delay == 0
}

// recordDuty records whether the platform answers this balancer's calls for a duty. Others
// are notified at once: one of them takes over, or leaves the duty to this one.
func (b *Balancer) recordDuty(duty Duties, answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.deps.Clock.Now()
	turn := b.isDutyTurn(now, duty)
	b.setDuties(now, b.duties.With(duty, answered && turn), b.failing.With(duty, !answered && turn && b.watching))
}

// releaseDuty records that it is not this balancer's turn to perform a duty.
func (b *Balancer) releaseDuty(duty Duties) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setDuties(b.deps.Clock.Now(), b.duties.With(duty, false), b.failing.With(duty, false))
}

// setDuties changes this balancer's duties and notifies the others. The caller holds the
// lock.
func (b *Balancer) setDuties(now clock.Millis, duties, failing Duties) {
	if duties == b.duties && failing == b.failing {
		return
	}
	b.logDuties(duties, failing)
	b.duties, b.failing = duties, failing
	b.broadcastRoles(now)
}

// logDuties logs the duties that are about to change.
func (b *Balancer) logDuties(duties, failing Duties) {
	for duty, name := range dutyNames {
		if duties.Has(duty) != b.duties.Has(duty) || failing.Has(duty) != b.failing.Has(duty) {
			b.deps.Log.Info().Str("event", "duty").Str("name", name).
				Bool("performing", duties.Has(duty)).Bool("failing", failing.Has(duty)).Send()
		}
	}
}

// endDuties ends all duties, because the platform no longer answers the watch or another
// balancer watches. The caller holds the lock and notifies the others.
func (b *Balancer) endDuties() {
	b.logDuties(0, 0)
	b.duties, b.failing = 0, 0
	if b.cancelEvacuationWait != nil {
		b.cancelEvacuationWait()
	}
}

// handleDuties handles a change in what a balancer announces: this one may have to take over
// the watch of the evacuations at once, or to leave its wait for them to another one. The
// caller holds the lock.
func (b *Balancer) handleDuties(now clock.Millis) {
	turn := b.isDutyTurn(now, EvacuationDuty)
	switch {
	case !turn && b.cancelEvacuationWait != nil:
		b.cancelEvacuationWait()
	case turn && !b.duties.Has(EvacuationDuty):
		b.wakeEvacuations()
	}
}
