package stream

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// maxTargets bounds the known targets: twice the number planned for in two years. The
	// bound is needed since anyone can send a report.
	maxTargets = 8192
	// tombstoneTTL is how long a target that left is not added again on another balancer's
	// word.
	tombstoneTTL = 60 * clock.Second
)

// serviceGroup holds the targets of one service, sorted by address.
type serviceGroup struct {
	targets []*Target
	// lastUsed is when this balancer last had an opening or a search for the service.
	lastUsed clock.Millis
	load     serviceLoad
}

// departure is the last report of a target that left.
type departure struct {
	at     clock.Millis
	report *wire.Report
}

// Targets holds all targets known to a balancer, by the address of their agent.
type Targets struct {
	domain          string
	known           map[netip.AddrPort]*Target
	groups          map[string]*serviceGroup
	departed        map[netip.AddrPort]departure
	lastProbeNumber uint64
	lastTick        clock.Millis
	// evacuated are the failure domains that get no openings; regions maps each failure
	// domain to its region.
	evacuated evacuation.Snapshot
	regions   map[string]string
	// balancers is the number of balancers that place flows at the local targets.
	balancers float64
	// summaries tracks the last full summary of each remote failure domain.
	summaries map[string]*summaryState
	// sorted holds the targets by address; nil after a change.
	sorted []*Target
	random *rand.Rand
	// near and far are buffers for the candidates of a choice.
	near, far []candidate
}

// NewTargets returns an empty set for a balancer in the given failure domain. regions maps
// each failure domain to its region. Balancers have different seeds, so that they choose
// differently among equal targets.
func NewTargets(domain string, regions map[string]string, seed uint64) *Targets {
	return &Targets{
		domain: domain, regions: regions, balancers: 1, random: rand.New(rand.NewPCG(seed, 0)), known: map[netip.AddrPort]*Target{}, groups: map[string]*serviceGroup{},
		departed: map[netip.AddrPort]departure{}, summaries: map[string]*summaryState{},
	}
}

// SetBalancers sets the number of balancers, including this one, that place flows at the
// targets of its failure domain. What the others place is unknown until the targets report.
func (ts *Targets) SetBalancers(balancers int) {
	ts.balancers = float64(max(balancers, 1))
}

// Len returns the number of known targets.
func (ts *Targets) Len() int {
	return len(ts.known)
}

// Find returns the target of the agent at the given address.
func (ts *Targets) Find(a netip.AddrPort) (*Target, bool) {
	t, ok := ts.known[a]
	return t, ok
}

// RecentlyLeft reports whether a target left within tombstoneTTL.
func (ts *Targets) RecentlyLeft(now clock.Millis, a netip.AddrPort) bool {
	d, ok := ts.departed[a]
	return ok && now.Sub(d.at) < tombstoneTTL
}

// Sorted returns the targets sorted by address. The result must not be modified and is
// valid until a target is added or removed.
func (ts *Targets) Sorted() []*Target {
	if ts.sorted == nil {
		ts.sorted = slices.SortedFunc(maps.Values(ts.known), byAddress)
	}
	return ts.sorted
}

func byAddress(a, b *Target) int {
	return a.Address.Compare(b.Address)
}

// Each calls f for each target, in no particular order.
func (ts *Targets) Each(f func(*Target)) {
	for _, t := range ts.known {
		f(t)
	}
}

// useService returns the targets of a service and marks the service as used by this
// balancer.
func (ts *Targets) useService(now clock.Millis, service string) []*Target {
	if g := ts.useGroup(now, service); g != nil {
		return g.targets
	}
	return nil
}

// useGroup returns the group of a service, or nil, and marks the service as used.
func (ts *Targets) useGroup(now clock.Millis, service string) *serviceGroup {
	g := ts.groups[service]
	if g != nil {
		g.lastUsed = now
	}
	return g
}

func (ts *Targets) insert(t *Target) {
	ts.sorted = nil
	ts.known[t.Address] = t
	g := ts.groups[t.Service]
	if g == nil {
		g = &serviceGroup{}
		ts.groups[t.Service] = g
	}
	if i, found := slices.BinarySearchFunc(g.targets, t, byAddress); !found {
		g.targets = slices.Insert(g.targets, i, t)
	}
}

func (ts *Targets) remove(t *Target) {
	ts.sorted = nil
	delete(ts.known, t.Address)
	g := ts.groups[t.Service]
	if g == nil {
		return
	}
	if i, found := slices.BinarySearchFunc(g.targets, t, byAddress); found {
		g.targets = slices.Delete(g.targets, i, i+1)
	}
	if len(g.targets) == 0 {
		delete(ts.groups, t.Service)
	}
}

// Learn adds a target named by another balancer and reports whether it was unknown. It is
// probed before use. A target that left recently is not added, since the other balancer may
// not know that it left; it is reported as unknown, since another target may have taken its
// address.
func (ts *Targets) Learn(now clock.Millis, a netip.AddrPort, name, domain, service string) bool {
	if _, ok := ts.known[a]; ok || len(ts.known) >= maxTargets {
		return false
	}
	if ts.RecentlyLeft(now, a) {
		return true
	}
	ts.insert(&Target{Address: a, Name: name, Domain: domain, Service: service, learnedAt: now})
	return true
}

// TargetChange describes what a report changed.
type TargetChange struct {
	// New, Restarted and Left are set if the target is new, has restarted or has left.
	New, Restarted, Left bool
	// Condition is set if the target's condition changed.
	Condition bool
}

// ApplyReport applies an agent's report on its target. It ignores a report that arrives
// after a later one.
func (ts *Targets) ApplyReport(now clock.Millis, from netip.AddrPort, r *wire.Report) TargetChange {
	t, ok := ts.known[from]
	if ok && t.HeardAt != 0 && isStale(t, r) {
		return TargetChange{}
	}
	if !ok && len(ts.known) >= maxTargets {
		return TargetChange{}
	}
	if !ok {
		t = &Target{Address: from}
		delete(ts.departed, from)
	}
	c := TargetChange{
		New:       t.HeardAt == 0,
		Restarted: t.HeardAt != 0 && t.Born != r.Born && r.Born != 0 && t.Born != 0,
		Condition: t.Condition != r.Condition,
	}
	moved := ok && (t.Service != r.Service || r.Condition == wire.Condition_CONDITION_GONE)
	if moved {
		ts.remove(t)
	}
	t.applyReport(now, r)
	if r.Condition == wire.Condition_CONDITION_GONE {
		c.Left = ok
		if len(ts.departed) < maxTargets {
			ts.departed[from] = departure{at: now, report: r}
		}
		return c
	}
	if moved || !ok {
		ts.insert(t)
	}
	return c
}

// isStale reports whether a later report of the same process or of a later process has
// arrived. An earlier process of the same agent has a smaller epoch. Since VM clocks can
// step, this counts only while the later process answers probes.
func isStale(t *Target, r *wire.Report) bool {
	if r.Epoch == t.Epoch {
		return r.Sequence <= t.Sequence
	}
	return r.Probe == 0 && r.Epoch < t.Epoch && t.unansweredSince == 0
}
