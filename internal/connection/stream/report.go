package stream

import (
	"math"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// ReportInterval is the maximum interval between an agent's reports to a balancer that it
// knows.
const ReportInterval = clock.Second

// DiscoveryTime is the maximum time until an agent that no balancer of its failure domain
// probes has found and reported to each balancer in the directory, if its target may hold
// flows and is not listed by the store.
const DiscoveryTime = 2 * clock.Second

// latencyWeight is the weight of the last request in the mean latency, which thus covers
// some tens of requests, a second of a busy target.
const latencyWeight = 0.05

// microsPerMilli converts milliseconds to the unit of the work in reports.
const microsPerMilli = 1000

// ConditionChanged reports whether the target's condition has changed since the last call.
// Balancers must be notified at once, since it decides whether they send new flows.
func (tr *Tracker) ConditionChanged(now clock.Millis) bool {
	c := tr.condition(now)
	turned := c != tr.reportedCondition
	tr.reportedCondition = c
	return turned
}

// recordRequestEnd records how the target ended a request.
//
// A target that is full resets requests over its limit; treating it as failing would
// overload the next one. A reset therefore counts as a failure only if the target has a
// free slot.
func (tr *Tracker) recordRequestEnd(now clock.Millis, id segment.Flow, f *trackedFlow, answered bool) {
	u := &tr.upstream
	rejected := tr.endedBeforeStart(f)
	tr.endedRequests++
	if answered {
		switch {
		case rejected:
			tr.recordRejection(now, id, f)
		case !tr.overtook(f):
			tr.work.addAnswer()
			tr.classLimiter.RecordAnswer(f.ahead)
		}
		tr.recordLatency(now.Sub(f.busySince))
		if u.outlier.recordSuccess(now) {
			tr.recordCondition(now, "answers again")
		}
		return
	}
	working := len(tr.busyFlows)
	full := working > max(u.slots, 1)
	reason := "the target reset the request"
	if full {
		tr.classLimiter.RecordRejection(now, working-1)
		reason = "the target is full and reset the request"
	}
	tr.out.record(Event{
		Kind: Failed, Flow: id, Target: f.balancer, Service: tr.settings.Service, Reason: reason, Age: now.Sub(f.busySince),
		Count: working,
	})
	if !full && u.outlier.recordFailure(now) {
		tr.recordCondition(now, "resets requests")
	}
}

// endedBeforeStart reports whether a request ended long before the target had a slot for it.
// It serves requests in the order of their arrival, so it has rejected this one for lack of
// room.
//
// Requests whose callers have left count as in progress for a while, so less than a round of
// the slots proves nothing.
func (tr *Tracker) endedBeforeStart(f *trackedFlow) bool {
	return f.startsAfter-tr.endedRequests > tr.upstream.slots
}

// overtook reports whether a request ended while older ones took all slots. It may have been
// rejected, which endedBeforeStart sees only if the queue is long. This is no proof that the
// target is full, but enough not to count the answer: a target that rejects requests would
// look fast.
func (tr *Tracker) overtook(f *trackedFlow) bool {
	left := max(tr.upstream.slots, 1)
	for _, o := range tr.busyFlows {
		if o.busySince < f.busySince {
			left--
		}
		if left == 0 {
			return true
		}
	}
	return false
}

// recordRejection records a request that the target rejected for lack of room by an answer.
func (tr *Tracker) recordRejection(now clock.Millis, id segment.Flow, f *trackedFlow) {
	others := len(tr.busyFlows) - 1
	tr.classLimiter.RecordRejection(now, others)
	tr.out.record(Event{
		Kind: Failed, Flow: id, Target: f.balancer, Service: tr.settings.Service, Age: now.Sub(f.busySince), Count: others,
		Reason: "the target is full and rejected the request",
	})
}

// recordLatency records the latency of a request.
func (tr *Tracker) recordLatency(latency clock.Millis) {
	tr.out.Latencies = append(tr.out.Latencies, latency)
	if tr.meanLatency == 0 {
		tr.meanLatency = float64(latency)
		return
	}
	tr.meanLatency += (float64(latency) - tr.meanLatency) * latencyWeight
}

// recordCondition records an event with the target's condition and the reason for the
// change.
func (tr *Tracker) recordCondition(now clock.Millis, reason string) {
	tr.out.record(Event{
		Kind: Upstream, Service: tr.settings.Service, Reason: tr.condition(now).String() + ", " + reason,
		Count: int(tr.upstream.sequence), Age: now.Sub(tr.upstream.lastHeartbeat),
	})
}

// report returns the target's state for balancers.
func (tr *Tracker) report(now clock.Millis, probe uint64) *wire.Report {
	tr.sequence++
	u := &tr.upstream
	room := 0
	if tr.warmingRate > 0 && tr.cold(now) {
		room = tr.window.Remaining(now, tr.warmingRate) + 1
	}
	return &wire.Report{
		Name: tr.settings.Name, Domain: tr.settings.Domain, Service: tr.settings.Service,
		Epoch: tr.settings.Epoch, Sequence: tr.sequence, Born: u.born, Condition: tr.condition(now),
		Slots: uint32(u.slots), Flows: uint32(tr.activeFlows), Busy: uint32(tr.load * busyScale),
		Cold: uint32(max(u.coldUntil.Sub(now), 0)), Restarting: tr.stopping, Probe: probe,
		Room: uint32(room), Serving: uint32(math.Ceil(tr.meanLatency)),
		Work: uint32(tr.work.mean() * microsPerMilli), Running: uint32(len(tr.busyFlows)) + 1,
		Refused: tr.classLimiter.Refused(now, tr.currentLoad()),
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
		// The balancer knows an earlier process of the agent with the same target. It may
		// have opened flows that this process has not seen.
		tr.sawAllFlows = false
	}
	tr.out.send(from, &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: tr.report(now, p.Report.Probe)})
}

// updateEvacuation applies a balancer's information on the evacuation of this failure
// domain.
//
// While a failure domain is evacuated its targets get no openings and may become slow
// again. They count as slow after the evacuation ends until their next heartbeat.
func (tr *Tracker) updateEvacuation(now clock.Millis, probe *wire.Report) {
	if !tr.domainStatus.Update(probe.Orders, probe.Evacuated) {
		return
	}
	reason := "evacuated"
	if !tr.domainStatus.Evacuated {
		reason = "no longer evacuated"
		tr.upstream.coldUntil = max(tr.upstream.coldUntil, now+tr.settings.Heartbeat+heartbeatSlack)
	}
	tr.out.record(Event{Kind: Evacuation, Service: tr.settings.Service, Reason: reason, Version: tr.domainStatus.Revision})
}

// SendReport sends an unsolicited report to balancers.
func (tr *Tracker) SendReport(now clock.Millis, balancers []netip.AddrPort) {
	if len(balancers) == 0 {
		return
	}
	p := &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: tr.report(now, 0)}
	for _, b := range balancers {
		tr.out.send(b, p)
	}
}
