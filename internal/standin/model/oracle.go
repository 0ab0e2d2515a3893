package model

import (
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// drainGrace is how long after the start of a drain openings may still arrive.
const drainGrace = 3 * clock.Second

// Verdict is the result of a run. The fields are counts.
type Verdict struct {
	Flows   int
	Opened  int
	Refused int
	// Unopened flows got no answer before the handshake timeout, Broken ones
	// were open and are no longer answered.
	Unopened int
	Broken   int
	// Doubled flows were opened at two targets.
	Doubled int
	// Stray datagrams reached an upstream that does not know the flow.
	Stray int
	// RanRefused flows were refused although an upstream was delivered a
	// datagram of them.
	RanRefused int
	// Foreign datagrams reached a target of another service.
	Foreign int
	// Late openings reached a target more than drainGrace after its drain began.
	Late int
}

// Oracle records what callers and upstreams observed.
type Oracle struct {
	flows map[uint64]*flowRecord
	// refusedFlows are the flows whose callers received a refusal.
	refusedFlows map[uint64]*flowRecord
	// Dropped counts dropped datagrams by reason, for debugging only.
	Dropped map[owner.Reason]int
	Verdict Verdict
}

// flowRecord is the record of one flow that has not ended.
type flowRecord struct {
	openers   []*Target
	delivered bool
	// counted flows are included in RanRefused.
	counted bool
}

func (o *Oracle) init() {
	o.flows = map[uint64]*flowRecord{}
	o.refusedFlows = map[uint64]*flowRecord{}
	o.Dropped = map[owner.Reason]int{}
}

func (o *Oracle) record(n uint64) *flowRecord {
	s := o.flows[n]
	if s == nil {
		s = &flowRecord{}
		o.flows[n] = s
	}
	return s
}

// recordRefusalSent records that a refusal is sent. No flow of which an upstream
// was delivered a datagram may be refused, whether or not the refusal arrives.
func (o *Oracle) recordRefusalSent(d *datagram) {
	s := o.record(d.flow)
	if s.delivered {
		o.countRanRefused(s)
	}
}

// recordRefusalReceived records that a caller received a refusal, which means that
// nothing ran. After a refusal that is lost, the caller's next copy may be
// served.
func (o *Oracle) recordRefusalReceived(flow uint64) {
	s := o.record(flow)
	o.refusedFlows[flow] = s
	if s.delivered {
		o.countRanRefused(s)
	}
}

func (o *Oracle) countRanRefused(s *flowRecord) {
	if s.counted {
		return
	}
	s.counted = true
	o.Verdict.RanRefused++
}

// recordDelivery records that a datagram was delivered to an upstream.
func (o *Oracle) recordDelivery(t *Target, d *datagram) {
	if s := o.refusedFlows[d.flow]; s != nil {
		o.countRanRefused(s)
	}
	if d.callerEnded() {
		return
	}
	if t.service != service {
		o.Verdict.Foreign++
	}
	s := o.record(d.flow)
	s.delivered = true
	if !d.opening {
		if !t.hasConnection(d.flow) {
			o.Verdict.Stray++
		}
		return
	}
	// What a dead target had opened is lost with its upstream.
	s.openers = slices.DeleteFunc(s.openers, func(o *Target) bool { return o.upstreamLost })
	if slices.Contains(s.openers, t) {
		return
	}
	if t.drainingSince != 0 && t.world.Now()-t.drainingSince > drainGrace {
		o.Verdict.Late++
	}
	s.openers = append(s.openers, t)
	if len(s.openers) == 2 {
		o.Verdict.Doubled++
	}
}

// endFlow removes the record of a flow, and its connection at its upstreams.
func (o *Oracle) endFlow(flow uint64) {
	if s := o.flows[flow]; s != nil {
		for _, t := range s.openers {
			delete(t.connections, flow)
		}
	}
	delete(o.flows, flow)
}

// replaceTarget makes the successor of an agent the same target for the oracle,
// because the upstream is the same.
func (o *Oracle) replaceTarget(old, next *Target) {
	for _, s := range o.flows {
		for i, t := range s.openers {
			if t == old {
				s.openers[i] = next
			}
		}
	}
}

// targetsLost reports whether all targets that opened a flow are gone together
// with their upstreams.
func (o *Oracle) targetsLost(flow uint64) bool {
	s := o.flows[flow]
	return s != nil && !slices.ContainsFunc(s.openers, func(t *Target) bool { return !t.upstreamLost })
}
