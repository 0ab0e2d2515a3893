package stream

import (
	"fmt"

	"github.com/wagtailtray/wagtailtray/internal/connection/admission"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// refusalTTL is how long a report counts that a target refuses a class: three reports of
	// a loaded target. Targets with older ones are tried, and their agents decide.
	refusalTTL = 500 * clock.Millis(1)
	// maxLocalReturns is the number of loaded targets that may return an opening before those
	// of other failure domains are preferred, and maxBusyReturns the number before its caller
	// is refused: each return costs time that neither the caller nor the agents have then.
	maxLocalReturns = 1
	maxBusyReturns  = 3
)

// currentLoad returns the load of the target on which admission depends.
func (tr *Tracker) currentLoad() admission.Load {
	return admission.Load{
		Slots: tr.upstream.slots, Running: len(tr.busyFlows), Awaited: len(tr.awaitedFlows), Mean: tr.load,
		Work: tr.work.mean(),
	}
}

// observeRequest records the class of a request of an open flow.
func (tr *Tracker) observeRequest(now clock.Millis, id segment.Flow) {
	delete(tr.awaitedFlows, id)
	if class, ok := tr.classes[id.Listener]; ok {
		tr.classLimiter.ObserveRequest(now, &class)
	}
}

// admitClass reports whether the target admits an opening of a class under its load. It
// admits all openings without a class.
func (tr *Tracker) admitClass(now clock.Millis, id segment.Flow, p *wire.Parcel) bool {
	if p.Class == nil {
		return true
	}
	class := decodeClass(p.Class)
	load := tr.currentLoad()
	tr.classLimiter.ObserveOpening(now, &class, p.Class.Urgent&(1<<class.Priority-1))
	if tr.classLimiter.Admits(now, load, &class, p.Insist) {
		tr.classLimiter.RecordAdmission(now, &class)
		return true
	}
	tr.out.record(Event{
		Kind: Busy, Flow: id, Service: tr.settings.Service, Age: now.Sub(tr.upstream.lastSeen), Count: load.Running,
		Class: &class, Reason: fmt.Sprintf("the target is loaded: %d running, %d awaited, limit %.1f, work %.1f ms",
			load.Running, load.Awaited, tr.classLimiter.Limit(now, load, class.Priority), load.Work),
	})
	return false
}

// refuses reports whether the target refused openings of a class at its last report.
func (t *Target) refuses(now clock.Millis, class *routing.Class) bool {
	return class != nil && t.refused&(1<<class.Priority) != 0 && now.Sub(t.HeardAt) <= refusalTTL
}

// chooseAdmitting chooses a target for an opening. It reports refused if the opening is to be
// refused since the targets are loaded: enough of them have returned it, or all that may get
// it refuse its class.
//
// While some have room by their reports, the most urgent class is not refused: once enough have
// returned it, another one is asked to serve it late.
func (s *Steerer) chooseAdmitting(now clock.Millis, f *flow) (t *Target, ok, refused bool) {
	mostUrgent := f.moreUrgent == 0
	if f.busyReturns > maxBusyReturns || f.busyReturns == maxBusyReturns && !mostUrgent {
		return nil, false, true
	}
	demand := s.demand(f)
	demand.RemoteOnly = f.busyReturns >= maxLocalReturns
	t, ok = s.Targets.Choose(now, demand)
	if !ok && demand.RemoteOnly {
		demand.RemoteOnly = false
		t, ok = s.Targets.Choose(now, demand)
	}
	if ok || demand.Class == nil {
		return t, ok, false
	}
	if f.busyReturns > 0 {
		return nil, false, true
	}
	return s.chooseRefusing(now, demand)
}

// chooseRefusing chooses a target for an opening of a class that no target admits by its
// report, if the opening belongs to the least share of its class. Otherwise it reports refused.
func (s *Steerer) chooseRefusing(now clock.Millis, demand PlacementRequest) (t *Target, ok, refused bool) {
	demand.IgnoreRefusals = true
	if !s.Targets.hasUsable(now, &demand) {
		return nil, false, false
	}
	if !s.passOnLeastShare(demand.Class.Priority) {
		return nil, false, true
	}
	t, ok = s.Targets.Choose(now, demand)
	return t, ok, false
}

// passOnLeastShare reports whether an opening is sent to a target although all would refuse
// it. Agents admit a least share of each class's openings, so they must get some to decide on.
func (s *Steerer) passOnLeastShare(priority int) bool {
	credit := &s.leastShares[priority]
	*credit += admission.LeastShare
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

// observeClass records the class of an opening.
func (s *Steerer) observeClass(now clock.Millis, f *flow) {
	if f.class == nil {
		return
	}
	p := s.presence[f.service]
	if p == nil {
		p = &admission.Presence{}
		s.presence[f.service] = p
	}
	p.Observe(now, f.class.Priority)
	f.moreUrgent = p.MoreUrgent(f.class.Priority)
}

// refuseBusy resets the caller of an opening that no target admits under its load: no request
// has run, so it may try again.
func (s *Steerer) refuseBusy(now clock.Millis, id segment.Flow, f *flow) {
	refusing, known, age := s.Targets.refusing(now, f)
	s.out.record(Event{
		Kind: Overload, Flow: id, Service: f.service, Age: age, Count: f.busyReturns, Version: s.version(),
		Class: f.class, Reason: fmt.Sprintf("the targets are loaded: refused by %d of %d, returned by %d", refusing, known, f.busyReturns),
	})
	s.out.Resets = append(s.out.Resets, Reset{Flow: id})
	s.flows.Remove(id)
}

// refusing returns how many of a service's targets refuse a flow's class, of how many, and
// the age of the oldest report that says so.
func (ts *Targets) refusing(now clock.Millis, f *flow) (refusing, known int, age clock.Millis) {
	targets := ts.useService(now, f.service)
	for _, t := range targets {
		if t.refuses(now, f.class) {
			refusing++
			age = max(age, now.Sub(t.HeardAt))
		}
	}
	return refusing, len(targets), age
}
