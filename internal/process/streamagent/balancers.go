package streamagent

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// loadedReportInterval is the minimum interval of reports to a balancer while the
	// target's slots are in use, and maxLoadedReportRate the number of these reports per
	// second to all of them, unless each gets one in stream.ReportInterval, which is the
	// interval otherwise. startupReportInterval is the one, during startupPeriod, for
	// balancers of the agent's own failure domain that were never heard from.
	loadedReportInterval  = 150 * clock.Millis(1)
	maxLoadedReportRate   = 120
	startupReportInterval = 50 * clock.Millis(1)
	startupPeriod         = 4 * clock.Second
	// probeTimeout is the time without a report after which a balancer of the agent's own
	// failure domain has missed a probe, unless it probes at longer intervals. At least
	// minTurnsPerSecond of these are sent a report each second.
	probeTimeout      = 300 * clock.Millis(1)
	minTurnsPerSecond = 3
	// localBalancerTimeout is the time without a probe after which the agent's own failure
	// domain counts as having no balancer: balancers probe targets of services without
	// flows every five seconds.
	localBalancerTimeout = 6 * clock.Second
	// unlistedPatience replaces localBalancerTimeout for an agent whose target is not listed
	// by the store: a balancer that starts learns of the target from nobody else.
	unlistedPatience = stream.DiscoveryTime - lookupTime - unlistedCheckInterval
	// minUnprobedTime is the minimum time without a probe after which a target counts as
	// unprobed.
	minUnprobedTime = 2 * clock.Second
	// balancerRetention is how long a silent balancer is still sent reports.
	balancerRetention = 60 * clock.Second
)

// maxBalancers bounds the balancers that an agent reports to: twice as many as are
// planned for in two years. Parcels are not authenticated, so any sender adds an entry;
// senders beyond the bound are answered, but not stored.
const maxBalancers = 1024

// balancer is the state of one balancer that the agent reports to.
type balancer struct {
	// everHeard is set once the balancer has sent this process a parcel. lastHeard is
	// when it last did, or when its address was learned.
	everHeard  bool
	lastHeard  clock.Millis
	reportedAt clock.Millis
	// probedAt is the time of its last probe, and probeInterval the interval before that.
	probedAt      clock.Millis
	probeInterval clock.Millis
	// domain is its failure domain; empty while unknown.
	domain string
	// lastInterval is the interval that preceded the last periodic report. It doubles
	// during startupPeriod while the balancer was never heard from.
	lastInterval clock.Millis
}

// Balancers holds the balancers that an agent reports to, and decides when each is sent
// a report. It does no I/O and takes the time as an argument.
type Balancers struct {
	// domain is the agent's failure domain, and startedAt when its process started.
	domain    string
	startedAt clock.Millis
	known     map[netip.AddrPort]*balancer
	// local is the number of balancers of the agent's own failure domain, and receivers that
	// of those that are sent reports.
	local     int
	receivers int
	// lastProbe is the time of the last probe from any balancer, and lastLocalProbe from
	// one of the agent's own failure domain; zero if there was none.
	lastProbe      clock.Millis
	lastLocalProbe clock.Millis
	// unlisted is set while the target may hold flows and the store does not list it.
	unlisted bool
	// lastTurn is when nextInTurn last returned a balancer.
	lastTurn clock.Millis
}

// NewBalancers returns the empty state of an agent that starts in a failure domain.
func NewBalancers(now clock.Millis, domain string) *Balancers {
	return &Balancers{domain: domain, startedAt: now, known: map[netip.AddrPort]*balancer{}}
}

// Learn adds balancers of a failure domain. An empty domain means that it is unknown.
func (bs *Balancers) Learn(now clock.Millis, addresses []netip.AddrPort, domain string) {
	for _, at := range addresses {
		b := bs.known[at]
		if b == nil {
			b = bs.add(at)
			if b == nil {
				return
			}
			b.lastHeard = now
		}
		if b.domain == "" {
			b.domain = domain
		}
	}
}

// add returns the entry of a balancer, creating it if needed, or nil if there is no
// room for another.
func (bs *Balancers) add(at netip.AddrPort) *balancer {
	b := bs.known[at]
	if b == nil && len(bs.known) < maxBalancers {
		b = &balancer{}
		bs.known[at] = b
	}
	return b
}

