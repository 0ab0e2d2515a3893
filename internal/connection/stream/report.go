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
const ReportInterval = clock.Second

// servingWeight is the weight of the last request in the mean time that one takes: some
// tens of requests, a second of a busy target.
const latencyWeight = 0.05

// Turned reports whether the target is in another condition than at the last
// call. Balancers are to be told at once, for they send it new flows or none.
func (tr *Tracker) ConditionChanged(now clock.Millis) bool {
	c := tr.condition(now)
	turned := c != tr.reportedCondition
	tr.reportedCondition = c
	return turned
}

// judge takes note of how the target has ended a request that came at a time.
//
// A target that is full resets what is over its cap, and taking it for failing would
// fill the next one. So a reset counts only if the target has a slot free.
func (tr *Tracker) recordRequestEnd(now clock.Millis, id segment.Flow, f *trackedFlow, answered bool) {
	u := &tr.upstream
	if answered {
		tr.recordLatency(now.Sub(f.busySince))
		if u.outlier.recordSuccess(now) {
			tr.recordCondition(now, "answers again")
		}
		return
	}
	working := len(tr.busyFlows)
	full := working > max(u.slots, 1)
	reason := "the target reset it under way"
	if full {
		reason = "the target is full and reset it"
	}
	tr.out.note(Event{
		Kind: Failed, Flow: id, Target: f.balancer, Service: tr.settings.Service, Reason: reason, Age: now.Sub(f.busySince),
		Count: working,
	})
	if !full && u.outlier.recordFailure(now) {
		tr.recordCondition(now, "resets requests")
	}
}

// served takes note of how long a request took.
func (tr *Tracker) recordLatency(took clock.Millis) {
	tr.out.Served = append(tr.out.Served, took)
	if tr.meanLatency == 0 {
		tr.meanLatency = float64(took)
		return
	}
	tr.meanLatency += (float64(took) - tr.meanLatency) * latencyWeight
}

// noteCondition notes that the agent's belief about its target has changed.
func (tr *Tracker) recordCondition(now clock.Millis, why string) {
	tr.out.note(Event{
		Kind: Upstream, Service: tr.settings.Service, Reason: tr.condition(now).String() + ", " + why,
		Count: int(tr.upstream.sequence), Age: now.Sub(tr.upstream.lastHeartbeat),
	})
}

// report is the target's state as balancers want it.
func (tr *Tracker) report(now clock.Millis, probe uint64) *wire.Report {
	tr.sequence++
	u := &tr.upstream
	room := 0
	if tr.warmingRate > 0 && tr.cold(now) {
		room = tr.window.Room(now, tr.warmingRate) + 1
	}
	return &wire.Report{
		Name: tr.settings.Name, Domain: tr.settings.Domain, Service: tr.settings.Service,
		Epoch: tr.settings.Epoch, Sequence: tr.sequence, Born: u.born, Condition: tr.condition(now),
		Slots: uint32(u.slots), Flows: uint32(tr.activeFlows), Busy: uint32(tr.load * busyScale),
		Cold: uint32(max(u.coldUntil.Sub(now), 0)), Restarting: tr.stopping, Probe: probe,
		Room: uint32(room), Serving: uint32(math.Ceil(tr.meanLatency)),
	}
}

func (tr *Tracker) handleProbe(now clock.Millis, from netip.AddrPort, p *wire.Parcel) {
	if p.Report == nil {
		return
	}
	tr.updateEvacuation(now, p.Report)
	if p.Report.Keeper {
		tr.checkpoints.keeper, tr.checkpoints.keeperHeardAt = from, now
	}
	if former := p.Report; former.Epoch != 0 && former.Epoch != tr.settings.Epoch && former.Born == tr.upstream.born {
		// The balancer heard an earlier process beside the same target, which
		// may have opened flows that this one never saw.
		tr.sawAllFlows = false
	}
	tr.out.send(from, &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: tr.report(now, p.Report.Probe)})
}

// ordered takes a balancer's word on the evacuation of this failure domain.
//
// Targets that nothing was opened at may be slow again when the order is withdrawn, which
// their next heartbeat tells.
func (tr *Tracker) updateEvacuation(now clock.Millis, probe *wire.Report) {
	if !tr.gate.Take(probe.Orders, probe.Evacuated) {
		return
	}
	reason := "evacuated"
	if !tr.gate.Closed {
		reason = "no longer evacuated"
		tr.upstream.coldUntil = max(tr.upstream.coldUntil, now+tr.settings.Heartbeat+heartbeatSlack)
	}
	tr.out.note(Event{Kind: Evacuation, Service: tr.settings.Service, Reason: reason, Version: tr.gate.Revision})
}

// Tell reports to the balancers without being asked.
func (tr *Tracker) SendReport(now clock.Millis, balancers []netip.AddrPort) {
	if len(balancers) == 0 {
		return
	}
	p := &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: tr.report(now, 0)}
	for _, b := range balancers {
		tr.out.send(b, p)
	}
}
