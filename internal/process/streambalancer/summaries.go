package streambalancer

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// relaying is what a balancer does as a relay of its failure domain.
type relaying struct {
	on bool
	// number counts the summaries of all targets; summarized is when the last one was
	// sent, whether it was complete, changed when the last one of changes was, and loads
	// when the last one was that told of targets whose slots are in use.
	number     uint32
	summarized clock.Millis
	complete   bool
	changed    clock.Millis
	loads      clock.Millis
}

// tellSummaries tells the relays of other failure domains of the targets of this one, if
// this balancer is a relay. The lock is held.
func (b *Balancer) tellSummaries(now clock.Millis) {
	place, on := b.peers.Relay(now)
	b.setRelaying(on)
	if !on {
		return
	}
	r := &b.relaying
	complete := b.peers.HeardNear(now)
	switch {
	case now.Sub(r.summarized) >= summaryEvery || complete != r.complete:
		r.number++
		r.summarized, r.changed, r.loads, r.complete = now, now, now, complete
		b.sendSummaries(now, place, b.steerer.Summary(now, b.peers.self.Epoch, r.number, complete))
	case now.Sub(r.loads) >= loadsEvery:
		r.changed, r.loads = now, now
		b.sendSummaries(now, place, b.steerer.Changes(now, true))
	case b.steerer.HasChanges() && now.Sub(r.changed) >= newsEvery:
		r.changed = now
		b.sendSummaries(now, place, b.steerer.Changes(now, false))
	}
}

func (b *Balancer) setRelaying(on bool) {
	if on == b.relaying.on {
		return
	}
	b.relaying.on = on
	b.steerer.SetRelay(on)
	b.deps.Log.Info().Str("event", "relay").Bool("relaying", on).Send()
}

func (b *Balancer) sendSummaries(now clock.Millis, place int, parts []*wire.Summary) {
	for _, p := range b.peers.Receivers(now, place) {
		for _, m := range parts {
			b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_SUMMARY, Summary: m})
		}
	}
}

// hearSummary takes a summary of another failure domain, and hands it on in this one.
func (b *Balancer) hearSummary(now clock.Millis, from netip.AddrPort, m *wire.Summary) {
	if m == nil || m.Domain == b.settings.Domain {
		return
	}
	if !m.Handed {
		m.Handed = true
		for _, p := range b.peers.Near(now) {
			if p.Address != from {
				b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_SUMMARY, Summary: m})
			}
		}
	}
	b.steerer.HandleSummary(now, m)
}
