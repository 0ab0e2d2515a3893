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

// maxAckAhead is the largest distance of an acknowledgement from the initial sequence
// number: 64 packets of 1,200 bytes.
const maxAckAhead = 76_800

// TrackerSettings configures a Tracker.
type TrackerSettings struct {
	Name    string
	Domain  string
	Service string
	// Epoch is the start time of this process.
	Epoch uint64
	// Port is where balancers receive parcels; the mark of a returned packet holds only the
	// address.
	Port uint16
	// MaxFlows bounds the number of tracked flows.
	MaxFlows int
	// FlowTTL is the maximum lifetime of a flow.
	FlowTTL clock.Millis
	// Heartbeat is the target's heartbeat interval. A target gets no new flows once no
	// heartbeat has arrived for HeartbeatTimeout.
	Heartbeat        clock.Millis
	HeartbeatTimeout clock.Millis
	// Checkpoint enables checkpoints of the target's flows in the platform's store.
	Checkpoint bool
}

// trackedFlow is the agent's state of one flow of its target.
type trackedFlow struct {
	// balancer sent the flow's last packet.
	balancer netip.AddrPort
	// seq is the sequence number with which the target accepted the opening.
	seq      uint32
	accepted bool
	// open is set once the caller's acknowledgement has reached the target.
	open bool
	// unverified is set if the agent did not see the opening and the target has not yet
	// shown that it holds the flow.
	unverified bool
	ack        uint32
	// sentEnd is the sequence number after the target's last byte seen so far; zero if
	// none was.
	sentEnd uint32
	lastIn  clock.Millis
	lastOut clock.Millis
	opening opening
	// previous is an earlier flow from the same port, until the target has accepted this one.
	previous  *trackedFlow
	busySince clock.Millis
	// ahead is the number of requests in progress when its request arrived, and startsAfter
	// the value of Tracker.endedRequests from which the target has a slot for it.
	ahead       int
	startsAfter int
	// received is the sequence number after its caller's last data; zero if there was none.
	received uint32
	// endedAt is when the target ended the flow; callerEnded is set if its caller has ended
	// it too, or it was reset.
	endedAt     clock.Millis
	callerEnded bool
}

func (f *trackedFlow) lastPacket() clock.Millis {
	return max(f.lastIn, f.lastOut)
}

// endsAfterData reports whether the target's packet ends the flow after data that has not
// arrived yet: packets of one answer may overtake each other.
func (f *trackedFlow) endsAfterData(seg *segment.Segment) bool {
	return seg.Flags.Has(segment.Ends) && f.sentEnd != 0 && int32(seg.Seq-f.sentEnd) > 0
}

// recordSent records a packet of the target.
func (f *trackedFlow) recordSent(seg *segment.Segment) {
	end := seg.Seq + uint32(seg.Size)
	if seg.Flags.Has(segment.Opens) {
		end++
	}
	if f.sentEnd == 0 || int32(end-f.sentEnd) > 0 {
		f.sentEnd = end
	}
}

// isNewData records a caller's data and reports whether it is new. A retransmission that
// arrives after the answer is no request; it would count as one in progress for seconds.
func (f *trackedFlow) isNewData(seg *segment.Segment) bool {
	end := seg.Seq + uint32(seg.Size)
	if f.received != 0 && int32(end-f.received) <= 0 {
		return false
	}
	f.received = end
	return true
}

// Tracker tracks the flows and the state of an agent's target and decides what the agent
// does with each packet and parcel. It is not safe for concurrent use.
type Tracker struct {
	settings TrackerSettings
	flows    *simplelru.LRU[segment.Flow, *trackedFlow]
	// busyFlows are the flows with a request in progress; activeFlows is the number of
	// flows in use at the last sweep.
	busyFlows map[segment.Flow]*trackedFlow
	// endedRequests counts those that the target has answered or reset.
	endedRequests int
	// awaitedFlows are the flows admitted lately whose first request has not arrived.
	awaitedFlows map[segment.Flow]*trackedFlow
	activeFlows  int
	lastSweep    clock.Millis
	// denied are flows whose packets the target has returned, or that ended with an earlier
	// target.
	denied      *simplelru.LRU[segment.Flow, struct{}]
	upstream    upstream
	checkpoints checkpointState
	// domainStatus holds whether the failure domain is evacuated. window limits openings to
	// warmingRate a second while the target is slow after its start.
	domainStatus evacuation.DomainStatus
	window       admission.Limiter
	warmingRate  int
	// classLimiter limits openings by class while the target is loaded.
	classLimiter admission.ClassLimiter
	// reportedCondition is the target's condition last reported to balancers.
	reportedCondition wire.Condition
	sequence          uint64
	sawAllFlows       bool
	stopping          bool
	startedAt         clock.Millis
	// load is the mean number of requests in progress, lastSample when it was updated.
	load       float64
	lastSample clock.Millis
	// meanLatency is the mean latency of a request in milliseconds.
	meanLatency float64
	// work measures the time that the target works on a request.
	work workMeter
	// classes are those of the listeners whose flows are opened here.
	classes classes
	out     Outcome
}

