// Package capacity computes what each role costs at a given size, from slopes
// that are measured on one machine.
//
// # The model
//
// A Slope is a cost as a linear function of size, fitted to at least four sizes:
// bytes per record, nanoseconds per heartbeat. Measure measures all of them. Costs
// multiplies them with a Size, the counts that the users plan for, and returns a
// Row for each role and kind of cost, with its budget. Page renders the results;
// a test generates the page again from the slopes stored beside it and compares.
//
// # Usage
//
//	inputs, err := capacity.Measure(progress)
//	page := capacity.Page(inputs)
package capacity

import (
	"github.com/zeebo/errs"
	"gonum.org/v1/gonum/stat"
)

// ErrTooFewSizes means that a slope has fewer than four sizes.
var ErrTooFewSizes = errs.New("capacity: a slope needs measurements at four sizes")

// minSizes is the smallest number of sizes that a slope is fitted to.
const minSizes = 4

// Point is the measurement at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a cost fitted to a line.
type Slope struct {
	Name string `json:"name"`
	// Unit is that of the slope, such as "bytes a record".
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	// Intercept and Slope define the line; R2 is its coefficient of
	// determination.
	Intercept float64 `json:"base"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"fit"`
}

// NewSlope fits a line to points.
func NewSlope(name, unit string, points []Point) (Slope, error) {
	s := Slope{Name: name, Unit: unit, Points: points}
	if len(points) < minSizes {
		return s, errs.Combine(ErrTooFewSizes, errs.New("%s is measured at %d", name, len(points)))
	}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Value
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.R2 = stat.RSquared(xs, ys, nil, s.Intercept, s.Slope)
	return s, nil
}

// Inputs is everything that the page is computed from.
type Inputs struct {
	Slopes map[string]Slope `json:"slopes"`
	// IdleMemory is the resident memory of an idle daemon, in bytes, and Fleet
	// the measurement of a fleet in one process.
	IdleMemory float64     `json:"idle"`
	Fleet      FleetResult `json:"fleet"`
	// Daemons is the measurement of real daemons by bench/daemons.
	Daemons DaemonsResult `json:"daemons"`
	// Sweeps are the runs of the users' benchmark at several sizes.
	Sweeps []Sweep `json:"sweeps,omitempty"`
	// Days are whole days of a fleet, simulated by the users' benchmark.
	Days []Day `json:"days,omitempty"`
}

// DaemonsResult is the measurement of daemons in processes of their own.
type DaemonsResult struct {
	Balancers     int     `json:"balancers"`
	Agents        int     `json:"agents"`
	Services      int     `json:"services"`
	WindowSeconds float64 `json:"seconds"`
	// Means for each daemon: resident bytes and the share of a core.
	BalancerResident float64 `json:"balancerResident"`
	AgentResident    float64 `json:"agentResident"`
	BalancerCPUShare float64 `json:"balancerCore"`
	AgentCPUShare    float64 `json:"agentCore"`
	// BytesPerSecond is the traffic on loopback for each daemon.
	BytesPerSecond float64 `json:"bytes"`
}

// FleetResult is the measurement of many balancers in one process, which checks the
// extrapolation.
type FleetResult struct {
	Balancers     int     `json:"balancers"`
	Targets       int     `json:"targets"`
	Services      int     `json:"services"`
	WindowSeconds float64 `json:"seconds"`
	// SettleSeconds is how long the traffic caused by starting all balancers at
	// once lasted after the last one was up.
	SettleSeconds float64 `json:"settled"`
	// LiveMemory and CPUShare are the process's bytes of heap and stacks and its
	// share of a core, for each balancer, idle with all connections up.
	LiveMemory float64 `json:"memory"`
	// ResidentMemory includes what the garbage collector has not returned to the
	// system.
	ResidentMemory float64 `json:"resident"`
	CPUShare       float64 `json:"core"`
	// Suspicions counts those spread while nothing changed.
	Suspicions int64 `json:"suspicions"`
	// BytesPerSecond is the traffic on loopback for each balancer.
	BytesPerSecond float64 `json:"bytes"`
	// DelayMillis are the times from an approval until its version was in force
	// in all balancers.
	DelayMillis []float64 `json:"delays"`
	// Calls that the platform received, and the watches that wait at it.
	Reads          uint64 `json:"reads"`
	Writes         uint64 `json:"writes"`
	WaitingWatches uint64 `json:"waiting"`
}

// cost returns a slope's cost at a size, without the intercept.
func (in *Inputs) cost(name string, size float64) float64 {
	return in.Slopes[name].Slope * size
}
