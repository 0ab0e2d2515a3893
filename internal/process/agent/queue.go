package agent

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// maxQueued bounds the datagrams that are queued while the agent is fenced. Further
	// ones are dropped and counted.
	maxQueued = 512
	// maxQueueTime bounds the time in the queue: it covers a heartbeat and its answer.
	maxQueueTime = clock.Second
)

// queuedDatagram is a datagram received while the agent was fenced.
type queuedDatagram struct {
	caller     netip.AddrPort
	from       netip.AddrPort
	receivedAt clock.Millis
	data       []byte
}

// enqueue queues a datagram of an open flow until the lease is renewed. A datagram that
// opens a flow is dropped: it may be as old as the pause of the process, and its home may
// have placed the flow elsewhere since.
func (a *Agent) enqueue(w *worker, now clock.Millis, from netip.AddrPort) {
	caller := envelope.ParseCaller(w.envelope.Caller)
	if !a.table.Owns(caller) {
		a.count.fenced.Inc(1)
		return
	}
	select {
	case a.queued <- queuedDatagram{caller: caller, from: from, receivedAt: now, data: slices.Clone(w.in[:w.size])}:
	default:
		a.count.fenced.Inc(1)
	}
	if !a.fenced(now) {
		// The lease was renewed in the meantime, when the queue was still empty.
		a.wakeQueue()
	}
}

// wakeQueue signals serveQueue to process the queue.
func (a *Agent) wakeQueue() {
	select {
	case a.leaseRenewed <- struct{}{}:
	default:
	}
}

// serveQueue processes the queue each time the lease is renewed, until the tunnel is
// closed.
func (a *Agent) serveQueue() {
	w := a.newWorker()
	for {
		select {
		case <-a.closing:
			return
		case <-a.leaseRenewed:
			a.processQueue(w)
		}
	}
}

// processQueue handles the queued datagrams while the agent is not fenced. It drops
// those that waited too long or whose flow has ended.
func (a *Agent) processQueue(w *worker) {
	for range len(a.queued) {
		now := a.deps.Clock.Now()
		if a.fenced(now) {
			return
		}
		d := <-a.queued
		if now.Sub(d.receivedAt) > maxQueueTime || !a.table.Owns(d.caller) {
			a.count.fenced.Inc(1)
			continue
		}
		w.size = copy(w.in[:], d.data)
		a.handleDatagram(w, d.from)
	}
}
