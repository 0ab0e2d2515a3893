package streambalancer

import (
	"math"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// maxDirectRecipients is the number of balancers up to which a relay sends a summary to
	// each of them itself.
	maxDirectRecipients = 8
	// maxOnward bounds the balancers to which one forwards a summary for a relay.
	maxOnward = 32
	// addressSize is the size of an encoded address, in bytes.
	addressSize = 6
)

// branch is a balancer to which a relay sends a summary, and those to which that one
// forwards it.
type branch struct {
	head   *Peer
	onward []*Peer
}

// divide divides the recipients of a summary into branches, about as many as one of them has
// balancers. Heads are live ones, beginning with the one at start, so that a lost balancer
// cuts off nobody.
//
// A relay that sent to every balancer itself would need a link that grows with the product
// of balancers and targets, and it may have the smallest link of the fleet.
func divide(live, others []*Peer, start int) []branch {
	n := len(live) + len(others)
	heads := branchCount(n)
	if n <= maxDirectRecipients || heads > len(live) {
		heads = n
	}
	all := make([]branch, 0, heads)
	for i, p := range turn(live, start, others) {
		if i < heads {
			all = append(all, branch{head: p})
			continue
		}
		x := &all[i%heads]
		x.onward = append(x.onward, p)
	}
	return all
}

// turn returns the live balancers, beginning with the one at start, and then the others.
func turn(live []*Peer, start int, others []*Peer) []*Peer {
	if len(live) == 0 {
		return others
	}
	start %= len(live)
	return slices.Concat(live[start:], live[:start], others)
}

// branchCount returns the number of branches for a number of recipients.
func branchCount(recipients int) int {
	size := min(math.Ceil(math.Sqrt(float64(recipients))), maxOnward+1)
	return int(math.Ceil(float64(recipients) / max(size, 1)))
}

// distribute sends a summary to the balancers of the local failure domain, except for the
// one that sent it. The heads of its branches take turns, so that the work of forwarding
// comes to all in small amounts: a burst would fill the link of a small VM, and callers'
// packets would be lost.
func (b *Balancer) distribute(now clock.Millis, from netip.AddrPort, m *wire.Summary) {
	var live, others []*Peer
	for _, p := range b.peers.LocalPeers(now) {
		switch {
		case p.Address == from:
		case p.Live(now):
			live = append(live, p)
		default:
			others = append(others, p)
		}
	}
	branches := divide(live, others, b.relay.nextHead)
	b.relay.nextHead += len(branches)
	m.Handed = true
	for _, x := range branches {
		m.Onward = nil
		for _, p := range x.onward {
			m.Onward = segment.AppendAddress(m.Onward, p.Address)
		}
		b.send(x.head.Address, &wire.Parcel{Verb: wire.Verb_VERB_SUMMARY, Summary: m})
	}
	m.Onward = nil
}

// forwardOnward forwards a summary to the balancers that a relay of the local failure domain
// has listed. Addresses of unknown balancers are skipped, as anyone can send a summary.
func (b *Balancer) forwardOnward(from netip.AddrPort, m *wire.Summary) {
	onward := m.Onward
	m.Onward = nil
	if len(onward) == 0 || b.peers.Domain(from) != b.settings.Domain {
		return
	}
	addresses := slices.Collect(slices.Chunk(onward, addressSize))
	for _, encoded := range addresses[:min(len(addresses), maxOnward)] {
		a, err := segment.ParseAddress(encoded)
		if err != nil {
			b.malformed.Record("parcels", from, err)
			return
		}
		if b.peers.Domain(a) == b.settings.Domain {
			b.send(a, &wire.Parcel{Verb: wire.Verb_VERB_SUMMARY, Summary: m})
		}
	}
}
