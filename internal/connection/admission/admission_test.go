package admission

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const testNow = 24 * clock.Hour

// admit records an opening if it is admitted, and reports whether it was.
func admit(l *Limiter, now clock.Millis, rate int) bool {
	if l.Remaining(now, rate) == 0 {
		return false
	}
	l.Record(now)
	return true
}

// Two bursts lie on both sides of a full second: the window that holds both is limited.
func TestWindowSlides(t *testing.T) {
	var l Limiter
	admitted := 0
	for i := range 40 {
		at := testNow + 900
		if i >= 20 {
			at = testNow + 1100
		}
		if admit(&l, at, 17) {
			admitted++
		}
	}
	if admitted != 17 {
		t.Errorf("%d openings were admitted within 200 ms, want 17", admitted)
	}
	if l.Remaining(testNow+900+window, 17) != 0 || l.Remaining(testNow+901+window, 17) != 17 {
		t.Error("openings are not admitted again a second after the burst")
	}
}

// An opening may name any rate: the stored openings are bounded.
func TestMemoryIsBounded(t *testing.T) {
	var l Limiter
	for range 2 * maxRate {
		admit(&l, testNow, 1<<31)
	}
	if len(l.admitted) != maxRate || l.Remaining(testNow, 1<<31) != 0 {
		t.Errorf("%d openings are stored, and %d remain", len(l.admitted), l.Remaining(testNow, 1<<31))
	}
}

// An agent restarts while its target warms up. It does not know what the previous process
// has admitted, and must assume the most that the rate allows.
func TestAssumeFull(t *testing.T) {
	var l Limiter
	l.AssumeFull(testNow)
	if admit(&l, testNow+clock.Second, 17) {
		t.Error("an opening was admitted within a second after an unknown number of openings")
	}
	if !admit(&l, testNow+window, 17) {
		t.Error("no opening is admitted after that")
	}
}

// Openings arrive in any pattern: no period of a second has more than the rate, and some
// openings are admitted.
func TestAnyWindow(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("no second has more openings than the rate", prop.ForAll(func(seed uint64, rate int) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		var l Limiter
		var at []clock.Millis
		now := testNow
		for range 500 {
			now += clock.Millis(random.IntN(1 + random.IntN(60)))
			if admit(&l, now, rate) {
				at = append(at, now)
			}
		}
		for i := rate; i < len(at); i++ {
			if at[i].Sub(at[i-rate]) <= clock.Second {
				return false
			}
		}
		return len(at) > 0
	}, gen.UInt64(), gen.IntRange(1, 40)))
	properties.TestingRun(t)
}
