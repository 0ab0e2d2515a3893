package streambalancer

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
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
	// askEvery is the least pause between two questions to one balancer about
	// the targets that it knows and this one does not. A new target is told at
	// once; the question repairs what was lost.
	askEvery = 500 * clock.Millis(1)
)

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
