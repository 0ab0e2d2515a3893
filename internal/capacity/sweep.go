package capacity

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
	"gonum.org/v1/gonum/stat"
)

// ErrInvalidSweep means that a text holds no table of a sweep, or a malformed one.
var ErrInvalidSweep = errs.New("capacity: missing or malformed table of a sweep")

// Sweep is the result of the users' benchmark, which simulates one day at several
// sizes of a deployment.
type Sweep struct {
	Deployment string `json:"deployment"`
	// VMs are the sizes, as numbers of VMs.
	VMs  []float64  `json:"vms"`
	Rows []SweepRow `json:"rows"`
}

// SweepRow is one metric at each size: the load of the busiest process, or the longest
// time.
type SweepRow struct {
	Name    string    `json:"name"`
	Busiest []float64 `json:"busiest"`
}

const (
	// sweepTableHeader is the prefix of the line before a table's sizes.
	sweepTableHeader = "middle / busiest"
	// minFittedVMs is the smallest number of VMs that an exponent is fitted to: below
	// it the mechanisms for many failure domains and neighbours are inactive.
	minFittedVMs = 30
	// extrapolatedVMs is the future size given in the users' sheet.
	extrapolatedVMs = 493
	// maxExponent limits the exponent of an extrapolation.
	maxExponent = 2
	// minExponent is the smallest one that counts as growth.
	minExponent = 0.05
	// maxNamedVMs is the largest number of VMs that an extrapolation names.
	maxNamedVMs = 10_000
)

// ParseSweep parses the table that the benchmark prints after a sweep.
func ParseSweep(deployment string, r io.Reader) (Sweep, error) {
	s := Sweep{Deployment: deployment}
	lines := bufio.NewScanner(r)
	found := false
	for !found && lines.Scan() {
		found = strings.HasPrefix(lines.Text(), sweepTableHeader)
	}
	if !found || !lines.Scan() {
		return s, errs.Combine(ErrInvalidSweep, lines.Err())
	}
	for _, field := range strings.Fields(lines.Text()) {
		if size, err := strconv.ParseFloat(field, 64); err == nil && len(s.VMs) < columnsBeforePower(lines.Text()) {
			s.VMs = append(s.VMs, size)
		}
	}
	for lines.Scan() {
		row, ok := parseSweepRow(lines.Text(), len(s.VMs))
		if !ok {
			break
		}
		s.Rows = append(s.Rows, row)
	}
	if len(s.VMs) == 0 || len(s.Rows) == 0 {
		return s, errs.Combine(ErrInvalidSweep, lines.Err())
	}
	return s, errs.Wrap(lines.Err())
}

// columnsBeforePower returns the number of columns with sizes, which precede the column
// of the exponents.
func columnsBeforePower(header string) int {
	before, _, _ := strings.Cut(header, "power")
	return len(strings.Fields(before))
}

// parseSweepRow parses a line such as "agent: memory MB   5.6 / 6.7   3.8 / 5.7   -0.1   5.4".
func parseSweepRow(line string, sizes int) (SweepRow, bool) {
	parts := strings.Split(line, " / ")
	if len(parts) != sizes+1 {
		return SweepRow{}, false
	}
	first := strings.Fields(parts[0])
	if len(first) < 2 {
		return SweepRow{}, false
	}
	row := SweepRow{Name: strings.Join(first[:len(first)-1], " ")}
	for _, part := range parts[1:] {
		v, err := strconv.ParseFloat(strings.Fields(part)[0], 64)
		if err != nil {
			return SweepRow{}, false
		}
		row.Busiest = append(row.Busiest, v)
	}
	return row, true
}

// Exponent returns the exponent of the power law by which a row grows with the number of
// VMs, fitted from minFittedVMs on; zero if there are fewer than two points.
func (s *Sweep) Exponent(row SweepRow) float64 {
	var xs, ys []float64
	for i, vms := range s.VMs {
		if vms >= minFittedVMs && i < len(row.Busiest) && row.Busiest[i] > 0 {
			xs, ys = append(xs, math.Log(vms)), append(ys, math.Log(row.Busiest[i]))
		}
	}
	if len(xs) < 2 {
		return 0
	}
	_, exponent := stat.LinearRegression(xs, ys, nil, false)
	return exponent
}

// Extrapolate returns the value of a row at a number of VMs, from that at the largest size.
// A row that falls is taken as constant.
func (s *Sweep) Extrapolate(row SweepRow, vms float64) float64 {
	last := len(s.VMs) - 1
	exponent := min(max(s.Exponent(row), 0), maxExponent)
	return row.Busiest[last] * math.Pow(vms/s.VMs[last], exponent)
}

// smallestVM is what the smallest VM of the users' fleet has, by row: the processor time is a
// share of its part of a core, the link has 20 Mbit/s.
var smallestVM = map[string]float64{
	"agent: processor %": 100, "agent: memory MB": 103, "balancer: processor %": 100, "balancer: memory MB": 123,
	"balancer: kB a second": 2500,
}

// GivesWayAt returns the number of VMs at which a row reaches what the smallest VM has, and
// whether it does: it has a limit and grows.
func (s *Sweep) GivesWayAt(row SweepRow) (float64, bool) {
	limit, limited := smallestVM[row.Name]
	exponent := min(s.Exponent(row), maxExponent)
	last := len(s.VMs) - 1
	if !limited || exponent < minExponent || row.Busiest[last] <= 0 {
		return 0, false
	}
	return s.VMs[last] * math.Pow(limit/row.Busiest[last], 1/exponent), true
}

// writeSweeps writes the section about the runs on the users' machines.
func writeSweeps(b *strings.Builder, in *Inputs) {
	if len(in.Sweeps) == 0 {
		return
	}
	b.WriteString(sweepsIntroText)
	for i := range in.Sweeps {
		s := &in.Sweeps[i]
		fmt.Fprintf(b, "\n| %s, busiest or longest at VMs |", s.Deployment)
		for _, vms := range s.VMs {
			fmt.Fprintf(b, " %.0f |", vms)
		}
		fmt.Fprintf(b, " power | at %d | gives way at |\n| --- |%s --- | --- | --- |\n", extrapolatedVMs, strings.Repeat(" --- |", len(s.VMs)))
		for _, row := range s.Rows {
			fmt.Fprintf(b, "| %s |", row.Name)
			for _, v := range row.Busiest {
				fmt.Fprintf(b, " %.4g |", v)
			}
			fmt.Fprintf(b, " %.2f | %.3g | %s |\n", s.Exponent(row), s.Extrapolate(row, extrapolatedVMs), s.formatGivesWay(row))
		}
	}
}

func (s *Sweep) formatGivesWay(row SweepRow) string {
	at, ok := s.GivesWayAt(row)
	switch {
	case !ok:
		return ""
	case at > maxNamedVMs:
		return fmt.Sprintf("over %d", maxNamedVMs)
	default:
		return fmt.Sprintf("%.0f", at)
	}
}

const sweepsIntroText = `
## On the users' machines

One day with faults played at several sizes by the users' bench (` + "`fleetbench sweep`" + `),
and what grows with the number of VMs. Made from what it printed by

    go run ./cmd/experiment sweeps --write docs NAME=LOG...

which keeps it in capacity.json. The power is fitted from 30 VMs on; the column after it
carries it on to the size that the users' sheet looks ahead to, which is not played. The last
column has the number of VMs at which the busiest process would use all that the smallest
VM of the largest deployment has (0.192 of a core, 123 MB, 20 Mbit/s; beside targets 0.24 and
103 MB). Relays are the largest VMs that live, so theirs give way later than the column says.
`
