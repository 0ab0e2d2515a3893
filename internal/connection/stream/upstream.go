package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// freshFlow is how young a flow may be to belong to a target that started
	// shortly before its first heartbeat.
	freshFlow = 4 * clock.Second
	// youngAge is how old a target may be when its agent starts for no earlier
	// process of the agent to have served it: that one would have had to start,
	// open a flow, end and be followed within this time, and a process is started
	// again half a second after its end at the earliest. youngSequence is how
	// many heartbeats the target may have tried by then, some 60 ms apart.
	youngAge      = 400 * clock.Millis(1)
	youngSequence = 6
	// answerWithin is how long a target may take to answer or return an opening.
	// It does so in less than a millisecond, unless it is short of processor time.
	answerWithin = 150 * clock.Millis(1)
	// checkEvery is the pause between two looks whether the target is there, and
	// absences how many in a row must find nobody.
	checkEvery = 200 * clock.Millis(1)
	absences   = 2
	// emptyBeats is for how many heartbeats an agent has waited for its target's
	// first one when there is none.
	emptyBeats = 2
)

// Beat is what a target says of itself in one heartbeat.
type Beat struct {
	Service string
	// Born is the target's start, and Sequence counts its heartbeats.
	Born     uint64
	Sequence uint64
	// Age is how long ago that was, by the clock of the VM.
	Age      clock.Millis
	Draining bool
	Slots    int
	// Cold is how much longer the target is slow after its start.
	Cold clock.Millis
}

// upstream is what an agent knows of its target.
type upstream struct {
	known     bool
	born      uint64
	sequence  uint64
	draining  bool
	gone      bool
	slots     int
	coldUntil clock.Millis
	// beat is when the last heartbeat came, and seen the last sign of life.
	beat clock.Millis
	seen clock.Millis
	// pending is when the first opening was handed over since the target's last
	// packet; zero if none was.
	pending clock.Millis
	// checked is when it was last looked whether the target is there; refused and
	// unanswered count in a row what was found.
	checked    clock.Millis
	refused    int
	unanswered int
	// outlier judges how it ends requests.
	outlier outlier
}

// sign notes a sign of life.
func (u *upstream) sign(now clock.Millis) {
	u.seen, u.pending, u.refused, u.unanswered = now, 0, 0, 0
}

// down reports that there is no target process.
func (u *upstream) down() bool {
	return u.refused >= absences
}

// missing reports that there is no answer from the target's address either way.
func (u *upstream) missing() bool {
	return !u.known && u.seen == 0 && u.unanswered > 0
}

// Beat takes a heartbeat of the target. It is to be acknowledged after this: the
// target goes by the acknowledgement when it leaves.
//
// A target that started anew has none of the flows of before. Their callers are
// told at once, so that they come back instead of waiting.
func (h *Holder) Beat(now clock.Millis, b Beat) {
	u := &h.upstream
	if u.late(now, b, h.settings.SilentAfter) {
		return
	}
	before := h.condition(now)
	switch {
	case !u.known:
		h.complete = h.sawAll(now, b)
	case b.Born != u.born:
		h.resetOlder(now, freshFlow, "the target started anew")
		h.complete = true
		*u = upstream{}
	}
	u.known, u.gone = true, false
	u.born, u.sequence, u.draining = b.Born, b.Sequence, b.Draining
	u.slots, u.coldUntil = b.Slots, now+b.Cold
	u.beat = now
	u.sign(now)
	if after := h.condition(now); after != before {
		reason := after.String()
		if !h.complete {
			reason += ", its earlier flows are not known"
		}
		h.out.note(Event{Kind: Upstream, Reason: reason, Service: h.settings.Service, Count: int(b.Sequence), Age: b.Age})
	}
}

// sawAll reports, at the first heartbeat that this process hears, that no earlier
// process of the agent has opened flows at the target: an agent opens none before
// it hears the target, and the target was too young for an earlier one to have
// heard it. The VM's clock may have been set between the target's start and now,
// so the number of heartbeats must fit as well.
func (h *Holder) sawAll(now clock.Millis, b Beat) bool {
	if b.Sequence <= 1 {
		return true
	}
	atStart := b.Age - now.Sub(h.started)
	return b.Sequence <= youngSequence && b.Born != 0 && atStart <= youngAge && b.Age >= 0
}

