package model

import (
	"encoding/binary"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const fullWarmth = 1000

// Target is one target: its agent's decisions and its upstream.
type Target struct {
	world       *World
	Name        string
	ID          target.ID
	Incarnation uint32
	service     uint32
	tunnel      netip.AddrPort
	table       *owner.Table
	loads       *owner.PeerLoads
	trust       *owner.FlowEstimator
	observer    *owner.Observer
	roster      roster
	view        *owner.View
	sequence    uint64
	changes     uint64
	started     clock.Millis
	// drained is when the present drain began; 0 when there is none.
	drained  clock.Millis
	draining bool
	// joining targets have not been there for long and open no flows yet.
	joining   bool
	suspected bool
	// Shedding makes the upstream report that it takes no new flows.
	Shedding bool
	// Paused agents take nothing; what arrives is lost, as in a full buffer.
	Paused   bool
	Dead     bool
	stopped  bool
	inherits bool
	// lost targets are gone together with their upstream.
	lost bool
	// upstream is its connections, by the callers' flow numbers.
	upstream map[uint64]netip.AddrPort
	// links is the flows that have a link, by caller.
	links    map[netip.AddrPort]*owner.Flow
	reported report
}

// report is what the upstream said last.
type report struct {
	connections int
	number      uint64
}

// link is the local socket of a flow.
type link struct {
	port uint16
}

func (l *link) Send([]byte) error { return nil }
func (l *link) Port() uint16      { return l.port }
func (l *link) Close()            {}

// Dial opens a flow's link.
func (t *Target) Dial(f *owner.Flow, port uint16) (owner.Link, error) {
	t.links[f.Caller] = f
	if port == 0 {
		port = uint16(t.world.random.Uint32())
	}
	return &link{port: port}, nil
}

func (w *World) newTarget(name string, host uint16, incarnation uint32) *Target {
	t := &Target{
		world: w, Name: name, ID: target.IDFromName(name), Incarnation: incarnation, roster: roster{}, service: service,
		tunnel:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(host >> 8), byte(host)}), 1),
		started: w.Now(), upstream: map[uint64]netip.AddrPort{}, links: map[netip.AddrPort]*owner.Flow{},
	}
	t.loads = owner.NewPeerLoads(4 * w.Options.Digest)
	t.table = owner.NewTable(owner.Limits{
		MaxFlows: w.Options.Flows, MaxPlacements: 1 << 15, IdleTimeout: w.Options.Idle, UnansweredTimeout: handshake,
	}, t.loads)
	t.observer = owner.NewObserver(t.ID)
	t.trust = owner.NewFlowEstimator(w.Options.Idle)
	return t
}

func (t *Target) running() bool {
	return !t.Dead && !t.stopped
}

func (t *Target) candidate() target.Candidate {
	return target.Candidate{
		ID: t.ID, Name: t.Name, Incarnation: t.Incarnation, Sequence: t.changes, Tunnel: t.tunnel,
		Draining: t.draining || t.joining || t.stopped, Suspected: t.suspected,
	}
}

// learn takes the truth as it is at the target's start.
func (t *Target) learn(news map[target.ID]target.Candidate, now clock.Millis) {
	for _, c := range news {
		if c.ID != t.ID {
			t.roster.hear(known{Candidate: c})
		}
	}
	t.rebuild(now)
}

func (t *Target) hear(k known) {
	t.roster.hear(k)
	t.rebuild(t.world.Now())
}

func (t *Target) rebuild(now clock.Millis) {
	t.roster[t.ID] = known{Candidate: t.candidate()}
	t.view = t.observer.View(now, t.roster.set(t.service), t.Incarnation, t.world.Options.Resend)
	if t.world.Options.Without == Search {
		t.view.ResendWindow = -1
	}
}

// own is what the agent knows of its target.
func (t *Target) own() owner.LocalState {
	since := int(t.table.LastOpeningNumber() - t.reported.number)
	o := owner.LocalState{
		Flows:     t.trust.Flows(t.world.Now(), t.table.Len(), t.reported.connections, since, t.table.Active()),
		Accepting: !t.draining && !t.joining && !t.Shedding, Warmth: t.warmth(),
	}
	if t.world.Options.Without == Draining {
		o.Accepting = true
	}
	return o
}

func (t *Target) warmth() uint32 {
	age, ramp := t.world.Now()-t.started, t.world.Options.Ramp
	if ramp <= 0 || age >= ramp || t.inherits {
		return fullWarmth
	}
	return uint32(age * fullWarmth / ramp)
}

// take does what an agent does with an envelope.
func (t *Target) take(e *wire.Envelope, via netip.AddrPort, d *datagram) {
	w := t.world
	if t.Paused {
		return
	}
	t.weaken(e)
	arrival := owner.Arrival{Now: w.Now(), Envelope: e, Via: via, Random: w.random.Float64()}
	stage := e.Stage
	decision := t.table.Take(arrival, t.view, t.own(), t)
	if w.Trace != nil {
		w.Trace(Hop{At: w.Now(), Target: t.Name, Flow: d.flow, Stage: stage, Decision: decision, Next: e.Stage})
	}
	switch decision.Action {
	case owner.Pass:
		w.tunnel(t.tunnel, decision.To.Tunnel, e, via, d)
	case owner.Refuse:
		w.Oracle.refused(d)
		w.reply(t.tunnel, via, d.replyTo, d, true)
	case owner.Deliver:
		if e.Ask {
			t.hint(via, decision.Flow.Caller)
		}
		if s := decision.Searcher; s != nil {
			t.found(s, decision.Flow.Caller)
		}
		t.hand(decision.Flow, d)
	case owner.Drop:
		w.Oracle.Dropped[decision.Reason]++
	}
}

