package measures

import (
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Digest intervals for the two values of weight in the answers.
const (
	brokenDigestInterval    = 500 * clock.Millis(1)
	imbalanceDigestInterval = 250 * clock.Millis(1)
)

// WeightResult is the imbalance of one service with the digest interval of each weight.
type WeightResult struct {
	Case Case
	// BrokenWeight and ImbalanceWeight are the steady-state imbalance with the digest
	// interval generated if broken flows, or imbalance, have the higher weight.
	BrokenWeight, ImbalanceWeight float64
}

// RunWeights runs every service in the steady state with the digest intervals of both weights.
func RunWeights(perTarget int, seeds []uint64, workers int) []WeightResult {
	var all []WeightResult
	for _, c := range Cases(perTarget) {
		if c.Scenario == Steady {
			all = append(all, WeightResult{Case: c})
		}
	}
	var group errgroup.Group
	group.SetLimit(workers)
	for i := range all {
		group.Go(func() error {
			w := &all[i]
			w.BrokenWeight = steadyImbalance(w.Case, brokenDigestInterval, seeds)
			w.ImbalanceWeight = steadyImbalance(w.Case, imbalanceDigestInterval, seeds)
			return nil
		})
	}
	_ = group.Wait()
	return all
}

func steadyImbalance(c Case, digest clock.Millis, seeds []uint64) float64 {
	c.DigestInterval = digest
	sum := 0.0
	for _, seed := range seeds {
		sum += RunWagtailtray(c, seed).Imbalance
	}
	return sum / float64(len(seeds))
}

const weightIntro = `
## What the answers' weight changes

Where imbalance counts more, agents tell their load every 250 ms instead of every
500 ms. The steady imbalance less one, with each:

| deployment, service | 500 ms | 250 ms |
| --- | --- | --- |
`

const weightOutro = `
Where broken flows count more, dead processes are remembered twice as long. No run
here breaks a flow by a planned change with either value, so that this pays is not
shown.
`

func writeWeights(b *strings.Builder, all []WeightResult) {
	b.WriteString(weightIntro)
	for _, w := range all {
		fmt.Fprintf(b, "| %s, %s | %.5f | %.5f |\n", w.Case.Deployment, w.Case.Service, w.BrokenWeight-1, w.ImbalanceWeight-1)
	}
	b.WriteString(weightOutro)
}