// late reports a heartbeat that was overtaken. The start of a target orders its
// incarnations unless the VM's clock was set back between them: then the later
// one seems older, but the one that it follows is silent.
func (u *upstream) late(now clock.Millis, b Beat, silent clock.Millis) bool {
	if !u.known {
		return false
	}
	if b.Born == u.born {
		return b.Sequence <= u.sequence
	}
	return b.Born < u.born && now.Sub(u.beat) < silent
}

// Leave notes that the target has said that it ends. Its flows end with it.
func (h *Holder) Leave(now clock.Millis) {
	h.upstream.gone = true
	h.out.note(Event{Kind: Upstream, Reason: "left", Service: h.settings.Service, Age: now.Sub(h.upstream.beat)})
}

// Doubts reports that it is to be looked whether the target is there, and notes
// that it is done.
//
// Failure: the target crashes. Symptom: openings and requests go to nobody until
// its heartbeats are missed, and callers wait until their patience ends. A
// crashed process no longer listens, which its own VM says at once.
func (h *Holder) Doubts(now clock.Millis) bool {
	u := &h.upstream
	silent := !u.known || now.Sub(u.beat) > h.settings.Heartbeat+h.settings.Heartbeat/2
	stuck := u.pending != 0 && now.Sub(u.pending) > answerWithin
	if u.gone || !silent && !stuck || now.Sub(u.checked) < checkEvery {
		return false
	}
	u.checked = now
	return true
}

// Look is what was found at the target's address.
type Look int

// Findings.
const (
	// Listening means that a process accepts connections.
	Listening Look = iota
	// Refusing means that the VM says that there is none.
	Refusing
	// Unanswered means that nobody said anything in time.
	Unanswered
)

// Checked takes what a look has found.
func (h *Holder) Checked(now clock.Millis, found Look) {
	u := &h.upstream
	before := u.down()
	switch found {
	case Listening:
		u.refused, u.unanswered = 0, 0
	case Refusing:
		u.refused++
	case Unanswered:
		u.unanswered++
	}
	if !before && u.down() && u.known {
		h.out.note(Event{Kind: Upstream, Reason: "nobody listens", Service: h.settings.Service, Age: now.Sub(u.seen)})
		h.resetOlder(now, 0, "the target has crashed")
	}
}

// empty reports that there is no target beside this agent.
//
// Failure: a target has left for good, its VM loses power and starts once more,
// with nothing but the agent. Symptom: an agent that knows nothing of its target
// is unsure of every flow, so balancers hand it packets of all that they search,
// and reset nothing on its word; when the VM is taken away they wait for it. A
// target that lives sends a heartbeat, or a packet, within two heartbeats, and
// its VM answers a look: without all three there is none.
func (h *Holder) empty(now clock.Millis) bool {
	u := &h.upstream
	nobody := u.refused >= absences || u.unanswered >= absences
	return !u.known && u.seen == 0 && nobody && now.Sub(h.started) > emptyBeats*h.settings.Heartbeat
}

// Stop tells the callers of flows whose target has ended. It must only be called
// once the process ends: where the target has left, it has ended before its
// agent is told to.
//
// A target of which there is no process has left as well, whether it said so or
// not: its VM may be taken away, and balancers need not wait for this agent.
func (h *Holder) Stop(now clock.Millis) {
	h.stopping = true
	h.upstream.gone = h.upstream.gone || h.upstream.down()
	if h.upstream.gone {
		h.resetOlder(now, 0, "the target has ended")
	}
}

// Gone reports whether the target has left.
func (h *Holder) Gone() bool {
	return h.upstream.gone
}

