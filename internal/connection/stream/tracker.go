package stream

import (
	"encoding/binary"
	"net/netip"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wagtailtray/wagtailtray/internal/connection/admission"
	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// window is how far an acknowledgement may be ahead of the first sequence
// number: 64 packets of 1,200 bytes.
const maxAckAhead = 76_800

// HolderSettings are what a Holder is told at start.
type TrackerSettings struct {
	Name    string
	Domain  string
	Service string
	// Epoch is the start of this process.
	Epoch uint64
	// Port is where balancers take parcels; a returned packet carries only
	// the address.
	Port uint16
	// Flows bounds the flows that are remembered.
	MaxFlows int
	// FlowLife is how long a flow may live.
	FlowTTL clock.Millis
	// Heartbeat is the pause between two heartbeats of the target, and SilentAfter
	// how long it may miss them until it gets no new flows.
	Heartbeat        clock.Millis
	HeartbeatTimeout clock.Millis
	// Checkpoint tells that the target's flows are kept in the platform's store.
	Checkpoint bool
}

// held is what an agent knows of one flow of its target.
type trackedFlow struct {
	// from is the balancer that sent the flow's last packet.
	balancer netip.AddrPort
	// seq is the sequence number that the target accepted the opening with.
	seq      uint32
	accepted bool
	// open tells that the caller's acknowledgement has reached the target.
	open bool
	// guess tells that the agent never saw the flow begin, and the target has
	// not shown yet that it holds it.
	unverified bool
	ack        uint32
	lastIn     clock.Millis
	lastOut    clock.Millis
	openedAt   clock.Millis
	busySince  clock.Millis
	endedAt    clock.Millis
}

func (f *trackedFlow) lastPacket() clock.Millis {
	return max(f.lastIn, f.lastOut)
}

// Holder is an agent's decisions. It belongs to one process and is not safe for
// concurrent use.
type Tracker struct {
	settings TrackerSettings
	flows    *simplelru.LRU[segment.Flow, *trackedFlow]
	// working are the flows with a request under way, and active how many were
	// in use at the last sweep.
	busyFlows   map[segment.Flow]*trackedFlow
	activeFlows int
	lastSweep   clock.Millis
	// denied are flows that the target has returned packets of.
	denied      *simplelru.LRU[segment.Flow, struct{}]
	upstream    upstream
	checkpoints checkpointState
	// gate tells whether the failure domain is evacuated; window bounds what the target
	// is handed while it is slow after its start, at rate.
	gate        evacuation.Gate
	window      admission.Window
	warmingRate int
	// told is the target's condition that balancers were told last.
	reportedCondition wire.Condition
	sequence          uint64
	sawAllFlows       bool
	stopping          bool
	startedAt         clock.Millis
	// load is the mean of the requests under way, and sampled when it was taken.
	load       float64
	lastSample clock.Millis
	// serving is the mean time of a request, in milliseconds.
	meanLatency float64
	out         Outcome
}

// NewHolder returns a Holder that knows nothing of its target yet.
func NewTracker(now clock.Millis, settings TrackerSettings) *Tracker {
	tr := &Tracker{settings: settings, startedAt: now, busyFlows: map[segment.Flow]*trackedFlow{}}
	tr.checkpoints = checkpointState{enabled: settings.Checkpoint, writer: checkpoint.NewWriter()}
	tr.flows, _ = simplelru.NewLRU(max(settings.MaxFlows, 1), func(id segment.Flow, _ *trackedFlow) { delete(tr.busyFlows, id) })
	tr.denied, _ = simplelru.NewLRU[segment.Flow, struct{}](max(settings.MaxFlows, 1), nil)
	return tr
}

// Take returns what is to be done since the last call.
func (tr *Tracker) Take() Outcome {
	out := tr.out
	tr.out = Outcome{}
	return out
}

// Hear takes a parcel of a balancer. seg is its packet, if it carries one.
func (tr *Tracker) HandleParcel(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	switch p.Verb {
	case wire.Verb_VERB_OPEN:
		if seg != nil {
			tr.handleOpen(now, from, p, seg)
		}
	case wire.Verb_VERB_CARRY:
		if seg != nil {
			tr.handleCarry(now, from, p, seg)
		}
	case wire.Verb_VERB_ASK:
		tr.handleAsk(now, from, p)
	case wire.Verb_VERB_PROBE:
		tr.handleProbe(now, from, p)
	case wire.Verb_VERB_KEPT:
		tr.handleKept(p)
	}
}

// opening hands an opening to the target, or returns it: the target serves
// another service, or takes no new flows.
//
// The agent hears its target before balancers hear that it leaves, so it closes the gate
// whatever they believe.
func (tr *Tracker) handleOpen(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	if p.Service != tr.settings.Service {
		tr.returnPacket(now, from, seg, p.Packet, wire.Cause_CAUSE_MISADDRESSED)
		return
	}
	id := seg.FromCaller()
	f, ok := tr.flows.Get(id)
	if ok && f.endedAt != 0 {
		ok = false
	}
	if !ok {
		if cause := tr.admit(now, int(p.Warming)); cause != wire.Cause_CAUSE_NONE {
			tr.returnPacket(now, from, seg, p.Packet, cause)
			return
		}
		f = &trackedFlow{openedAt: now}
		tr.flows.Add(id, f)
		tr.denied.Remove(id)
		tr.activeFlows++
	}
	f.balancer, f.lastIn = from, now
	if tr.upstream.pendingSince == 0 {
		tr.upstream.pendingSince = now
	}
	tr.deliver(from, p.Packet)
}

// admit tells why the target is not handed a new opening, or nothing if it is. rate is
// how many a second it bears while it is slow after its start.
func (tr *Tracker) admit(now clock.Millis, rate int) wire.Cause {
	tr.warmingRate = rate
	warming := rate > 0 && tr.cold(now)
	switch {
	case !tr.Accepting(now):
		return wire.Cause_CAUSE_CLOSED
	case tr.gate.Closed:
		return wire.Cause_CAUSE_EVACUATED
	case warming && tr.window.Room(now, rate) == 0:
		return wire.Cause_CAUSE_WARMING
	case !tr.upstream.outlier.admitFlow(now):
		return wire.Cause_CAUSE_TRIAL
	}
	if tr.cold(now) {
		tr.window.Note(now)
	}
	return wire.Cause_CAUSE_NONE
}

func (tr *Tracker) cold(now clock.Millis) bool {
	return now < tr.upstream.coldUntil
}

func (tr *Tracker) deliver(from netip.AddrPort, packet []byte) {
	tr.out.Deliveries = append(tr.out.Deliveries, Delivery{Packet: packet, Echo: echoOf(from)})
}

// echoOf is the mark of packets that a balancer sent: its address, which is all
// that is needed to return one, also by an agent that has restarted meanwhile.
func echoOf(from netip.AddrPort) uint32 {
	ip := from.Addr().As4()
	return binary.BigEndian.Uint32(ip[:])
}

func (tr *Tracker) balancerOf(echo uint32) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], echo)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), tr.settings.Port)
}

