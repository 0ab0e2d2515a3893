package decisions

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/internal/process/rotation"
)

// rejectionEvents are the events of openings that were refused or had to wait, and of requests
// that failed.
var rejectionEvents = map[string]bool{
	string(stream.Refused): true, string(stream.NoTarget): true, string(stream.Unrouted): true,
	string(stream.Returned): true, string(stream.Queued): true, string(stream.Failed): true,
	string(stream.FlowReset): true, string(stream.Busy): true, string(stream.Overload): true,
}

// rotationEvents are the events of balancers that lack processor time.
var rotationEvents = map[string]bool{
	rotation.BecameLate.String(): true, rotation.Rested.String(): true, rotation.Returned.String(): true,
}

// LoadKey groups lines about openings that were refused or delayed, and requests that failed,
// for one reason.
type LoadKey struct {
	Event   string
	Service string
	// Priority is that of the class; empty if it is not known.
	Priority string
	// Reason is the line's reason without its figures, which follow a colon.
	Reason string
}

// LoadGroup is what the logs hold of one group.
type LoadGroup struct {
	LoadKey
	Count int
	// First and Last are the times of the first and the last line, and MaxAge is the highest
	// age of the input that decided, in milliseconds.
	First, Last int64
	MaxAge      int64
	// Processes are the processes that wrote the lines.
	Processes map[string]bool
}

// Load summarizes which openings were refused or delayed and which requests failed, where and
// why, and which balancers lack processor time.
type Load struct {
	Groups []LoadGroup
	// Rotation holds the last line of each balancer that was late or rested.
	Rotation []Line
	// Omitted is the number of lines that processes left out: the counts are lower bounds by
	// as many.
	Omitted int
	// Start is the time of the first line.
	Start int64
}

// SummarizeLoad groups the lines of a fleet's logs. The largest group comes first.
func SummarizeLoad(all []Line) Load {
	var l Load
	groups := map[LoadKey]*LoadGroup{}
	last := map[string]Line{}
	for i := range all {
		line := &all[i]
		l.Omitted += line.Omitted
		if l.Start == 0 || line.Time < l.Start {
			l.Start = line.Time
		}
		if rejectionEvents[line.Event] {
			addToGroup(groups, line)
		}
		if rotationEvents[line.Event] && line.Time >= last[line.Process].Time {
			last[line.Process] = *line
		}
	}
	for _, g := range groups {
		l.Groups = append(l.Groups, *g)
	}
	slices.SortFunc(l.Groups, func(a, b LoadGroup) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(fmt.Sprint(a.LoadKey), fmt.Sprint(b.LoadKey)))
	})
	for _, line := range last {
		l.Rotation = append(l.Rotation, line)
	}
	slices.SortFunc(l.Rotation, func(a, b Line) int { return strings.Compare(a.Process, b.Process) })
	return l
}

func addToGroup(groups map[LoadKey]*LoadGroup, line *Line) {
	reason, _, _ := strings.Cut(line.Reason, ":")
	key := LoadKey{Event: line.Event, Service: line.Service, Reason: reason}
	if line.Priority != nil {
		key.Priority = fmt.Sprint(*line.Priority)
	}
	g := groups[key]
	if g == nil {
		g = &LoadGroup{LoadKey: key, First: line.Time, Processes: map[string]bool{}}
		groups[key] = g
	}
	g.Count++
	g.First, g.Last = min(g.First, line.Time), max(g.Last, line.Time)
	g.MaxAge = max(g.MaxAge, line.Age)
	g.Processes[line.Process] = true
}

// WriteLoad prints a Load as tables, with times in seconds since the first line.
func WriteLoad(w io.Writer, l Load) error {
	since := func(t int64) string { return fmt.Sprintf("%.3f", float64(t-l.Start)/1000) }
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "COUNT\tEVENT\tSERVICE\tPRIORITY\tREASON\tFIRST\tLAST\tMAX AGE\tPROCESSES")
	for _, g := range l.Groups {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d ms\t%d\n", g.Count, g.Event, cmp.Or(g.Service, "-"),
			cmp.Or(g.Priority, "-"), cmp.Or(g.Reason, "-"), since(g.First), since(g.Last), g.MaxAge, len(g.Processes))
	}
	if len(l.Rotation) > 0 {
		_, _ = fmt.Fprintln(t, "\nBALANCER\tLAST EVENT\tAT\tLATENESS\tLIMIT")
	}
	for _, line := range l.Rotation {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.1f ms\t%.1f ms\n", line.Process, line.Event, since(line.Time), line.Lateness, line.Limit)
	}
	if l.Omitted > 0 {
		_, _ = fmt.Fprintf(t, "\n%d lines were left out by the processes; the counters of /metrics include them\n", l.Omitted)
	}
	return errs.Wrap(t.Flush())
}
