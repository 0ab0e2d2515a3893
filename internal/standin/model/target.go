package model

import (
	"encoding/binary"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const fullWarmth = 1000

// Target is a simulated target: its agent and its upstream.
type Target struct {
	world          *World
	Name           string
	ID             target.ID
	Incarnation    uint32
	service        uint32
	tunnel         netip.AddrPort
	table          *owner.Table
	loads          *owner.PeerLoads
	estimator      *owner.FlowEstimator
	observer       *owner.Observer
	retained       retainer
	roster         roster
	view           *owner.View
	digestSequence uint64
	stateSequence  uint64
	startedAt      clock.Millis
	// drainingSince is when the current drain began; 0 if there is none.
	drainingSince clock.Millis
	draining      bool
	// joining targets have started recently and open no flows yet.
	joining   bool
	suspected bool
	// Shedding makes the upstream report that it accepts no new flows.
	Shedding bool
	// Paused agents receive nothing; what arrives is lost, as with a full
	// socket buffer.
	Paused  bool
	Dead    bool
	stopped bool
	// tookOver targets succeed an agent that was past its joining: they start
	// warm and do not join.
	tookOver bool
	// upstreamLost targets are gone together with their upstream.
	upstreamLost bool
	// connections holds the upstream's open connections: callers by flow
	// number.
	connections map[uint64]netip.AddrPort
	// flowsByCaller holds the flows that have a link.
	flowsByCaller map[netip.AddrPort]*owner.Flow
	lastReport    loadReport
}

// loadReport is the upstream's last load report.
type loadReport struct {
	connections       int
	lastOpeningNumber uint64
}

// fakeLink stands for the local socket of a flow.
type fakeLink struct {
	port uint16
}

func (l *fakeLink) Send([]byte) error { return nil }
func (l *fakeLink) Port() uint16      { return l.port }
func (l *fakeLink) Close()            {}

// Dial returns a flow's link.
func (t *Target) Dial(f *owner.Flow, port uint16) (owner.Link, error) {
	t.flowsByCaller[f.Caller] = f
	if port == 0 {
		port = uint16(t.world.random.Uint32())
	}
	return &fakeLink{port: port}, nil
}

func (w *World) newTarget(name string, host uint16, incarnation uint32) *Target {
	t := &Target{
		world: w, Name: name, ID: target.IDFromName(name), Incarnation: incarnation, roster: roster{}, service: service,
		tunnel:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(host >> 8), byte(host)}), 1),
		startedAt: w.Now(), connections: map[uint64]netip.AddrPort{}, flowsByCaller: map[netip.AddrPort]*owner.Flow{},
	}
	t.loads = owner.NewPeerLoads(4 * w.Options.DigestInterval)
	t.table = owner.NewTable(owner.Limits{
		MaxFlows: w.Options.MaxFlows, MaxPlacements: 1 << 15, IdleTimeout: w.Options.IdleTimeout, UnansweredTimeout: handshakeTimeout,
	}, t.loads)
	t.observer = owner.NewObserver(t.ID)
	t.retained = newRetainer()
	t.estimator = owner.NewFlowEstimator(w.Options.IdleTimeout)
	return t
}

func (t *Target) running() bool {
	return !t.Dead && !t.stopped
}

func (t *Target) candidate() target.Candidate {
	return target.Candidate{
		ID: t.ID, Name: t.Name, Incarnation: t.Incarnation, Sequence: t.stateSequence, Tunnel: t.tunnel,
		Draining: t.draining || t.joining || t.stopped, Leaving: t.stopped, Suspected: t.suspected,
	}
}

// loadRoster adds the given targets to the roster.
func (t *Target) loadRoster(published map[target.ID]target.Candidate, now clock.Millis) {
	for _, c := range published {
		if c.ID != t.ID {
			t.roster.apply(knownTarget{Candidate: c})
		}
	}
	t.rebuildView(now)
}

func (t *Target) applyUpdate(k knownTarget) {
	t.roster.apply(k)
	t.rebuildView(t.world.Now())
}

func (t *Target) rebuildView(now clock.Millis) {
	t.roster[t.ID] = knownTarget{Candidate: t.candidate()}
	t.view = t.observer.View(now, t.roster.set(t.service), t.Incarnation, t.world.Options.ResendWindow)
	if t.world.Options.Disabled == Search {
		t.view.ResendWindow = -1
	}
	t.world.release(t.retained, t.view.Set)
}

