package streambalancer

import (
	"github.com/wagtailtray/wagtailtray/internal/process/rotation"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// rotationInterval is how often a balancer decides whether it takes part in the
	// fabric's rotation.
	rotationInterval = 100 * clock.Millis(1)
	// latenessShare is the share of the shortest latency objective that the mean lateness
	// may take: a request's packets pass a balancer several times, and some wait several
	// times as long as the mean.
	latenessShare = 0.03
	// defaultObjective is the objective where the configuration states none.
	defaultObjective = 200 * clock.Millis(1)
	// minLatenessLimit and maxLatenessLimit bound the result, in milliseconds: timers have a
	// resolution of a millisecond, and callers retransmit after some hundred.
	minLatenessLimit = 3.0
	maxLatenessLimit = 20.0
	// latenessUnitsPerMilli converts milliseconds to the unit of the lateness in news.
	latenessUnitsPerMilli = 10
)

// updateRotation decides whether this balancer takes part in the fabric's rotation. The
// caller holds the lock.
//
// The owners of its flows are not handed over when it rests: it is short of processor time,
// and the others find them by a search.
func (b *Balancer) updateRotation(now clock.Millis) {
	if !b.settings.SteadyHashing || b.leaving || !b.settled || now.Sub(b.rotationCheckedAt) < rotationInterval {
		return
	}
	b.rotationCheckedAt = now
	limit, domain := b.maxLateness(), b.peers.rotationDomain(now)
	late := b.rotation.Lateness.Mean()
	b.deps.Scope.Gauge("lateness_ms").Update(late)
	change := b.rotation.Update(now, limit, domain)
	if change == rotation.Unchanged {
		return
	}
	b.broadcastNews(now)
	b.deps.Scope.Counter(change.String()).Inc(1)
	b.deps.Log.Info().Stringer("event", change).Float64("lateness", late).Float64("limit", limit).
		Int("known", domain.Known).Int("heard", len(domain.Peers)).Send()
}

// maxLateness returns the mean lateness in milliseconds above which the balancer is late.
func (b *Balancer) maxLateness() float64 {
	objective := defaultObjective
	if t := b.steerer.Table(); t != nil && t.MinObjective() > 0 {
		objective = t.MinObjective()
	}
	return min(max(latenessShare*float64(objective), minLatenessLimit), maxLatenessLimit)
}

// rotationDomain returns what this balancer knows of the balancers of its failure domain.
// Balancers whose failure domain is not known may belong to it, and those that are leaving
// still count for the fabric.
func (ps *Peers) rotationDomain(now clock.Millis) rotation.Domain {
	d := rotation.Domain{Known: 1}
	for _, p := range ps.known {
		if p.Domain != "" && p.Domain != ps.self.Domain {
			continue
		}
		d.Known++
		if p.Live(now) && p.Version > 0 {
			d.Peers = append(d.Peers, rotation.Peer{
				Name: p.Name, Resting: p.Resting, ChangedAt: p.RestChangedAt, Lateness: p.Lateness,
			})
		}
	}
	return d
}

// countActive returns the number of live balancers of the failure domain, without this one,
// that take part in the fabric's rotation.
func (ps *Peers) countActive(now clock.Millis) int {
	n := 0
	for _, p := range ps.LocalPeers(now) {
		if !p.Resting {
			n++
		}
	}
	return n
}

func encodeLateness(millis float64) uint32 {
	return uint32(millis*latenessUnitsPerMilli) + 1
}

func decodeLateness(encoded uint32) float64 {
	if encoded == 0 {
		return rotation.UnknownLateness
	}
	return float64(encoded-1) / latenessUnitsPerMilli
}
