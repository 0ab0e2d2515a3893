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
	// mostTargets bounds the targets that are known: twice as many as are planned
	// for in two years. Anybody may report one.
	maxTargets = 8192
	// tombFor is how long a target that left is not taken back on hearsay.
	tombstoneTTL = 60 * clock.Second
)

// group is the targets of one service, in the order of their addresses.
type serviceGroup struct {
	targets []*Target
	// wanted is when the service last had an opening or a search here.
	lastUsed clock.Millis
}

// departure is the last report of a target that left.
type departure struct {
	at     clock.Millis
	report *wire.Report
}

// Targets is all targets that a balancer knows, by their agents' addresses.
type Targets struct {
	domain          string
	known           map[netip.AddrPort]*Target
	groups          map[string]*serviceGroup
	departed        map[netip.AddrPort]departure
	lastProbeNumber uint64
	lastTick        clock.Millis
	// evacuated are the failure domains in which nothing is opened, and regions those in
	// which failure domains lie.
	evacuated evacuation.Snapshot
	regions   map[string]string
	// sharers is how many balancers place flows as this one does.
	balancers float64
	// summaries are the last ones of all targets of other failure domains.
	summaries map[string]*summaryState
	// sorted is the targets by address; nil after a change.
	sorted []*Target
	random *rand.Rand
	// near and far are room for the candidates of a choice.
	near, far []candidate
}

// NewTargets returns an empty set for a balancer in a failure domain; regions tells in
// which region each one lies. Balancers have different seeds, so that they choose different
// ones of targets that are alike.
func NewTargets(domain string, regions map[string]string, seed uint64) *Targets {
	return &Targets{
		domain: domain, regions: regions, balancers: 1, random: rand.New(rand.NewPCG(seed, 0)), known: map[netip.AddrPort]*Target{}, groups: map[string]*serviceGroup{},
		departed: map[netip.AddrPort]departure{}, summaries: map[string]*summaryState{},
	}
}

// SetSharers tells how many balancers, this one among them, place flows at the targets of
// its failure domain. What they place is not known until the targets report.
func (ts *Targets) SetBalancers(balancers int) {
	ts.balancers = float64(max(balancers, 1))
}

// Len returns the number of known targets.
func (ts *Targets) Len() int {
	return len(ts.known)
}

// Find returns the target behind an agent's address.
func (ts *Targets) Find(a netip.AddrPort) (*Target, bool) {
	t, ok := ts.known[a]
	return t, ok
}

// Left reports that a target has left a short while ago.
func (ts *Targets) RecentlyLeft(now clock.Millis, a netip.AddrPort) bool {
	d, ok := ts.departed[a]
	return ok && now.Sub(d.at) < tombstoneTTL
}

// Sorted returns the targets in the order of their addresses. The result must not
// be changed, and holds until a target comes or goes.
func (ts *Targets) Sorted() []*Target {
	if ts.sorted == nil {
		ts.sorted = slices.SortedFunc(maps.Values(ts.known), byAddress)
	}
	return ts.sorted
}

func byAddress(a, b *Target) int {
	return a.Address.Compare(b.Address)
}

// Each calls f for every target, in no order.
func (ts *Targets) Each(f func(*Target)) {
	for _, t := range ts.known {
		f(t)
	}
}

// want returns the targets of a service and notes that they are in use here.
func (ts *Targets) useService(now clock.Millis, service string) []*Target {
	g := ts.groups[service]
	if g == nil {
		return nil
	}
	g.lastUsed = now
	return g.targets
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

// Learn adds a target on hearsay, and reports whether it was not known. It is probed before
// it is used. One that left a short while ago is not taken back, for the teller may not know
// yet; nor does it count as known, for another one may be there by now.
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

// Change tells what a report changed.
type TargetChange struct {
	// New, Reborn and Left tell that the target is new, has started anew, or
	// is gone.
	New, Restarted, Left bool
	// Condition tells that its condition is another one.
	Condition bool
}

// Report takes what an agent says of its target. A report that was overtaken by
// a later one changes nothing.
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

// overtaken reports that a later report of the same process, or one of a later
// process, was heard. An earlier process of the same agent has an older epoch;
// clocks of VMs step, so that counts only while the later one still answers.
func isStale(t *Target, r *wire.Report) bool {
	if r.Epoch == t.Epoch {
		return r.Sequence <= t.Sequence
	}
	return r.Probe == 0 && r.Epoch < t.Epoch && t.unansweredSince == 0
}
