package model

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Drain starts or ends the drain of a target. Its agent acts at once; the other
// processes learn of it by an update.
func (w *World) Drain(name string, on bool) {
	t := w.findTarget(name)
	t.draining = on
	t.drainingSince = 0
	if on {
		t.drainingSince = w.Now()
	}
	w.publishChange(t)
}

// Suspect marks a target as suspected or not, and publishes that. Whether the
// target is dead makes no difference.
func (w *World) Suspect(name string, on bool) {
	t := w.findTarget(name)
	t.suspected = on
	w.publishChange(t)
}

func (w *World) publishChange(t *Target) {
	t.stateSequence++
	t.rebuildView(w.Now())
	w.publish(t.candidate())
}

// Kill crashes a target. It is suspected after suspectAfter, unless it has a
// successor by then.
func (w *World) Kill(name string, suspectAfter clock.Millis) {
	t := w.findTarget(name)
	t.Dead, t.upstreamLost = true, true
	w.After(suspectAfter, func() {
		if w.findTarget(name) == t {
			t.suspected = true
			w.publish(t.candidate())
		}
	})
}

// Restart restarts a target's agent as planned: the successor gets its ledger,
// and the upstream keeps running. No agent runs during gap.
func (w *World) Restart(name string, gap clock.Millis) {
	t := w.findTarget(name)
	t.stopped = true
	w.publish(t.candidate())
	ledger := t.table.NewLedger(w.Now(), name, t.view)
	next := w.newSuccessor(t)
	next.drainingSince, next.draining, next.suspected = t.drainingSince, t.draining, false
	next.tookOver = !t.joining
	next.startedAt = t.startedAt
	w.After(gap, func() {
		next.connections = t.connections
		if w.Options.Disabled != Ledger {
			next.table.Import(w.Now(), ledger, next)
		}
		w.swapTarget(t, next)
		w.Oracle.replaceTarget(t, next)
	})
}

// Replace starts a new target of the same name on another VM, with an empty
// upstream. The flows that the old one still served are lost.
func (w *World) Replace(name string, gap clock.Millis) {
	t := w.findTarget(name)
	t.stopped, t.upstreamLost = true, true
	w.publish(t.candidate())
	next := w.newSuccessor(t)
	next.tunnel = w.newTarget(name, w.newHost(), 0).tunnel
	w.After(gap, func() { w.swapTarget(t, next) })
}

func (w *World) newSuccessor(t *Target) *Target {
	next := w.newTarget(t.Name, 0, t.Incarnation+1)
	next.tunnel = t.tunnel
	return next
}

// swapTarget replaces a target by its successor.
func (w *World) swapTarget(old, next *Target) {
	w.Targets[slices.Index(w.Targets, old)] = next
	if !next.tookOver {
		next.startedAt = w.Now()
		w.delayOpenings(next)
	}
	next.loadRoster(w.published, w.Now())
	w.publish(next.candidate())
	w.startTimers(next)
}

// Add starts a new target. It first learns the targets that one balancer knows,
// and the rest after a propagation delay.
func (w *World) Add(name string) {
	t := w.newTarget(name, w.newHost(), 1)
	w.Targets = append(w.Targets, t)
	t.loadRoster(w.rosterOfBalancer(), w.Now())
	w.After(w.propagationDelay(), func() { t.loadRoster(w.published, w.Now()) })
	w.delayOpenings(t)
	w.publish(t.candidate())
	w.startTimers(t)
}

// rosterOfBalancer returns the targets that a random balancer knows.
func (w *World) rosterOfBalancer() map[target.ID]target.Candidate {
	if len(w.Balancers) == 0 {
		return w.published
	}
	b := w.Balancers[w.random.IntN(len(w.Balancers))]
	all := map[target.ID]target.Candidate{}
	for id, k := range b.roster {
		all[id] = k.Candidate
	}
	return all
}

// delayOpenings keeps a target that starts without flows from opening any until
// updates have propagated.
func (w *World) delayOpenings(t *Target) {
	if w.Options.Disabled == Joining {
		return
	}
	t.joining = true
	w.After(owner.MaxPropagationDelay, func() {
		t.joining = false
		if t.running() {
			w.publishChange(t)
		}
	})
}

// ReuseAddress crashes a target and starts an agent of another service at its
// address, as on a new VM that was assigned the same address. The crashed target
// is suspected after suspectAfter.
func (w *World) ReuseAddress(name string, suspectAfter clock.Millis) {
	t := w.findTarget(name)
	w.Kill(name, suspectAfter)
	other := w.newTarget(name, 0, t.Incarnation)
	other.tunnel = t.tunnel
	other.service = service + 1
	other.rebuildView(w.Now())
	other.Name = "usurper"
	w.Targets = append(w.Targets, other)
}

// DropPathState makes the network drop the datagrams between a target and the
// sockets that balancers currently use towards it, as a stateful middlebox that
// lost its flow state does. Other sockets work.
func (w *World) DropPathState(name string) {
	t := w.findTarget(name)
	stateless := map[netip.AddrPort]bool{}
	for _, b := range w.Balancers {
		stateless[b.socketFor(t.ID)] = true
	}
	w.Cut = func(from, to netip.AddrPort) bool {
		return to == t.tunnel && stateless[from] || from == t.tunnel && stateless[to]
	}
}
