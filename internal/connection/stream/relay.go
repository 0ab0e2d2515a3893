package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Relay returns the balancer that has told of the targets of another failure domain lately.
func (ts *Targets) Relay(now clock.Millis, domain string) (netip.AddrPort, bool) {
	s := ts.summaries[domain]
	if s == nil || s.relayHeardAt == 0 || now.Sub(s.relayHeardAt) > summaryTTL {
		return netip.AddrPort{}, false
	}
	return s.relay, true
}

// HandOn hands a question of a balancer of another failure domain on to the agents of this
// one, who answer the asker. It reports whether it does: where there is no room, the asker
// asks those itself that have not answered.
//
// Asked one by one, each lost flow would cross failure domains once for each target there.
func (s *Steerer) RelayQuestions(now clock.Millis, asker netip.AddrPort, p *wire.Parcel) bool {
	if len(p.Asker) > 0 || !s.handing.fill(now) {
		return false
	}
	for _, t := range s.Targets.Sorted() {
		if t.Domain != s.settings.Domain || t.HeardAt == 0 || t.Lost(now) {
			continue
		}
		s.handing.left--
		s.out.send(t.Address, &wire.Parcel{
			Verb: wire.Verb_VERB_ASK, Number: p.Number, Questions: p.Questions, Asker: segment.AppendAddress(nil, asker),
		})
	}
	return true
}