// NewTracker returns a Tracker without any state of its target.
func NewTracker(now clock.Millis, settings TrackerSettings) *Tracker {
	tr := &Tracker{
		settings: settings, startedAt: now, classes: classes{},
		busyFlows: map[segment.Flow]*trackedFlow{}, awaitedFlows: map[segment.Flow]*trackedFlow{},
	}
	tr.checkpoints = checkpointState{enabled: settings.Checkpoint, sender: checkpoint.NewSender()}
	tr.flows, _ = simplelru.NewLRU(max(settings.MaxFlows, 1), func(id segment.Flow, _ *trackedFlow) {
		delete(tr.busyFlows, id)
		delete(tr.awaitedFlows, id)
	})
	tr.denied, _ = simplelru.NewLRU[segment.Flow, struct{}](max(settings.MaxFlows, 1), nil)
	return tr
}

// TakeOutcome returns and clears the actions and events collected since the last call.
func (tr *Tracker) TakeOutcome() Outcome {
	out := tr.out
	tr.out = Outcome{}
	return out
}

// HandleParcel handles a parcel from a balancer. seg is the packet in it, or nil.
func (tr *Tracker) HandleParcel(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	switch p.Verb {
	case wire.Verb_VERB_OPEN:
		if seg != nil {
			tr.handleOpening(now, from, p, seg)
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

// handleOpening passes an opening to the target, or returns it if the target serves another
// service or accepts no new flows.
//
// The agent learns that its target is leaving before balancers do, so it rejects openings
// regardless of their view.
func (tr *Tracker) handleOpening(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	if p.Service != tr.settings.Service {
		tr.returnPacket(now, from, seg, p.Packet, wire.Cause_CAUSE_MISADDRESSED)
		return
	}
	id := seg.FromCaller()
	tr.classes.learn(id.Listener, p.Class)
	f, ok := tr.flows.Get(id)
	if !ok || f.endedAt != 0 || !f.opening.mayResend(now, seg.Seq, false) {
		if cause := tr.admit(now, id, p); cause != wire.Cause_CAUSE_NONE {
			tr.returnPacket(now, from, seg, p.Packet, cause)
			return
		}
		f = tr.addOpening(now, id, f, seg.Seq)
	}
	f.balancer, f.lastIn = from, now
	if tr.upstream.pendingSince == 0 {
		tr.upstream.pendingSince = now
	}
	tr.deliver(from, p.Packet)
}

// addOpening adds a flow that the target is about to be sent. previous is an earlier flow
// from the same port, or nil.
func (tr *Tracker) addOpening(now clock.Millis, id segment.Flow, previous *trackedFlow, seq uint32) *trackedFlow {
	f := &trackedFlow{opening: seenOpening(now, seq)}
	if previous != nil && (previous.endedAt == 0 || !previous.callerEnded) {
		f.previous, previous.previous = previous, nil
	}
	tr.flows.Add(id, f)
	delete(tr.busyFlows, id)
	tr.denied.Remove(id)
	tr.activeFlows++
	tr.awaitedFlows[id] = f
	return f
}

// admit returns why a new opening is rejected, or CAUSE_NONE.
func (tr *Tracker) admit(now clock.Millis, id segment.Flow, p *wire.Parcel) wire.Cause {
	rate := int(p.Warming)
	tr.warmingRate = rate
	warming := rate > 0 && tr.cold(now)
	switch {
	case !tr.Accepting(now):
		return wire.Cause_CAUSE_CLOSED
	case tr.domainStatus.Evacuated:
		return wire.Cause_CAUSE_EVACUATED
	case warming && tr.window.Remaining(now, rate) == 0:
		return wire.Cause_CAUSE_WARMING
	case !tr.admitClass(now, id, p):
		return wire.Cause_CAUSE_BUSY
	case !tr.upstream.outlier.admitFlow(now):
		return wire.Cause_CAUSE_TRIAL
	}
	if tr.cold(now) {
		tr.window.Record(now)
	}
	return wire.Cause_CAUSE_NONE
}

func (tr *Tracker) cold(now clock.Millis) bool {
	return now < tr.upstream.coldUntil
}

func (tr *Tracker) deliver(from netip.AddrPort, packet []byte) {
	tr.out.Deliveries = append(tr.out.Deliveries, Delivery{Packet: packet, PacketMark: markOf(from)})
}

// markOf returns the mark for packets from a balancer: its address, which is enough to
// return a packet, even after a restart of the agent.
func markOf(from netip.AddrPort) uint32 {
	ip := from.Addr().As4()
	return binary.BigEndian.Uint32(ip[:])
}

func (tr *Tracker) balancerOf(mark uint32) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], mark)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), tr.settings.Port)
}

