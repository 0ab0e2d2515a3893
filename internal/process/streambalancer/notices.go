package streambalancer

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// sendNotices sends notices on local targets that are silent towards this balancer: to the
// relays of its failure domain, which distribute them there, or from a relay to all at once.
func (b *Balancer) sendNotices(now clock.Millis) {
	for _, m := range b.steerer.Notices(now) {
		b.deps.Scope.Counter("notices").Inc(int64(len(m.Entries)))
		if b.relay.active {
			b.distribute(now, b.settings.Parcels, m)
			continue
		}
		for _, p := range b.peers.LocalRelays(now) {
			b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_SUMMARY, Summary: m})
		}
	}
}

// handleNotice applies a notice of another balancer of the local failure domain. One that
// takes this balancer for a relay leaves it to distribute what is news: many balancers send a
// notice on the same target.
func (b *Balancer) handleNotice(now clock.Millis, from netip.AddrPort, m *wire.Summary) {
	news := b.steerer.HandleNotice(now, m)
	switch {
	case m.Handed:
		b.forwardOnward(from, m)
	case len(news) > 0:
		m.Entries = news
		b.distribute(now, from, m)
	}
}
