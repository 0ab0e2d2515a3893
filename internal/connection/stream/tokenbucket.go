package stream

import "github.com/wagtailtray/wagtailtray/pkg/clock"

// budget bounds how many parcels of a kind are sent a second, and how many at once.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          clock.Millis
}

// newBudget returns the budget for questions of a balancer with a part of a core, in
// thousandths.
func newQuestionBucket(share uint32) tokenBucket {
	if share == 0 {
		share = defaultCPUShare
	}
	rate := batchesPerCore * float64(share) / 1000
	b := tokenBucket{rate: rate, burst: max(rate*burstFraction, minBurst)}
	b.tokens = b.burst
	return b
}

// fill adds what has become due, and reports whether something may be sent.
func (b *tokenBucket) refill(now clock.Millis) bool {
	b.tokens = min(b.tokens+b.rate*float64(now.Sub(b.refilledAt))/float64(clock.Second), b.burst)
	b.refilledAt = now
	return b.tokens >= 1
}