// giveBack returns a packet with a report, so that the balancer's next choice
// knows better.
func (tr *Tracker) returnPacket(now clock.Millis, to netip.AddrPort, seg *segment.Segment, packet []byte, cause wire.Cause) {
	tr.out.note(Event{
		Kind: Returned, Flow: seg.FromCaller(), Target: to, Service: tr.settings.Service, Reason: cause.String(),
		Age: now.Sub(tr.upstream.lastSeen),
	})
	tr.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_RETURN, Cause: cause, Report: tr.report(now, 0), Packet: packet})
}

// carry hands a packet of an open flow to the target that holds it.
//
// An agent that knows its target's flows returns a stranger's packet itself: a
// flow whose packets reach other targets again and again looks broken to its
// caller. Only one that is unsure asks the target by handing it the packet.
func (tr *Tracker) handleCarry(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	id := seg.FromCaller()
	if p.Service != tr.settings.Service {
		tr.returnPacket(now, from, seg, p.Packet, wire.Cause_CAUSE_MISADDRESSED)
		return
	}
	switch tr.holding(now, id, seg.Ack) {
	case wire.Holding_HOLDING_NOT:
		tr.returnPacket(now, from, seg, p.Packet, wire.Cause_CAUSE_UNOWNED)
		return
	case wire.Holding_HOLDING_UNSURE:
		if !tr.flows.Contains(id) {
			tr.flows.Add(id, &trackedFlow{unverified: true, openedAt: now})
		}
	}
	f, _ := tr.flows.Get(id)
	f.balancer, f.lastIn, f.ack = from, now, seg.Ack
	if !f.unverified {
		f.open = true
	}
	if seg.Size > 0 && f.busySince == 0 {
		f.busySince = now
		tr.busyFlows[id] = f
	}
	tr.deliver(from, p.Packet)
}

