package streambalancer

import (
	"slices"

	"github.com/zeebo/xxh3"

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
)

// Neighbours returns the balancers that are told regularly: the first by
// rendezvous with this one that answer. A balancer among hundreds thus has a few
// neighbours, and all together form one mesh.
func (ps *Peers) Neighbours(now clock.Millis) []*Peer {
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
	return append(ps.choose(now, near, nearNeighbours), ps.choose(now, far, farNeighbours)...)
}

// choose keeps the first peers by rendezvous and notes since when they are
// neighbours.
func (ps *Peers) choose(now clock.Millis, peers []*Peer, most int) []*Peer {
	slices.SortStableFunc(peers, func(a, b *Peer) int {
		x, y := ps.score(a), ps.score(b)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
	for i, p := range peers {
		switch {
		case i >= most:
			p.chosen = 0
		case p.chosen == 0:
			p.chosen = now
		}
	}
	return peers[:min(len(peers), most)]
}

func (ps *Peers) score(p *Peer) uint64 {
	return xxh3.HashString(ps.self.Name + " " + p.Name)
}

// Due returns the peers to tell now, and notes that they are told.
func (ps *Peers) Due(now clock.Millis) []*Peer {
	ps.Neighbours(now)
	var due []*Peer
	for _, p := range ps.Sorted() {
		if now.Sub(p.told) >= ps.pause(now, p) {
			p.told = now
			due = append(due, p)
		}
	}
	return due
}

func (ps *Peers) pause(now clock.Millis, p *Peer) clock.Millis {
	choseUs := p.Chose && now.Sub(p.Heard) <= peerLive
	switch {
	case p.Heard == 0 && now.Sub(ps.started) < firstFor:
		return firstNews
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
