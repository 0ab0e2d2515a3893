package measures

import (
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"
)

// Run runs all cases with all seeds on the given number of workers.
func Run(cases []Case, seeds []uint64, workers int, progress func(string, ...any)) []Row {
	rows := make([]Row, len(cases))
	var group errgroup.Group
	group.SetLimit(workers)
	for i, c := range cases {
		group.Go(func() error {
			rows[i] = runCase(c, seeds)
			progress("%s %s: %s", c.Deployment, c.Service, c.Scenario)
			return nil
		})
	}
	_ = group.Wait()
	return rows
}

// Row is the mean over the seeds of each algorithm's results in one case.
type Row struct {
	Case    Case
	Results []Result
	// RefillTime and MinRefillTime are the results of MeasureRefill, for the steady case.
	RefillTime, MinRefillTime float64
}

func runCase(c Case, seeds []uint64) Row {
	r := Row{Case: c}
	all := make([][]Result, 1+len(AllBaselines))
	for _, seed := range seeds {
		all[0] = append(all[0], RunWagtailtray(c, seed))
		for i, b := range AllBaselines {
			all[i+1] = append(all[i+1], RunBaseline(b, c, seed))
		}
	}
	if c.Scenario == Steady {
		for _, seed := range seeds {
			took, minimum := MeasureRefill(c, seed)
			r.RefillTime += took / float64(len(seeds))
			r.MinRefillTime = minimum
		}
	}
	for _, results := range all {
		r.Results = append(r.Results, averageResults(results))
	}
	return r
}

// averageResults averages the runs of one algorithm; counts of flows are summed.
func averageResults(results []Result) Result {
	out := results[0]
	for _, r := range results[1:] {
		out.Flows += r.Flows
		out.Broken += r.Broken
		out.CrashLosses += r.CrashLosses
		out.Doubled += r.Doubled
		out.Imbalance += r.Imbalance
		out.Variation += r.Variation
		out.HopsPerDatagram += r.HopsPerDatagram
	}
	n := float64(len(results))
	out.Imbalance /= n
	out.Variation /= n
	out.HopsPerDatagram /= n
	return out
}

// Page renders the results in Markdown.
func Page(rows []Row, weights []WeightResult, seeds []uint64, perTarget int) string {
	var b strings.Builder
	fmt.Fprintf(&b, intro, perTarget, meanFlowLength.Duration(), flowLengthSigma, settleTime.Duration(), sampleTime.Duration(), len(seeds))
	for _, measure := range []struct {
		title string
		value func(Result) string
	}{
		{"Flows broken, less those of a dead target", func(r Result) string { return fmt.Sprintf("%d", r.Broken-r.CrashLosses) }},
		{"Imbalance: mean of the maximum over the mean of open flows", func(r Result) string { return fmt.Sprintf("%.4f", r.Imbalance) }},
		{"Mean coefficient of variation of open flows", func(r Result) string { return fmt.Sprintf("%.4f", r.Variation) }},
	} {
		fmt.Fprintf(&b, "## %s\n\n| deployment, service | scenario | %s |", measure.title, Wagtailtray)
		for _, baseline := range AllBaselines {
			fmt.Fprintf(&b, " %s |", baseline)
		}
		b.WriteString("\n| --- | --- |" + strings.Repeat(" --- |", 1+len(AllBaselines)) + "\n")
		for _, r := range rows {
			fmt.Fprintf(&b, "| %s, %s | %s |", r.Case.Deployment, r.Case.Service, r.Case.Scenario)
			for _, result := range r.Results {
				fmt.Fprintf(&b, " %s |", measure.value(result))
			}
			b.WriteString("\n")
		}
		b.WriteString("\n")
	}
	writeOwnResults(&b, rows)
	writeHops(&b, rows, seeds[0])
	writeWeights(&b, weights)
	b.WriteString(plot(rows))
	return b.String()
}

// writeOwnResults writes the results that only the project's own algorithm has: refill
// times, flows opened at two targets, and where a baseline's imbalance was not higher.
func writeOwnResults(b *strings.Builder, rows []Row) {
	flows, doubled := 0, 0
	for _, r := range rows {
		flows += r.Results[0].Flows
		doubled += r.Results[0].Doubled
	}
	b.WriteString("## An empty, warm target joins\n\nFrom its first moment as one that opens flows, three seconds after its start. Mean lengths of a flow until the imbalance is below 1.02 again, and the least that is possible: the time in which as many flows arrive as the target lacks.\n\n| deployment, service | until below 1.02 | least |\n| --- | --- | --- |\n")
	for _, r := range rows {
		if r.Case.Scenario == Steady {
			fmt.Fprintf(b, "| %s, %s | %.3f | %.3f |\n", r.Case.Deployment, r.Case.Service, r.RefillTime, r.MinRefillTime)
		}
	}
	b.WriteString("\n")
	fmt.Fprintf(b, "In these runs %d flows were opened and %d of them at two targets.\n", flows, doubled)
	var worse []string
	for _, r := range rows {
		for _, result := range r.Results[1:] {
			if result.Imbalance <= r.Results[0].Imbalance {
				worse = append(worse, fmt.Sprintf("- %s, %s, %s: %.4f beside %.4f of %s", r.Case.Deployment, r.Case.Service, r.Case.Scenario, r.Results[0].Imbalance, result.Imbalance, result.Algorithm))
			}
		}
	}
	if len(worse) > 0 {
		fmt.Fprintf(b, "\nWhere a baseline's imbalance was not higher:\n\n%s\n\nThe baselines take no care of a cold target, and see changes at once.\n", strings.Join(worse, "\n"))
	}
}

const (
	plotWidth = 50
	// plotMax is the imbalance at the right edge of the plot.
	plotMax = 1.05
)

// plot draws the imbalance of the steady state and the rolling replacement.
func plot(rows []Row) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n## Plot: imbalance from 1 to %.2f\n\n", plotMax)
	for _, r := range rows {
		if r.Case.Scenario != Steady && r.Case.Scenario != TargetsReplaced {
			continue
		}
		fmt.Fprintf(&b, "    %s, %s\n", r.Case.Service, r.Case.Scenario)
		for _, result := range r.Results {
			length := min(int((result.Imbalance-1)/(plotMax-1)*plotWidth+0.5), plotWidth)
			fmt.Fprintf(&b, "    %-30s %s %.4f\n", result.Algorithm, strings.Repeat("#", length), result.Imbalance)
		}
	}
	return b.String()
}

const intro = `# Measures

Broken flows and imbalance of the project's decisions beside four baselines on
the same work. Made by

    go run ./cmd/experiment measures --write docs

The decisions that the daemons run, over the model's queue of datagrams: the
deployments' targets and delays, %d flows a target, log-normal lengths with a
mean of %s and a sigma of %.1f, six balancers, 0.1 %% loss, news up to 0.5 s
apart, digests as generated. Each run settles for %s and is sampled every second
for %s; the figures are from %d seeds. The flows are shorter than real ones, so
that several generations fit into a run; that makes balancing harder.

The baselines see every change at once and lose nothing. "Hashing by version"
finds a flow by consistent hashing over the present targets; "one previous
version" asks the former version's target too; "random" and "least reported load"
choose at the opening, and the balancer that chose keeps the flow in its memory.

Replaced targets drain, their agents restart with their ledger, and they serve
again; a drained target's flows stay where they are. Busy slots are not measured
here, nor the hops of chatty flows.

`