// localState is what the agent knows about its target.
func (t *Target) localState() owner.LocalState {
	since := int(t.table.LastOpeningNumber() - t.lastReport.lastOpeningNumber)
	o := owner.LocalState{
		Flows:     t.estimator.Flows(t.world.Now(), t.table.Len(), t.lastReport.connections, since, t.table.Active()),
		Accepting: !t.draining && !t.joining && !t.Shedding, Warmth: t.warmth(),
	}
	if t.world.Options.Disabled == Draining {
		o.Accepting = true
	}
	return o
}

func (t *Target) warmth() uint32 {
	age, ramp := t.world.Now()-t.startedAt, t.world.Options.RampTime
	if ramp <= 0 || age >= ramp || t.tookOver {
		return fullWarmth
	}
	return uint32(age * fullWarmth / ramp)
}

// handleEnvelope executes the agent's decision about an envelope.
func (t *Target) handleEnvelope(e *wire.Envelope, via netip.AddrPort, d *datagram) {
	w := t.world
	if t.Paused {
		return
	}
	t.disableSafeguard(e)
	arrival := owner.Arrival{Now: w.Now(), Envelope: e, Via: via, Random: w.random.Float64()}
	stage := e.Stage
	decision := t.table.Take(arrival, t.view, t.localState(), t)
	if w.Trace != nil {
		w.Trace(TraceEvent{At: w.Now(), Target: t.Name, Flow: d.flow, Stage: stage, Decision: decision, NextStage: e.Stage})
	}
	switch decision.Action {
	case owner.Pass:
		w.sendOrRetain(t.retained, decision.To, envelope.ParseCaller(e.Caller), hop{from: t.tunnel, envelope: e, via: via, datagram: d})
	case owner.Refuse:
		w.Oracle.recordRefusalSent(d)
		w.reply(t.tunnel, via, d.replyTo, d, true)
	case owner.Deliver:
		if e.Ask {
			t.sendHint(via, decision.Flow.Caller)
		}
		if s := decision.Searcher; s != nil {
			t.notifySearcher(s, decision.Flow.Caller)
		}
		t.deliver(decision.Flow, d)
	case owner.Drop:
		w.Oracle.Dropped[decision.Reason]++
	}
}

// disableSafeguard modifies an envelope so that a disabled safeguard has no
// effect, for the tests of the checks themselves.
func (t *Target) disableSafeguard(e *wire.Envelope) {
	disabled := t.world.Options.Disabled
	switch {
	case disabled == Incarnation:
		e.Service, e.Target, e.Incarnation = t.service, t.ID, t.Incarnation
	case disabled == HomePlacement && e.Stage == wire.Stage_STAGE_OPEN:
		e.Stage = wire.Stage_STAGE_PLACED
		e.Home = t.ID
	case disabled == ConnectionIDs:
		e.Payload = nil
	}
}

func (t *Target) sendHint(via, caller netip.AddrPort) {
	t.world.send(t.tunnel, via, func() {
		if b := t.world.balancerAt(via); b != nil {
			b.handleHint(caller, t.ID, t.Incarnation)
		}
	})
}

func (t *Target) notifySearcher(searcher *target.Candidate, caller netip.AddrPort) {
	w := t.world
	w.send(t.tunnel, searcher.Tunnel, func() {
		if h := w.agentAt(searcher.Tunnel); h != nil && h.ID == searcher.ID && h.Incarnation >= searcher.Incarnation {
			h.table.HandleFound(w.Now(), caller, t.ID)
		}
	})
}

// deliver delivers a datagram to the upstream and returns its answer to the caller.
func (t *Target) deliver(f *owner.Flow, d *datagram) {
	w := t.world
	w.Oracle.recordDelivery(t, d)
	if d.opening && !d.callerEnded() {
		t.connections[d.flow] = f.Caller
	}
	if !t.hasConnection(d.flow) {
		// The upstream does not know the connection and does not answer.
		return
	}
	answer := []byte{shortHeader}
	if d.opening {
		answer = firstAnswer(d.flow)
	}
	reply, ok := t.table.RecordAnswer(w.Now(), f, answer)
	if !ok {
		return
	}
	w.reply(t.tunnel, reply.Via, f.Caller, d, false)
}

