package streamagent

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// tellLoaded is how often balancers of the own failure domain are told of the target
	// while its slots are in use, and tellFirst how often those there that were never
	// heard in the first seconds; else it is stream.ReportEvery.
	tellLoaded = 150 * clock.Millis(1)
	tellFirst  = 50 * clock.Millis(1)
	firstFor   = 4 * clock.Second
	// silentAfter is the silence after which a balancer of the own failure domain has missed
	// a probe, and leastTurns how many of those are told a second at least.
	silentAfter = 300 * clock.Millis(1)
	leastTurns  = 3
	// nearFor is the silence after which no balancer of the own failure domain is there:
	// they probe targets of services without flows every five seconds.
	nearFor = 6 * clock.Second
	// knownFor is how long a balancer that was heard is told of changes.
	knownFor = 60 * clock.Second
)

// mostBalancers bounds the balancers that an agent reports to: twice as many as are
// planned for in two years. Anybody may send a parcel; what is over the bound is
// answered, but not remembered.
const mostBalancers = 1024

// balancer is a balancer that the agent reports to.
type balancer struct {
	// met tells that it has spoken to this process, and heard is when it did last,
	// or when its address was learned.
	met   bool
	heard clock.Millis
	told  clock.Millis
	// domain is its failure domain, once it has probed; empty before.
	domain string
	// pause is the last one before it was told, while it was never heard.
	pause clock.Millis
}

// Balancers are those that an agent reports to, and decide when each is told. It is pure:
// time is an argument.
type Balancers struct {
	// domain is the agent's failure domain, and started when its process began.
	domain  string
	started clock.Millis
	known   map[netip.AddrPort]*balancer
	// probed is when a balancer has probed last, and near when one of the own failure
	// domain has; zero if none did.
	probed clock.Millis
	near   clock.Millis
	// turn is when the last one was told whose turn it was.
	turn clock.Millis
}

// NewBalancers returns what an agent of a failure domain knows that has just started.
func NewBalancers(now clock.Millis, domain string) *Balancers {
	return &Balancers{domain: domain, started: now, known: map[netip.AddrPort]*balancer{}}
}

// Learn adds balancers of a failure domain, or with an empty one of any.
func (bs *Balancers) Learn(now clock.Millis, addresses []netip.AddrPort, domain string) {
	for _, at := range addresses {
		b := bs.known[at]
		if b == nil {
			b = bs.add(at)
			if b == nil {
				return
			}
			b.heard = now
		}
		if b.domain == "" {
			b.domain = domain
		}
	}
}

// add returns what is remembered of a balancer, or nil if there is no room for another.
func (bs *Balancers) add(at netip.AddrPort) *balancer {
	b := bs.known[at]
	if b == nil && len(bs.known) < mostBalancers {
		b = &balancer{}
		bs.known[at] = b
	}
	return b
}

// Heard notes that a balancer has spoken.
func (bs *Balancers) Heard(now clock.Millis, from netip.AddrPort) {
	if b := bs.add(from); b != nil {
		b.met, b.heard = true, now
	}
}

// Probed notes that a balancer of a failure domain has probed, which is answered.
func (bs *Balancers) Probed(now clock.Millis, from netip.AddrPort, domain string) {
	bs.probed = now
	if domain == bs.domain {
		bs.near = now
	}
	if b := bs.known[from]; b != nil {
		b.domain, b.told = domain, now
	}
}

// Domain returns the failure domain of a balancer, as far as it is known.
func (bs *Balancers) Domain(at netip.AddrPort) string {
	if b := bs.known[at]; b != nil {
		return b.domain
	}
	return ""
}

// Alone reports that no balancer of the own failure domain is there.
func (bs *Balancers) Alone(now clock.Millis) bool {
	return now.Sub(max(bs.near, bs.started)) > nearFor
}

// Lonely reports that no balancer at all probes the target.
func (bs *Balancers) Lonely(now clock.Millis) bool {
	return now.Sub(bs.probed) > 2*clock.Second
}

// pause is the one until a balancer is told unasked, and whether it is told at all. loaded
// tells that the target's slots are in use.
//
// Balancers of the own failure domain ask, and tell those of others; what is unasked
// repairs that where one does not know the target yet. One that was never heard may be
// starting while callers wait. Where none of the own failure domain asks, all that are
// known are told.
func (bs *Balancers) pause(now clock.Millis, b *balancer, loaded bool) (clock.Millis, bool) {
	first := now.Sub(bs.started) < firstFor
	served := bs.near != 0 && !bs.Alone(now)
	near := b.domain == bs.domain
	switch {
	case !near && served:
		return 0, false
	case near && !b.met && first:
		return tellFirst, true
	case !b.met && first:
		return min(max(2*b.pause, tellFirst), stream.ReportInterval), true
	case loaded:
		return tellLoaded, true
	default:
		return stream.ReportInterval, true
	}
}

// Due returns the balancers to tell now, and notes that they are told.
func (bs *Balancers) Due(now clock.Millis, loaded bool) []netip.AddrPort {
	bs.forget(now)
	var due []netip.AddrPort
	for at, b := range bs.known {
		pause, ok := bs.pause(now, b, loaded)
		if !ok || now.Sub(b.told) < pause {
			continue
		}
		b.pause = pause
		due = append(due, at)
	}
	if at, ok := bs.next(now); ok && !slices.Contains(due, at) {
		due = append(due, at)
	}
	return bs.tell(now, due)
}

// next returns the balancer of the own failure domain whose turn it is: of those that have
// missed a probe the one that was told the longest ago.
//
// All balancers of a failure domain may have started anew, and each must hear of every
// target, from any of the others as well, before it may say that nobody holds a flow. Told
// in turn, one of them hears within a part of a second what each alone hears within one.
func (bs *Balancers) next(now clock.Millis) (netip.AddrPort, bool) {
	var longest netip.AddrPort
	near := 0
	for at, b := range bs.known {
		if b.domain != bs.domain {
			continue
		}
		near++
		if now.Sub(b.told) < silentAfter {
			continue
		}
		if !longest.IsValid() || before(at, b, longest, bs.known[longest]) {
			longest = at
		}
	}
	turns := clock.Millis(max(near, leastTurns))
	if !longest.IsValid() || now.Sub(bs.turn) < stream.ReportInterval/turns {
		return netip.AddrPort{}, false
	}
	bs.turn = now
	return longest, true
}

// before reports whether a balancer was told before another one.
func before(a netip.AddrPort, b *balancer, other netip.AddrPort, o *balancer) bool {
	return b.told < o.told || b.told == o.told && a.Compare(other) < 0
}

// All returns all balancers, and notes that they are told.
func (bs *Balancers) All(now clock.Millis) []netip.AddrPort {
	bs.forget(now)
	var all []netip.AddrPort
	for at := range bs.known {
		all = append(all, at)
	}
	return bs.tell(now, all)
}

func (bs *Balancers) tell(now clock.Millis, to []netip.AddrPort) []netip.AddrPort {
	for _, at := range to {
		bs.known[at].told = now
	}
	slices.SortFunc(to, netip.AddrPort.Compare)
	return to
}

// forget drops the balancers that were silent for long, but the last.
func (bs *Balancers) forget(now clock.Millis) {
	for at, b := range bs.known {
		if now.Sub(b.heard) > knownFor && len(bs.known) > 1 {
			delete(bs.known, at)
		}
	}
}
