package agent

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
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
	from       netip.AddrPort
	receivedAt clock.Millis
	// envelope is marshalled. Its age is that of the pause.
	envelope []byte
}

// enqueue queues a datagram until the lease is renewed. One of a flow that is not open here
// may be as old as the pause of the process, and others may have decided about it since. So
// a placement is dropped, and an opening is searched for.
func (a *Agent) enqueue(w *worker, now clock.Millis, from netip.AddrPort) {
	data, ok := a.prepareQueued(&w.envelope, now)
	if !ok {
		a.count.fenced.Inc(1)
		return
	}
	select {
	case a.queued <- queuedDatagram{from: from, receivedAt: now, envelope: data}:
	default:
		a.count.fenced.Inc(1)
	}
	if !a.fenced(now) {
		// The lease was renewed in the meantime, when the queue was still empty.
		a.wakeQueue()
	}
}

// prepareQueued returns the envelope to queue, or false if it must be dropped.
func (a *Agent) prepareQueued(e *wire.Envelope, now clock.Millis) ([]byte, bool) {
	if !owner.PrepareRetained(e) {
		if !a.table.Owns(envelope.ParseCaller(e.Caller)) {
			return nil, false
		}
		e.Stage = wire.Stage_STAGE_OWNED
	}
	e.Age += uint32(now.Sub(clock.Millis(a.leaseStart.Load())))
	data, err := e.MarshalVT()
	return data, err == nil
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
// those that waited too long.
func (a *Agent) processQueue(w *worker) {
	for range len(a.queued) {
		now := a.deps.Clock.Now()
		if a.fenced(now) {
			return
		}
		d := <-a.queued
		w.envelope = wire.Envelope{}
		if now.Sub(d.receivedAt) > maxQueueTime || w.envelope.UnmarshalVTUnsafe(d.envelope) != nil {
			a.count.fenced.Inc(1)
			continue
		}
		a.dispatch(w, d.from)
	}
}
