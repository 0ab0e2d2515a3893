package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Page returns the page CAPACITY.md, computed from measured inputs.
func Page(in *Inputs) string {
	var b strings.Builder
	b.WriteString(introText)
	writeSlopes(&b, in)
	writeCosts(&b, "## Costs of control at the size of two years", Costs(in, PlannedSize))
	writeTerms(&b, Costs(in, PlannedSize))
	writeCosts(&b, "## The same at twice that size", Costs(in, DoubleSize))
	b.WriteString(scalingText)
	writeFlows(&b, in)
	writeClients(&b, in)
	writeFleet(&b, in)
	writeCheckpoints(&b)
	writeTables(&b, in)
	b.WriteString(mechanismsText)
	writeMemory(&b, in)
	writeSweeps(&b, in)
	writeDays(&b, in)
	return b.String()
}

func writeSlopes(b *strings.Builder, in *Inputs) {
	b.WriteString("## Measured slopes\n\n| name | slope | fit | sizes |\n| --- | --- | --- | --- |\n")
	var names []string
	for name := range in.Slopes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := in.Slopes[name]
		var sizes []string
		for _, p := range s.Points {
			sizes = append(sizes, fmt.Sprintf("%.0f", p.Size))
		}
		fmt.Fprintf(b, "| %s | %.1f %s | %.4f | %s |\n", name, s.Slope, s.Unit, s.R2, strings.Join(sizes, ", "))
	}
	fmt.Fprintf(b, "\nAn idle daemon's resident memory is %.1f MB; a heartbeat is %.0f bytes on the wire and a load digest %.0f, with the headers of IP and UDP.\n\n", in.IdleMemory/1e6, heartbeatBytes, loadDigestBytes)
}

func writeCosts(b *strings.Builder, title string, rows []Row) {
	fmt.Fprintf(b, "%s\n\n| role | cost | needed | budget | used |\n| --- | --- | --- | --- | --- |\n", title)
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %.0f %% |\n", r.Role, r.Cost, formatValue(r.Total, r.Unit), formatValue(r.Budget, r.Unit), 100*r.Total/r.Budget)
	}
	b.WriteString("\n")
}

func writeTerms(b *strings.Builder, rows []Row) {
	b.WriteString("What they are made of:\n\n")
	for _, r := range rows {
		var terms []string
		for _, p := range r.Terms {
			terms = append(terms, fmt.Sprintf("%s %s", p.Name, formatValue(p.Value, r.Unit)))
		}
		fmt.Fprintf(b, "- %s, %s: %s.\n", r.Role, r.Cost, strings.Join(terms, "; "))
	}
	b.WriteString("\n")
}

func formatValue(v float64, unit string) string {
	switch unit {
	case "share of a core":
		return fmt.Sprintf("%.3f %%", 100*v)
	case "bytes":
		return fmt.Sprintf("%.2f MB", v/1e6)
	case "bytes a second":
		return fmt.Sprintf("%.0f B/s", v)
	default:
		return fmt.Sprintf("%.2f/s", v)
	}
}

// writeFlows writes the section about packets and flows, apart from control.
func writeFlows(b *strings.Builder, in *Inputs) {
	s := PlannedSize
	each := s.Flows / s.Targets
	perService := s.Targets / s.Services
	fmt.Fprintf(b, "## Packets and flows\n\n")
	fmt.Fprintf(b, "- **Agent**: %.0f flows, %.2f MB of heap with their sockets (%.0f bytes each) and as many descriptors; a ledger of %.0f KB, below the platform's megabyte up to %.0f flows; %.1f openings a second.\n",
		each, each*in.cost(Flow, 1)/1e6, in.cost(Flow, 1), each*in.cost(Ledger, 1)/1e3, 1e6/in.cost(Ledger, 1), s.NewFlowsPerSecond/s.Targets)
	fmt.Fprintf(b, "- **Balancer**: %.0f openings a second; at most %d hints, %.1f MB. A fabric that sprays every flow over all balancers leaves a hint for %.1f %% of the flows, so most datagrams walk: to the flow's home, and %.0f %% of them one hop further, for a home places a flow on any of a service's %.2f targets and remembers where. Owners are not asked at a flow's first datagram, so this costs no datagrams besides.\n",
		s.NewFlowsPerSecond/s.Balancers, maxHints, maxHints*in.cost(Hint, 1)/1e6, 100*maxHints/s.Flows, 100*(perService-1)/perService, perService)
	fmt.Fprintf(b, "- **Balancer, sockets towards callers**: %.0f services, %.1f MB of heap and stacks (%.0f bytes each).\n\n", s.Services, in.cost(Edge, s.Services)/1e6, in.cost(Edge, 1))
}

