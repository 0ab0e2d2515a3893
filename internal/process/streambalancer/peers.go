package streambalancer

import (
	"net/netip"
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
	// peerLive is the silence after which a balancer no longer counts as there:
	// two lost datagrams.
	peerLive = 2500 * clock.Millis(1)
	// askEvery is the least pause between two questions to one balancer about
	// the contacts that it knows and this one does not. A new target is told at
	// once; the question repairs what was lost.
	askEvery = clock.Second
	// peerKnown is the silence after which a balancer is forgotten.
	peerKnown = 60 * clock.Second
	// retryPeer is how often a silent balancer is tried.
	retryPeer = 2 * clock.Second
	// mostNeighbours bounds how many balancers are told regularly, half of them
	// in the own failure domain. A version that is new to a balancer goes on to
	// its own neighbours.
	mostNeighbours = 8
	// settleTime is how long neighbours must agree: news of a new target go
	// around at once and, if lost, again after nearNews.
	settleTime = 700 * clock.Millis(1)
	// startTime is how long a balancer that has started may not have heard of
	// everybody: agents report several times in it.
	startTime = clock.Second
	// newsSoon is the least pause between news that tell of a change.
	newsSoon = 100 * clock.Millis(1)
	// watchGrace is how long a balancer that ranks before this one may be
	// without the platform until this one reads it as well.
	watchGrace = 1200 * clock.Millis(1)
)

// Peer is another balancer.
type Peer struct {
	Address netip.AddrPort
	Name    string
	Domain  string
	Epoch   uint64
	Version uint64
	// Digest is a hash over whom it knows.
	Digest uint64
	// Watching tells that it reads the platform's changes.
	Watching bool
	Leaving  bool
	// Heard is when its last news came; zero if none did.
	Heard clock.Millis

	learned clock.Millis
	told    clock.Millis
	asked   clock.Millis
	// unwatched is since when it is there without reading the platform.
	unwatched clock.Millis
}

// Live reports whether the balancer is there.
func (p *Peer) Live(now clock.Millis) bool {
	return p.Heard != 0 && now.Sub(p.Heard) <= peerLive && !p.Leaving
}

// Peers is what a balancer knows of the others. It is pure: time is an argument.
type Peers struct {
	self    Peer
	started clock.Millis
	known   map[netip.AddrPort]*Peer
	// agreed is since when all neighbours know the same processes as this one.
	agreed clock.Millis
}

// NewPeers returns the peers of a balancer that has just started.
func NewPeers(now clock.Millis, self Peer, seeds []netip.AddrPort) *Peers {
	ps := &Peers{self: self, started: now, known: map[netip.AddrPort]*Peer{}}
	ps.Seed(now, seeds)
	return ps
}

// Seed adds balancers that are known by address only.
func (ps *Peers) Seed(now clock.Millis, seeds []netip.AddrPort) {
	for _, a := range seeds {
		ps.Learn(now, a, "", "")
	}
}

// Learn adds a balancer on hearsay.
func (ps *Peers) Learn(now clock.Millis, a netip.AddrPort, name, domain string) bool {
	if a == ps.self.Address || ps.known[a] != nil {
		return false
	}
	ps.known[a] = &Peer{Address: a, Name: name, Domain: domain, learned: now}
	return true
}

// Hear takes news of a balancer itself. It reports whether it is one that has
// not been heard before, or has started anew.
func (ps *Peers) Hear(now clock.Millis, n Peer) bool {
	if n.Address == ps.self.Address {
		return false
	}
	p := ps.known[n.Address]
	if p == nil {
		p = &Peer{Address: n.Address}
		ps.known[n.Address] = p
	}
	fresh := p.Heard == 0 || p.Epoch != n.Epoch || now.Sub(p.Heard) > peerLive
	switch {
	case n.Watching:
		p.unwatched = 0
	case p.unwatched == 0 || fresh:
		p.unwatched = now
	}
	p.Name, p.Domain, p.Epoch, p.Version = n.Name, n.Domain, n.Epoch, n.Version
	p.Watching, p.Leaving, p.Digest = n.Watching, n.Leaving, n.Digest
	p.Heard = now
	return fresh
}

// Each calls f for every peer, in no order.
func (ps *Peers) Each(f func(*Peer)) {
	for _, p := range ps.known {
		f(p)
	}
}

// Sorted returns the peers in the order of their addresses.
func (ps *Peers) Sorted() []*Peer {
	all := make([]*Peer, 0, len(ps.known))
	for _, p := range ps.known {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *Peer) int { return a.Address.Compare(b.Address) })
	return all
}

