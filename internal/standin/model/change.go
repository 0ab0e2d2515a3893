package model

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Drain lets a target finish its flows, or ends that. The agent acts at once;
// the others hear of it.
func (w *World) Drain(name string, on bool) {
	t := w.find(name)
	t.draining = on
	t.drained = 0
	if on {
		t.drained = w.Now()
	}
	w.changed(t)
}

// Suspect spreads a suspicion, true or false, or takes it back.
func (w *World) Suspect(name string, on bool) {
	t := w.find(name)
	t.suspected = on
	w.changed(t)
}

func (w *World) changed(t *Target) {
	t.changes++
	t.rebuild(w.Now())
	w.tell(t.candidate())
}

// Kill ends a target without warning. It is suspected after a while, unless
// it has a successor by then.
func (w *World) Kill(name string, suspectAfter clock.Millis) {
	t := w.find(name)
	t.Dead, t.lost = true, true
	w.After(suspectAfter, func() {
		if w.find(name) == t {
			t.suspected = true
			w.tell(t.candidate())
		}
	})
}

// Restart replaces a target's agent as planned: its ledger goes to the
// successor, and the upstream stays.
func (w *World) Restart(name string, gap clock.Millis) {
	t := w.find(name)
	t.stopped = true
	w.tell(t.candidate())
	ledger := t.table.NewLedger(w.Now(), name, t.view)
	next := w.successor(t)
	next.drained, next.draining, next.suspected = t.drained, t.draining, false
	next.inherits = !t.joining
	next.started = t.started
	w.After(gap, func() {
		next.upstream = t.upstream
		if w.Options.Without != Ledger {
			next.table.Import(w.Now(), ledger, next)
		}
		w.replace(t, next)
		w.Oracle.inherit(t, next)
	})
}

// Replace puts a new target of the same name on another VM, with an upstream
// that knows nothing. What the old one still served is lost.
func (w *World) Replace(name string, gap clock.Millis) {
	t := w.find(name)
	t.stopped, t.lost = true, true
	w.tell(t.candidate())
	next := w.successor(t)
	next.tunnel = w.newTarget(name, w.host(), 0).tunnel
	w.After(gap, func() { w.replace(t, next) })
}

func (w *World) successor(t *Target) *Target {
	next := w.newTarget(t.Name, 0, t.Incarnation+1)
	next.tunnel = t.tunnel
	return next
}

// replace puts a target in the place of its predecessor.
func (w *World) replace(old, next *Target) {
	w.Targets[slices.Index(w.Targets, old)] = next
	if !next.inherits {
		next.started = w.Now()
		w.join(next)
	}
	next.learn(w.news, w.Now())
	w.tell(next.candidate())
	w.keep(next)
}

// Add starts a target that was not there before. It learns what a balancer
// knows and hears the rest later, as the others hear of it.
func (w *World) Add(name string) {
	t := w.newTarget(name, w.host(), 1)
	w.Targets = append(w.Targets, t)
	t.learn(w.known(), w.Now())
	w.After(w.lag(), func() { t.learn(w.news, w.Now()) })
	w.join(t)
	w.tell(t.candidate())
	w.keep(t)
}

// known returns the targets that some balancer knows.
func (w *World) known() map[target.ID]target.Candidate {
	if len(w.Balancers) == 0 {
		return w.news
	}
	b := w.Balancers[w.random.IntN(len(w.Balancers))]
	all := map[target.ID]target.Candidate{}
	for id, k := range b.roster {
		all[id] = k.Candidate
	}
	return all
}

// join keeps a target that starts without flows from opening any for a while.
func (w *World) join(t *Target) {
	if w.Options.Without == Joining {
		return
	}
	t.joining = true
	w.After(owner.MaxPropagationDelay, func() {
		t.joining = false
		if t.running() {
			w.changed(t)
		}
	})
}

// Usurp puts an agent of another service at a target's address, on a VM that
// was given the address anew. The target itself is gone; it is suspected after
// a while.
func (w *World) Usurp(name string, suspectAfter clock.Millis) {
	t := w.find(name)
	w.Kill(name, suspectAfter)
	other := w.newTarget(name, 0, t.Incarnation)
	other.tunnel = t.tunnel
	other.service = service + 1
	other.rebuild(w.Now())
	other.Name = "usurper"
	w.Targets = append(w.Targets, other)
}

// ForgetPaths makes the network lose track of every pair of sockets that
// balancers use towards a target now. Other pairs work.
func (w *World) ForgetPaths(name string) {
	t := w.find(name)
	dead := map[netip.AddrPort]bool{}
	for _, b := range w.Balancers {
		dead[b.socket(t.ID)] = true
	}
	w.Cut = func(from, to netip.AddrPort) bool {
		return to == t.tunnel && dead[from] || from == t.tunnel && dead[to]
	}
}
