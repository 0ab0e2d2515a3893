package balancer

import (
	"maps"
	"net"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/process/trace"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/quic"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// maxMultiWorkerServices is the number of services up to which each gets
	// all workers; beyond it one worker per service is enough and saves memory.
	maxMultiWorkerServices = 16
)

// edge is the socket of one service towards the callers.
type edge struct {
	service uint32
	address netip.AddrPort
	conn    *net.UDPConn
}

// workerBuffers holds the buffers for one datagram and is reused for the next one.
type workerBuffers struct {
	in       [envelope.MaxDatagramSize]byte
	out      []byte
	caller   []byte
	envelope wire.Envelope
}

func newWorkerBuffers() *workerBuffers {
	return &workerBuffers{out: make([]byte, 0, envelope.MaxDatagramSize), caller: make([]byte, 0, 18)}
}

// bindEdges opens and closes edges to match a configuration. It is called with mu
// held.
func (b *Balancer) bindEdges(state *config.State) {
	if b.stopped.Load() {
		return
	}
	wanted := map[uint32]netip.AddrPort{}
	for _, entry := range state.Root.Services {
		address := state.Records[entry.RecordName].Address
		if b.settings.Edge.IsValid() {
			address = netip.AddrPortFrom(b.settings.Edge, address.Port())
		}
		wanted[entry.Number] = address
	}
	for number, e := range b.edges {
		if wanted[number] != e.address {
			_ = e.conn.Close()
			delete(b.edges, number)
		}
	}
	for number, address := range wanted {
		if _, ok := b.edges[number]; ok {
			continue
		}
		if err := b.openEdge(number, address, len(wanted)); err != nil {
			b.count.unserved.Inc(1)
			b.deps.Log.Error().Str("event", "unserved").Uint32("service", number).
				Stringer("address", address).Err(err).Msg("cannot bind service address")
		}
	}
	published := maps.Clone(b.edges)
	b.publishedEdges.Store(&published)
}

// edgeOf returns the edge that sends the answers of a service.
func (b *Balancer) edgeOf(service uint32) (*edge, bool) {
	edges := b.publishedEdges.Load()
	if edges == nil {
		return nil, false
	}
	e, ok := (*edges)[service]
	return e, ok
}

func (b *Balancer) openEdge(service uint32, address netip.AddrPort, services int) error {
	conn, err := b.listenEdge(address)
	if err != nil {
		return err
	}
	e := &edge{service: service, address: address, conn: conn}
	b.edges[service] = e
	workers := b.settings.Workers
	if services > maxMultiWorkerServices {
		workers = 1
	}
	for range workers {
		b.background.Go(func() { b.serveEdge(e) })
	}
	return nil
}

func (b *Balancer) listenEdge(address netip.AddrPort) (*net.UDPConn, error) {
	if b.deps.Listen != nil {
		return b.deps.Listen(address)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	_ = conn.SetReadBuffer(envelope.SocketBufferSize)
	return conn, nil
}

func (b *Balancer) serveEdge(e *edge) {
	w := newWorkerBuffers()
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(w.in[:])
		if err != nil {
			if isClosed(err) {
				return
			}
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		b.forward(w, e.service, from, w.in[:n])
	}
}

// forward sends one datagram of a caller to an agent.
func (b *Balancer) forward(w *workerBuffers, service uint32, from netip.AddrPort, datagram []byte) {
	set, ok := b.snapshot.Load().sets[service]
	if !ok {
		b.count.untargeted.Inc(1)
		return
	}
	w.caller = envelope.AppendCaller(w.caller[:0], from)
	opening := quic.MayOpenFlow(datagram)
	route, ok := b.hints.Route(b.deps.Clock.Now(), set, from, w.caller, opening)
	if !ok {
		b.count.untargeted.Inc(1)
		return
	}
	w.fillEnvelope(service, &route, datagram)
	if b.deps.Tracer.Sampled(opening, random()) {
		w.envelope.Trace = b.deps.Tracer.Hop(nil, "balancer.forward", trace.Hop{
			Service: service, Target: route.Target.ID, Caller: from.String(), Outcome: route.Stage.String(),
		})
	}
	b.updatePath(&route)
	if b.send(w, &route) && route.Target.Leaving {
		b.waiting.Keep(&w.envelope, route.Target)
	}
}

// updatePath records a question to a target, and changes the port of a path on
// which questions remain unanswered.
func (b *Balancer) updatePath(r *target.Route) {
	now := b.deps.Clock.Now()
	changed := r.SilentTarget != 0 && b.paths.ChangePort(now, r.SilentTarget)
	if r.Ask && b.paths.RecordAsk(now, r.Target.ID) || changed {
		b.count.rotated.Inc(1)
	}
}

// tunnelTo returns the socket that is currently used for a target.
func (b *Balancer) tunnelTo(id target.ID) *tunnel {
	return b.tunnels[int(b.paths.Port(id))%len(b.tunnels)]
}

func (w *workerBuffers) fillEnvelope(service uint32, r *target.Route, datagram []byte) {
	e := &w.envelope
	e.Kind = wire.Kind_KIND_FORWARD
	e.Stage = r.Stage
	e.Service = service
	e.Target = r.Target.ID
	e.Incarnation = r.Target.Incarnation
	e.Caller = w.caller
	e.Ask = r.Ask
	e.Budget = r.Budget
	e.Trace = nil
	e.Payload = datagram
}

// send seals and sends the envelope, and reports whether it could be sealed.
func (b *Balancer) send(w *workerBuffers, r *target.Route) bool {
	out, err := b.sealer.Seal(w.out[:0], &w.envelope)
	if err != nil {
		b.count.large.Inc(1)
		return false
	}
	w.out = out
	if err := b.tunnelTo(r.Target.ID).write(out, r.Target.Tunnel); err != nil {
		b.count.unsent.Inc(1)
		return true
	}
	b.count.forwarded.Inc(1)
	if r.Hinted {
		b.count.hinted.Inc(1)
	}
	return true
}
