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
	// fewServices is the number of services up to which each gets all
	// workers; beyond it one worker a service is enough and saves memory.
	fewServices = 16
)

// edge is the socket of one service towards the callers.
type edge struct {
	service uint32
	address netip.AddrPort
	conn    *net.UDPConn
}

// worker holds what one datagram needs, and is used for the next one again.
type worker struct {
	in       [envelope.MaxDatagramSize]byte
	out      []byte
	caller   []byte
	envelope wire.Envelope
}

func newWorker() *worker {
	return &worker{out: make([]byte, 0, envelope.MaxDatagramSize), caller: make([]byte, 0, 18)}
}

// bind makes the edges those of a configuration. It runs with mu held.
func (b *Balancer) bind(state *config.State) {
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
		if err := b.open(number, address, len(wanted)); err != nil {
			b.count.unserved.Inc(1)
			b.deps.Log.Error().Str("event", "unserved").Uint32("service", number).
				Stringer("address", address).Err(err).Msg("a service's address cannot be bound")
		}
	}
	published := maps.Clone(b.edges)
	b.answers.Store(&published)
}

// edge returns the socket that answers of a service leave through.
func (b *Balancer) edge(service uint32) (*edge, bool) {
	edges := b.answers.Load()
	if edges == nil {
		return nil, false
	}
	e, ok := (*edges)[service]
	return e, ok
}

func (b *Balancer) open(service uint32, address netip.AddrPort, services int) error {
	conn, err := b.listen(address)
	if err != nil {
		return err
	}
	e := &edge{service: service, address: address, conn: conn}
	b.edges[service] = e
	workers := b.settings.Workers
	if services > fewServices {
		workers = 1
	}
	for range workers {
		b.parts.Go(func() { b.serveEdge(e) })
	}
	return nil
}

func (b *Balancer) listen(address netip.AddrPort) (*net.UDPConn, error) {
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
	w := newWorker()
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

// forward brings one datagram of a caller on its way.
func (b *Balancer) forward(w *worker, service uint32, from netip.AddrPort, datagram []byte) {
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
	w.fill(service, &route, datagram)
	if b.deps.Tracer.Sampled(opening, random()) {
		w.envelope.Trace = b.deps.Tracer.Hop(nil, "balancer.forward", trace.Hop{
			Service: service, Target: route.Target.ID, Caller: from.String(), Outcome: route.Stage.String(),
		})
	}
	b.watchPath(&route)
	b.send(w, &route)
}

// watchPath notes what is asked of a target, and leaves a path on which nothing
// is answered.
func (b *Balancer) watchPath(r *target.Route) {
	now := b.deps.Clock.Now()
	changed := r.SilentTarget != 0 && b.paths.ChangePort(now, r.SilentTarget)
	if r.Ask && b.paths.RecordAsk(now, r.Target.ID) || changed {
		b.count.rotated.Inc(1)
	}
}

// tunnelTo returns the socket that is used towards a target.
func (b *Balancer) tunnelTo(id target.ID) *tunnel {
	return b.tunnels[int(b.paths.Port(id))%len(b.tunnels)]
}

func (w *worker) fill(service uint32, r *target.Route, datagram []byte) {
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

func (b *Balancer) send(w *worker, r *target.Route) {
	out, err := b.sealer.Seal(w.out[:0], &w.envelope)
	if err != nil {
		b.count.large.Inc(1)
		return
	}
	w.out = out
	if err := b.tunnelTo(r.Target.ID).write(out, r.Target.Tunnel); err != nil {
		b.count.unsent.Inc(1)
		return
	}
	b.count.forwarded.Inc(1)
	if r.Hinted {
		b.count.hinted.Inc(1)
	}
}
