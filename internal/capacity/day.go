package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// ErrInvalidDay means that a text is no report of a day, or lacks its load.
var ErrInvalidDay = errs.New("capacity: missing or malformed report of a day")

// Day is the result of a whole day of a deployment, simulated by the users' benchmark.
type Day struct {
	Name string `json:"name"`
	// Worth is what callers were served less all prices, of 1; Served the whole day's part
	// of that and Windows the worst seconds', before prices.
	Worth   float64 `json:"worth"`
	Served  float64 `json:"served"`
	Windows float64 `json:"windows"`
	// Calls are billed calls to the platform, and RemoteGB the gigabytes between failure
	// domains.
	Calls    float64 `json:"calls"`
	RemoteGB float64 `json:"remoteGB"`
	// Roles holds the load of the balancers and of the agents.
	Roles map[string]RoleLoad `json:"roles"`
	// LongestMillis holds the longest times, in milliseconds, by name.
	LongestMillis map[string]float64 `json:"longestMillis"`
}

// RoleLoad is the load of the processes of one role.
type RoleLoad struct {
	Processes int `json:"processes"`
	// Core is the mean share of a core, and MaxCore that of the busiest process.
	Core    float64 `json:"core"`
	MaxCore float64 `json:"maxCore"`
	// Loads are in the order of loadNames.
	Loads []Load `json:"loads"`
}

// Load is one metric of the processes of a role.
type Load struct {
	Mean    float64 `json:"mean"`
	Busiest float64 `json:"busiest"`
}

// loadNames are the metrics of a report, in its order.
var loadNames = []string{
	"processor time, % of the VM's share", "memory, MB", "kB a second", "wake-ups a second", "connections",
	"new connections a second",
}

// Indices of loadNames.
const (
	loadMemory = 1
	loadBytes  = 2
)

// report is the part of the benchmark's report that is used.
type report struct {
	Worth  float64              `json:"G"`
	Parts  [][]any              `json:"parts"`
	Prices [][]any              `json:"prices"`
	Times  map[string][]float64 `json:"times"`
	Load   map[string]struct {
		Machines int          `json:"machines"`
		Of       [][2]float64 `json:"of"`
	} `json:"load"`
	Nodes []struct {
		Role    string  `json:"role"`
		CPUMean float64 `json:"cpu_mean"`
		CPUPeak float64 `json:"cpu_peak"`
	} `json:"nodes"`
}

// ParseDay parses the report that the benchmark writes of one day.
func ParseDay(name string, r io.Reader) (Day, error) {
	var in report
	if err := json.NewDecoder(r).Decode(&in); err != nil {
		return Day{}, errs.Combine(ErrInvalidDay, err)
	}
	d := Day{
		Name: name, Worth: in.Worth, Served: column(in.Parts, "whole day", 2), Windows: column(in.Parts, "worst windows", 2),
		Calls: column(in.Prices, "cloud calls", 1), RemoteGB: column(in.Prices, "GB between zones", 1),
		Roles: map[string]RoleLoad{}, LongestMillis: map[string]float64{},
	}
	for role, load := range in.Load {
		l := RoleLoad{Processes: load.Machines}
		for i := range min(len(load.Of), len(loadNames)) {
			l.Loads = append(l.Loads, Load{Mean: load.Of[i][0], Busiest: load.Of[i][1]})
		}
		for _, n := range in.Nodes {
			if n.Role == role {
				l.Core, l.MaxCore = n.CPUMean, n.CPUPeak
			}
		}
		if len(l.Loads) < len(loadNames) {
			return Day{}, ErrInvalidDay
		}
		d.Roles[role] = l
	}
	for name, span := range in.Times {
		if len(span) > 0 {
			d.LongestMillis[name] = slices.Max(span)
		}
	}
	if len(d.Roles) == 0 {
		return Day{}, ErrInvalidDay
	}
	return d, nil
}

// column returns a number of the row with the given name, or 0.
func column(rows [][]any, name string, index int) float64 {
	for _, row := range rows {
		if len(row) > index && row[0] == name {
			v, _ := row[index].(float64)
			return v
		}
	}
	return 0
}

