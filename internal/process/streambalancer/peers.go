package streambalancer

import (
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
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
	// peerLive is the silence after which a neighbour no longer counts as there:
	// two lost datagrams.
	peerLive = 2500 * clock.Millis(1)
	// mostPeers bounds the balancers that are known: twice as many as are planned
	// for in two years. Anybody may send news.
	mostPeers = 1024
	// peerKnown is the silence after which a balancer is forgotten: three times
	// strangerNews.
	peerKnown = 60 * clock.Second
	// askEvery is the least pause between two questions to one balancer about
	// the targets that it knows and this one does not. A new target is told at
	// once; the question repairs what was lost.
	askEvery = 500 * clock.Millis(1)
	// nearNeighbours and farNeighbours bound how many balancers are told
	// regularly in the own failure domain and in others. What is new to a balancer
	// goes on to its own neighbours.
	nearNeighbours = 16
	farNeighbours  = 4
	// settleTime is how long this balancer must have known all that its neighbours
	// know. News of a new target come from each balancer that hears it, within
	// some 20 ms.
	settleTime = 400 * clock.Millis(1)
	// vouchedStart is how long a balancer may not have heard of everybody after its
	// start if a settled one has told it all targets: what is new comes by itself.
	// aloneStart is how long if none has: two reports of each agent, and the delay
	// between failure domains.
	vouchedStart = 700 * clock.Millis(1)
	aloneStart   = 2*stream.ReportEvery + 200*clock.Millis(1)
	// newsSoon is the least pause between news that tell of a change.
	newsSoon = 100 * clock.Millis(1)
	// avoidFor is how long a balancer is not asked for a version after a call to it
	// failed.
	avoidFor = 2 * clock.Second
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
	// Digest is a hash over the targets that it hears.
	Digest uint64
	// Watching tells that it reads the platform's changes.
	Watching bool
	Leaving  bool
	// Settled tells that it knows all targets that the others do.
	Settled bool
	// Chose tells that it counts this balancer among its neighbours.
	Chose bool
	// Heard is when its last news came; zero if none did.
	Heard clock.Millis

	learned clock.Millis
	// told is when it was told last, asked when it was asked, and chosen since
	// when it is a neighbour.
	told   clock.Millis
	asked  clock.Millis
	chosen clock.Millis
	// avoid is until when no version is fetched from it.
	avoid clock.Millis
	// covered is a digest of it at which this balancer knew all that it knew.
	covered uint64
	// unwatched is since when it is there without reading the platform.
	unwatched clock.Millis
}

// Live reports whether a neighbour is there.
func (p *Peer) Live(now clock.Millis) bool {
	return p.Heard != 0 && now.Sub(p.Heard) <= peerLive && !p.Leaving
}

// silent reports that the balancer was never heard, or does not answer although
// it has been a neighbour for long enough.
func (p *Peer) silent(now clock.Millis) bool {
	if p.Heard == 0 {
		return true
	}
	return p.chosen != 0 && now.Sub(max(p.chosen, p.Heard)) > peerLive
}

