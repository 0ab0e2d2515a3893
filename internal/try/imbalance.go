package try

import (
	"context"
	"sync"
	"time"
)

// imbalanceMean averages samples of the imbalance of open connections per service:
// the most loaded target's connections over the mean, as the upstreams count them.
type imbalanceMean struct {
	mu    sync.Mutex
	sum   map[string]float64
	count map[string]int
}

func newImbalanceMean() *imbalanceMean {
	return &imbalanceMean{sum: map[string]float64{}, count: map[string]int{}}
}

func (m *imbalanceMean) add(service string, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum[service] += value
	m.count[service]++
}

func (m *imbalanceMean) perService() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	mean := map[string]float64{}
	for service, sum := range m.sum {
		mean[service] = sum / float64(m.count[service])
	}
	return mean
}

// sampleImbalance samples the targets that do not drain, until the context ends.
func (r *run) sampleImbalance(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for service, open := range r.env.openConnections() {
			if value, ok := imbalance(open); ok {
				r.imbalance.add(service, value)
			}
		}
	}
}

// openConnections returns, by service, the connections at each target that does not
// drain.
func (e *Environment) openConnections() map[string][]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	open := map[string][]int{}
	for _, t := range e.targets {
		if !t.draining {
			open[t.service] = append(open[t.service], t.upstream.Conns())
		}
	}
	return open
}

// imbalance returns the maximum over the mean, and false without connections.
func imbalance(open []int) (float64, bool) {
	sum, most := 0, 0
	for _, n := range open {
		sum += n
		most = max(most, n)
	}
	if sum == 0 {
		return 0, false
	}
	return float64(most) * float64(len(open)) / float64(sum), true
}
