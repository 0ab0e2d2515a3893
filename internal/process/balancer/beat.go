package balancer

import (
	"context"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// heartbeatKey identifies a target by the fields that its heartbeats carry.
type heartbeatKey struct {
	service uint32
	target  target.ID
}

// maxQueuedHeartbeats bounds the queue of heartbeats. Those beyond it are dropped
// and counted: an agent sends the next one within a second.
const maxQueuedHeartbeats = 1024

// queuedHeartbeat is a received heartbeat with the address for its acknowledgement.
type queuedHeartbeat struct {
	service     uint32
	target      target.ID
	incarnation uint32
	heartbeat   *wire.Beat
	tunnel      *tunnel
	from        netip.AddrPort
}

// queueHeartbeat passes a heartbeat to the control path without blocking.
//
// Workers must not take the lock of the control path, which is held while a large
// version is activated: answers to callers would be delayed.
func (b *Balancer) queueHeartbeat(e *wire.Envelope, t *tunnel, from netip.AddrPort) {
	h := queuedHeartbeat{service: e.Service, target: e.Target, incarnation: e.Incarnation, heartbeat: e.Beat, tunnel: t, from: from}
	select {
	case b.heartbeats <- h:
	default:
		b.count.beatsLost.Inc(1)
	}
}

// serveHeartbeats acknowledges heartbeats until the context ends.
//
// A heartbeat is one datagram each way instead of a call: at 3,300 targets and
// 490 balancers, calls alone would be several times the budget of control
// traffic. The acknowledgement carries only what this balancer knows of the
// target; an agent that sees a difference sends a full announcement.
func (b *Balancer) serveHeartbeats(ctx context.Context) {
	var out []byte
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-b.heartbeats:
			ack := wire.Envelope{
				Kind: wire.Kind_KIND_ACK, Service: h.service, Target: h.target, Incarnation: h.incarnation, Beat: b.handleHeartbeat(h),
			}
			sealed, err := b.sealer.Seal(out[:0], &ack)
			if err != nil {
				b.count.large.Inc(1)
				continue
			}
			out = sealed
			if h.tunnel.write(out, h.from) != nil {
				b.count.unsent.Inc(1)
			}
		}
	}
}

// handleHeartbeat records a heartbeat and returns the acknowledgement. A target
// that is unknown, or known with another incarnation, gets one that differs from
// its own record, and announces itself.
func (b *Balancer) handleHeartbeat(h queuedHeartbeat) *wire.Beat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count.beats.Inc(1)
	reply := &wire.Beat{Number: h.heartbeat.Number, Version: b.replica.Version()}
	known, ok := b.table.Get(b.targetKeys[heartbeatKey{service: h.service, target: h.target}])
	if !ok {
		return reply
	}
	reply.Incarnation, reply.Sequence, reply.Suspected = known.Incarnation, known.Sequence, known.Suspected
	if known.Incarnation != h.incarnation {
		return reply
	}
	c := b.trackTarget(&wire.Announce{Flows: h.heartbeat.Flows, Busy: h.heartbeat.Busy, Slots: h.heartbeat.Slots}, known.Member)
	c.recordHeartbeat(h.heartbeat.Number)
	reply.View = c.viewHash
	return reply
}