// Peers is what a balancer knows of the others. It is pure: time is an argument.
type Peers struct {
	self    Peer
	started clock.Millis
	known   map[netip.AddrPort]*Peer
	// agreed is since when this one knows all that its neighbours do.
	agreed clock.Millis
	// led is when a balancer that ranks before this one was last known to read the
	// platform's changes.
	led clock.Millis
	// vouched tells that a settled balancer has told this one all targets.
	vouched bool
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
	if a == ps.self.Address || ps.known[a] != nil || len(ps.known) >= mostPeers {
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
	if p == nil && len(ps.known) >= mostPeers {
		return false
	}
	if p == nil {
		p = &Peer{Address: n.Address, learned: now}
		ps.known[n.Address] = p
	}
	fresh := p.Heard == 0 || p.Epoch != n.Epoch
	switch {
	case n.Watching:
		p.unwatched = 0
	case p.unwatched == 0 || fresh:
		p.unwatched = now
	}
	p.Name, p.Domain, p.Epoch, p.Version = n.Name, n.Domain, n.Epoch, n.Version
	p.Watching, p.Leaving, p.Settled = n.Watching, n.Leaving, n.Settled
	p.Digest, p.Chose = n.Digest, n.Chose
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

// Domains returns how many failure domains have balancers.
func (ps *Peers) Domains(now clock.Millis) int {
	domains := map[string]bool{ps.self.Domain: true}
	for _, p := range ps.known {
		if p.Live(now) {
			domains[p.Domain] = true
		}
	}
	return len(domains)
}

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

// Ask reports whether a balancer that knows other targets than this one is to be
// asked for them now, and notes that it is.
func (ps *Peers) Ask(now clock.Millis, a netip.AddrPort, digest uint64) bool {
	p := ps.known[a]
	if p == nil || p.covered == digest || now.Sub(p.asked) < askEvery {
		return false
	}
	p.asked = now
	return true
}

// Covered notes that this balancer knows all that another one does at a digest.
func (ps *Peers) Covered(a netip.AddrPort, digest uint64) {
	if p := ps.known[a]; p != nil {
		p.covered = digest
	}
}

// Watches reports whether this balancer reads the platform's changes: no live
// neighbour of its failure domain that ranks before it does.
//
// Failure: the first one is cut off from the platform, or hears nothing of it.
// Symptom: the failure domain keeps an old version. It says that it does not
// watch, and the next one does after a short while; where both do for a moment,
// one call more is made and nothing else happens.
//
// Failure: the reader stops, and has been the only one for long. Symptom: all others
// take its place at once, and each makes calls until it hears of the rest. So each
// waits its turn.
func (ps *Peers) Watches(now clock.Millis) bool {
	before := clock.Millis(0)
	for _, p := range ps.known {
		if p.Domain != ps.self.Domain || !p.Live(now) || p.Name > ps.self.Name {
			continue
		}
		if p.Watching {
			ps.led = now
		}
		if p.Watching || now.Sub(p.unwatched) < watchGrace {
			return false
		}
		before++
	}
	return now.Sub(ps.led) >= before*watchGrace
}

// Settled reports that this balancer has known all targets that its neighbours
// know for long enough to have been told of any new one. digest is a hash over
// those that this one hears.
//
// Balancers that started together agree at once, although none has heard all agents
// yet: one that has run for long reports once a second to those that do not probe
// it. So the agreement counts only after a settled balancer has told its targets, or
// after every agent has reported.
func (ps *Peers) Settled(now clock.Millis, digest uint64) bool {
	ps.vouched = ps.vouched || ps.vouch(now, digest)
	for _, p := range ps.Neighbours(now) {
		if p.Digest != digest && p.Digest != p.covered {
			ps.agreed = 0
			return false
		}
	}
	if ps.agreed == 0 {
		ps.agreed = now
	}
	start := aloneStart
	if ps.vouched {
		start = vouchedStart
	}
	return now.Sub(ps.agreed) > settleTime && now.Sub(ps.started) > start
}

// vouch reports that a settled balancer, be it one that leaves, knows no target
// that this one does not.
func (ps *Peers) vouch(now clock.Millis, digest uint64) bool {
	for _, p := range ps.known {
		known := p.Digest == digest || p.Digest == p.covered
		if p.Settled && known && now.Sub(p.Heard) <= peerLive {
			return true
		}
	}
	return false
}

// Newest returns a live peer whose version is the highest, if it is above the
// given one. One that a call has just failed to is left out, so that another one is
// asked, or the platform.
func (ps *Peers) Newest(now clock.Millis, above uint64) (*Peer, bool) {
	var best *Peer
	for _, p := range ps.Sorted() {
		if p.Live(now) && now >= p.avoid && p.Version > above && (best == nil || p.Version > best.Version) {
			best = p
		}
	}
	return best, best != nil
}

// Failed notes that a call to a balancer has failed.
func (ps *Peers) Failed(now clock.Millis, a netip.AddrPort) {
	if p := ps.known[a]; p != nil {
		p.avoid = now + avoidFor
	}
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

// First reports whether this balancer ranks before all that were heard lately.
func (ps *Peers) First(now clock.Millis) bool {
	for _, p := range ps.known {
		if p.Live(now) && p.Name < ps.self.Name {
			return false
		}
	}
	return true
}
