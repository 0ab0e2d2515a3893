package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Relay returns the balancer that recently sent a summary of another failure domain.
func (ts *Targets) Relay(now clock.Millis, domain string) (netip.AddrPort, bool) {
	s := ts.summaries[domain]
	if s == nil || s.relayHeardAt == 0 || now.Sub(s.relayHeardAt) > summaryTTL {
		return netip.AddrPort{}, false
	}
	return s.relay, true
}

// ForgetRelay records that a balancer no longer sends summaries, as it is leaving. It may end
// before it has forwarded a question.
func (ts *Targets) ForgetRelay(a netip.AddrPort) {
	for _, s := range ts.summaries {
		if s.relay == a {
			s.relayHeardAt = 0
		}
	}
}

// RelayQuestions forwards questions from a balancer in another failure domain to the agents
// of this one, which answer the asker directly. It returns false if the budget is used up;
// the asker then asks the agents that have not answered itself.
//
// Without a relay, the question for each lost flow would cross between failure domains once
// per target.
func (s *Steerer) RelayQuestions(now clock.Millis, asker netip.AddrPort, p *wire.Parcel) bool {
	if len(p.Asker) > 0 || !s.relayBucket.refill(now) {
		return false
	}
	for _, t := range s.Targets.Sorted() {
		if t.Domain != s.settings.Domain || t.HeardAt == 0 || t.Lost(now) {
			continue
		}
		s.relayBucket.tokens--
		s.out.send(t.Address, &wire.Parcel{
			Verb: wire.Verb_VERB_ASK, Number: p.Number, Questions: p.Questions, Asker: segment.AppendAddress(nil, asker),
		})
	}
	return true
}
