package stream

import "github.com/wagtailtray/wagtailtray/pkg/clock"

// tokenBucket limits the rate and the burst of parcels of one kind.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          clock.Millis
}

// newQuestionBucket returns the token bucket for questions of a balancer with a share of
// a core, in thousandths.
func newQuestionBucket(share uint32) tokenBucket {
	if share == 0 {
		share = defaultCPUShare
	}
	rate := batchesPerCore * float64(share) / 1000
	b := tokenBucket{rate: rate, burst: max(rate*burstFraction, minBurst)}
	b.tokens = b.burst
	return b
}

// refill adds the tokens due since the last call, and reports whether a parcel may be sent.
func (b *tokenBucket) refill(now clock.Millis) bool {
	b.tokens = min(b.tokens+b.rate*float64(now.Sub(b.refilledAt))/float64(clock.Second), b.burst)
	b.refilledAt = now
	return b.tokens >= 1
}