// resetOlder ends the flows that are at least that old at their callers.
func (h *Holder) resetOlder(now, age clock.Millis, reason string) {
	ended := 0
	for _, id := range h.flows.Keys() {
		f, ok := h.flows.Peek(id)
		if !ok || now.Sub(f.opened) < age {
			continue
		}
		h.flows.Remove(id)
		h.denied.Add(id, struct{}{})
		if f.ended == 0 && f.open {
			h.out.Resets = append(h.out.Resets, Reset{Flow: id, Seq: f.ack})
			ended++
		}
	}
	if ended > 0 {
		h.out.note(Event{Kind: Ended, Service: h.settings.Service, Reason: reason, Count: ended})
	}
}

// Accepting reports whether the target takes new flows. One that fails requests
// does: balancers send it some only where there is no better one.
func (h *Holder) Accepting(now clock.Millis) bool {
	c := h.condition(now)
	return c == wire.Condition_CONDITION_READY || c == wire.Condition_CONDITION_FAILING
}

// Turned reports whether the target is in another condition than at the last
// call. Balancers are to be told at once, for they send it new flows or none.
func (h *Holder) Turned(now clock.Millis) bool {
	c := h.condition(now)
	turned := c != h.told
	h.told = c
	return turned
}

func (h *Holder) condition(now clock.Millis) wire.Condition {
	u := &h.upstream
	switch {
	case u.gone || h.empty(now):
		return wire.Condition_CONDITION_GONE
	case !u.known || u.down() || now.Sub(u.beat) > h.settings.SilentAfter:
		return wire.Condition_CONDITION_UNKNOWN
	case u.draining:
		return wire.Condition_CONDITION_DRAINING
	case u.outlier.phase == ejected:
		return wire.Condition_CONDITION_FAILING
	default:
		return wire.Condition_CONDITION_READY
	}
}

// judge takes note of how the target has ended a request that came at a time.
func (h *Holder) judge(now clock.Millis, id segment.Flow, f *held, answered bool) {
	o := &h.upstream.outlier
	if answered {
		h.out.Served = append(h.out.Served, now.Sub(f.busy))
		if o.answered(now) {
			h.noteCondition(now, "answers again")
		}
		return
	}
	h.out.note(Event{
		Kind: Failed, Flow: id, Target: f.from, Service: h.settings.Service, Reason: "the target reset it under way",
		Age: now.Sub(f.busy),
	})
	if o.reset(now) {
		h.noteCondition(now, "resets requests")
	}
}

// noteCondition notes that the agent's belief about its target has changed.
func (h *Holder) noteCondition(now clock.Millis, why string) {
	h.out.note(Event{
		Kind: Upstream, Service: h.settings.Service, Reason: h.condition(now).String() + ", " + why,
		Count: int(h.upstream.sequence), Age: now.Sub(h.upstream.beat),
	})
}

// report is the target's state as balancers want it.
func (h *Holder) report(now clock.Millis, probe uint64) *wire.Report {
	h.sequence++
	u := &h.upstream
	return &wire.Report{
		Name: h.settings.Name, Domain: h.settings.Domain, Service: h.settings.Service,
		Epoch: h.settings.Epoch, Sequence: h.sequence, Born: u.born, Condition: h.condition(now),
		Slots: uint32(u.slots), Flows: uint32(h.active), Busy: uint32(h.load * busyScale),
		Cold: uint32(max(u.coldUntil.Sub(now), 0)), Restarting: h.stopping, Probe: probe,
	}
}

func (h *Holder) probed(now clock.Millis, from netip.AddrPort, p *wire.Parcel) {
	if p.Report == nil {
		return
	}
	if former := p.Report; former.Epoch != 0 && former.Epoch != h.settings.Epoch && former.Born == h.upstream.born {
		// The balancer heard an earlier process beside the same target, which
		// may have opened flows that this one never saw.
		h.complete = false
	}
	h.out.send(from, &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: h.report(now, p.Report.Probe)})
}

// Tell reports to the balancers without being asked.
func (h *Holder) Tell(now clock.Millis, balancers []netip.AddrPort) {
	if len(balancers) == 0 {
		return
	}
	p := &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: h.report(now, 0)}
	for _, b := range balancers {
		h.out.send(b, p)
	}
}

// Flows returns how many flows are remembered.
func (h *Holder) Flows() int {
	return h.flows.Len()
}
