package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// holding is what the agent knows of a flow whose caller acknowledges ack.
func (h *Holder) holding(now clock.Millis, id segment.Flow, ack uint32) wire.Holding {
	f, ok := h.flows.Peek(id)
	switch {
	case ok && f.guess:
		return wire.Holding_HOLDING_UNSURE
	case ok && !f.open && f.accepted && ack-f.seq > window:
		return wire.Holding_HOLDING_NOT
	case ok:
		return wire.Holding_HOLDING_OWNED
	case h.denied.Contains(id), h.knowsAll(now):
		return wire.Holding_HOLDING_NOT
	default:
		return wire.Holding_HOLDING_UNSURE
	}
}

// knowsAll reports that no open flow of the target began before the agent was
// there to see it.
func (h *Holder) knowsAll(now clock.Millis) bool {
	return h.complete || now.Sub(h.started) > h.settings.FlowLife || h.upstream.gone || h.upstream.down() || h.empty(now)
}

func (h *Holder) asked(now clock.Millis, from netip.AddrPort, p *wire.Parcel) {
	holdings := make([]byte, 0, len(p.Questions)/questionSize)
	eachQuestion(p.Questions, func(id segment.Flow, ack uint32) {
		holding := h.holding(now, id, ack)
		if holding == wire.Holding_HOLDING_UNSURE && h.upstream.missing() {
			// Nobody would take or return a packet that is handed over.
			holding = wire.Holding_HOLDING_UNKNOWN
		}
		holdings = append(holdings, byte(holding))
	})
	to := from
	if asker, err := segment.ParseAddress(p.Asker); err == nil {
		to = asker
	}
	h.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_ANSWER, Number: p.Number, Holdings: holdings})
}

func (h *Holder) answer(to netip.AddrPort, id segment.Flow, holding wire.Holding) {
	h.out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, id), Holding: holding})
}

func (h *Holder) own(id segment.Flow, f *held) {
	if f.from.IsValid() {
		h.answer(f.from, id, wire.Holding_HOLDING_OWNED)
	}
}
