package stream

import "github.com/wagtailtray/wagtailtray/pkg/clock"

// budget bounds how many parcels of a kind are sent a second, and how many at once.
type budget struct {
	rate, burst, left float64
	filled            clock.Millis
}

// newBudget returns the budget for questions of a balancer with a part of a core, in
// thousandths.
func newBudget(share uint32) budget {
	if share == 0 {
		share = unknownShare
	}
	rate := questionsPerCore * float64(share) / 1000
	b := budget{rate: rate, burst: max(rate*questionBurst, leastBurst)}
	b.left = b.burst
	return b
}

// fill adds what has become due, and reports whether something may be sent.
func (b *budget) fill(now clock.Millis) bool {
	b.left = min(b.left+b.rate*float64(now.Sub(b.filled))/float64(clock.Second), b.burst)
	b.filled = now
	return b.left >= 1
}
