package stream

import (
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// inheritedFor is how long a flow is told on whose owner another balancer has told and
// that has had no packet here: some pauses of callers between two requests.
const inheritedTTL = 5 * clock.Second

// Owners returns the flows that this balancer knows the owners of, for the one
// that takes its place: those that had packets here, and those inherited lately.
//
// Each balancer of a failure domain tells a starting one. Were all told that any of them
// has ever inherited, it would be told each flow by each, and small ones were busy with
// that while callers' packets wait.
func (s *Steerer) Owners(now clock.Millis) []*wire.Owner {
	var all []*wire.Owner
	for _, id := range s.flows.Keys() {
		f, ok := s.flows.Peek(id)
		life := s.settings.FlowTTL
		if ok && f.inherited {
			life = inheritedTTL
		}
		if !ok || f.ended || now.Sub(f.lastSeen) > life {
			continue
		}
		taker, ok := f.owner.Confirmed()
		if !ok {
			continue
		}
		all = append(all, &wire.Owner{
			Flow: segment.AppendFlow(nil, id), Address: segment.AppendAddress(nil, taker), Service: f.service,
		})
	}
	return all
}

// Inherit remembers owners that another balancer knew. What this one has found
// out itself stays.
func (s *Steerer) Inherit(now clock.Millis, owners []*wire.Owner) int {
	taken := 0
	for _, o := range owners {
		id, err := segment.ParseFlow(o.Flow)
		if err != nil {
			continue
		}
		agent, err := segment.ParseAddress(o.Address)
		if err != nil || s.flows.Contains(id) {
			continue
		}
		s.flows.Add(id, &flow{owner: confirmedBy(agent), service: o.Service, lastSeen: now, inherited: true})
		taken++
	}
	return taken
}
