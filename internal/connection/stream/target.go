package stream

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// nearProbe and farProbe are how often targets in the balancer's own
	// failure domain and in others are probed. Load changes within a mean
	// request, some 30 ms, but a digest that is 200 ms old is corrected by
	// what was placed since; traffic between domains is paid for.
	nearProbe = 200 * clock.Millis(1)
	farProbe  = clock.Second
	// restProbe is how often targets of a service are probed that had no
	// openings or searches here for restAfter: a balancer among hundreds sees
	// few of the services.
	restProbe = 5 * clock.Second
	restAfter = 20 * clock.Second
	// againProbe is the pause before a probe without answer is repeated, some
	// round trips between failure domains.
	againProbe = 100 * clock.Millis(1)
	// lostProbe is the pause between probes of a suspected target.
	lostProbe = 500 * clock.Millis(1)
	// suspectAfter is how long the first unanswered probe may be old. Four
	// probes are lost by then: at 3 % loss one suspicion in a million is false.
	suspectAfter = 350 * clock.Millis(1)
	// deadAfter is the silence after which a target counts as lost: its callers
	// have waited for longer than they have patience for, a second or so. A
	// planned restart of an agent is announced and does not count.
	deadAfter = 2500 * clock.Millis(1)
	// restartFor is how long a planned restart of an agent may take; one takes
	// less than a second.
	restartFor = 6 * clock.Second
	// tickLate is a pause between two ticks that is longer than planned: this
	// process stood still, or is short of processor time.
	tickLate = 100 * clock.Millis(1)
	// forgetAfter is the silence after which a target is no longer known: a
	// flow lives no longer than a minute.
	forgetAfter = 70 * clock.Second
	// mostTargets bounds the targets that are known: twice as many as are planned
	// for in two years. Anybody may report one.
	mostTargets = 8192
	// tombFor is how long a target that left is not taken back on hearsay.
	tombFor = 60 * clock.Second
)

// Target is one target as a balancer knows it.
type Target struct {
	// Address is where its agent takes parcels.
	Address netip.AddrPort
	Name    string
	Domain  string
	Service string
	// Epoch is the start of the agent's process, Born that of the target.
	Epoch uint64
	Born  uint64
	// Sequence counts the agent's reports.
	Sequence  uint64
	Condition wire.Condition
	Slots     int
	Flows     int
	// Busy is the mean number of requests under way in the last second.
	Busy float64
	// ColdUntil is when the target is as fast as it will be.
	ColdUntil clock.Millis
	// Restarting tells that the agent announced its stop.
	Restarting bool
	// Heard is when the last report arrived, at this balancer or at the one that told
	// of it; zero if none did.
	Heard clock.Millis

	// learned is when the target was named by another balancer.
	learned clock.Millis
	// told is when a summary of its failure domain last said that it answers, and
	// doubted when one said that it does not, since the last report.
	told    clock.Millis
	doubted clock.Millis
	// former is the agent's process before the present one. owed tells that the
	// present one is to be asked about it.
	former process
	owed   bool
	// probed is when the last probe was sent, waiting when the first one was
	// that has no answer yet, and probe its number.
	probed  clock.Millis
	waiting clock.Millis
	probe   uint64
	// placed counts the openings that were sent since the last report, and earlier those
	// of before that a report in a summary may not know of.
	placed  int
	earlier int
	// loaded tells that its slots were in use when balancers elsewhere were told last.
	loaded bool
	// noted tells that the target's suspicion was logged.
	noted bool
}

// process is one process of an agent, with the target that it served.
type process struct {
	epoch uint64
	born  uint64
}

// Suspected reports that the target's agent leaves probes unanswered, of this balancer
// or of one in the target's failure domain, or was never heard.
func (t *Target) Suspected(now clock.Millis) bool {
	return t.Heard == 0 || t.doubted != 0 || t.waiting != 0 && now.Sub(t.waiting) > suspectAfter
}

// Lost reports that the target was silent for so long that its flows can no
// longer be served. An agent that said that it restarts has more time.
func (t *Target) Lost(now clock.Millis) bool {
	patience := deadAfter
	if t.Restarting {
		patience = restartFor
	}
	return t.waiting != 0 && now.Sub(t.waiting) > patience
}

// Opens reports whether the target may be chosen for new flows.
func (t *Target) Opens(now clock.Millis) bool {
	return t.Condition == wire.Condition_CONDITION_READY && t.answers(now)
}

// failing reports that the target would take new flows, but fails requests.
func (t *Target) failing(now clock.Millis) bool {
	return t.Condition == wire.Condition_CONDITION_FAILING && t.answers(now)
}

func (t *Target) answers(now clock.Millis) bool {
	return !t.Restarting && !t.Suspected(now)
}

// group is the targets of one service.
type group struct {
	targets map[netip.AddrPort]*Target
	// wanted is when the service last had an opening or a search here.
	wanted clock.Millis
}

// departure is the last report of a target that left.
type departure struct {
	at     clock.Millis
	report *wire.Report
}

