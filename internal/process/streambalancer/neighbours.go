package streambalancer

import (
	"cmp"
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// localNewsInterval and remoteNewsInterval are how often news are sent to neighbours in
	// the local failure domain and in others. Changes are sent at once; the periodic news
	// make up for lost ones, and traffic between failure domains is billed.
	localNewsInterval  = 500 * clock.Millis(1)
	remoteNewsInterval = clock.Second
	// nonNeighbourNewsInterval is the minimum interval of news to balancers that are not
	// neighbours, so that they keep this balancer among their peers. maxRemoteNewsRate is
	// the number of these news per second to other failure domains: with more balancers
	// there the interval is longer, or all of them together would send as many as the
	// square of their number.
	nonNeighbourNewsInterval = 20 * clock.Second
	maxRemoteNewsRate        = 4
	// silentNewsInterval is how often a silent balancer is contacted. startupNewsInterval
	// applies to one that was never heard from, for startupPeriod after this process's
	// start: the others may be starting as well, in any order.
	silentNewsInterval  = 2 * clock.Second
	startupNewsInterval = 200 * clock.Millis(1)
	startupPeriod       = 2 * clock.Second
	// maxLocalNeighbours and maxRemoteNeighbours bound the neighbours in the local failure
	// domain and in others. A balancer forwards what it learns to its own neighbours.
	maxLocalNeighbours  = 16
	maxRemoteNeighbours = 4
	// neighbourRefreshInterval is how long a selection of neighbours is valid while no peer
	// comes or goes. It delays the detection of silence by as much.
	neighbourRefreshInterval = 100 * clock.Millis(1)
)

// Neighbours returns the balancers that are sent news regularly: the responsive ones with
// the highest rendezvous hash, the relays that this balancer communicates with, and those
// that watch the platform for its failure domain, as it relies on their news. So each of
// hundreds of balancers has few neighbours, and all together form one connected mesh.
//
// The result must not be changed.
func (ps *Peers) Neighbours(now clock.Millis) []*Peer {
	if ps.refreshedAt != 0 && now.Sub(ps.refreshedAt) < neighbourRefreshInterval {
		return ps.neighbours
	}
	var local, remote []*Peer
	ps.remoteCount = 0
	for _, p := range ps.Sorted() {
		if p.Domain != ps.self.Domain {
			ps.remoteCount++
		}
		switch {
		case p.Leaving || p.silent(now):
		case p.Domain == ps.self.Domain:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	chosen := append(topByScore(local, maxLocalNeighbours), topByScore(remote, maxRemoteNeighbours)...)
	for _, p := range append(ps.updateRelays(now), ps.localWatchers()...) {
		if !p.Leaving && !p.silent(now) && !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
	}
	for _, p := range ps.Sorted() {
		// A silent peer stays a neighbour; otherwise it would no longer count as silent.
		if !p.Leaving && !p.silent(now) {
			p.setNeighbour(now, slices.Contains(chosen, p))
		}
	}
	ps.neighbours, ps.refreshedAt = chosen, now
	return chosen
}

// ChangeRecipients returns the neighbours and the balancers that have this one as a
// neighbour: they agree with it only once they know what has changed here.
func (ps *Peers) ChangeRecipients(now clock.Millis) []*Peer {
	all := slices.Clone(ps.Neighbours(now))
	for _, p := range ps.Sorted() {
		if p.neighbourSince == 0 && p.ChoseThis && p.Live(now) {
			all = append(all, p)
		}
	}
	return all
}

// localWatchers returns the balancers of the local failure domain that have last announced
// that they watch the platform or perform a duty.
func (ps *Peers) localWatchers() []*Peer {
	var all []*Peer
	for _, p := range ps.Sorted() {
		if p.Domain == ps.self.Domain && !p.Leaving && (p.Watching || p.Duties != 0) {
			all = append(all, p)
		}
	}
	return all
}

// RoleRecipients returns the balancers that are notified of a change of this balancer's
// roles: those of ChangeRecipients and all of the local failure domain.
func (ps *Peers) RoleRecipients(now clock.Millis) []*Peer {
	all := ps.ChangeRecipients(now)
	for _, p := range ps.LocalPeers(now) {
		if !slices.Contains(all, p) {
			all = append(all, p)
		}
	}
	return all
}

// topByScore returns the peers with the highest scores.
func topByScore(peers []*Peer, limit int) []*Peer {
	slices.SortStableFunc(peers, func(a, b *Peer) int { return cmp.Compare(b.score, a.score) })
	return peers[:min(len(peers), limit)]
}

// setNeighbour updates the time since which the peer is a neighbour.
func (p *Peer) setNeighbour(now clock.Millis, chosen bool) {
	switch {
	case !chosen:
		p.neighbourSince = 0
	case p.neighbourSince == 0:
		p.neighbourSince = now
	}
}

// DueForNews returns the peers to send news to now, and records that they are sent.
func (ps *Peers) DueForNews(now clock.Millis) []*Peer {
	ps.Neighbours(now)
	var due []*Peer
	for _, p := range ps.Sorted() {
		if now.Sub(max(p.newsSentAt, ps.newsBaseline(p))) >= ps.newsInterval(now, p) {
			p.newsSentAt = now
			due = append(due, p)
		}
	}
	if a, ok := ps.former.Next(now); ok {
		due = append(due, &Peer{Address: a})
	}
	return due
}

// newsBaseline returns the time from which the interval until the next news counts: when
// the peer was learned, if it was never heard from and is not contacted at start.
func (ps *Peers) newsBaseline(p *Peer) clock.Millis {
	if p.HeardAt != 0 || ps.contactsAtStart(p) {
		return 0
	}
	return p.learnedAt
}

// contactsAtStart reports whether a balancer that was never heard from is to be contacted
// at once: those of the local failure domain, relays of others, and those of which only the
// address is known. The rest learn of this balancer from them.
//
// When hundreds of balancers restart together, news from each to each would keep the
// smallest ones busy while callers wait.
func (ps *Peers) contactsAtStart(p *Peer) bool {
	return p.HeardAt == 0 && (p.Domain == "" || p.Domain == ps.self.Domain || p.isRelay)
}

func (ps *Peers) newsInterval(now clock.Millis, p *Peer) clock.Millis {
	choseUs := p.ChoseThis && now.Sub(p.HeardAt) <= peerTimeout
	switch {
	case ps.contactsAtStart(p) && now.Sub(ps.startedAt) < startupPeriod:
		return startupNewsInterval
	case p.HeardAt == 0 && !ps.contactsAtStart(p):
		return ps.nonNeighbourInterval(p)
	case p.Leaving || p.silent(now):
		return silentNewsInterval
	case p.neighbourSince == 0 && !choseUs:
		return ps.nonNeighbourInterval(p)
	case p.Domain == ps.self.Domain:
		return localNewsInterval
	default:
		return remoteNewsInterval
	}
}

// nonNeighbourInterval returns the interval of news to a balancer that is not a neighbour.
func (ps *Peers) nonNeighbourInterval(p *Peer) clock.Millis {
	if p.Domain == ps.self.Domain {
		return nonNeighbourNewsInterval
	}
	return max(nonNeighbourNewsInterval, clock.Millis(ps.remoteCount)*clock.Second/maxRemoteNewsRate)
}

// retention returns the silence after which a balancer is removed: three intervals of news.
func (ps *Peers) retention(p *Peer) clock.Millis {
	return 3 * ps.nonNeighbourInterval(p)
}
