package streambalancer

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// settleTime is how long this balancer must have known all that its neighbours know. A
	// new target changes the digest of each balancer that hears from it, and its neighbours
	// learn the new digest within some 100 ms.
	settleTime = 400 * clock.Millis(1)
	// confirmedStartDelay is the minimum time after the start until this balancer can be
	// settled if a settled one has sent it all targets, because newer ones are announced to
	// it.
	confirmedStartDelay = 700 * clock.Millis(1)
	// soloStartDelay is the minimum if no settled balancer has done so and there is no
	// other balancer: two reports of each agent, or the time in which agents that the store
	// does not list find this balancer, plus propagationTime. With other balancers, agents
	// report to them in turn; the wait covers three reports and at least minStartDelay, as
	// agents may start a little later than balancers.
	soloStartDelay  = max(2*stream.ReportInterval, stream.DiscoveryTime) + propagationTime
	minStartDelay   = clock.Second
	propagationTime = 200 * clock.Millis(1)
	// noRelayStartDelay is the minimum if a failure domain has no balancer that sends
	// summaries of its targets, and the store does not list them: agents there must notice
	// that no balancer queries them, look up other balancers and report twice.
	noRelayStartDelay = 12 * clock.Second
	// peerRequestInterval is the minimum interval between two requests to one balancer for
	// the targets that this one does not know, and requestInterval between requests to any
	// balancer. New targets are announced at once; the requests make up for lost
	// announcements.
	peerRequestInterval = 500 * clock.Millis(1)
	requestInterval     = 150 * clock.Millis(1)
	// maxCoveredViews bounds Peers.covered.
	maxCoveredViews = 256
)

// View summarizes the targets that a balancer knows: a hash over those it has heard from,
// and a hash over those among them that it considers lost and does not send to others.
type View struct {
	Digest, Lost uint64
}

// StartContactRequest reports whether to request contacts now from a balancer whose view
// differs from this one's. If so, it records the request.
func (ps *Peers) StartContactRequest(now clock.Millis, a netip.AddrPort, v View) bool {
	p := ps.known[a]
	return p != nil && !ps.covers(v) && ps.allowContactRequest(now, p)
}

// allowContactRequest reports whether the rate limit permits a request for contacts to a
// balancer. If so, it records the request.
func (ps *Peers) allowContactRequest(now clock.Millis, p *Peer) bool {
	if now.Sub(p.requestedAt) < peerRequestInterval || now.Sub(ps.lastRequest) < requestInterval {
		return false
	}
	p.requestedAt, ps.lastRequest = now, now
	return true
}

// MarkCovered records that this balancer knows everything known to balancers with the view.
//
// The lost targets are part of the view: a balancer that is partitioned from a target does
// not send its contact, so a balancer that still hears from the target must be queried as
// well.
func (ps *Peers) MarkCovered(v View) {
	if len(ps.covered) >= maxCoveredViews {
		clear(ps.covered)
	}
	ps.covered[v] = true
}

func (ps *Peers) covers(v View) bool {
	return ps.covered[v]
}

// Settled reports whether this balancer has known all targets of its neighbours for long
// enough that any new one would have been announced to it. digest is a hash over the
// targets that it has heard from. complete reports whether a balancer that knows all
// targets of a failure domain has sent this one their summary.
//
// Balancers that start together agree at once, although none has heard from all agents: an
// agent that has run for long reports once a second to the balancers that do not probe it,
// or to one of them. So agreement counts only after a settled balancer has sent its
// targets, or after every agent of the local failure domain has reported and the relays of
// the other domains, having heard from every agent there, have sent their summaries. Which
// agents there are is taken from the store; see listing.
func (ps *Peers) Settled(now clock.Millis, digest uint64, complete func(domain string) bool) bool {
	ps.confirmed = ps.confirmed || ps.settledPeerConfirms(now, digest)
	ps.updateAgreement(now, digest)
	delay, ok := ps.startDelay(complete)
	return ok && heldLongEnough(now, ps.agreedSince) && ps.discoverableFor(now) > delay && ps.LocalTargetsKnown(now)
}

