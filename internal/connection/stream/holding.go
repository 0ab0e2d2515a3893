package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// holding returns what the agent knows of a flow whose caller acknowledges ack.
func (tr *Tracker) holding(now clock.Millis, id segment.Flow, ack uint32) wire.Holding {
	f, ok := tr.flows.Peek(id)
	switch {
	case ok && f.unverified:
		return wire.Holding_HOLDING_UNSURE
	case ok && !f.open && f.accepted && ack-f.seq > maxAckAhead:
		return wire.Holding_HOLDING_NOT
	case ok:
		return wire.Holding_HOLDING_OWNED
	case tr.denied.Contains(id), tr.knowsAllFlows(now):
		return wire.Holding_HOLDING_NOT
	default:
		return wire.Holding_HOLDING_UNSURE
	}
}

// knowsAllFlows reports whether the agent has seen the opening of each open flow of the
// target.
func (tr *Tracker) knowsAllFlows(now clock.Millis) bool {
	return tr.sawAllFlows || now.Sub(tr.startedAt) > tr.settings.FlowTTL || tr.upstream.gone || tr.upstream.down() || tr.noTarget(now)
}

func (tr *Tracker) handleAsk(now clock.Millis, from netip.AddrPort, p *wire.Parcel) {
	holdings := make([]byte, 0, len(p.Questions)/questionSize)
	eachQuestion(p.Questions, func(id segment.Flow, ack uint32) {
		holding := tr.holding(now, id, ack)
		if holding == wire.Holding_HOLDING_UNSURE && tr.upstream.notFound() {
			// No process would accept or return a packet that is passed on.
			holding = wire.Holding_HOLDING_UNKNOWN
		}
		holdings = append(holdings, byte(holding))
	})
	to := from
	if asker, err := segment.ParseAddress(p.Asker); err == nil {
		to = asker
	}
	tr.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_ANSWER, Number: p.Number, Holdings: holdings})
}

func (tr *Tracker) sendAnswer(to netip.AddrPort, id segment.Flow, holding wire.Holding) {
	tr.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, id), Holding: holding})
}

func (tr *Tracker) confirmOwnership(id segment.Flow, f *trackedFlow) {
	if f.balancer.IsValid() {
		tr.sendAnswer(f.balancer, id, wire.Holding_HOLDING_OWNED)
	}
}
