package balancer

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/process/trace"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// leaveRepeats is how many times a leave is sent while the balancer lingers.
	leaveRepeats = 3
)

// tunnel is one socket towards the agents.
type tunnel struct {
	conn    *net.UDPConn
	address netip.AddrPort
}

func (t *tunnel) write(b []byte, to netip.AddrPort) error {
	_, err := t.conn.WriteToUDPAddrPort(b, to)
	return err
}

func (b *Balancer) openTunnels() error {
	for range max(b.settings.Ports, 1) {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(b.settings.Tunnel, 0)))
		if err != nil {
			return errs.Wrap(err)
		}
		_ = conn.SetReadBuffer(envelope.SocketBufferSize)
		address := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		b.tunnels = append(b.tunnels, &tunnel{
			conn: conn, address: netip.AddrPortFrom(address.Addr().Unmap(), address.Port()),
		})
	}
	return nil
}

func (b *Balancer) tunnelAddresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, t := range b.tunnels {
		all = append(all, t.address)
	}
	return all
}

func (b *Balancer) closeTunnels() {
	for _, t := range b.tunnels {
		_ = t.conn.Close()
	}
}

func (b *Balancer) serveTunnels() {
	for _, t := range b.tunnels {
		for range b.settings.Workers {
			b.background.Go(func() { b.serveTunnel(t) })
		}
	}
}

func (b *Balancer) serveTunnel(t *tunnel) {
	w := newWorkerBuffers()
	opener := envelope.NewOpener(b.deps.Ring)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(w.in[:])
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		if err := opener.Open(&w.envelope, w.in[:n]); err != nil {
			b.countInvalid(err)
			continue
		}
		if w.envelope.Kind == wire.Kind_KIND_BEAT {
			b.queueHeartbeat(&w.envelope, t, from)
			continue
		}
		b.dispatch(&w.envelope)
	}
}

func (b *Balancer) countInvalid(err error) {
	if errors.Is(err, envelope.ErrForged) {
		b.count.forged.Inc(1)
		return
	}
	b.count.malformed.Inc(1)
}

// dispatch handles an envelope of an agent.
func (b *Balancer) dispatch(e *wire.Envelope) {
	caller := envelope.ParseCaller(e.Caller)
	switch e.Kind {
	case wire.Kind_KIND_RETURN:
		b.returnToCaller(e, caller)
	case wire.Kind_KIND_HINT:
		b.paths.RecordAnswer(e.Target)
		b.hints.Confirm(b.deps.Clock.Now(), e.Service, caller, e.Caller, e.Target, e.Incarnation)
	default:
		b.count.malformed.Inc(1)
	}
}

func (b *Balancer) returnToCaller(e *wire.Envelope, caller netip.AddrPort) {
	edge, ok := b.edgeOf(e.Service)
	if !ok {
		b.count.unserved.Inc(1)
		return
	}
	if len(e.Trace) > 0 {
		b.deps.Tracer.Hop(e.Trace, "balancer.return", trace.Hop{Service: e.Service, Target: e.Target, Caller: caller.String()})
	}
	if _, err := edge.conn.WriteToUDPAddrPort(e.Payload, caller); err != nil {
		b.count.unsent.Inc(1)
		return
	}
	b.count.returned.Inc(1)
}

// sendLeaves notifies the agents several times that this balancer is about to stop,
// while it keeps serving. A datagram may be lost; three in a row rarely are, and
// an agent that missed all of them answers through another balancer at the flow's
// next datagram.
func (b *Balancer) sendLeaves(ctx context.Context, linger clock.Millis) {
	for range leaveRepeats {
		b.sendLeave()
		select {
		case <-ctx.Done():
			return
		case <-after(linger / leaveRepeats):
		}
	}
}

func (b *Balancer) sendLeave() {
	out, err := b.sealer.Seal(nil, &wire.Envelope{Kind: wire.Kind_KIND_LEAVE})
	if err != nil {
		return
	}
	for _, to := range b.agentAddresses() {
		for _, t := range b.tunnels {
			_ = t.write(out, to)
		}
	}
}

// agentAddresses returns the tunnel addresses of the agents.
func (b *Balancer) agentAddresses() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []netip.AddrPort
	for _, m := range b.table.Filter(func(m *member.Member) bool { return m.Kind == member.Target }) {
		all = append(all, m.Tunnel())
	}
	return all
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}