// Targets is all targets that a balancer knows, by their agents' addresses.
type Targets struct {
	domain string
	known  map[netip.AddrPort]*Target
	groups map[string]*group
	left   map[netip.AddrPort]departure
	number uint64
	ticked clock.Millis
	// summaries are the last ones of all targets of other failure domains.
	summaries map[string]*summary
	// sorted is the targets by address; nil after a change.
	sorted []*Target
}

// NewTargets returns an empty set for a balancer in a failure domain.
func NewTargets(domain string) *Targets {
	return &Targets{
		domain: domain, known: map[netip.AddrPort]*Target{}, groups: map[string]*group{},
		left: map[netip.AddrPort]departure{}, summaries: map[string]*summary{},
	}
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
func (ts *Targets) Left(now clock.Millis, a netip.AddrPort) bool {
	d, ok := ts.left[a]
	return ok && now.Sub(d.at) < tombFor
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
func (ts *Targets) want(now clock.Millis, service string) map[netip.AddrPort]*Target {
	g := ts.groups[service]
	if g == nil {
		return nil
	}
	g.wanted = now
	return g.targets
}

func (ts *Targets) put(t *Target) {
	ts.sorted = nil
	ts.known[t.Address] = t
	g := ts.groups[t.Service]
	if g == nil {
		g = &group{targets: map[netip.AddrPort]*Target{}}
		ts.groups[t.Service] = g
	}
	g.targets[t.Address] = t
}

func (ts *Targets) remove(t *Target) {
	ts.sorted = nil
	delete(ts.known, t.Address)
	g := ts.groups[t.Service]
	if g == nil {
		return
	}
	delete(g.targets, t.Address)
	if len(g.targets) == 0 {
		delete(ts.groups, t.Service)
	}
}

// Learn adds a target on hearsay. It is probed before it is used. A target that
// left a short while ago is not taken back: the teller may not know yet.
func (ts *Targets) Learn(now clock.Millis, a netip.AddrPort, name, domain, service string) bool {
	if _, ok := ts.known[a]; ok || len(ts.known) >= mostTargets {
		return false
	}
	if ts.Left(now, a) {
		return false
	}
	ts.put(&Target{Address: a, Name: name, Domain: domain, Service: service, learned: now})
	return true
}

// Change tells what a report changed.
type Change struct {
	// New, Reborn and Left tell that the target is new, has started anew, or
	// is gone.
	New, Reborn, Left bool
	// Condition tells that its condition is another one.
	Condition bool
}

// Report takes what an agent says of its target. A report that was overtaken by
// a later one changes nothing.
func (ts *Targets) Report(now clock.Millis, from netip.AddrPort, r *wire.Report) Change {
	t, ok := ts.known[from]
	if ok && t.Heard != 0 && overtaken(t, r) {
		return Change{}
	}
	if !ok && len(ts.known) >= mostTargets {
		return Change{}
	}
	if !ok {
		t = &Target{Address: from}
		delete(ts.left, from)
	}
	c := Change{
		New:       t.Heard == 0,
		Reborn:    t.Heard != 0 && t.Born != r.Born && r.Born != 0 && t.Born != 0,
		Condition: t.Condition != r.Condition,
	}
	moved := ok && (t.Service != r.Service || r.Condition == wire.Condition_CONDITION_GONE)
	if moved {
		ts.remove(t)
	}
	t.take(now, r)
	if r.Condition == wire.Condition_CONDITION_GONE {
		c.Left = ok
		if len(ts.left) < mostTargets {
			ts.left[from] = departure{at: now, report: r}
		}
		return c
	}
	if moved || !ok {
		ts.put(t)
	}
	return c
}

// overtaken reports that a later report of the same process, or one of a later
// process, was heard. An earlier process of the same agent has an older epoch;
// clocks of VMs step, so that counts only while the later one still answers.
func overtaken(t *Target, r *wire.Report) bool {
	if r.Epoch == t.Epoch {
		return r.Sequence <= t.Sequence
	}
	return r.Probe == 0 && r.Epoch < t.Epoch && t.waiting == 0
}

func (t *Target) take(now clock.Millis, r *wire.Report) {
	if t.Heard != 0 && t.Epoch != r.Epoch {
		t.former = process{epoch: t.Epoch, born: t.Born}
		t.owed = true
	}
	if r.Probe != 0 {
		t.owed = false
	}
	t.Name, t.Domain, t.Service = r.Name, r.Domain, r.Service
	t.Epoch, t.Sequence, t.Born = r.Epoch, r.Sequence, r.Born
	t.Condition = r.Condition
	t.Slots, t.Flows, t.Busy = int(r.Slots), int(r.Flows), float64(r.Busy)/busyScale
	t.ColdUntil = now + clock.Millis(r.Cold)
	t.Restarting = r.Restarting
	t.Heard = now
	t.placed, t.earlier = 0, 0
	t.waiting, t.doubted = 0, 0
}