func writeFleet(b *strings.Builder, in *Inputs) {
	f := in.Fleet
	predicted := Costs(in, Size{
		Balancers: float64(f.Balancers), Targets: float64(f.Targets), Services: float64(f.Services), Domains: domains,
	})
	delays := slices.Sorted(slices.Values(f.DelayMillis))
	fmt.Fprintf(b, "## The extrapolation, checked\n\n%d balancers with all their connections in one process on one machine, %d targets' records, %d services, heartbeats for all targets. All were started at once; %.0f s after the last one was up the traffic of that was over, and nothing changed for %.0f s:\n\n", f.Balancers, f.Targets, f.Services, f.SettleSeconds, f.WindowSeconds)
	fmt.Fprintf(b, "| a balancer's part | measured | worked out |\n| --- | --- | --- |\n")
	fmt.Fprintf(b, "| processor time | %s | %s |\n", formatValue(f.CPUShare, "share of a core"), formatValue(predicted[0].Total, "share of a core"))
	fmt.Fprintf(b, "| live memory | %s | %s without the idle daemon |\n", formatValue(f.LiveMemory, "bytes"), formatValue(predicted[1].Total-in.IdleMemory, "bytes"))
	fmt.Fprintf(b, "| resident memory | %s | |\n", formatValue(f.ResidentMemory, "bytes"))
	fmt.Fprintf(b, "| traffic | %s | %s |\n\n", formatValue(f.BytesPerSecond, "bytes a second"), formatValue(predicted[2].Total, "bytes a second"))
	fmt.Fprintf(b, "%d approvals were in force at all of them after %.0f ms at the least, %.0f ms in the middle and %.0f ms at the most (budget 4 s). The platform had %d waiting watches and %d reads in all.\n\n",
		len(delays), delays[0], delays[len(delays)/2], delays[len(delays)-1], f.WaitingWatches, f.Reads)
	fmt.Fprintf(b, "%d suspicions were spread in that time.\n\n", f.Suspicions)
	b.WriteString(fleetText)
	writeDaemons(b, in)
}

// writeDaemons writes the results of the run of real daemons, if there is one.
func writeDaemons(b *strings.Builder, in *Inputs) {
	d := in.Daemons
	if d.Balancers == 0 {
		return
	}
	size := Size{Balancers: float64(d.Balancers), Targets: float64(d.Agents), Services: float64(d.Services), Domains: domains}
	work := Costs(in, size)
	// Each datagram counts in the budgets of two daemons, but only once on loopback.
	traffic := (work[2].Total*size.Balancers + work[5].Total*size.Targets) / (size.Balancers + size.Targets) / 2
	fmt.Fprintf(b, "%d balancers and %d agents in processes of their own, %d services, no callers, over %.0f s (bench/daemons):\n\n", d.Balancers, d.Agents, d.Services, d.WindowSeconds)
	fmt.Fprintf(b, "| a daemon | measured | worked out |\n| --- | --- | --- |\n")
	fmt.Fprintf(b, "| balancer, resident memory | %s | %s |\n", formatValue(d.BalancerResident, "bytes"), formatValue(work[1].Total, "bytes"))
	fmt.Fprintf(b, "| agent, resident memory | %s | %s |\n", formatValue(d.AgentResident, "bytes"), formatValue(work[4].Total, "bytes"))
	fmt.Fprintf(b, "| balancer, processor time | %s | %s |\n", formatValue(d.BalancerCPUShare, "share of a core"), formatValue(work[0].Total, "share of a core"))
	fmt.Fprintf(b, "| agent, processor time | %s | %s |\n", formatValue(d.AgentCPUShare, "share of a core"), formatValue(work[3].Total, "share of a core"))
	fmt.Fprintf(b, "| traffic on loopback for each daemon | %s | %s |\n\n", formatValue(d.BytesPerSecond, "bytes a second"), formatValue(traffic, "bytes a second"))
	b.WriteString("Processor time beyond the worked-out part is timers, metrics and the runtime of a\ndaemon that has little to do.\n\n")
}

