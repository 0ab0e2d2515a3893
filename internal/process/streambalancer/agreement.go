package streambalancer

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// settleTime is how long this balancer must have known all that its neighbours
	// know: a new target changes the digest of each balancer that hears it, which its
	// neighbours are told within some 100 ms.
	settleTime = 400 * clock.Millis(1)
	// vouchedStart is how long a balancer may not have heard of everybody after its
	// start if a settled one has told it all targets: what is new comes by itself.
	vouchedStart = 700 * clock.Millis(1)
	// aloneStart is how long if none has and no other balancer is there: two reports of
	// each agent, and the time until the others are told. Where there are others, agents
	// tell them in turn, three reports are waited for, and leastStart at least: agents may
	// start a little later than balancers.
	aloneStart = 2*stream.ReportInterval + tellTime
	leastStart = clock.Second
	tellTime   = 200 * clock.Millis(1)
	// unheardStart is how long if a failure domain has no balancer that tells of its
	// targets: agents there notice that none asks them, look up the others and report
	// twice.
	unheardStart = 12 * clock.Second
	// askEvery is the least pause between two questions to one balancer about
	// the targets that it knows and this one does not, and askPause between questions to
	// any. A new target is told at once; the question repairs what was lost.
	askEvery = 500 * clock.Millis(1)
	askPause = 150 * clock.Millis(1)
	// mostCovered bounds the views that are remembered.
	mostCovered = 256
)

// View is what a balancer knows of the targets: a hash over those that it has heard, and
// one over those of them that it takes for lost, and names to nobody.
type View struct {
	Digest, Lost uint64
}

// Ask reports whether a balancer with another view than this one is to be asked for its
// targets now, and notes that it is.
func (ps *Peers) Ask(now clock.Millis, a netip.AddrPort, v View) bool {
	p := ps.known[a]
	return p != nil && !ps.covers(v) && ps.mayAsk(now, p)
}

// mayAsk reports whether it is time to ask a balancer for contacts, and notes that it is
// asked.
func (ps *Peers) mayAsk(now clock.Millis, p *Peer) bool {
	if now.Sub(p.asked) < askEvery || now.Sub(ps.asked) < askPause {
		return false
	}
	p.asked, ps.asked = now, now
	return true
}

// Covered notes that this balancer knows all that others with a view do.
//
// The lost ones are part of it: a balancer that is cut off from a target does not name it,
// and one that hears it must still be asked.
func (ps *Peers) Covered(v View) {
	if len(ps.covered) >= mostCovered {
		clear(ps.covered)
	}
	ps.covered[v] = true
}

func (ps *Peers) covers(v View) bool {
	return ps.covered[v]
}

// Settled reports that this balancer has known all targets that its neighbours
// know for long enough to have been told of any new one. digest is a hash over
// those that this one hears, and complete tells of which failure domains a balancer that
// knows all targets there has told this one.
//
// Balancers that started together agree at once, although none has heard all agents
// yet: one that has run for long reports once a second to those that do not probe
// it, or to one of those that do not. So the agreement counts only after a settled balancer
// has told its targets, or after every agent of the own failure domain has reported, and
// relays of the others that have heard every agent there have told of them.
func (ps *Peers) Settled(now clock.Millis, digest uint64, complete func(domain string) bool) bool {
	ps.vouched = ps.vouched || ps.vouch(now, digest)
	ps.agree(now, digest)
	return held(now, ps.agreed) && now.Sub(ps.started) > ps.start(complete) && ps.HeardNear(now)
}

// agree notes since when this balancer knows all that its neighbours do, and all that those
// of its own failure domain do.
func (ps *Peers) agree(now clock.Millis, digest uint64) {
	all, near := true, true
	for _, p := range ps.Neighbours(now) {
		if p.Digest == digest || ps.covers(p.View) {
			continue
		}
		all = false
		near = near && p.Domain != ps.self.Domain
	}
	ps.agreed = since(now, ps.agreed, all)
	ps.agreedNear = since(now, ps.agreedNear, near)
}

// since is from when on something holds: zero if it does not.
func since(now, before clock.Millis, holds bool) clock.Millis {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	default:
		return before
	}
}

// held reports that an agreement has held for long enough.
func held(now, since clock.Millis) bool {
	return since != 0 && now.Sub(since) > settleTime
}

// start is for how long after its start this balancer may not have heard of everybody.
func (ps *Peers) start(complete func(domain string) bool) clock.Millis {
	if ps.vouched {
		return vouchedStart
	}
	for _, d := range ps.Elsewhere() {
		if !complete(d) {
			return unheardStart
		}
	}
	return 0
}

// HeardNear reports that this balancer knows all targets of its own failure domain:
// every agent there has reported to it or to one that it agrees with, or a settled balancer
// has told it.
func (ps *Peers) HeardNear(now clock.Millis) bool {
	return ps.vouched || now.Sub(ps.started) > aloneStart || ps.heardTogether(now)
}

// heardTogether reports that this balancer knows all that the others of its failure domain
// do, and that they have been there for so long that every agent has reported to one of
// them several times.
//
// An agent that no balancer probes tells those that it knows in turn, so that the more of
// them are there, the sooner one is told; the others hear of it from that one.
func (ps *Peers) heardTogether(now clock.Millis) bool {
	if !held(now, ps.agreedNear) {
		return false
	}
	from := []clock.Millis{ps.started}
	for _, p := range ps.Neighbours(now) {
		if p.Domain == ps.self.Domain && p.Live(now) {
			from = append(from, max(p.since, ps.started))
		}
	}
	slices.Sort(from)
	for i, at := range from {
		wait := 3*stream.ReportInterval/clock.Millis(i+1) + tellTime
		if now.Sub(at) > max(wait, leastStart) {
			return true
		}
	}
	return false
}

// vouch reports that a settled balancer, be it one that leaves, knows no target
// that this one does not.
func (ps *Peers) vouch(now clock.Millis, digest uint64) bool {
	for _, p := range ps.known {
		known := p.Digest == digest || ps.covers(p.View)
		if p.Settled && known && now.Sub(p.Heard) <= peerLive {
			return true
		}
	}
	return false
}
