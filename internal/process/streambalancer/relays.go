package streambalancer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// relaysPerDomain is how many balancers of a failure domain exchange summaries of
	// targets with other domains: if one fails, the other continues until it is replaced.
	relaysPerDomain = 2
	// relayStartDelay is how long after its start a balancer is not a relay, as it does not
	// know the other balancers yet. firstRelayStartDelay is the same for the first relay of
	// a failure domain: balancers elsewhere may have no targets of their own.
	relayStartDelay      = 500 * clock.Millis(1)
	firstRelayStartDelay = 100 * clock.Millis(1)
	// summaryInterval is the interval between full summaries, loadsInterval between updates
	// about targets whose slots are in use, and minChangesInterval the minimum between
	// updates about changes.
	summaryInterval    = 500 * clock.Millis(1)
	loadsInterval      = 150 * clock.Millis(1)
	minChangesInterval = 20 * clock.Millis(1)
)

// compareRelays orders balancers by preference as relays: those that have been heard from
// come first, as one that a third party has named may start later.
func (ps *Peers) compareRelays(a, b *Peer) int {
	unheard := func(p *Peer) int {
		if p.HeardAt == 0 && p != &ps.self {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(unheard(a), unheard(b)), compareRank(a, b))
}

// compareRank orders balancers by rank for a role: those with the larger share of a core
// first.
func compareRank(a, b *Peer) int {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.Name, b.Name), a.Address.Compare(b.Address))
}

// unavailable reports whether a balancer cannot be a relay because it is leaving or does
// not answer. One that only a third party has named gets some time to answer.
func (p *Peer) unavailable(now clock.Millis) bool {
	if p.HeardAt == 0 {
		return now.Sub(p.learnedAt) > peerTimeout
	}
	return p.Leaving || p.silent(now)
}

// selectRelays returns the relays of each failure domain, those of the highest rank,
// possibly including this balancer.
//
// Views differ for a moment when a balancer comes or goes. Then three or no relays send
// summaries, which costs some datagrams, or some probes.
func (ps *Peers) selectRelays(now clock.Millis) map[string][]*Peer {
	candidates := map[string][]*Peer{}
	if !ps.self.Leaving {
		candidates[ps.self.Domain] = []*Peer{&ps.self}
	}
	for _, p := range ps.Sorted() {
		if p.Domain != "" && !p.unavailable(now) {
			candidates[p.Domain] = append(candidates[p.Domain], p)
		}
	}
	for d, all := range candidates {
		slices.SortFunc(all, ps.compareRelays)
		candidates[d] = all[:min(len(all), relaysPerDomain)]
	}
	return candidates
}

// RelayIndex returns this balancer's index among the relays of its failure domain, and
// whether it acts as a relay.
func (ps *Peers) RelayIndex(now clock.Millis) (int, bool) {
	ps.Neighbours(now)
	i := slices.Index(ps.relays[ps.self.Domain], &ps.self)
	start := relayStartDelay
	if i == 0 {
		start = firstRelayStartDelay
	}
	return i, i >= 0 && now.Sub(ps.startedAt) >= start
}

// updateRelays selects the relays again and returns those that this balancer sends news to:
// the ones of its own failure domain and, if it is one of them, the others.
func (ps *Peers) updateRelays(now clock.Millis) []*Peer {
	for _, p := range ps.known {
		p.isRelay = false
	}
	ps.relays = ps.selectRelays(now)
	own := ps.relays[ps.self.Domain]
	self := slices.Contains(own, &ps.self)
	var all []*Peer
	for d, relays := range ps.relays {
		for _, p := range relays {
			if p == &ps.self {
				continue
			}
			p.isRelay = true
			if self || d == ps.self.Domain {
				all = append(all, p)
			}
		}
	}
	slices.SortFunc(all, compareRank)
	return all
}

// AnnouncementRecipients returns the balancers to which a newly heard target is announced:
// the neighbours if this balancer is a relay or knows no relay, else the relays of its
// failure domain.
func (ps *Peers) AnnouncementRecipients(now clock.Millis) []*Peer {
	neighbours, relays := ps.Neighbours(now), ps.LocalRelays(now)
	if len(relays) == 0 || slices.Contains(relays, &ps.self) {
		return neighbours
	}
	return relays
}

// SummaryRecipients returns the relay of each other failure domain that receives summaries
// from the relay with an index. The two relays send to different ones, so that one path
// remains if either fails.
func (ps *Peers) SummaryRecipients(now clock.Millis, index int) []*Peer {
	ps.Neighbours(now)
	var all []*Peer
	for d, relays := range ps.relays {
		if d != ps.self.Domain {
			all = append(all, relays[index%len(relays)])
		}
	}
	slices.SortFunc(all, compareRank)
	return all
}

// LocalRelays returns the relays of the local failure domain, possibly including this
// balancer.
func (ps *Peers) LocalRelays(now clock.Millis) []*Peer {
	ps.Neighbours(now)
	return ps.relays[ps.self.Domain]
}

// SetLeaving records that this balancer stops.
func (ps *Peers) SetLeaving() {
	ps.self.Leaving, ps.refreshedAt = true, 0
}

// LocalPeers returns the balancers of the local failure domain that are available, as far
// as known.
func (ps *Peers) LocalPeers(now clock.Millis) []*Peer {
	var all []*Peer
	for _, p := range ps.Sorted() {
		if p.Domain == ps.self.Domain && !p.unavailable(now) {
			all = append(all, p)
		}
	}
	return all
}

// RemoteDomains returns the other failure domains that have balancers.
func (ps *Peers) RemoteDomains() []string {
	domains := map[string]bool{}
	for _, p := range ps.known {
		if p.Domain != "" && p.Domain != ps.self.Domain {
			domains[p.Domain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}