// FromTarget takes a packet of the target: one that it sends to a caller, or a
// caller's that it returns.
func (tr *Tracker) HandleTargetPacket(now clock.Millis, seg *segment.Segment, packet []byte) {
	if seg.Flags.Has(segment.Returned) {
		tr.handleReturn(now, seg, packet)
		return
	}
	tr.upstream.recordActivity(now)
	id := seg.FromUpstream()
	f, ok := tr.flows.Get(id)
	if (!ok || f.unverified) && seg.Flags.Has(segment.Resets) {
		tr.dropUnknownReset(now, id, f)
		return
	}
	if !ok {
		f = &trackedFlow{openedAt: now, open: true}
		tr.flows.Add(id, f)
	}
	f.lastOut = now
	if f.ack == 0 {
		f.ack = seg.Seq
	}
	if f.unverified {
		f.unverified, f.open = false, true
		tr.confirmOwnership(id, f)
	}
	if seg.Flags.Has(segment.Opens) {
		if !f.accepted {
			tr.out.note(Event{Kind: Accepted, Flow: id, Target: f.balancer, Service: tr.settings.Service, Age: now.Sub(f.openedAt)})
		}
		f.seq, f.accepted = seg.Seq, true
		tr.confirmOwnership(id, f)
	}
	if f.busySince != 0 && f.endedAt == 0 && (seg.Size > 0 || seg.Flags.Has(segment.Resets)) {
		tr.recordRequestEnd(now, id, f, seg.Size > 0)
	}
	if seg.Size > 0 || seg.Flags&(segment.Ends|segment.Resets) != 0 {
		f.busySince = 0
		delete(tr.busyFlows, id)
	}
	if seg.Flags&(segment.Ends|segment.Resets) != 0 && f.endedAt == 0 {
		f.endedAt = now
	}
	tr.out.Answers = append(tr.out.Answers, packet)
}

// resetOfStranger drops a reset of a flow that the target is not known to hold.
//
// A target that is just starting resets what it does not know, so a reset is no sign that
// it holds the flow, which may be well elsewhere. If it does, its caller only waits longer.
func (tr *Tracker) dropUnknownReset(now clock.Millis, id segment.Flow, f *trackedFlow) {
	tr.out.note(Event{
		Kind: Returned, Flow: id, Service: tr.settings.Service, Reason: "a reset of a flow that the target may not hold",
		Age: now.Sub(tr.startedAt),
	})
	if f != nil {
		tr.flows.Remove(id)
		tr.denied.Add(id, struct{}{})
		tr.sendAnswer(f.balancer, id, wire.Holding_HOLDING_NOT)
	}
}

// returned passes a packet that the target did not take back to the balancer
// that its mark names. It is no sign of life: where no target runs, the VM returns
// what is sent to its address.
func (tr *Tracker) handleReturn(now clock.Millis, seg *segment.Segment, packet []byte) {
	tr.upstream.pendingSince = 0
	id := seg.FromCaller()
	to := tr.balancerOf(seg.Echo)
	if seg.Opening() {
		if f, ok := tr.flows.Peek(id); ok && !f.open {
			tr.flows.Remove(id)
		}
		tr.returnPacket(now, to, seg, packet, wire.Cause_CAUSE_FULL)
		return
	}
	f, ok := tr.flows.Peek(id)
	tr.flows.Remove(id)
	tr.denied.Add(id, struct{}{})
	if ok && f.unverified {
		// A search handed the packet here, and its balancer has kept it.
		tr.sendAnswer(to, id, wire.Holding_HOLDING_NOT)
		return
	}
	tr.returnPacket(now, to, seg, packet, wire.Cause_CAUSE_UNOWNED)
}
