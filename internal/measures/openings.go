package measures

import (
	"math/rand/v2"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// OpeningsResult counts the outcomes of a run of RunOpenings.
type OpeningsResult struct {
	Flows, Resends, Changes               int
	Doubled, RanRefused, Broken, Unopened int
}

// Add adds the counts of r to o.
func (o *OpeningsResult) Add(r OpeningsResult) {
	o.Flows += r.Flows
	o.Resends += r.Resends
	o.Changes += r.Changes
	o.Doubled += r.Doubled
	o.RanRefused += r.RanRefused
	o.Broken += r.Broken
	o.Unopened += r.Unopened
}

// Parameters of RunOpenings: seven targets, flows of a few seconds, and a resend
// of every tenth opening soon after the first.
const (
	openTargets    = 7
	openBalancers  = 6
	openInterval   = 4
	openFlowLength = 4 * clock.Second
	resendEvery    = 10
)

// RunOpenings opens flows while targets change.
func RunOpenings(seed uint64, flows int, every, spread time.Duration) OpeningsResult {
	w := model.New(model.Options{
		Seed: seed, Targets: openTargets, Balancers: openBalancers, Jitter: 5, Loss: 0.001, Duplicate: 0.001, MaxPropagationDelay: clock.FromDuration(spread),
	})
	random := rand.New(rand.NewPCG(seed, 11))
	out := OpeningsResult{Flows: flows}
	next := w.Now() + clock.FromDuration(every)
	for i := range flows {
		c := w.Open(openFlowLength)
		if i%resendEvery == 0 {
			w.After(clock.Millis(random.IntN(1500)), func() { c.ResendIfUnopened() })
			out.Resends++
		}
		w.Run(openInterval)
		if w.Now() >= next {
			next += clock.FromDuration(every)
			out.Changes++
			randomChange(w, random)
		}
	}
	w.Run(20 * clock.Second)
	v := w.Verdict()
	out.Doubled, out.RanRefused, out.Broken, out.Unopened = v.Doubled, v.RanRefused, v.Broken, v.Unopened
	return out
}

// randomChange drains, restarts or falsely suspects a random target. A drain ends
// after three seconds, a suspicion after two.
func randomChange(w *model.World, random *rand.Rand) {
	t := targetName(random.IntN(openTargets))
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
