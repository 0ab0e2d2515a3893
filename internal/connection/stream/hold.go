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
const window = 76_800

// HolderSettings are what a Holder is told at start.
type HolderSettings struct {
	Name    string
	Domain  string
	Service string
	// Epoch is the start of this process.
	Epoch uint64
	// Port is where balancers take parcels; a returned packet carries only
	// the address.
	Port uint16
	// Flows bounds the flows that are remembered.
	Flows int
	// FlowLife is how long a flow may live.
	FlowLife clock.Millis
	// Heartbeat is the pause between two heartbeats of the target, and SilentAfter
	// how long it may miss them until it gets no new flows.
	Heartbeat   clock.Millis
	SilentAfter clock.Millis
	// Checkpoint tells that the target's flows are kept in the platform's store.
	Checkpoint bool
}

// held is what an agent knows of one flow of its target.
type held struct {
	// from is the balancer that sent the flow's last packet.
	from netip.AddrPort
	// seq is the sequence number that the target accepted the opening with.
	seq      uint32
	accepted bool
	// open tells that the caller's acknowledgement has reached the target.
	open bool
	// guess tells that the agent never saw the flow begin, and the target has
	// not shown yet that it holds it.
	guess   bool
	ack     uint32
	lastIn  clock.Millis
	lastOut clock.Millis
	opened  clock.Millis
	busy    clock.Millis
	ended   clock.Millis
}

func (h *held) last() clock.Millis {
	return max(h.lastIn, h.lastOut)
}

// Holder is an agent's decisions. It belongs to one process and is not safe for
// concurrent use.
type Holder struct {
	settings HolderSettings
	flows    *simplelru.LRU[segment.Flow, *held]
	// working are the flows with a request under way, and active how many were
	// in use at the last sweep.
	working map[segment.Flow]*held
	active  int
	swept   clock.Millis
	// denied are flows that the target has returned packets of.
	denied   *simplelru.LRU[segment.Flow, struct{}]
	upstream upstream
	keeping  keeping
	// gate tells whether the failure domain is evacuated; window bounds what the target
	// is handed while it is slow after its start, at rate.
	gate   evacuation.DomainStatus
	window admission.Window
	rate   int
	// told is the target's condition that balancers were told last.
	told     wire.Condition
	sequence uint64
	complete bool
	stopping bool
	started  clock.Millis
	// load is the mean of the requests under way, and sampled when it was taken.
	load    float64
	sampled clock.Millis
	// serving is the mean time of a request, in milliseconds.
	serving float64
	out     Outcome
}

// NewHolder returns a Holder that knows nothing of its target yet.
func NewHolder(now clock.Millis, settings HolderSettings) *Holder {
	h := &Holder{settings: settings, started: now, working: map[segment.Flow]*held{}}
	h.keeping = keeping{on: settings.Checkpoint, writer: checkpoint.NewWriter()}
	h.flows, _ = simplelru.NewLRU(max(settings.Flows, 1), func(id segment.Flow, _ *held) { delete(h.working, id) })
	h.denied, _ = simplelru.NewLRU[segment.Flow, struct{}](max(settings.Flows, 1), nil)
	return h
}

// Take returns what is to be done since the last call.
func (h *Holder) Take() Outcome {
	out := h.out
	h.out = Outcome{}
	return out
}

// Hear takes a parcel of a balancer. seg is its packet, if it carries one.
func (h *Holder) Hear(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	switch p.Verb {
	case wire.Verb_VERB_OPEN:
		if seg != nil {
			h.opening(now, from, p, seg)
		}
	case wire.Verb_VERB_CARRY:
		if seg != nil {
			h.carry(now, from, p, seg)
		}
	case wire.Verb_VERB_ASK:
		h.asked(now, from, p)
	case wire.Verb_VERB_PROBE:
		h.probed(now, from, p)
	case wire.Verb_VERB_KEPT:
		h.kept(p)
	}
}

// opening hands an opening to the target, or returns it: the target serves
// another service, or takes no new flows.
//
// The agent hears its target before balancers hear that it leaves, so it closes the gate
// whatever they believe.
func (h *Holder) opening(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	if p.Service != h.settings.Service {
		h.giveBack(now, from, seg, p.Packet, wire.Cause_CAUSE_MISADDRESSED)
		return
	}
	id := seg.FromCaller()
	f, ok := h.flows.Get(id)
	if ok && f.ended != 0 {
		ok = false
	}
	if !ok {
		if cause := h.admit(now, int(p.Warming)); cause != wire.Cause_CAUSE_NONE {
			h.giveBack(now, from, seg, p.Packet, cause)
			return
		}
		f = &held{opened: now}
		h.flows.Add(id, f)
		h.denied.Remove(id)
		h.active++
	}
	f.from, f.lastIn = from, now
	if h.upstream.pending == 0 {
		h.upstream.pending = now
	}
	h.deliver(from, p.Packet)
}

// admit tells why the target is not handed a new opening, or nothing if it is. rate is
// how many a second it bears while it is slow after its start.
func (h *Holder) admit(now clock.Millis, rate int) wire.Cause {
	h.rate = rate
	warming := rate > 0 && h.cold(now)
	switch {
	case !h.Accepting(now):
		return wire.Cause_CAUSE_CLOSED
	case h.gate.Evacuated:
		return wire.Cause_CAUSE_EVACUATED
	case warming && h.window.Room(now, rate) == 0:
		return wire.Cause_CAUSE_WARMING
	case !h.upstream.outlier.admits(now):
		return wire.Cause_CAUSE_TRIAL
	}
	if h.cold(now) {
		h.window.Note(now)
	}
	return wire.Cause_CAUSE_NONE
}

func (h *Holder) cold(now clock.Millis) bool {
	return now < h.upstream.coldUntil
}

