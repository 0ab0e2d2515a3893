package stream

import (
	"math"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// workWindow is the time over which the mean work of a request is measured: some tens of
// requests of a busy target.
const workWindow = clock.Second

// workMeter measures the mean time that a target works on a request, without the time that
// requests wait there: the time for which its slots were in use, divided by the requests that
// it answered.
type workMeter struct {
	// slotTime is the slot time in use in milliseconds and answered the number of answers,
	// both exponentially decayed.
	slotTime float64
	answered float64
}

// addSample adds the slots in use during the last period.
func (m *workMeter) addSample(slotsInUse int, period clock.Millis) {
	decay := math.Exp(-float64(period) / float64(workWindow))
	m.slotTime = m.slotTime*decay + float64(slotsInUse)*float64(period)
	m.answered *= decay
}

// addAnswer records an answered request.
func (m *workMeter) addAnswer() {
	m.answered++
}

const (
	// minMeasuredAnswers is the number of answers below which the measurement is too coarse.
	minMeasuredAnswers = 4
	// stallTime is the slot time in milliseconds with fewer answers after which a target
	// counts as stalled: far more than a request that is slow by chance.
	stallTime = 1000
)

// mean returns the mean work of a request in milliseconds, or zero if it is not known.
//
// A target that hangs gives no answers, so it is compared with others by the time for which
// its slots have been in use. Once its callers have left, that time decays, and the target
// is tried again.
func (m *workMeter) mean() float64 {
	switch {
	case m.answered >= minMeasuredAnswers:
		return m.slotTime / m.answered
	case m.slotTime >= stallTime:
		return m.slotTime / (m.answered + 1)
	default:
		return 0
	}
}
