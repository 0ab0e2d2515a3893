package capacity

import (
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Size is the size and load of a deployment.
type Size struct {
	Balancers, Targets, Services, Domains float64
	Flows, NewFlowsPerSecond              float64
	// FailuresPerDay and RestartsPerDay count VMs.
	ChangesPerDay, FailuresPerDay, RestartsPerDay float64
}

// PlannedSize is the size that the users plan for in two years.
var PlannedSize = Size{
	Balancers: 490, Targets: 3300, Services: 1200, Domains: 7, Flows: 7.8e6, NewFlowsPerSecond: 27000,
	ChangesPerDay: 1100, FailuresPerDay: 14, RestartsPerDay: 270,
}

// DoubleSize is twice PlannedSize, to show which budget is exceeded first.
var DoubleSize = Size{
	Balancers: 980, Targets: 6600, Services: 2400, Domains: 7, Flows: 15.6e6, NewFlowsPerSecond: 54000,
	ChangesPerDay: 2200, FailuresPerDay: 28, RestartsPerDay: 540,
}

// Budgets for control, for one daemon, as the users set them.
const (
	BudgetCPUShare       = 0.019
	BudgetMemory         = 32e6
	BudgetBytesPerSecond = 3000
	// BudgetReadsPerSecond and BudgetWritesPerSecond are those of the platform;
	// the users' "several hundred" writes are taken as 300.
	BudgetReadsPerSecond  = 2000
	BudgetWritesPerSecond = 300
)

// Rates and counts of the mechanisms. Each repeats a constant of the code that
// implements the mechanism; the page names that code. Intervals are in seconds.
const (
	heartbeatsPerSecond     = 1 / 0.9
	datagramsPerHeartbeat   = (6*1 + 1*3) / 7.0
	digestsPerSecond        = 1 / 0.5
	syncsPerSecond          = 1 / 3.6
	neighbours              = 7
	contactSearchInterval   = 18
	updatesPerRestart       = 4
	updatesPerFailure       = 3
	relaysPerDomain         = 2
	relayPingsPerSecond     = 1
	relayWatchesPerSecond   = 0.5
	maxHints                = 262144
	secondsPerDay           = 86400
	pushBodyBytes           = 700
	tcpHeaders              = 4 * 52
	platformCallsPerRestart = 4
	domainRestartSeconds    = 60
)

// Row is one cost of a role and its budget.
type Row struct {
	Role   string
	Cost   string
	Terms  []Term
	Total  float64
	Budget float64
	Unit   string
}

// Term is one summand of a cost.
type Term struct {
	Name  string
	Value float64
}

func newRow(role, cost, unit string, budget float64, terms ...Term) Row {
	r := Row{Role: role, Cost: cost, Unit: unit, Budget: budget, Terms: terms}
	for _, p := range terms {
		r.Total += p.Value
	}
	return r
}

// heartbeatBytes and loadDigestBytes are the sizes of datagrams on the wire.
var (
	heartbeatBytes = WireSize(&wire.Envelope{
		Kind: wire.Kind_KIND_BEAT, Service: 1200, Target: 1, Incarnation: 270,
		Beat: &wire.Beat{Number: 1 << 24, Incarnation: 270, Sequence: 9, View: 1, Version: 800000, Flows: 2364, Busy: 3, Slots: 4},
	})
	loadDigestBytes = WireSize(&wire.Envelope{
		Kind: wire.Kind_KIND_DIGEST, Service: 1200, Target: 1, Incarnation: 270,
		Digest: &wire.Digest{Sequence: 1 << 24, Flows: 2364, Busy: 3, Slots: 4, Warmth: 1000, Accepting: true, Sender: 1, Incarnation: 270},
	})
)

// memberChangesPerSecond is the rate of changed member records, all of which reach
// every balancer.
func (s Size) memberChangesPerSecond() float64 {
	return (s.RestartsPerDay*updatesPerRestart + s.FailuresPerDay*updatesPerFailure) / secondsPerDay
}

// heartbeatsPerBalancer is the number of heartbeats a second that one balancer receives.
func (s Size) heartbeatsPerBalancer() float64 {
	return s.Targets * heartbeatsPerSecond * datagramsPerHeartbeat / s.Balancers
}

// digestPeers is the number of agents that an agent exchanges load digests with.
func (s Size) digestPeers() float64 {
	return s.Targets/s.Services - 1
}

// Costs returns the costs at a size.
func Costs(in *Inputs, s Size) []Row {
	return []Row{
		balancerCPUShare(in, s), balancerMemory(in, s), balancerTraffic(in, s),
		agentCPUShare(in, s), agentMemory(in), agentTraffic(s),
		platformReads(in, s), platformWrites(in, s),
	}
}

func balancerCPUShare(in *Inputs, s Size) Row {
	call := in.cost(Call, 1)
	return newRow("balancer", "processor time for control", "share of a core", BudgetCPUShare,
		Term{"heartbeats", s.heartbeatsPerBalancer() * (in.cost(Heartbeat, 1)/2 + in.cost(Datagram, 1)) / 1e9},
		Term{"comparisons with neighbours", 2 * syncsPerSecond * call / 2 / 1e9},
		Term{"changes of configuration", s.ChangesPerDay / secondsPerDay * (in.cost(ConfigChange, s.Services) + 2*neighbours*call/2) / 1e9},
		Term{"changes of members", s.memberChangesPerSecond() * (in.cost(MemberChange, 1) + 2*neighbours*call/2) / 1e9},
		Term{"looking for targets without contacts", in.cost(ContactSearch, s.Targets) * s.Balancers / 490 / contactSearchInterval / 1e9},
	)
}

func balancerMemory(in *Inputs, s Size) Row {
	return newRow("balancer", "memory for control", "bytes", BudgetMemory,
		Term{"idle daemon", in.IdleMemory},
		Term{"members and snapshot", in.cost(Record, s.Targets+s.Balancers)},
		Term{"configuration", in.cost(Service, s.Services)},
		Term{"connections to neighbours", in.cost(Connection, 2*neighbours) / 2},
	)
}

func balancerTraffic(in *Inputs, s Size) Row {
	call := in.cost(CallBytes, 1) + tcpHeaders
	push := pushBodyBytes + call
	return newRow("balancer", "traffic for control, in and out", "bytes a second", BudgetBytesPerSecond,
		Term{"heartbeats and answers", s.heartbeatsPerBalancer() * 2 * heartbeatBytes},
		Term{"comparisons with neighbours", 2 * syncsPerSecond * call},
		Term{"changes of configuration", s.ChangesPerDay / secondsPerDay * 2 * neighbours * push},
		Term{"changes of members", s.memberChangesPerSecond() * 2 * neighbours * push},
	)
}

func agentCPUShare(in *Inputs, s Size) Row {
	return newRow("agent", "processor time for control", "share of a core", BudgetCPUShare,
		Term{"heartbeats", heartbeatsPerSecond * datagramsPerHeartbeat * (in.cost(Heartbeat, 1)/2 + in.cost(Datagram, 1)) / 1e9},
		Term{"digests", s.digestPeers() * digestsPerSecond * (in.cost(LoadDigest, 1) + in.cost(Datagram, 1)) / 1e9},
		Term{"full announcements", (s.ChangesPerDay/s.Services + s.RestartsPerDay/s.Services*updatesPerRestart) / secondsPerDay * 3 * in.cost(Call, 1) / 1e9},
	)
}

func agentMemory(in *Inputs) Row {
	return newRow("agent", "memory for control", "bytes", BudgetMemory,
		Term{"idle daemon", in.IdleMemory},
		Term{"connections to contacts", in.cost(Connection, 3) / 2},
	)
}

func agentTraffic(s Size) Row {
	return newRow("agent", "traffic for control, in and out", "bytes a second", BudgetBytesPerSecond,
		Term{"heartbeats and answers", heartbeatsPerSecond * datagramsPerHeartbeat * 2 * heartbeatBytes},
		Term{"digests", s.digestPeers() * digestsPerSecond * 2 * loadDigestBytes},
	)
}

func platformReads(in *Inputs, s Size) Row {
	relays := s.Domains * relaysPerDomain
	return newRow("platform", "reads and waiting watches", "calls a second", BudgetReadsPerSecond,
		Term{"waiting watches", relays},
		Term{"pings beside them", relays * relayPingsPerSecond},
		Term{"watches that continue them", relays * relayWatchesPerSecond},
		Term{"relays after a change", s.ChangesPerDay / secondsPerDay * relays * in.cost(RelayReads, 1)},
		Term{"approvals", s.ChangesPerDay / secondsPerDay * in.cost(ApprovalReads, 1)},
		Term{"agents and balancers that start", s.RestartsPerDay / secondsPerDay * platformCallsPerRestart},
		Term{"restart of a whole domain within a minute", (s.Targets*3 + s.Balancers) / s.Domains / domainRestartSeconds},
	)
}

func platformWrites(in *Inputs, s Size) Row {
	return newRow("platform", "writes", "calls a second", BudgetWritesPerSecond,
		Term{"approvals", s.ChangesPerDay / secondsPerDay * in.cost(ApprovalWrites, 1)},
		Term{"agents and balancers that stop and start", s.RestartsPerDay / secondsPerDay * 3},
		Term{"restart of a whole domain within a minute", (s.Targets*2 + s.Balancers) / s.Domains / domainRestartSeconds},
	)
}
