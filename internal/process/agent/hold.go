package agent

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// mostHeld bounds the datagrams that wait while the agent is fenced. Beyond it they
	// are dropped and counted.
	mostHeld = 512
	// heldFor is how long one waits: a heartbeat and its answer.
	heldFor = clock.Second
)

// held is a datagram that came while the agent was fenced.
type held struct {
	caller netip.AddrPort
	from   netip.AddrPort
	at     clock.Millis
	data   []byte
}

// holdBack keeps the datagram of an open flow until the lease is confirmed. What opens a
// flow is dropped: it may be as old as the pause, and its home have placed the flow
// elsewhere since.
func (a *Agent) holdBack(w *worker, now clock.Millis, from netip.AddrPort) {
	caller := envelope.ParseCaller(w.envelope.Caller)
	if !a.table.Owns(caller) {
		a.count.fenced.Inc(1)
		return
	}
	select {
	case a.held <- held{caller: caller, from: from, at: now, data: slices.Clone(w.in[:w.size])}:
	default:
		a.count.fenced.Inc(1)
	}
	if !a.fenced(now) {
		// The lease was confirmed meanwhile, when nothing was held yet.
		a.wake()
	}
}

// wake lets what is held go on.
func (a *Agent) wake() {
	select {
	case a.confirmations <- struct{}{}:
	default:
	}
}

// releases takes up what was held, each time the lease is confirmed, until the tunnel is
// closed.
func (a *Agent) releases() {
	w := a.newWorker()
	for {
		select {
		case <-a.closing:
			return
		case <-a.confirmations:
			a.release(w)
		}
	}
}

func (a *Agent) release(w *worker) {
	for range len(a.held) {
		now := a.deps.Clock.Now()
		if a.fenced(now) {
			return
		}
		h := <-a.held
		if now.Sub(h.at) > heldFor || !a.table.Owns(h.caller) {
			a.count.fenced.Inc(1)
			continue
		}
		w.size = copy(w.in[:], h.data)
		a.take(w, h.from)
	}
}
