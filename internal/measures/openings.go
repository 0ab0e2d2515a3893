package measures

import (
	"math/rand/v2"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Opened is what a run of openings gave.
type Opened struct {
	Flows, Resends, Changes               int
	Doubled, RanRefused, Broken, Unopened int
}

// Add sums two runs up.
func (o *Opened) Add(r Opened) {
	o.Flows += r.Flows
	o.Resends += r.Resends
	o.Changes += r.Changes
	o.Doubled += r.Doubled
	o.RanRefused += r.RanRefused
	o.Broken += r.Broken
	o.Unopened += r.Unopened
}

// Sizes of a world of openings: seven targets, flows of a few seconds, and a
// copy of every tenth opening that its caller sends soon after the first.
const (
	openTargets   = 7
	openBalancers = 6
	openGap       = 4
	openLength    = 4 * clock.Second
	resendEvery   = 10
)

// Openings opens flows while targets change.
func Openings(seed uint64, flows int, every, spread time.Duration) Opened {
	w := model.New(model.Options{
		Seed: seed, Targets: openTargets, Balancers: openBalancers, Jitter: 5, Loss: 0.001, Duplicate: 0.001, MaxPropagationDelay: clock.Of(spread),
	})
	random := rand.New(rand.NewPCG(seed, 11))
	out := Opened{Flows: flows}
	next := w.Now() + clock.Of(every)
	for i := range flows {
		c := w.Open(openLength)
		if i%resendEvery == 0 {
			w.After(clock.Millis(random.IntN(1500)), func() { c.ResendIfUnopened() })
			out.Resends++
		}
		w.Run(openGap)
		if w.Now() >= next {
			next += clock.Of(every)
			out.Changes++
			change(w, random)
		}
	}
	w.Run(20 * clock.Second)
	v := w.Verdict()
	out.Doubled, out.RanRefused, out.Broken, out.Unopened = v.Doubled, v.RanRefused, v.Broken, v.Unopened
	return out
}

// change makes one planned change or a false suspicion at one target, and takes
// it back at its next turn.
func change(w *model.World, random *rand.Rand) {
	t := name(random.IntN(openTargets))
	switch random.IntN(3) {
	case 0:
		w.Drain(t, true)
		w.After(3*clock.Second, func() { w.Drain(t, false) })
	case 1:
		w.Restart(t, 100)
	default:
		w.Suspect(t, true)
		w.After(2*clock.Second, func() { w.Suspect(t, false) })
	}
}
