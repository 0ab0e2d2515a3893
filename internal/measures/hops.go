package measures

import (
	"fmt"
	"strings"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// chattyFlows is the flows of a target that send all the time.
	chattyFlows = 40
	// chattyTime is how long they do: 150 datagrams each.
	chattyTime = clock.Minute
)

// Chatty is where the datagrams of flows that send all the time went.
type Chatty struct {
	Case      Case
	Balancers int
	// Straight datagrams reached their owner without another agent between.
	Datagrams, Straight int
	// Extra is the mean number of agents between.
	Extra float64
}

// Hops runs a service with flows that send all the time, opening ones included.
func Hops(c Case, balancers int, seed uint64) Chatty {
	w := model.New(model.Options{
		Seed: seed, Targets: c.Targets, Balancers: balancers, Delay: c.Delay, Jitter: 2, Loss: 0.001, DigestInterval: c.Digest,
	})
	out := Chatty{Case: c, Balancers: balancers}
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
				out.Straight++
			}
			passed[h.Flow] = 0
		case owner.Drop, owner.Refuse:
		}
	}
	for range c.Targets * chattyFlows {
		w.Open(0)
		w.Run(10)
	}
	w.Run(chattyTime)
	out.Extra = float64(passes) / float64(max(out.Datagrams, 1))
	return out
}

// hopsTable writes the hops of every service.
func hopsTable(b *strings.Builder, rows []Row, seed uint64) {
	fmt.Fprintf(b, "\n## Hops of flows that send all the time\n\n%d flows a target, 150 datagrams each, over 6 and over 24 balancers. A balancer learns a flow's owner\nfrom its first datagram there; until then it walks.\n\n| deployment, service | balancers | straight to the owner | mean extra hops a datagram |\n| --- | --- | --- | --- |\n", chattyFlows)
	for _, r := range rows {
		if r.Case.Scenario != Steady {
			continue
		}
		for _, n := range []int{balancers, 4 * balancers} {
			h := Hops(r.Case, n, seed)
			fmt.Fprintf(b, "| %s, %s | %d | %.1f %% | %.3f |\n", h.Case.Deployment, h.Case.Service, n, 100*float64(h.Straight)/float64(max(h.Datagrams, 1)), h.Extra)
		}
	}
	b.WriteString("\nThe median is 0 wherever more than half go straight.\n")
}