// weaken takes a safeguard away, for the tests of the checks themselves.
func (t *Target) weaken(e *wire.Envelope) {
	without := t.world.Options.Without
	switch {
	case without == Incarnation:
		e.Service, e.Target, e.Incarnation = t.service, t.ID, t.Incarnation
	case without == HomeDecides && e.Stage == wire.Stage_STAGE_OPEN:
		e.Stage = wire.Stage_STAGE_PLACED
		e.Home = t.ID
	case without == Identifiers:
		e.Payload = nil
	}
}

func (t *Target) hint(via, caller netip.AddrPort) {
	t.world.send(t.tunnel, via, func() {
		if b := t.world.balancerAt(via); b != nil {
			b.confirm(caller, t.ID, t.Incarnation)
		}
	})
}

func (t *Target) found(searcher *target.Candidate, caller netip.AddrPort) {
	w := t.world
	w.send(t.tunnel, searcher.Tunnel, func() {
		if h := w.at(searcher.Tunnel); h != nil && h.Incarnation == searcher.Incarnation {
			h.table.HandleFound(w.Now(), caller, t.ID)
		}
	})
}

// hand gives a datagram to the upstream and brings its answer back.
func (t *Target) hand(f *owner.Flow, d *datagram) {
	w := t.world
	w.Oracle.handed(t, d)
	if d.opening && !d.over() {
		t.upstream[d.flow] = f.Caller
	}
	if !t.knows(d.flow) {
		// The upstream does not know the connection and says nothing.
		return
	}
	answer := []byte{shortForm}
	if d.opening {
		answer = firstAnswer(d.flow)
	}
	reply, ok := t.table.RecordAnswer(w.Now(), f, answer)
	if !ok {
		return
	}
	w.reply(t.tunnel, reply.Via, f.Caller, d, false)
}

// reply brings an answer to a caller through a balancer.
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

// tellLoad sends the target's digest to its peers.
func (t *Target) tellLoad() bool {
	if !t.running() || t.Paused {
		return t.running()
	}
	w := t.world
	t.reported = report{connections: len(t.upstream), number: t.table.LastOpeningNumber()}
	if w.Options.Lie && t.tunnel.Addr().As4()[3]%2 == 1 {
		t.reported.connections = 0
	}
	t.trust.Report(w.Now(), t.table.Len(), t.reported.connections, t.table.ExpiredFlows())
	t.sequence++
	own := t.own()
	d := &wire.Digest{
		Sequence: t.sequence, Flows: uint32(own.Flows), Warmth: own.Warmth, Accepting: own.Accepting,
		Sender: t.ID, Incarnation: t.Incarnation,
	}
	for i := range t.view.Set.Targets {
		peer := &t.view.Set.Targets[i]
		if peer.ID != t.ID {
			w.send(t.tunnel, peer.Tunnel, func() { w.digest(peer, d) })
		}
	}
	return true
}

func (w *World) digest(to *target.Candidate, d *wire.Digest) {
	if p := w.at(to.Tunnel); p != nil && p.ID == to.ID && p.Incarnation == to.Incarnation {
		p.loads.Update(w.Now(), d.Sender, d.Incarnation, d)
	}
}

// sweep ends the flows that are over and tells their homes.
func (t *Target) sweep() bool {
	w := t.world
	if !t.running() {
		return false
	}
	if w.Options.Quiet {
		t.keepAlive()
	}
	for _, f := range t.table.Expire(w.Now(), false) {
		delete(t.links, f.Caller)
		home, ok := t.view.Set.Find(f.Home)
		if !ok || home.ID == t.ID {
			continue
		}
		w.send(t.tunnel, home.Tunnel, func() {
			if h := w.at(home.Tunnel); h != nil {
				h.table.HandleEnded(f.Caller, t.ID)
			}
		})
	}
	return true
}

// knows reports that the upstream has the flow's connection.
func (t *Target) knows(flow uint64) bool {
	_, ok := t.upstream[flow]
	return ok
}

// keepAlive lets the open flows of a quiet world be heard of, as their own
// protocol's keep-alives do.
func (t *Target) keepAlive() {
	for _, caller := range t.upstream {
		if f := t.links[caller]; f != nil {
			t.table.RecordAnswer(t.world.Now(), f, []byte{shortForm})
		}
	}
}

// datagram is what a caller sent.
type datagram struct {
	flow    uint64
	opening bool
	// replyTo is the address that the caller had.
	replyTo netip.AddrPort
	caller  *Caller
}

// over tells that the caller has ended: an upstream that is handed a late copy
// opens nothing that lasts.
func (d *datagram) over() bool {
	return d.caller.Ended
}

// The model's datagrams look like QUIC's where the decisions look at them,
// with the flow's number as connection identifier.
const (
	longForm  = 0x80
	shortForm = 0x40
	idSize    = 8
)

func (d *datagram) bytes() []byte {
	if d.opening {
		return []byte{longForm}
	}
	return binary.BigEndian.AppendUint64([]byte{shortForm}, d.flow)
}

// firstAnswer is an upstream's answer to an opening: a long header that names
// the connection identifier it chose.
func firstAnswer(flow uint64) []byte {
	b := []byte{longForm, 0, 0, 0, 1, 0, idSize}
	return binary.BigEndian.AppendUint64(b, flow)
}
