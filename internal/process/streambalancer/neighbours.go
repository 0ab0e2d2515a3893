package streambalancer

import (
	"cmp"
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// nearNews and farNews are how often neighbours in the own failure domain and
	// in others are told what is in force here. Changes are told at once; this
	// repairs what was lost, and traffic between domains is paid for.
	nearNews = 500 * clock.Millis(1)
	farNews  = clock.Second
	// strangerNews is how often balancers are told that are no neighbours, so
	// that they keep knowing this one.
	strangerNews = 20 * clock.Second
	// silentNews is how often a silent balancer is tried, and firstNews how often
	// one that was never heard, for firstFor after this process's start: the
	// others may be starting as well, in any order.
	silentNews = 2 * clock.Second
	firstNews  = 200 * clock.Millis(1)
	firstFor   = 2 * clock.Second
	// nearNeighbours and farNeighbours bound how many balancers are told
	// regularly in the own failure domain and in others. What is new to a balancer
	// goes on to its own neighbours.
	nearNeighbours = 16
	farNeighbours  = 4
	// refreshEvery is how long a choice of neighbours holds while none comes or goes.
	// Silence is noticed that much later.
	refreshEvery = 100 * clock.Millis(1)
)

// Neighbours returns the balancers that are told regularly: the first by
// rendezvous with this one that answer, and the relays that this one has to do with. A
// balancer among hundreds thus has a few neighbours, and all together form one mesh.
//
// The result must not be changed.
func (ps *Peers) Neighbours(now clock.Millis) []*Peer {
	if ps.refreshed != 0 && now.Sub(ps.refreshed) < refreshEvery {
		return ps.neighbours
	}
	var near, far []*Peer
	for _, p := range ps.Sorted() {
		switch {
		case p.Leaving || p.silent(now):
		case p.Domain == ps.self.Domain:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	chosen := append(first(near, nearNeighbours), first(far, farNeighbours)...)
	for _, p := range ps.chooseRelays(now) {
		if !p.Leaving && !p.silent(now) && !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
	}
	for _, p := range ps.Sorted() {
		// One that has fallen silent stays chosen, or it would no longer count as silent.
		if !p.Leaving && !p.silent(now) {
			p.choose(now, slices.Contains(chosen, p))
		}
	}
	ps.neighbours, ps.refreshed = chosen, now
	return chosen
}

// Concerned returns the neighbours, and the balancers whose neighbour this one is: they
// agree with it only once they know what has changed here.
func (ps *Peers) Concerned(now clock.Millis) []*Peer {
	all := slices.Clone(ps.Neighbours(now))
	for _, p := range ps.Sorted() {
		if p.chosen == 0 && p.Chose && p.Live(now) {
			all = append(all, p)
		}
	}
	return all
}

// first returns the first peers by rendezvous.
func first(peers []*Peer, most int) []*Peer {
	slices.SortStableFunc(peers, func(a, b *Peer) int { return cmp.Compare(b.score, a.score) })
	return peers[:min(len(peers), most)]
}

// choose notes since when the peer is a neighbour.
func (p *Peer) choose(now clock.Millis, chosen bool) {
	switch {
	case !chosen:
		p.chosen = 0
	case p.chosen == 0:
		p.chosen = now
	}
}

// Due returns the peers to tell now, and notes that they are told.
func (ps *Peers) Due(now clock.Millis) []*Peer {
	ps.Neighbours(now)
	var due []*Peer
	for _, p := range ps.Sorted() {
		if now.Sub(max(p.told, ps.since(p))) >= ps.pause(now, p) {
			p.told = now
			due = append(due, p)
		}
	}
	return due
}

// since is from when on the pause until a peer is told counts: for one that is not
// greeted at once, from when it was learned.
func (ps *Peers) since(p *Peer) clock.Millis {
	if p.Heard != 0 || ps.greets(p) {
		return 0
	}
	return p.learned
}

// greets reports that a balancer that was never heard is to be told at once that this
// one is there: those of the own failure domain, relays of others, and those of which
// only the address is known. The others hear of it from them.
//
// Among hundreds that return together a word from each to each would keep the smallest
// ones busy while callers wait.
func (ps *Peers) greets(p *Peer) bool {
	return p.Heard == 0 && (p.Domain == "" || p.Domain == ps.self.Domain || p.relay)
}

func (ps *Peers) pause(now clock.Millis, p *Peer) clock.Millis {
	choseUs := p.Chose && now.Sub(p.Heard) <= peerLive
	switch {
	case ps.greets(p) && now.Sub(ps.started) < firstFor:
		return firstNews
	case p.Heard == 0 && !ps.greets(p):
		return strangerNews
	case p.Leaving || p.silent(now):
		return silentNews
	case p.chosen == 0 && !choseUs:
		return strangerNews
	case p.Domain == ps.self.Domain:
		return nearNews
	default:
		return farNews
	}
}
