package streambalancer

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// watchGracePeriod is how long a balancer of higher rank may be without the platform before
// this one watches the platform as well.
const watchGracePeriod = 1200 * clock.Millis(1)

// Watches reports whether this balancer watches the platform for changes, because no live
// neighbour of higher rank in its failure domain does.
//
// A balancer that is partitioned from the platform announces that it does not watch, and
// the next one starts after a grace period. If both watch for a moment, the only cost is an
// additional call. Each balancer waits one grace period for each of higher rank; otherwise
// all would replace a watcher that stops.
func (ps *Peers) Watches(now clock.Millis) bool {
	before := clock.Millis(0)
	for _, p := range ps.known {
		if p.Domain != ps.self.Domain || !p.Live(now) || compareRank(p, &ps.self) > 0 {
			continue
		}
		if p.Watching {
			ps.higherRankWatchedAt = now
		}
		if p.Watching || now.Sub(p.notWatchingSince) < watchGracePeriod {
			return false
		}
		before++
	}
	return now.Sub(ps.higherRankWatchedAt) >= before*watchGracePeriod
}

// evacuationWatchDomains is the number of failure domains in which a balancer watches the
// evacuations: one of them may be lost together with its watcher.
const evacuationWatchDomains = 2

// WatchesEvacuations reports whether this balancer also watches the evacuations: it watches
// the platform, and fewer than evacuationWatchDomains failure domains that sort before its
// own are known to have a watcher. A balancer that knows of no watcher watches.
func (ps *Peers) WatchesEvacuations(now clock.Millis) bool {
	before := map[string]bool{}
	for _, p := range ps.known {
		if p.Watching && p.Domain < ps.self.Domain && p.Live(now) {
			before[p.Domain] = true
		}
	}
	return len(before) < evacuationWatchDomains && ps.Watches(now)
}

// FirstByName reports whether this balancer's name sorts before those of all live peers.
func (ps *Peers) FirstByName(now clock.Millis) bool {
	for _, p := range ps.known {
		if p.Live(now) && p.Name < ps.self.Name {
			return false
		}
	}
	return true
}

// DomainCount returns the number of failure domains that have live balancers.
func (ps *Peers) DomainCount(now clock.Millis) int {
	domains := map[string]bool{ps.self.Domain: true}
	for _, p := range ps.known {
		if p.Live(now) {
			domains[p.Domain] = true
		}
	}
	return len(domains)
}