// RecordHeard records that a balancer has sent a parcel.
func (bs *Balancers) RecordHeard(now clock.Millis, from netip.AddrPort) {
	if b := bs.add(from); b != nil {
		b.everHeard, b.lastHeard = true, now
	}
}

// RecordProbe records a probe from a balancer of a failure domain. Its answer counts as
// a report.
func (bs *Balancers) RecordProbe(now clock.Millis, from netip.AddrPort, domain string) {
	bs.lastProbe = now
	if domain == bs.domain {
		bs.lastLocalProbe = now
	}
	if b := bs.known[from]; b != nil {
		b.domain, b.reportedAt = domain, now
		if b.probedAt != 0 {
			b.probeInterval = now.Sub(b.probedAt)
		}
		b.probedAt = now
	}
}

// missedProbe reports whether a balancer was sent no report for so long that a probe of it
// must have been lost.
func (b *balancer) missedProbe(now clock.Millis) bool {
	expected := min(b.probeInterval, stream.ReportInterval) * 3 / 2
	return now.Sub(b.reportedAt) >= max(probeTimeout, expected)
}

// Domain returns the failure domain of a balancer, or an empty string if it is unknown.
func (bs *Balancers) Domain(at netip.AddrPort) string {
	if b := bs.known[at]; b != nil {
		return b.domain
	}
	return ""
}

// SetUnlisted sets whether the target may hold flows while the store does not list it, and
// reports whether that has changed.
//
// Balancers that restart or replace others take from the store which targets there are, so
// only agents that are listed may wait for probes without reporting.
func (bs *Balancers) SetUnlisted(unlisted bool) bool {
	changed := bs.unlisted != unlisted
	bs.unlisted = unlisted
	return changed
}

// NoLocalBalancer reports whether the agent's own failure domain counts as having no
// balancer, as none has probed for a while.
func (bs *Balancers) NoLocalBalancer(now clock.Millis) bool {
	patience := localBalancerTimeout
	if bs.unlisted && bs.lastLocalProbe != 0 {
		patience = unlistedPatience
	}
	return now.Sub(max(bs.lastLocalProbe, bs.startedAt)) > patience
}

// Unprobed reports whether no balancer of any failure domain has probed recently.
func (bs *Balancers) Unprobed(now clock.Millis) bool {
	least := minUnprobedTime
	if bs.unlisted {
		least = unlistedPatience
	}
	return bs.lastProbe == 0 || now.Sub(bs.lastProbe) > max(bs.shortestProbeInterval()*3/2, least)
}

// shortestProbeInterval returns the shortest interval at which a balancer has last probed, at
// most localBalancerTimeout; zero if none has probed twice. Balancers that do not use a
// target's service probe it at long intervals.
func (bs *Balancers) shortestProbeInterval() clock.Millis {
	shortest := clock.Millis(0)
	for _, b := range bs.known {
		if b.probeInterval != 0 && (shortest == 0 || b.probeInterval < shortest) {
			shortest = b.probeInterval
		}
	}
	return min(shortest, localBalancerTimeout)
}

// UntilAbandoned returns how long this agent may still wait for a probe from a balancer of
// any failure domain before it counts as abandoned: zero or less if it does, as all balancers
// that it knows may have been replaced.
func (bs *Balancers) UntilAbandoned(now clock.Millis) clock.Millis {
	patience := localBalancerTimeout
	if bs.unlisted && bs.lastProbe != 0 {
		patience = min(max(bs.shortestProbeInterval()*3/2, unlistedPatience), patience)
	}
	return patience - now.Sub(max(bs.lastProbe, bs.startedAt))
}

// loadedInterval returns the interval of reports while the target's slots are in use.
func (bs *Balancers) loadedInterval() clock.Millis {
	interval := clock.Millis(bs.receivers) * clock.Second / maxLoadedReportRate
	return min(max(interval, loadedReportInterval), stream.ReportInterval)
}

