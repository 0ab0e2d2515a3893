package decisions

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// BalancerVersion is what the logs hold of one balancer's configuration.
type BalancerVersion struct {
	Process string
	// Version has been in force since Since; From tells whether it came from a peer or from
	// the platform.
	Version uint64
	Since   int64
	From    string
	// Lag is for how long the balancer has lacked the latest version at the end of the logs,
	// and MaxLag the longest time for which it knew of a version before it had it, in
	// milliseconds.
	Lag, MaxLag int64
	// Failures counts the reads that failed, and Failure is the last reason.
	Failures int
	Failure  string
	// Handing is set if its openings go to balancers with a later version.
	Handing bool
}

// Versions tells which version is in force at which balancer.
type Versions struct {
	// Latest is the highest version in force anywhere, LatestSince since when.
	Latest      uint64
	LatestSince int64
	// Balancers are ordered by version: those that lag come first.
	Balancers []BalancerVersion
	// Start and End are the times of the first and the last line.
	Start, End int64
}

// versionEvents are the events that only balancers write about their configuration.
var versionEvents = map[string]bool{"version": true, "noconfiguration": true, "behind": true}

// SummarizeVersions follows the version in force at each balancer of a fleet's logs.
func SummarizeVersions(all []Line) Versions {
	var v Versions
	byProcess := map[string]*BalancerVersion{}
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	for i := range sorted {
		line := &sorted[i]
		if byProcess[line.Process] == nil && versionEvents[line.Event] {
			byProcess[line.Process] = &BalancerVersion{Process: line.Process}
		}
		if b := byProcess[line.Process]; b != nil {
			b.follow(line)
		}
		if line.Event == "version" && line.Version > v.Latest {
			v.Latest, v.LatestSince = line.Version, line.Time
		}
	}
	if len(sorted) > 0 {
		v.Start, v.End = sorted[0].Time, sorted[len(sorted)-1].Time
	}
	for _, b := range byProcess {
		if b.Version < v.Latest {
			b.Lag = v.End - v.LatestSince
		}
		v.Balancers = append(v.Balancers, *b)
	}
	slices.SortFunc(v.Balancers, func(a, b BalancerVersion) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Process, b.Process))
	})
	return v
}

// follow applies the next line of the balancer.
func (b *BalancerVersion) follow(line *Line) {
	switch line.Event {
	case "version":
		b.Version, b.Since, b.From = line.Version, line.Time, line.From
		b.MaxLag = max(b.MaxLag, line.Age)
	case "noconfiguration":
		b.Failures++
		b.Failure = line.Error
		b.MaxLag = max(b.MaxLag, line.Age)
	case "start":
		*b = BalancerVersion{Process: b.Process, MaxLag: b.MaxLag, Failures: b.Failures, Failure: b.Failure}
	case "behind":
		b.Handing = line.Handing
	}
}

// WriteVersions prints Versions as a table, with times in seconds since the first line.
func WriteVersions(w io.Writer, v Versions) error {
	since := func(t int64) string { return fmt.Sprintf("%.3f", float64(t-v.Start)/1000) }
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "latest version %d, first in force at %s, logs until %s\n\n", v.Latest, since(v.LatestSince), since(v.End))
	_, _ = fmt.Fprintln(t, "BALANCER\tVERSION\tSINCE\tFROM\tLAG\tMAX LAG\tHANDS ON\tFAILED READS\tLAST FAILURE")
	for i := range v.Balancers {
		b := &v.Balancers[i]
		hands := "no"
		if b.Handing {
			hands = "yes"
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%d ms\t%d ms\t%s\t%d\t%s\n", b.Process, b.Version, since(max(b.Since, v.Start)),
			cmp.Or(b.From, "-"), b.Lag, b.MaxLag, hands, b.Failures, cmp.Or(b.Failure, "-"))
	}
	return errs.Wrap(t.Flush())
}