// writeDays writes the section about whole days of a fleet.
func writeDays(b *strings.Builder, in *Inputs) {
	if len(in.Days) == 0 {
		return
	}
	b.WriteString(daysIntroText)
	b.WriteString("\n|  |")
	for i := range in.Days {
		fmt.Fprintf(b, " %s |", in.Days[i].Name)
	}
	fmt.Fprintf(b, "\n| --- |%s\n", strings.Repeat(" --- |", len(in.Days)))
	row := func(name string, value func(d *Day) string) {
		fmt.Fprintf(b, "| %s |", name)
		for i := range in.Days {
			fmt.Fprintf(b, " %s |", value(&in.Days[i]))
		}
		b.WriteString("\n")
	}
	row("worth", func(d *Day) string { return fmt.Sprintf("%.3f", d.Worth) })
	row("served, whole day", func(d *Day) string { return fmt.Sprintf("%.3f", d.Served) })
	row("served, worst seconds", func(d *Day) string { return fmt.Sprintf("%.3f", d.Windows) })
	row("calls to the platform", func(d *Day) string { return fmt.Sprintf("%.0f", d.Calls) })
	row("GB between failure domains", func(d *Day) string { return fmt.Sprintf("%.3f", d.RemoteGB) })
	for _, role := range in.Days[0].roleNames() {
		row(role+": share of a core, %, mean / busiest", func(d *Day) string {
			return fmt.Sprintf("%.2f / %.2f", 100*d.Roles[role].Core, 100*d.Roles[role].MaxCore)
		})
		for i, name := range loadNames {
			row(role+": "+name, func(d *Day) string { return d.Roles[role].format(i) })
		}
	}
	for _, name := range in.Days[0].timeNames() {
		row(name+", ms", func(d *Day) string { return d.formatTime(name) })
	}
	writePromises(b, in)
}

func (d *Day) roleNames() []string {
	var names []string
	for name := range d.Roles {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (d *Day) timeNames() []string {
	var names []string
	for name := range d.LongestMillis {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (d *Day) formatTime(name string) string {
	if v, ok := d.LongestMillis[name]; ok {
		return fmt.Sprintf("%.0f", v)
	}
	return ""
}

func (l RoleLoad) format(i int) string {
	if i >= len(l.Loads) {
		return ""
	}
	return fmt.Sprintf("%.3g / %.4g", l.Loads[i].Mean, l.Loads[i].Busiest)
}

// writePromises sets what this page works out beside what the last day measured.
func writePromises(b *strings.Builder, in *Inputs) {
	d := &in.Days[len(in.Days)-1]
	balancer, agent := d.Roles["balancer"], d.Roles["agent"]
	size := Size{
		Balancers: float64(balancer.Processes), Targets: float64(agent.Processes), Services: fleetServices, Domains: fleetDomains,
	}
	rows := Costs(in, size)
	measured := []string{
		fmt.Sprintf("%.3f %%", 100*balancer.Core), fmt.Sprintf("%.2f MB", balancer.Loads[loadMemory].Mean),
		fmt.Sprintf("%.0f B/s", 1000*balancer.Loads[loadBytes].Mean),
		fmt.Sprintf("%.3f %%", 100*agent.Core), fmt.Sprintf("%.2f MB", agent.Loads[loadMemory].Mean),
		fmt.Sprintf("%.0f B/s", 1000*agent.Loads[loadBytes].Mean),
	}
	fmt.Fprintf(b, daysPromisesText, d.Name, balancer.Processes, agent.Processes)
	for i, m := range measured {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", rows[i].Role, rows[i].Cost, formatValue(rows[i].Total, rows[i].Unit), m, promiseNotes[i])
	}
	b.WriteString(daysRestText)
}

// fleetServices and fleetDomains describe the deployment of the days.
const (
	fleetServices = 2
	fleetDomains  = 5
)

// promiseNotes say why each measured value differs.
var promiseNotes = []string{
	"the page has heartbeats of the QUIC edge; here each balancer probes its domain's targets, gets summaries of all others and forwards some of them",
	"the page's part is an idle daemon of the QUIC edge, a larger program",
	"as for processor time; summaries are most of it",
	"the page has digests between all agents of a service, and these services have hundreds of targets; here an agent answers the probes of its domain's balancers",
	"as for the balancer",
	"as for processor time: with services of this size the QUIC edge would not keep its budget of 3 KB a second",
}

const daysIntroText = `
## Whole days of a fleet

Days of the users' largest deployment in full: 304 balancers and 682 targets in five
failure domains, where the smallest VM has 0.192 of a core, 123 MB and 20 Mbit/s. From
the reports of the users' bench by

    go run ./cmd/experiment days --write docs NAME=REPORT...

Columns with "before" are of the code before it was made for this size; why it was
changed, and how, is in design/fleet.md. Loads are mean / busiest process.
`

const daysPromisesText = `
What the model above works out for such a fleet, beside %s (%d balancers, %d targets;
means of a process, callers' packets included):

| role | cost | worked out | measured | why they differ |
| --- | --- | --- | --- | --- |
`

const daysRestText = `
The model describes the QUIC edge and its control only, and none of its lines carries over
to connections. Measured there and promised nowhere: the reads of the configuration before
there is one, the news between all balancers, the two stages of summaries. The state of a
balancer by target and the time until a failure is known by all were not measured on these
days; simulated fleets bound the second (TestSilentTargetIsSuspectedSoon).
`