// returnPacket returns a packet together with a report, so that the balancer chooses the
// next target from current state.
func (tr *Tracker) returnPacket(now clock.Millis, to netip.AddrPort, seg *segment.Segment, packet []byte, cause wire.Cause) {
	tr.out.record(Event{
		Kind: Returned, Flow: seg.FromCaller(), Target: to, Service: tr.settings.Service, Reason: cause.String(),
		Age: now.Sub(tr.upstream.lastSeen),
	})
	tr.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_RETURN, Cause: cause, Report: tr.report(now, 0), Packet: packet})
}

// handleCarry passes a packet of an open flow to the target that holds it.
//
// An agent that knows all flows of its target returns packets of unknown flows itself: a
// flow whose packets keep reaching other targets looks broken to its caller. Only an agent
// that is unsure passes the packet to the target to find out.
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
			tr.flows.Add(id, &trackedFlow{unverified: true, opening: unseenOpening(now)})
		}
	}
	f, _ := tr.flows.Get(id)
	f.balancer, f.lastIn, f.ack = from, now, seg.Ack
	f.callerEnded = f.callerEnded || seg.Flags&(segment.Ends|segment.Resets) != 0
	if !f.unverified {
		f.open = true
	}
	if seg.Size > 0 && f.isNewData(seg) && f.busySince == 0 {
		f.busySince = now
		f.ahead = len(tr.busyFlows)
		f.startsAfter = tr.endedRequests + max(f.ahead+1-tr.upstream.slots, 0)
		tr.busyFlows[id] = f
		tr.observeRequest(now, id)
	}
	tr.deliver(from, p.Packet)
}

// HandleTargetPacket handles a packet from the target: one for a caller, or a caller's
// packet that the target returns.
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
		f = &trackedFlow{open: true, opening: unseenOpening(now)}
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
			tr.out.record(Event{Kind: Accepted, Flow: id, Target: f.balancer, Service: tr.settings.Service, Age: now.Sub(f.opening.at)})
		}
		f.seq, f.accepted, f.previous = seg.Seq, true, nil
		tr.confirmOwnership(id, f)
	}
	answered := seg.Size > 0 || f.endsAfterData(seg)
	f.recordSent(seg)
	if f.busySince != 0 && f.endedAt == 0 && (answered || seg.Flags.Has(segment.Resets)) {
		tr.recordRequestEnd(now, id, f, answered)
	}
	if seg.Size > 0 || seg.Flags&(segment.Ends|segment.Resets) != 0 {
		f.busySince = 0
		delete(tr.busyFlows, id)
		delete(tr.awaitedFlows, id)
	}
	if seg.Flags&(segment.Ends|segment.Resets) != 0 && f.endedAt == 0 {
		f.endedAt = now
	}
	f.callerEnded = f.callerEnded || seg.Flags.Has(segment.Resets)
	tr.out.Answers = append(tr.out.Answers, packet)
}

// dropUnknownReset drops a reset of a flow that the target is not known to hold.
//
// A target that is just starting resets unknown flows, so a reset does not prove that it
// holds the flow, which may be intact at another target. If it did hold the flow, the
// caller only waits longer.
func (tr *Tracker) dropUnknownReset(now clock.Millis, id segment.Flow, f *trackedFlow) {
	tr.out.record(Event{
		Kind: Returned, Flow: id, Service: tr.settings.Service, Reason: "a reset of a flow that the target may not hold",
		Age: now.Sub(tr.startedAt),
	})
	if f != nil {
		tr.flows.Remove(id)
		tr.denied.Add(id, struct{}{})
		tr.sendAnswer(f.balancer, id, wire.Holding_HOLDING_NOT)
	}
}

// handleReturn sends a packet that the target did not accept back to the balancer named in
// its mark. It does not show that the target is alive: without a target process, the VM
// returns packets sent to its address.
func (tr *Tracker) handleReturn(now clock.Millis, seg *segment.Segment, packet []byte) {
	tr.upstream.pendingSince = 0
	id := seg.FromCaller()
	to := tr.balancerOf(seg.Mark)
	if seg.Opening() {
		tr.removeOpening(id)
		tr.returnPacket(now, to, seg, packet, wire.Cause_CAUSE_FULL)
		return
	}
	f, ok := tr.flows.Peek(id)
	tr.flows.Remove(id)
	tr.denied.Add(id, struct{}{})
	if ok && f.unverified {
		// The packet came from a search, whose balancer still has a copy.
		tr.sendAnswer(to, id, wire.Holding_HOLDING_NOT)
		return
	}
	tr.returnPacket(now, to, seg, packet, wire.Cause_CAUSE_UNOWNED)
}

// removeOpening removes a flow whose opening packet the target returned. If it had replaced
// an earlier flow from the same port, the packet may have been a copy that came too late,
// and the target may still hold that flow.
func (tr *Tracker) removeOpening(id segment.Flow) {
	f, ok := tr.flows.Peek(id)
	if !ok || f.open {
		return
	}
	tr.flows.Remove(id)
	if f.previous != nil {
		tr.flows.Add(id, f.previous)
	}
}