// Neighbours returns the live balancers that are told regularly: the first by
// rendezvous with this one, at most half of them in its own failure domain if
// there are others.
func (ps *Peers) Neighbours(now clock.Millis) []*Peer {
	var near, far []*Peer
	for _, p := range ps.Sorted() {
		switch {
		case !p.Live(now):
		case p.Domain == ps.self.Domain:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	near, far = ps.rank(near), ps.rank(far)
	if len(near) > mostNeighbours/2 {
		near = near[:mostNeighbours/2]
	}
	if len(far) > mostNeighbours-len(near) {
		far = far[:mostNeighbours-len(near)]
	}
	return append(near, far...)
}

func (ps *Peers) rank(peers []*Peer) []*Peer {
	score := func(p *Peer) uint64 { return xxh3.HashString(ps.self.Name + " " + p.Name) }
	slices.SortFunc(peers, func(a, b *Peer) int {
		if x, y := score(a), score(b); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return a.Address.Compare(b.Address)
	})
	return peers
}

// Due returns the peers to tell now, and notes that they are told: neighbours
// regularly, silent ones now and then.
func (ps *Peers) Due(now clock.Millis) []*Peer {
	var due []*Peer
	for _, p := range ps.Neighbours(now) {
		if now.Sub(p.told) >= ps.pause(p) {
			due = append(due, p)
		}
	}
	for _, p := range ps.Sorted() {
		if !p.Live(now) && now.Sub(p.told) >= ps.retry(now) {
			due = append(due, p)
		}
	}
	for _, p := range due {
		p.told = now
	}
	return due
}

func (ps *Peers) pause(p *Peer) clock.Millis {
	if p.Domain == ps.self.Domain {
		return nearNews
	}
	return farNews
}

// Ask reports whether a balancer that knows others than this one is to be asked
// for them now, and notes that it is.
func (ps *Peers) Ask(now clock.Millis, a netip.AddrPort) bool {
	p := ps.known[a]
	if p == nil || now.Sub(p.asked) < askEvery {
		return false
	}
	p.asked = now
	return true
}

// retry is short while this process has just started: the others may have done
// so as well, in any order.
func (ps *Peers) retry(now clock.Millis) clock.Millis {
	if now.Sub(ps.started) < 2*clock.Second {
		return 200
	}
	return retryPeer
}

// Watches reports whether this balancer reads the platform's changes: no live
// balancer of its failure domain that ranks before it does.
//
// Failure: the first one is cut off from the platform, or hears nothing of it.
// Symptom: the failure domain keeps an old version. It says that it does not
// watch, and the next one does after a short while; where both do for a moment,
// one call more is made and nothing else happens.
func (ps *Peers) Watches(now clock.Millis) bool {
	for _, p := range ps.known {
		if p.Domain != ps.self.Domain || !p.Live(now) || p.Name > ps.self.Name {
			continue
		}
		if p.Watching || now.Sub(p.unwatched) < watchGrace {
			return false
		}
	}
	return true
}

// Settled reports that all neighbours have known the same processes as this
// balancer for long enough to have told each other of any new one. digest is a
// hash over whom this one knows.
func (ps *Peers) Settled(now clock.Millis, digest uint64) bool {
	for _, p := range ps.Neighbours(now) {
		if p.Digest != digest {
			ps.agreed = 0
			return false
		}
	}
	if ps.agreed == 0 {
		ps.agreed = now
	}
	return now.Sub(ps.agreed) > settleTime && now.Sub(ps.started) > startTime
}

// Newest returns a live peer whose version is the highest, if it is above the
// given one.
func (ps *Peers) Newest(now clock.Millis, above uint64) (*Peer, bool) {
	var best *Peer
	for _, p := range ps.Sorted() {
		if p.Live(now) && p.Version > above && (best == nil || p.Version > best.Version) {
			best = p
		}
	}
	return best, best != nil
}

// Forget removes balancers that were silent for long, and returns them.
func (ps *Peers) Forget(now clock.Millis) []*Peer {
	var gone []*Peer
	for a, p := range ps.known {
		if now.Sub(max(p.Heard, p.learned)) > peerKnown {
			delete(ps.known, a)
			gone = append(gone, p)
		}
	}
	return gone
}

// First reports whether this balancer ranks before all live ones.
func (ps *Peers) First(now clock.Millis) bool {
	for _, p := range ps.known {
		if p.Live(now) && p.Name < ps.self.Name {
			return false
		}
	}
	return true
}
