package agent

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/trace"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// worker holds the buffers for one envelope at a time and is reused.
type worker struct {
	in       [envelope.MaxDatagramSize]byte
	size     int
	out      []byte
	via      []byte
	envelope wire.Envelope
	opener   *envelope.Opener
}

func (a *Agent) openTunnel() error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a.settings.Tunnel))
	if err != nil {
		return errs.Wrap(err)
	}
	_ = conn.SetReadBuffer(envelope.SocketBufferSize)
	a.tunnel = conn
	return nil
}

func (a *Agent) serveTunnel() {
	w := a.newWorker()
	for {
		n, from, err := a.tunnel.ReadFromUDPAddrPort(w.in[:])
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		w.size = n
		a.handleDatagram(w, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (a *Agent) newWorker() *worker {
	return &worker{out: make([]byte, 0, envelope.MaxDatagramSize), opener: envelope.NewOpener(a.deps.Ring)}
}

// handleDatagram opens and handles the envelope in the worker's buffer.
func (a *Agent) handleDatagram(w *worker, from netip.AddrPort) {
	if err := w.opener.Open(&w.envelope, w.in[:w.size]); err != nil {
		a.countInvalid(err)
		return
	}
	a.dispatch(w, from)
}

func (a *Agent) countInvalid(err error) {
	if errors.Is(err, envelope.ErrForged) {
		a.count.forged.Inc(1)
		return
	}
	a.count.malformed.Inc(1)
}

func (a *Agent) dispatch(w *worker, from netip.AddrPort) {
	now := a.deps.Clock.Now()
	e := &w.envelope
	switch e.Kind {
	case wire.Kind_KIND_FORWARD:
		a.handleForward(w, now, from)
	case wire.Kind_KIND_DIGEST:
		a.handleDigest(now, e, from)
	case wire.Kind_KIND_ENDED, wire.Kind_KIND_FOUND:
		a.handleFlowUpdate(now, e)
	case wire.Kind_KIND_ACK:
		a.handleAck(now, e)
	case wire.Kind_KIND_LEAVE:
		if e.Target != 0 {
			a.handlePeerLeave(e)
			return
		}
		a.handleBalancerLeave(now, from)
	default:
		a.count.malformed.Inc(1)
	}
}

// fenced reports whether the lease has expired, that is whether no heartbeat sent within
// the lease time was answered.
//
// A process that was paused may have been superseded. It queues what it reads until a
// heartbeat sent after the pause is answered; that answer reports the successor.
func (a *Agent) fenced(now clock.Millis) bool {
	return now.Sub(clock.Millis(a.leaseStart.Load())) > a.lease()
}

func (a *Agent) handleForward(w *worker, now clock.Millis, from netip.AddrPort) {
	if a.fenced(now) {
		a.enqueue(w, now, from)
		return
	}
	e := &w.envelope
	via := from
	if len(e.Via) > 0 {
		via = envelope.ParseCaller(e.Via)
	}
	via = a.returnVia(now, via)
	view := a.view.Load()
	arrival := owner.Arrival{Now: now, Envelope: e, Via: via, Random: rand.Float64()}
	var local owner.LocalState
	if e.Stage != wire.Stage_STAGE_OWNED {
		// The local state is needed only to place or adopt a flow; getting
		// it takes a lock that all workers share.
		local = a.localState()
	}
	d := a.table.Take(arrival, view, local, a.pool)
	if len(e.Trace) > 0 {
		e.Trace = a.deps.Tracer.Hop(e.Trace, "agent."+d.Action.String(), trace.Hop{
			Service: e.Service, Target: view.Self, Caller: envelope.ParseCaller(e.Caller).String(), Outcome: string(d.Reason),
		})
	}
	if d.ExpiredIdle > 0 {
		a.logOutlived(envelope.ParseCaller(e.Caller), d.ExpiredIdle)
	}
	a.execute(w, d, via)
}

// logOutlived logs a flow that went on after it was ended as idle, which broke it.
func (a *Agent) logOutlived(caller netip.AddrPort, silent clock.Millis) {
	a.count.outlived.Inc(1)
	a.flowLog.Warn().Str("event", "outlived").Stringer("caller", caller).Int64("age", int64(silent)).
		Msg("flow continued after it was ended as idle: its connection may be silent for longer than the service's idle timeout")
}

// handleFlowUpdate handles a message of a flow's owner to the flow's home.
func (a *Agent) handleFlowUpdate(now clock.Millis, e *wire.Envelope) {
	if e.Kind == wire.Kind_KIND_FOUND {
		// The owner is the same for the successor of the home that has searched.
		e.Incarnation = max(e.Incarnation, a.view.Load().Incarnation)
	}
	if !a.addressed(e) {
		return
	}
	if e.Kind == wire.Kind_KIND_ENDED {
		a.table.HandleEnded(envelope.ParseCaller(e.Caller), e.Home)
		return
	}
	a.table.HandleFound(now, envelope.ParseCaller(e.Caller), e.Home)
}

// addressed reports whether an envelope is for this target and incarnation,
// rather than for another service's target that had this address before. It
// counts those that are not.
func (a *Agent) addressed(e *wire.Envelope) bool {
	view := a.view.Load()
	if e.Service == view.Set.Service && e.Target == view.Self && e.Incarnation == view.Incarnation {
		return true
	}
	a.count.dropped[owner.Misaddressed].Inc(1)
	return false
}

// execute carries out a decision of the flow table.
func (a *Agent) execute(w *worker, d owner.Decision, via netip.AddrPort) {
	switch d.Action {
	case owner.Deliver:
		a.deliver(w, d, via)
	case owner.Pass:
		a.forwardToPeer(w, d, via)
	case owner.Refuse:
		a.refuse(w, via)
	default:
		a.count.dropped[d.Reason].Inc(1)
	}
}

func (a *Agent) deliver(w *worker, d owner.Decision, via netip.AddrPort) {
	if d.Adopted {
		a.count.adopted.Inc(1)
		a.logFlow("adopted", d.Flow)
	}
	if d.Moved {
		a.count.moved.Inc(1)
	}
	if err := d.Flow.Link.Send(w.envelope.Payload); err != nil {
		a.count.unsent.Inc(1)
	} else {
		a.count.delivered.Inc(1)
	}
	if w.envelope.Ask {
		a.sendHint(w, via)
	}
	if d.Searcher != nil {
		a.send(w, a.homeMessage(wire.Kind_KIND_FOUND, d.Flow, d.Searcher), d.Searcher.Tunnel)
	}
}

// sendHint tells a balancer that asked for it that this target owns the flow.
func (a *Agent) sendHint(w *worker, via netip.AddrPort) {
	e := &w.envelope
	view := a.view.Load()
	hint := wire.Envelope{
		Kind: wire.Kind_KIND_HINT, Service: e.Service, Caller: e.Caller,
		Target: view.Self, Incarnation: view.Incarnation,
	}
	a.count.hinted.Inc(1)
	a.send(w, &hint, via)
}

// send seals and sends an envelope, using the worker's buffer.
func (a *Agent) send(w *worker, e *wire.Envelope, to netip.AddrPort) {
	out, err := a.sealer.Seal(w.out[:0], e)
	if err != nil {
		a.count.large.Inc(1)
		return
	}
	w.out = out
	if _, err := a.tunnel.WriteToUDPAddrPort(out, to); err != nil {
		a.count.unsent.Inc(1)
	}
}

func (a *Agent) forwardToPeer(w *worker, d owner.Decision, via netip.AddrPort) {
	if len(w.envelope.Via) == 0 {
		w.via = envelope.AppendCaller(w.via[:0], via)
		w.envelope.Via = w.via
	}
	a.count.passed.Inc(1)
	a.send(w, &w.envelope, d.To.Tunnel)
	if d.To.Leaving {
		a.keepForSuccessor(w, d)
	}
}

func (a *Agent) refuse(w *worker, via netip.AddrPort) {
	caller := envelope.ParseCaller(w.envelope.Caller)
	a.refusedCallers.Add(caller, via)
	if !a.refuser.Refuse(caller, w.envelope.Payload) {
		a.count.dropped[owner.NoTarget].Inc(1)
		return
	}
	a.count.refused.Inc(1)
}

// returnRefusal returns the QUIC library's answer to a refused caller.
func (a *Agent) returnRefusal(caller netip.AddrPort, datagram []byte) {
	via, ok := a.refusedCallers.Get(caller)
	if !ok {
		return
	}
	a.returnToCaller(caller, 0, datagram, owner.ReturnPath{Via: via})
}

// handleAnswer handles a datagram of the upstream.
func (a *Agent) handleAnswer(f *owner.Flow, datagram []byte) {
	reply, ok := a.table.RecordAnswer(a.deps.Clock.Now(), f, datagram)
	if !ok {
		a.count.late.Inc(1)
		return
	}
	a.count.answered.Inc(1)
	if len(reply.Trace) > 0 {
		reply.Trace = a.deps.Tracer.Hop(reply.Trace, "agent.answer", trace.Hop{Caller: f.Caller.String()})
	}
	a.returnToCaller(f.Caller, f.OpeningNumber, datagram, reply)
}

// returnToCaller sends a datagram to a caller through a balancer.
func (a *Agent) returnToCaller(caller netip.AddrPort, opening uint64, datagram []byte, reply owner.ReturnPath) {
	view := a.view.Load()
	if view == nil || !reply.Via.IsValid() {
		a.count.unsent.Inc(1)
		return
	}
	var room [18]byte
	e := wire.Envelope{
		Kind: wire.Kind_KIND_RETURN, Service: view.Set.Service, Target: view.Self,
		Incarnation: view.Incarnation, Caller: envelope.AppendCaller(room[:0], caller),
		Opening: opening, Payload: datagram, Trace: reply.Trace,
	}
	buffer := a.buffers.Get().(*[]byte)
	defer a.buffers.Put(buffer)
	out, err := a.sealer.Seal((*buffer)[:0], &e)
	if err != nil {
		a.count.large.Inc(1)
		return
	}
	if _, err := a.tunnel.WriteToUDPAddrPort(out, reply.Via); err != nil {
		a.count.unsent.Inc(1)
	}
}
