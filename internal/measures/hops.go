package measures

import (
	"fmt"
	"strings"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// continuousFlows is the number of flows per target that send continuously.
	continuousFlows = 40
	// continuousTime is how long they send: 150 datagrams each.
	continuousTime = clock.Minute
)

// HopsResult counts how the datagrams of continuously sending flows were routed.
type HopsResult struct {
	Case      Case
	Balancers int
	// Direct datagrams reached their owner without passing another agent.
	Datagrams, Direct int
	// MeanExtraHops is the mean number of other agents that a datagram passed.
	MeanExtraHops float64
}

// RunHops runs a service with flows that send continuously; it counts opening datagrams too.
func RunHops(c Case, balancers int, seed uint64) HopsResult {
	w := model.New(model.Options{
		Seed: seed, Targets: c.Targets, Balancers: balancers, Delay: c.Delay, Jitter: 2, Loss: 0.001, DigestInterval: c.DigestInterval,
	})
	out := HopsResult{Case: c, Balancers: balancers}
	passed := map[uint64]int{}
	passes := 0
	w.Trace = func(h model.TraceEvent) {
		switch h.Decision.Action {
		case owner.Pass:
			passed[h.Flow]++
			passes++
		case owner.Deliver:
			out.Datagrams++
			if passed[h.Flow] == 0 {
				out.Direct++
			}
			passed[h.Flow] = 0
		case owner.Drop, owner.Refuse:
		}
	}
	for range c.Targets * continuousFlows {
		w.Open(0)
		w.Run(10)
	}
	w.Run(continuousTime)
	out.MeanExtraHops = float64(passes) / float64(max(out.Datagrams, 1))
	return out
}

// writeHops writes the table of hops of every service.
func writeHops(b *strings.Builder, rows []Row, seed uint64) {
	fmt.Fprintf(b, "\n## Hops of flows that send all the time\n\n%d flows a target, 150 datagrams each, over 6 and over 24 balancers. A balancer learns a flow's owner\nfrom its first datagram there; until then it walks.\n\n| deployment, service | balancers | straight to the owner | mean extra hops a datagram |\n| --- | --- | --- | --- |\n", continuousFlows)
	for _, r := range rows {
		if r.Case.Scenario != Steady {
			continue
		}
		for _, n := range []int{balancerCount, 4 * balancerCount} {
			h := RunHops(r.Case, n, seed)
			fmt.Fprintf(b, "| %s, %s | %d | %.1f %% | %.3f |\n", h.Case.Deployment, h.Case.Service, n, 100*float64(h.Direct)/float64(max(h.Datagrams, 1)), h.MeanExtraHops)
		}
	}
	b.WriteString("\nThe median is 0 wherever more than half go straight.\n")
}
