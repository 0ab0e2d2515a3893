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
	if s == nil || s.told == 0 || now.Sub(s.told) > coverFor {
		return netip.AddrPort{}, false
	}
	return s.relay, true
}

// HandOn hands a question of a balancer of another failure domain on to the agents of this
// one, who answer the asker. It reports whether it does: where there is no room, the asker
// asks those itself that have not answered.
//
// Asked one by one, each lost flow would cross failure domains once for each target there.
func (s *Steerer) HandOn(now clock.Millis, asker netip.AddrPort, p *wire.Parcel) bool {
	if len(p.Asker) > 0 || !s.relayBucket.refill(now) {
		return false
	}
	for _, t := range s.Targets.Sorted() {
		if t.Domain != s.settings.Domain || t.Heard == 0 || t.Lost(now) {
			continue
		}
		s.relayBucket.tokens--
		s.out.send(t.Address, &wire.Parcel{
			Verb: wire.Verb_VERB_ASK, Number: p.Number, Questions: p.Questions, Asker: segment.AppendAddress(nil, asker),
		})
	}
	return true
}