// writeMemory compares measured memory with its budget.
func writeMemory(b *strings.Builder, in *Inputs) {
	sum := in.IdleMemory + in.Fleet.LiveMemory
	fmt.Fprintf(b, "- Memory of a balancer, with what was measured in the fleet instead of what was worked out: %s idle and %s live are %s, %.0f %% of the budget, and the collector lets the live part grow by 30 %% before it collects, so that the sum may pass the budget by about 2 MB at the size of two years. Most of the idle part is pages of the program file (17.2 of 22.4 MB in one look at a daemon). A smaller program would carry it; that is not done.\n",
		formatValue(in.IdleMemory, "bytes"), formatValue(in.Fleet.LiveMemory, "bytes"), formatValue(sum, "bytes"), 100*sum/BudgetMemory)
}

const introText = `# Capacity

What each role costs at the size that the users plan for in two years: 490
balancers before 3,300 targets with their agents, behind 1,200 addresses, in 2
regions with 7 failure domains; 7.8 million open flows and 27,000 new ones a
second; 1,100 changes of configuration a day, in force everywhere within 4 s; 14
VMs that fail and 270 that are restarted or replaced on an ordinary day. For
control a daemon may spend 1.9 % of a core, 32 MB and 3 KB a second.

This page is made by

    go run ./cmd/experiment capacity --write docs

which measures slopes on one machine, each at four sizes, fits a line, and
multiplies. What was measured is in capacity.json; CI makes the page from it
anew and fails where the two disagree. Times depend on the machine: these are
from one with 8 cores.

`

const scalingText = `What gives way first when the size doubles is the part with the highest
"used" above. Heartbeats stay flat, for targets and balancers grow together; the
records of members grow in every balancer, and the search for targets without
contacts grows with the product of targets and balancers. It would be worked out
for a part of the targets each time.

`

const fleetText = `Live memory counts both ends of each connection; resident memory counts what the
collector has kept since all balancers started at once. Measured traffic counts the
acknowledgements of TCP as they fall and both ends of the targets' heartbeats;
the processor time has the collector's share and the heartbeats' senders. The
balancers have no sockets towards callers in this run.

`

const mechanismsText = `## Which mechanism carries what

| cost | mechanism | where |
| --- | --- | --- |
| heartbeats | one datagram to the first contact, every seventh to all three; details only when an answer differs | internal/process/agent/beat.go |
| load | digests between the agents of one service only; balancers need none | internal/process/agent/load.go |
| changes of configuration | two relays a domain watch; deltas to seven neighbours, each passes news on once; comparisons repair | internal/process/balancer/relay.go, news.go |
| changes of members | the same pushes; a change replaces one service's part of the snapshot | internal/process/balancer/view.go |
| state of members | 64 buckets with digests; only differing ones are exchanged | internal/process/member/table.go |
| flows | owned by one agent; balancers keep bounded hints | internal/connection/owner, internal/request/target |
| hand-over | one ledger, one conditional write | internal/process/agent/handover.go |
| platform | 14 waiting watches; agents call it at start and stop only | internal/process/agent/handover.go |

## Bad hours

- **A failure domain restarts within a minute.** Its agents make three reads and
  two writes each, its balancers one of each: the last terms of the platform's
  rows. Agents that lost all contacts try four balancers at a time, with backoff
  and jitter between tries. Each balancer hears of some 500 records four times;
  at the measured cost of a changed record that is under a tenth of a second of
  processor time in all.
- **The platform is down while 270 VMs are replaced.** Configuration in force
  stays in force; new balancers get it from peers. Agents count their
  incarnation from what balancers know, and ledgers go to a peer of the service.
  Approvals wait and say so. The trial does this in every run (one outage, one
  agent replaced in it).
- **The regions lose each other for an hour.** Each side suspects the other's
  processes and keeps their records for the retention; a balancer tries a
  suspected one every 9 s, so the sides find each other. Not yet measured: the
  exchange of hashes when they meet again, and a retention shorter than the
  cut, after which records come back through the exchange and are probed.
- **An approval during all of it** is refused while the platform is down, and
  otherwise spreads on the side where the platform is; the other side gets it
  from the first comparison after the cut.

## Not within budget, not measured

- The 4 s for an approval are measured in one process; the delay of real links
  comes on top: some five hops of pushes, each one way between domains.
- Real daemons were run in the number above, not in hundreds of balancers.
`