// updateAgreement records since when this balancer knows everything that its neighbours
// know, and everything that those in the local failure domain know.
func (ps *Peers) updateAgreement(now clock.Millis, digest uint64) {
	all, local := true, true
	for _, p := range ps.Neighbours(now) {
		if p.Digest == digest || ps.covers(p.View) {
			continue
		}
		all = false
		local = local && p.Domain != ps.self.Domain
	}
	ps.agreedSince = holdsSince(now, ps.agreedSince, all)
	ps.localAgreedSince = holdsSince(now, ps.localAgreedSince, local)
}

// holdsSince returns the time since which a condition holds, or zero if it does not hold.
func holdsSince(now, before clock.Millis, holds bool) clock.Millis {
	switch {
	case !holds:
		return 0
	case before == 0:
		return now
	default:
		return before
	}
}

// heldLongEnough reports whether an agreement has lasted for settleTime.
func heldLongEnough(now, since clock.Millis) bool {
	return since != 0 && now.Sub(since) > settleTime
}

// startDelay returns how long after its start this balancer cannot be settled, because it
// may not have heard from all agents, and whether any time is enough.
func (ps *Peers) startDelay(complete func(domain string) bool) (clock.Millis, bool) {
	if ps.confirmed {
		return confirmedStartDelay, true
	}
	delay := clock.Millis(0)
	for _, d := range ps.allDomains() {
		if d == ps.self.Domain || complete(d) || ps.listState(d) == listHeard {
			continue
		}
		if ps.listState(d) != listUnreadable {
			return 0, false
		}
		delay = noRelayStartDelay
	}
	return delay, true
}

// discoverableFor returns how long agents could have found this balancer in the directory, or
// known it from an earlier process. Once a settled balancer has sent all targets, it is the
// time since the start.
func (ps *Peers) discoverableFor(now clock.Millis) clock.Millis {
	switch {
	case ps.confirmed || !ps.unlisted:
		return now.Sub(ps.startedAt)
	case ps.registeredAt == 0:
		return 0
	default:
		return now.Sub(ps.registeredAt)
	}
}

// listState returns the state of the list of a failure domain's targets. Without checkpoints
// there are no lists.
func (ps *Peers) listState(domain string) listState {
	if ps.listing == nil {
		return listUnreadable
	}
	return ps.listing.states[domain]
}

// LocalTargetsKnown reports whether this balancer knows all targets of the local failure
// domain: a settled balancer has sent it all targets, or it has heard from every one that
// the store lists and agents that were not listed yet had time to report.
func (ps *Peers) LocalTargetsKnown(now clock.Millis) bool {
	if ps.confirmed {
		return true
	}
	if s := ps.listState(ps.self.Domain); s != listHeard && s != listUnreadable {
		return false
	}
	return ps.discoverableFor(now) > soloStartDelay || !ps.unlisted && ps.localTargetsKnownJointly(now)
}

// localTargetsKnownJointly reports whether this balancer knows everything that the others
// of its failure domain know, and they have run long enough for every agent to have
// reported to one of them several times.
//
// An agent that no balancer probes reports to the balancers that it knows in turn. The more
// there are, the sooner one of them gets a report; the others learn of the agent from that
// one.
func (ps *Peers) localTargetsKnownJointly(now clock.Millis) bool {
	if !heldLongEnough(now, ps.localAgreedSince) {
		return false
	}
	runningSince := []clock.Millis{ps.startedAt}
	for _, p := range ps.Neighbours(now) {
		if p.Domain == ps.self.Domain && p.Live(now) {
			runningSince = append(runningSince, max(p.processSeenAt, ps.startedAt))
		}
	}
	slices.Sort(runningSince)
	for i, at := range runningSince {
		wait := 3*stream.ReportInterval/clock.Millis(i+1) + propagationTime
		if now.Sub(at) > max(wait, minStartDelay) {
			return true
		}
	}
	return false
}

// settledPeerConfirms reports whether a settled balancer, possibly one that is leaving,
// knows no target that this one does not know.
func (ps *Peers) settledPeerConfirms(now clock.Millis, digest uint64) bool {
	for _, p := range ps.known {
		known := p.Digest == digest || ps.covers(p.View)
		if p.Settled && known && now.Sub(p.HeardAt) <= peerTimeout {
			return true
		}
	}
	return false
}
