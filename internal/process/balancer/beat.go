package balancer

import (
	"context"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// beaten identifies a target by what its beats carry.
type beaten struct {
	service uint32
	target  target.ID
}

// beatQueue bounds the heartbeats that wait. Beyond it they are dropped and
// counted: an agent sends the next one within a second.
const beatQueue = 1024

// arrived is one heartbeat with where its answer goes.
type arrived struct {
	service     uint32
	target      target.ID
	incarnation uint32
	beat        *wire.Beat
	tunnel      *tunnel
	from        netip.AddrPort
}

// queueBeat leaves a heartbeat to the control path.
//
// Workers take no lock of the control path, which holds it while a large version comes
// into force: callers' answers would stand still.
func (b *Balancer) queueBeat(e *wire.Envelope, t *tunnel, from netip.AddrPort) {
	a := arrived{service: e.Service, target: e.Target, incarnation: e.Incarnation, beat: e.Beat, tunnel: t, from: from}
	select {
	case b.beats <- a:
	default:
		b.count.beatsLost.Inc(1)
	}
}

// serveBeats answers heartbeats until the context ends.
//
// A heartbeat is one datagram each way instead of a call: at 3,300 targets and
// 490 balancers, calls alone would be several times the budget of control
// traffic. Its answer says only what this balancer believes; an agent that sees
// a difference makes the full announcement.
func (b *Balancer) serveBeats(ctx context.Context) {
	var out []byte
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-b.beats:
			ack := wire.Envelope{
				Kind: wire.Kind_KIND_ACK, Service: a.service, Target: a.target, Incarnation: a.incarnation, Beat: b.beat(a),
			}
			sealed, err := b.sealer.Seal(out[:0], &ack)
			if err != nil {
				b.count.large.Inc(1)
				continue
			}
			out = sealed
			if a.tunnel.write(out, a.from) != nil {
				b.count.unsent.Inc(1)
			}
		}
	}
}

// beat notes a heartbeat and returns the answer. A target that is not known, or
// known with another incarnation, gets an answer that differs from its own
// record and announces itself.
func (b *Balancer) beat(a arrived) *wire.Beat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count.beats.Inc(1)
	reply := &wire.Beat{Number: a.beat.Number, Version: b.book.Version()}
	known, ok := b.table.Get(b.byBeat[beaten{service: a.service, target: a.target}])
	if !ok {
		return reply
	}
	reply.Incarnation, reply.Sequence, reply.Suspected = known.Incarnation, known.Sequence, known.Suspected
	if known.Incarnation != a.incarnation {
		return reply
	}
	c := b.hear(&wire.Announce{Flows: a.beat.Flows, Busy: a.beat.Busy, Slots: a.beat.Slots}, known.Member)
	c.beaten(a.beat.Number)
	reply.View = c.view
	return reply
}
