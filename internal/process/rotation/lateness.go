package rotation

import (
	"math"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// latenessWindow is the averaging time of the mean, and recentWindow a shorter one that
	// tells a lasting delay from one that is over.
	latenessWindow = clock.Second
	recentWindow   = 100 * clock.Millis(1)
	// maxSample bounds the weight of one delay in the means.
	maxSample = 50 * clock.Millis(1)
	// minPause is the delay from which the whole VM must have paused. That shows no lack of
	// processor time, so such a delay is ignored.
	minPause = clock.Second
)

// Lateness is the mean delay with which a process's timers fire.
type Lateness struct {
	mean, recent float64
}

// Add adds the delay of a timer that was set to an interval.
func (l *Lateness) Add(late, interval clock.Millis) {
	late = max(late, 0)
	if late >= minPause {
		return
	}
	elapsed := float64(interval + late)
	sample := float64(min(late, maxSample))
	l.mean += (sample - l.mean) * (1 - math.Exp(-elapsed/float64(latenessWindow)))
	l.recent += (sample - l.recent) * (1 - math.Exp(-elapsed/float64(recentWindow)))
}

// Mean returns the mean delay of about the last second, in milliseconds.
func (l *Lateness) Mean() float64 {
	return l.mean
}

// exceeds reports whether the delay is above a maximum and lasts.
func (l *Lateness) exceeds(maximum float64) bool {
	return l.mean > maximum && l.recent > maximum
}
