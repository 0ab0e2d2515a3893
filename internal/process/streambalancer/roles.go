package streambalancer

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/process/failover"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// watchGracePeriod is how long a balancer of higher rank may be without the platform
	// before the next one tries to watch it.
	watchGracePeriod = 200 * clock.Millis(1)
	// watcherTimeout is the silence after which a balancer no longer counts as watching: the
	// answer on which its last announcement rests is older.
	watcherTimeout = watchLease
)

// Watches reports whether this balancer watches the platform for changes, because no live
// neighbour of higher rank in its failure domain does.
//
// A balancer that the platform does not answer announces that it does not watch, and the
// next one tries after a grace period. If both watch for a moment, the only cost is an
// additional call.
func (ps *Peers) Watches(now clock.Millis) bool {
	return ps.WatchDelay(now) == 0
}

// WatchDelay returns how long after now this balancer is to watch the platform, unless news
// come earlier; zero if it watches now.
func (ps *Peers) WatchDelay(now clock.Millis) clock.Millis {
	delay, higher := clock.Millis(0), 0
	for _, p := range ps.known {
		if p.Domain != ps.self.Domain || compareRank(p, &ps.self) > 0 {
			continue
		}
		if p.isWatcher() {
			silentAt := p.HeardAt + watcherTimeout
			ps.higherRankWatchedAt = max(ps.higherRankWatchedAt, min(now, silentAt))
			delay = max(delay, silentAt+1-now)
			continue
		}
		if p.Live(now) {
			higher++
			delay = max(delay, p.notWatchingSince+watchGracePeriod-now)
		}
	}
	ended := max(ps.higherRankWatchedAt, ps.watchEndedAt)
	return max(delay, ended+failover.Delay(higher)-now, 0)
}

// isWatcher reports whether the balancer has last announced that it watches the platform.
func (p *Peer) isWatcher() bool {
	return p.Watching && !p.Leaving
}

// announcement is what a balancer has last announced about its roles.
type announcement struct {
	watching        bool
	duties, failing Duties
}

func (ps *Peers) announcement(at netip.AddrPort) announcement {
	p := ps.known[at]
	if p == nil {
		return announcement{}
	}
	return announcement{watching: p.isWatcher(), duties: p.Duties, failing: p.Failing}
}

// rank returns the number of known balancers of higher rank in the local failure domain,
// heard from or not.
func (ps *Peers) rank() int {
	n := 0
	for _, p := range ps.known {
		if p.Domain == ps.self.Domain && !p.Leaving && compareRank(p, &ps.self) < 0 {
			n++
		}
	}
	return n
}

// AwaitsPlatform reports whether it is for this balancer to notice soon that the platform
// answers again: no live one watches it, and none of higher rank in its failure domain
// tries as well.
func (ps *Peers) AwaitsPlatform(now clock.Millis) bool {
	for _, p := range ps.known {
		if !p.Live(now) {
			continue
		}
		if p.Watching || p.Domain == ps.self.Domain && compareRank(p, &ps.self) < 0 {
			return false
		}
	}
	return true
}

// evacuationWatchDomains is the number of failure domains in which a balancer watches the
// evacuations: one of them may be lost together with its watcher.
const evacuationWatchDomains = 2

// readsEvacuations reports whether the watcher of this failure domain also watches the
// evacuations: fewer than evacuationWatchDomains domains that sort before its own are known
// to have a balancer that does.
func (ps *Peers) readsEvacuations(now clock.Millis) bool {
	before := map[string]bool{}
	for _, p := range ps.known {
		if p.Duties.Has(EvacuationDuty) && p.Domain < ps.self.Domain && p.Live(now) {
			before[p.Domain] = true
		}
	}
	return len(before) < evacuationWatchDomains
}

// removesEntries reports whether it is for this balancer to remove the entries of silent
// balancers from the directory: its name sorts before those of all live ones, and there are
// any. One that hears from none may be cut off itself, or have been paused.
func (ps *Peers) removesEntries(now clock.Millis) bool {
	for _, p := range ps.known {
		if p.Live(now) && p.Name < ps.self.Name {
			return false
		}
	}
	return ps.anyLive(now)
}

// anyLive reports whether any other balancer is live.
func (ps *Peers) anyLive(now clock.Millis) bool {
	return slices.ContainsFunc(ps.Sorted(), func(p *Peer) bool { return p.Live(now) })
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