// countReceivers counts the balancers of the agent's own failure domain, and those that are
// sent reports: all if none of that domain probes.
func (bs *Balancers) countReceivers(now clock.Millis) {
	bs.local = 0
	for _, b := range bs.known {
		if b.domain == bs.domain {
			bs.local++
		}
	}
	bs.receivers = bs.local
	if bs.NoLocalBalancer(now) {
		bs.receivers = len(bs.known)
	}
}

// reportInterval returns the interval of unsolicited reports to a balancer, and whether
// it is sent any. loaded reports whether the target's slots are in use.
//
// Balancers of the agent's own failure domain probe the target and pass its state on to
// those of other domains. Unsolicited reports cover a local balancer that does not know
// the target yet: one that was never heard from may be starting while callers wait. If no
// local balancer probes, all known balancers are sent reports.
func (bs *Balancers) reportInterval(now clock.Millis, b *balancer, loaded bool) (clock.Millis, bool) {
	starting := now.Sub(bs.startedAt) < startupPeriod
	probedLocally := bs.lastLocalProbe != 0 && !bs.NoLocalBalancer(now)
	local := b.domain == bs.domain
	switch {
	case !local && probedLocally:
		return 0, false
	case local && !b.everHeard && starting:
		return startupReportInterval, true
	case !b.everHeard && starting:
		return min(max(2*b.lastInterval, startupReportInterval), stream.ReportInterval), true
	case loaded:
		return bs.loadedInterval(), true
	default:
		return stream.ReportInterval, true
	}
}

// DueForReport returns the balancers to send a report now, and marks them as reported to.
func (bs *Balancers) DueForReport(now clock.Millis, loaded bool) []netip.AddrPort {
	bs.removeSilent(now)
	bs.countReceivers(now)
	var due []netip.AddrPort
	for at, b := range bs.known {
		interval, ok := bs.reportInterval(now, b, loaded)
		if !ok || now.Sub(b.reportedAt) < interval {
			continue
		}
		b.lastInterval = interval
		due = append(due, at)
	}
	if at, ok := bs.nextInTurn(now); ok && !slices.Contains(due, at) {
		due = append(due, at)
	}
	return bs.markReported(now, due)
}

// nextInTurn returns the balancer of the agent's own failure domain that is due next in
// turn: among those that have missed a probe, the one with the oldest report.
//
// All balancers of a failure domain may have restarted. Each must learn of every target,
// from an agent or from another balancer, before it may declare a flow unowned. Reports
// in turn reach one of them within a fraction of a second; the periodic reports reach
// each within one second.
func (bs *Balancers) nextInTurn(now clock.Millis) (netip.AddrPort, bool) {
	var oldest netip.AddrPort
	for at, b := range bs.known {
		if b.domain != bs.domain || !b.missedProbe(now) {
			continue
		}
		if !oldest.IsValid() || reportedBefore(at, b, oldest, bs.known[oldest]) {
			oldest = at
		}
	}
	turns := clock.Millis(max(bs.local, minTurnsPerSecond))
	if !oldest.IsValid() || now.Sub(bs.lastTurn) < stream.ReportInterval/turns {
		return netip.AddrPort{}, false
	}
	bs.lastTurn = now
	return oldest, true
}

// reportedBefore reports whether a balancer's last report is older than another one's.
func reportedBefore(a netip.AddrPort, b *balancer, other netip.AddrPort, o *balancer) bool {
	return b.reportedAt < o.reportedAt || b.reportedAt == o.reportedAt && a.Compare(other) < 0
}

// All returns all balancers, and marks them as reported to.
func (bs *Balancers) All(now clock.Millis) []netip.AddrPort {
	bs.removeSilent(now)
	var all []netip.AddrPort
	for at := range bs.known {
		all = append(all, at)
	}
	return bs.markReported(now, all)
}

func (bs *Balancers) markReported(now clock.Millis, to []netip.AddrPort) []netip.AddrPort {
	for _, at := range to {
		bs.known[at].reportedAt = now
	}
	slices.SortFunc(to, netip.AddrPort.Compare)
	return to
}

// removeSilent removes the balancers that were not heard from for balancerRetention, but
// keeps at least one.
func (bs *Balancers) removeSilent(now clock.Millis) {
	for at, b := range bs.known {
		if now.Sub(b.lastHeard) > balancerRetention && len(bs.known) > 1 {
			delete(bs.known, at)
		}
	}
}
