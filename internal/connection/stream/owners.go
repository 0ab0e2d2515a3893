package stream

import (
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// inheritedTTL is how long an inherited owner is passed on while the flow has had no
// packet here: some pauses of callers between two requests.
const inheritedTTL = 5 * clock.Second

// Owners returns the flows whose owners this balancer knows, for its successor: those
// that had packets here, and those inherited recently.
//
// Each balancer of a failure domain sends its owners to a starting one. If they included
// every owner ever inherited, the starting balancer would receive each flow from each of
// them, and small balancers would be busy with that while callers' packets wait.
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
		agent, ok := f.owner.Confirmed()
		if !ok {
			continue
		}
		all = append(all, &wire.Owner{
			Flow: segment.AppendFlow(nil, id), Address: segment.AppendAddress(nil, agent), Service: f.service,
		})
	}
	return all
}

// AddOwners adds owners that another balancer knew and returns how many were added. Flows
// that are already in the table are not changed.
func (s *Steerer) AddOwners(now clock.Millis, owners []*wire.Owner) int {
	added := 0
	for _, o := range owners {
		id, err := segment.ParseFlow(o.Flow)
		if err != nil {
			continue
		}
		agent, err := segment.ParseAddress(o.Address)
		if err != nil || s.flows.Contains(id) {
			continue
		}
		s.flows.Add(id, &flow{
			owner: confirmedBy(agent), service: o.Service, lastSeen: now, inherited: true, opening: unseenOpening(now),
		})
		added++
	}
	return added
}
