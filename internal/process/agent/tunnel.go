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

// worker holds what one envelope needs, and is used for the next one again.
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
		a.take(w, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (a *Agent) newWorker() *worker {
	return &worker{out: make([]byte, 0, envelope.MaxDatagramSize), opener: envelope.NewOpener(a.deps.Ring)}
}

// take does what the datagram in a worker's buffer asks for.
func (a *Agent) take(w *worker, from netip.AddrPort) {
	if err := w.opener.Open(&w.envelope, w.in[:w.size]); err != nil {
		a.reject(err)
		return
	}
	a.receive(w, from)
}

func (a *Agent) reject(err error) {
	if errors.Is(err, envelope.ErrForged) {
		a.count.forged.Inc(1)
		return
	}
	a.count.malformed.Inc(1)
}

func (a *Agent) receive(w *worker, from netip.AddrPort) {
	now := a.deps.Clock.Now()
	e := &w.envelope
	switch e.Kind {
	case wire.Kind_KIND_FORWARD:
		a.forwarded(w, now, from)
	case wire.Kind_KIND_DIGEST:
		a.digested(now, e)
	case wire.Kind_KIND_ENDED, wire.Kind_KIND_FOUND:
		a.told(now, e)
	case wire.Kind_KIND_ACK:
		a.acked(now, e)
	case wire.Kind_KIND_LEAVE:
		a.leaving(from)
	default:
		a.count.malformed.Inc(1)
	}
}

// fenced reports that no heartbeat was answered within the lease.
//
// A process that was paused may have been replaced. It holds what it reads until a
// heartbeat sent after the pause is answered, and that answer tells it of the successor.
func (a *Agent) fenced(now clock.Millis) bool {
	return now.Sub(clock.Millis(a.confirmed.Load())) > a.lease()
}

func (a *Agent) forwarded(w *worker, now clock.Millis, from netip.AddrPort) {
	if a.fenced(now) {
		a.holdBack(w, now, from)
		return
	}
	e := &w.envelope
	via := from
	if len(e.Via) > 0 {
		via = envelope.ParseCaller(e.Via)
	}
	view := a.view.Load()
	arrival := owner.Arrival{Now: now, Envelope: e, Via: via, Random: rand.Float64()}
	var own owner.Own
	if e.Stage != wire.Stage_STAGE_OWNED {
		// Only who may place or adopt a flow needs the load; it takes a
		// lock that all workers share.
		own = a.own()
	}
	d := a.table.Take(arrival, view, own, a.pool)
	if len(e.Trace) > 0 {
		e.Trace = a.deps.Tracer.Hop(e.Trace, "agent."+d.Action.String(), trace.Hop{
			Service: e.Service, Target: view.Self, Caller: envelope.ParseCaller(e.Caller).String(), Outcome: string(d.Reason),
		})
	}
	if d.Outlived > 0 {
		a.outlived(envelope.ParseCaller(e.Caller), d.Outlived)
	}
	a.act(w, d, via)
}

// outlived tells the operators of a flow that broke because it was idle for too long.
func (a *Agent) outlived(caller netip.AddrPort, silent clock.Millis) {
	a.count.outlived.Inc(1)
	a.lines.Warn().Str("event", "outlived").Stringer("caller", caller).Int64("age", int64(silent)).
		Msg("the flow went on after it was ended as idle: its connection may be silent for longer than the service's idle time")
}

// told takes what an owner says about a flow to the flow's home.
func (a *Agent) told(now clock.Millis, e *wire.Envelope) {
	if !a.addressed(e) {
		return
	}
	if e.Kind == wire.Kind_KIND_ENDED {
		a.table.Ended(envelope.ParseCaller(e.Caller), e.Home)
		return
	}
	a.table.Found(now, envelope.ParseCaller(e.Caller), e.Home)
}

// addressed reports that an envelope is for this target and incarnation. One
// for another service's target that was at this address before is not.
func (a *Agent) addressed(e *wire.Envelope) bool {
	view := a.view.Load()
	if e.Service == view.Set.Service && e.Target == view.Self && e.Incarnation == view.Incarnation {
		return true
	}
	a.count.dropped[owner.Misaddressed].Inc(1)
	return false
}

func (a *Agent) act(w *worker, d owner.Decision, via netip.AddrPort) {
	switch d.Action {
	case owner.Deliver:
		a.deliver(w, d, via)
	case owner.Pass:
		a.pass(w, d, via)
	case owner.Refuse:
		a.refuse(w, via)
	default:
		a.count.dropped[d.Reason].Inc(1)
	}
}

func (a *Agent) deliver(w *worker, d owner.Decision, via netip.AddrPort) {
	if d.Adopted {
		a.count.adopted.Inc(1)
		a.flowLine("adopted", d.Flow)
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
		a.hint(w, via)
	}
	if d.Searcher != nil {
		a.seal(w, a.about(wire.Kind_KIND_FOUND, d.Flow, d.Searcher), d.Searcher.Tunnel)
	}
}

// hint tells a balancer that asked who owns the flow.
func (a *Agent) hint(w *worker, via netip.AddrPort) {
	e := &w.envelope
	view := a.view.Load()
	hint := wire.Envelope{
		Kind: wire.Kind_KIND_HINT, Service: e.Service, Caller: e.Caller,
		Target: view.Self, Incarnation: view.Incarnation,
	}
	a.count.hinted.Inc(1)
	a.seal(w, &hint, via)
}

// seal sends an envelope with the worker's buffer.
func (a *Agent) seal(w *worker, e *wire.Envelope, to netip.AddrPort) {
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

func (a *Agent) pass(w *worker, d owner.Decision, via netip.AddrPort) {
	if len(w.envelope.Via) == 0 {
		w.via = envelope.AppendCaller(w.via[:0], via)
		w.envelope.Via = w.via
	}
	a.count.passed.Inc(1)
	a.seal(w, &w.envelope, d.To.Tunnel)
}

func (a *Agent) refuse(w *worker, via netip.AddrPort) {
	caller := envelope.ParseCaller(w.envelope.Caller)
	a.refused.Add(caller, via)
	if !a.refuser.Refuse(caller, w.envelope.Payload) {
		a.count.dropped[owner.NoTarget].Inc(1)
		return
	}
	a.count.refused.Inc(1)
}

// refusal sends what the QUIC library answers to a refused caller.
func (a *Agent) refusal(caller netip.AddrPort, datagram []byte) {
	via, ok := a.refused.Get(caller)
	if !ok {
		return
	}
	a.giveBack(caller, 0, datagram, owner.Reply{Via: via})
}

// answer takes a datagram of the upstream.
func (a *Agent) answer(f *owner.Flow, datagram []byte) {
	reply, ok := a.table.Answer(a.deps.Clock.Now(), f, datagram)
	if !ok {
		a.count.late.Inc(1)
		return
	}
	a.count.answered.Inc(1)
	if len(reply.Trace) > 0 {
		reply.Trace = a.deps.Tracer.Hop(reply.Trace, "agent.answer", trace.Hop{Caller: f.Caller.String()})
	}
	a.giveBack(f.Caller, f.Opening, datagram, reply)
}

// giveBack brings a datagram to a caller through a balancer.
func (a *Agent) giveBack(caller netip.AddrPort, opening uint64, datagram []byte, reply owner.Reply) {
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

// leaving moves the flows that answer through a balancer which stops.
func (a *Agent) leaving(balancer netip.AddrPort) {
	other, ok := a.otherBalancer(balancer.Addr())
	if !ok {
		return
	}
	a.table.Vias(func(v netip.AddrPort) bool { return v == balancer }, other)
}