// reply sends an answer or a refusal to a caller through a balancer.
func (w *World) reply(from, via, caller netip.AddrPort, d *datagram, refused bool) {
	w.send(from, via, func() {
		if w.balancerAt(via) == nil {
			return
		}
		w.send(via, caller, func() {
			if c := w.callers[caller]; c != nil {
				c.receive(d, refused)
			}
		})
	})
}

// sendDigests sends the target's digest to its peers.
func (t *Target) sendDigests() bool {
	if !t.running() || t.Paused {
		return t.running()
	}
	w := t.world
	t.lastReport = loadReport{connections: len(t.connections), lastOpeningNumber: t.table.LastOpeningNumber()}
	if w.Options.FalseReports && t.tunnel.Addr().As4()[3]%2 == 1 {
		t.lastReport.connections = 0
	}
	t.estimator.Report(w.Now(), t.table.Len(), t.lastReport.connections, t.table.ExpiredFlows())
	t.digestSequence++
	local := t.localState()
	d := &wire.Digest{
		Sequence: t.digestSequence, Flows: uint32(local.Flows), Warmth: local.Warmth, Accepting: local.Accepting,
		Sender: t.ID, Incarnation: t.Incarnation,
	}
	for i := range t.view.Set.Targets {
		peer := &t.view.Set.Targets[i]
		if peer.ID != t.ID {
			w.send(t.tunnel, peer.Tunnel, func() { w.deliverDigest(peer, d) })
		}
	}
	return true
}

func (w *World) deliverDigest(to *target.Candidate, d *wire.Digest) {
	if p := w.agentAt(to.Tunnel); p != nil && p.ID == to.ID && p.Incarnation == to.Incarnation {
		p.loads.Update(w.Now(), d.Sender, d.Incarnation, d)
	}
}

// expireFlows removes expired flows and notifies their homes.
func (t *Target) expireFlows() bool {
	w := t.world
	if !t.running() {
		return false
	}
	if w.Options.NoRequests {
		t.keepAlive()
	}
	for _, f := range t.table.Expire(w.Now(), false) {
		delete(t.flowsByCaller, f.Caller)
		home, ok := t.view.Set.Find(f.Home)
		if !ok || home.ID == t.ID {
			continue
		}
		w.send(t.tunnel, home.Tunnel, func() {
			if h := w.agentAt(home.Tunnel); h != nil {
				h.table.HandleEnded(f.Caller, t.ID)
			}
		})
	}
	return true
}

// hasConnection reports whether the upstream has the flow's connection.
func (t *Target) hasConnection(flow uint64) bool {
	_, ok := t.connections[flow]
	return ok
}

// keepAlive records an answer on each open flow, in place of the keep-alives of
// the callers' protocol.
func (t *Target) keepAlive() {
	for _, caller := range t.connections {
		if f := t.flowsByCaller[caller]; f != nil {
			t.table.RecordAnswer(t.world.Now(), f, []byte{shortHeader})
		}
	}
}

// datagram is one datagram of a caller.
type datagram struct {
	flow    uint64
	opening bool
	// replyTo is the caller's address when it sent the datagram.
	replyTo netip.AddrPort
	caller  *Caller
}

// callerEnded reports whether the caller has ended the flow. A late copy of an
// opening then leaves no open connection at the upstream.
func (d *datagram) callerEnded() bool {
	return d.caller.Ended
}

// The model's datagrams have the QUIC fields that the agent inspects, with the
// flow's number as connection ID.
const (
	longHeader       = 0x80
	shortHeader      = 0x40
	connectionIDSize = 8
)

func (d *datagram) payload() []byte {
	if d.opening {
		return []byte{longHeader}
	}
	return binary.BigEndian.AppendUint64([]byte{shortHeader}, d.flow)
}

// firstAnswer returns an upstream's answer to an opening: a long header with the
// source connection ID that the upstream chose.
func firstAnswer(flow uint64) []byte {
	b := []byte{longHeader, 0, 0, 0, 1, 0, connectionIDSize}
	return binary.BigEndian.AppendUint64(b, flow)
}