func (h *Holder) deliver(from netip.AddrPort, packet []byte) {
	h.out.Deliveries = append(h.out.Deliveries, Delivery{Packet: packet, Echo: echoOf(from)})
}

// echoOf is the mark of packets that a balancer sent: its address, which is all
// that is needed to return one, also by an agent that has restarted meanwhile.
func echoOf(from netip.AddrPort) uint32 {
	ip := from.Addr().As4()
	return binary.BigEndian.Uint32(ip[:])
}

func (h *Holder) sender(echo uint32) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], echo)
	return netip.AddrPortFrom(netip.AddrFrom4(ip), h.settings.Port)
}

// giveBack returns a packet with a report, so that the balancer's next choice
// knows better.
func (h *Holder) giveBack(now clock.Millis, to netip.AddrPort, seg *segment.Segment, packet []byte, cause wire.Cause) {
	h.out.note(Event{
		Kind: Returned, Flow: seg.FromCaller(), Target: to, Service: h.settings.Service, Reason: cause.String(),
		Age: now.Sub(h.upstream.seen),
	})
	h.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_RETURN, Cause: cause, Report: h.report(now, 0), Packet: packet})
}

// carry hands a packet of an open flow to the target that holds it.
//
// An agent that knows its target's flows returns a stranger's packet itself: a
// flow whose packets reach other targets again and again looks broken to its
// caller. Only one that is unsure asks the target by handing it the packet.
func (h *Holder) carry(now clock.Millis, from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) {
	id := seg.FromCaller()
	if p.Service != h.settings.Service {
		h.giveBack(now, from, seg, p.Packet, wire.Cause_CAUSE_MISADDRESSED)
		return
	}
	switch h.holding(now, id, seg.Ack) {
	case wire.Holding_HOLDING_NOT:
		h.giveBack(now, from, seg, p.Packet, wire.Cause_CAUSE_UNOWNED)
		return
	case wire.Holding_HOLDING_UNSURE:
		if !h.flows.Contains(id) {
			h.flows.Add(id, &held{guess: true, opened: now})
		}
	}
	f, _ := h.flows.Get(id)
	f.from, f.lastIn, f.ack = from, now, seg.Ack
	if !f.guess {
		f.open = true
	}
	if seg.Size > 0 && f.busy == 0 {
		f.busy = now
		h.working[id] = f
	}
	h.deliver(from, p.Packet)
}

// FromTarget takes a packet of the target: one that it sends to a caller, or a
// caller's that it returns.
func (h *Holder) FromTarget(now clock.Millis, seg *segment.Segment, packet []byte) {
	if seg.Flags.Has(segment.Returned) {
		h.returned(now, seg, packet)
		return
	}
	h.upstream.sign(now)
	id := seg.FromUpstream()
	f, ok := h.flows.Get(id)
	if (!ok || f.guess) && seg.Flags.Has(segment.Resets) {
		h.resetOfStranger(now, id, f)
		return
	}
	if !ok {
		f = &held{opened: now, open: true}
		h.flows.Add(id, f)
	}
	f.lastOut = now
	if f.ack == 0 {
		f.ack = seg.Seq
	}
	if f.guess {
		f.guess, f.open = false, true
		h.own(id, f)
	}
	if seg.Flags.Has(segment.Opens) {
		if !f.accepted {
			h.out.note(Event{Kind: Accepted, Flow: id, Target: f.from, Service: h.settings.Service, Age: now.Sub(f.opened)})
		}
		f.seq, f.accepted = seg.Seq, true
		h.own(id, f)
	}
	if f.busy != 0 && f.ended == 0 && (seg.Size > 0 || seg.Flags.Has(segment.Resets)) {
		h.judge(now, id, f, seg.Size > 0)
	}
	if seg.Size > 0 || seg.Flags&(segment.Ends|segment.Resets) != 0 {
		f.busy = 0
		delete(h.working, id)
	}
	if seg.Flags&(segment.Ends|segment.Resets) != 0 && f.ended == 0 {
		f.ended = now
	}
	h.out.Answers = append(h.out.Answers, packet)
}

// resetOfStranger drops a reset of a flow that the target is not known to hold.
//
// A target that is just starting resets what it does not know, so a reset is no sign that
// it holds the flow, which may be well elsewhere. If it does, its caller only waits longer.
func (h *Holder) resetOfStranger(now clock.Millis, id segment.Flow, f *held) {
	h.out.note(Event{
		Kind: Returned, Flow: id, Service: h.settings.Service, Reason: "a reset of a flow that the target may not hold",
		Age: now.Sub(h.started),
	})
	if f != nil {
		h.flows.Remove(id)
		h.denied.Add(id, struct{}{})
		h.answer(f.from, id, wire.Holding_HOLDING_NOT)
	}
}

// returned passes a packet that the target did not take back to the balancer
// that its mark names. It is no sign of life: where no target runs, the VM returns
// what is sent to its address.
func (h *Holder) returned(now clock.Millis, seg *segment.Segment, packet []byte) {
	h.upstream.pending = 0
	id := seg.FromCaller()
	to := h.sender(seg.Mark)
	if seg.Opening() {
		if f, ok := h.flows.Peek(id); ok && !f.open {
			h.flows.Remove(id)
		}
		h.giveBack(now, to, seg, packet, wire.Cause_CAUSE_FULL)
		return
	}
	f, ok := h.flows.Peek(id)
	h.flows.Remove(id)
	h.denied.Add(id, struct{}{})
	if ok && f.guess {
		// A search handed the packet here, and its balancer has kept it.
		h.answer(to, id, wire.Holding_HOLDING_NOT)
		return
	}
	h.giveBack(now, to, seg, packet, wire.Cause_CAUSE_UNOWNED)
}
