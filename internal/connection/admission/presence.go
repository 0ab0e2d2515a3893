package admission

import (
	"math"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// presenceWindow is the time over which requests and openings are counted.
	presenceWindow = 2 * clock.Second
	// minPresence is the share of them from which a priority counts as present: a few stray
	// requests need no room kept for them.
	minPresence = 0.1
)

// Presence counts the requests and openings of each priority that have lately been seen. The
// zero value has seen none.
type Presence struct {
	// seen are exponentially decayed numbers, total is their sum.
	seen      [routing.MaxPriority + 1]float64
	total     float64
	decayedAt clock.Millis
}

// Observe records a request or an opening.
func (p *Presence) Observe(now clock.Millis, priority int) {
	factor := decayFactor(now.Sub(p.decayedAt), presenceWindow)
	p.decayedAt = now
	for i := range p.seen {
		p.seen[i] *= factor
	}
	p.total *= factor
	p.seen[priority]++
	p.total++
}

// decayFactor returns the factor by which an exponentially decayed count decreases in a period.
func decayFactor(period, window clock.Millis) float64 {
	return math.Exp(-float64(max(period, 0)) / float64(window))
}

// MoreUrgent returns the present priorities that are more urgent than the given one, as a set
// of bits.
func (p *Presence) MoreUrgent(priority int) uint32 {
	set := uint32(0)
	for i, seen := range p.seen[:priority] {
		if seen > 0 && seen >= minPresence*p.total {
			set |= 1 << i
		}
	}
	return set
}
