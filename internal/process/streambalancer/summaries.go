package streambalancer

import (
	"net/netip"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// relayState is the state of a balancer as a relay of its failure domain.
type relayState struct {
	active bool
	// summaryNumber counts the full summaries. summarySentAt is when the last one was sent,
	// and complete whether it covered all targets. changesSentAt is when changes were last
	// sent, and loadsSentAt when those included the targets whose slots are in use.
	summaryNumber uint32
	summarySentAt clock.Millis
	complete      bool
	changesSentAt clock.Millis
	loadsSentAt   clock.Millis
	// unsent holds the parts of the last full summary that are still to be sent.
	unsent []*wire.Summary
	// partsPerTick is how many of them are sent in one tick.
	partsPerTick int
	// nextHead is the index of the live balancer of the local failure domain that heads the
	// next branch.
	nextHead int
}

const (
	// summaryTicks is the number of ticks within which the parts of a full summary are sent:
	// the relays of a fleet may be in step, and balancers with small links forward what they
	// send. urgentSummaryTicks is the same for one that others wait for, as the first of a
	// relay that knows all targets.
	summaryTicks       = 8
	urgentSummaryTicks = 3
)

// sendDueSummaries sends summaries of the local targets to the relays of other failure
// domains, if this balancer is a relay. The caller holds the lock.
func (b *Balancer) sendDueSummaries(now clock.Millis) {
	index, on := b.peers.RelayIndex(now)
	b.setRelay(on)
	if !on {
		return
	}
	r := &b.relay
	complete := b.peers.LocalTargetsKnown(now)
	switch {
	case now.Sub(r.summarySentAt) >= summaryInterval || complete != r.complete:
		ticks := summaryTicks
		if complete != r.complete || r.summarySentAt == 0 {
			ticks = urgentSummaryTicks
		}
		r.summaryNumber++
		r.summarySentAt, r.changesSentAt, r.loadsSentAt, r.complete = now, now, now, complete
		r.startSending(b.steerer.Summary(now, b.peers.self.Epoch, r.summaryNumber, complete), ticks)
	case now.Sub(r.loadsSentAt) >= loadsInterval:
		r.changesSentAt, r.loadsSentAt = now, now
		b.sendSummaries(now, index, b.steerer.Changes(now, true))
	case b.steerer.HasChanges() && now.Sub(r.changesSentAt) >= minChangesInterval:
		r.changesSentAt = now
		b.sendSummaries(now, index, b.steerer.Changes(now, false))
	}
	b.sendSummaries(now, index, r.takeUnsent())
}

// startSending makes the parts of a full summary the next ones to send, within a number of
// ticks.
func (r *relayState) startSending(parts []*wire.Summary, ticks int) {
	r.unsent = parts
	r.partsPerTick = (len(parts) + ticks - 1) / ticks
}

// takeUnsent returns the parts of the last full summary to send in this tick.
func (r *relayState) takeUnsent() []*wire.Summary {
	size := min(len(r.unsent), r.partsPerTick)
	parts := r.unsent[:size]
	r.unsent = r.unsent[size:]
	return parts
}

func (b *Balancer) setRelay(on bool) {
	if on == b.relay.active {
		return
	}
	// The number goes on, or parts of two summaries could be taken for those of one. Relays
	// that start together must not choose the same heads.
	b.relay = relayState{
		active: on, summaryNumber: b.relay.summaryNumber, nextHead: int(xxh3.HashString(b.settings.Name) % maxPeers),
	}
	b.steerer.SetRelay(on)
	b.deps.Log.Info().Str("event", "relay").Bool("relaying", on).Send()
}

func (b *Balancer) sendSummaries(now clock.Millis, index int, parts []*wire.Summary) {
	for _, p := range b.peers.SummaryRecipients(now, index) {
		for _, m := range parts {
			b.send(p.Address, &wire.Parcel{Verb: wire.Verb_VERB_SUMMARY, Summary: m})
		}
	}
}

// handleSummary applies a summary from another failure domain, and distributes it in the
// local one.
func (b *Balancer) handleSummary(now clock.Millis, from netip.AddrPort, m *wire.Summary) {
	if m == nil {
		return
	}
	if m.Domain == b.settings.Domain {
		b.handleNotice(now, from, m)
		return
	}
	if m.Handed {
		b.forwardOnward(from, m)
	} else {
		b.distribute(now, from, m)
	}
	b.steerer.HandleSummary(now, m)
}
