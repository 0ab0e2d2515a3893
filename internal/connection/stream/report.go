package stream

import (
	"math"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// ReportEvery is the longest pause between two reports of an agent to a balancer
// that it knows.
const ReportEvery = clock.Second

// servingWeight is the weight of the last request in the mean time that one takes: some
// tens of requests, a second of a busy target.
const servingWeight = 0.05

// Turned reports whether the target is in another condition than at the last
// call. Balancers are to be told at once, for they send it new flows or none.
func (h *Holder) Turned(now clock.Millis) bool {
	c := h.condition(now)
	turned := c != h.told
	h.told = c
	return turned
}

// judge takes note of how the target has ended a request that came at a time.
//
// A target that is full resets what is over its cap, and taking it for failing would
// fill the next one. So a reset counts only if the target has a slot free.
func (h *Holder) judge(now clock.Millis, id segment.Flow, f *held, answered bool) {
	u := &h.upstream
	if answered {
		h.served(now.Sub(f.busy))
		if u.outlier.answered(now) {
			h.noteCondition(now, "answers again")
		}
		return
	}
	working := len(h.working)
	full := working > max(u.slots, 1)
	reason := "the target reset it under way"
	if full {
		reason = "the target is full and reset it"
	}
	h.out.note(Event{
		Kind: Failed, Flow: id, Target: f.from, Service: h.settings.Service, Reason: reason, Age: now.Sub(f.busy),
		Count: working,
	})
	if !full && u.outlier.reset(now) {
		h.noteCondition(now, "resets requests")
	}
}

// served takes note of how long a request took.
func (h *Holder) served(took clock.Millis) {
	h.out.Served = append(h.out.Served, took)
	if h.serving == 0 {
		h.serving = float64(took)
		return
	}
	h.serving += (float64(took) - h.serving) * servingWeight
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
	room := 0
	if h.rate > 0 && h.cold(now) {
		room = h.window.Room(now, h.rate) + 1
	}
	return &wire.Report{
		Name: h.settings.Name, Domain: h.settings.Domain, Service: h.settings.Service,
		Epoch: h.settings.Epoch, Sequence: h.sequence, Born: u.born, Condition: h.condition(now),
		Slots: uint32(u.slots), Flows: uint32(h.active), Busy: uint32(h.load * busyScale),
		Cold: uint32(max(u.coldUntil.Sub(now), 0)), Restarting: h.stopping, Probe: probe,
		Room: uint32(room), Serving: uint32(math.Ceil(h.serving)),
	}
}

func (h *Holder) probed(now clock.Millis, from netip.AddrPort, p *wire.Parcel) {
	if p.Report == nil {
		return
	}
	h.ordered(now, p.Report)
	if p.Report.Keeper {
		h.keeping.keeper, h.keeping.heard = from, now
	}
	if former := p.Report; former.Epoch != 0 && former.Epoch != h.settings.Epoch && former.Born == h.upstream.born {
		// The balancer heard an earlier process beside the same target, which
		// may have opened flows that this one never saw.
		h.complete = false
	}
	h.out.send(from, &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: h.report(now, p.Report.Probe)})
}

// ordered takes a balancer's word on the evacuation of this failure domain.
//
// Targets that nothing was opened at may be slow again when the order is withdrawn, which
// their next heartbeat tells.
func (h *Holder) ordered(now clock.Millis, probe *wire.Report) {
	if !h.gate.Update(probe.Orders, probe.Evacuated) {
		return
	}
	reason := "evacuated"
	if !h.gate.Evacuated {
		reason = "no longer evacuated"
		h.upstream.coldUntil = max(h.upstream.coldUntil, now+h.settings.Heartbeat+beatSlack)
	}
	h.out.note(Event{Kind: Evacuation, Service: h.settings.Service, Reason: reason, Version: h.gate.Revision})
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
