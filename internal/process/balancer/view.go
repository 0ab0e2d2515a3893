package balancer

import (
	"maps"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
)

// viewRevision differs when the view of a service's targets may have changed.
type viewRevision struct {
	version, balancers, service uint64
}

// viewRevision returns the current revision of a service. It is called with mu held.
func (b *Balancer) viewRevision(service string) viewRevision {
	return viewRevision{version: b.replica.Version(), balancers: b.balancerChanges, service: b.serviceChanges[service]}
}

// rebuildSnapshot rebuilds the snapshot of all services. It is called with mu held,
// and so is updateSnapshot.
func (b *Balancer) rebuildSnapshot() {
	state := b.replica.State()
	s := &snapshot{sets: make(map[uint32]*target.Set, len(state.Root.Services))}
	b.targetKeys = map[heartbeatKey]member.Key{}
	for _, e := range state.Root.Services {
		s.sets[e.Number] = b.buildTargetSet(state, e)
	}
	b.snapshot.Store(s)
	b.waiting.Wake()
}

// updateSnapshot rebuilds the parts of the snapshot that the records belong to.
// After a failure domain has restarted, hundreds of records change within
// seconds; a full rebuild for each would take a large part of a core.
func (b *Balancer) updateSnapshot(records []member.Member) {
	if len(records) == 0 {
		return
	}
	state := b.replica.State()
	next := &snapshot{sets: maps.Clone(b.snapshot.Load().sets)}
	for i := range records {
		m := &records[i]
		if m.Kind == member.Balancer {
			b.balancerChanges++
			b.relayStale = true
			continue
		}
		b.serviceChanges[m.Service]++
		if service, ok := state.Service(m.Service); ok {
			next.sets[service.Number] = b.buildTargetSet(state, config.Entry{Name: m.Service, Number: service.Number})
		}
	}
	b.snapshot.Store(next)
	b.waiting.Wake()
}

// buildTargetSet returns a service's targets for the packet path, and indexes the
// keys of their heartbeats.
func (b *Balancer) buildTargetSet(state *config.State, e config.Entry) *target.Set {
	var all []target.Candidate
	for _, m := range b.table.Targets(e.Name) {
		b.targetKeys[heartbeatKey{service: e.Number, target: target.IDFromName(m.Name)}] = m.Key
		if c, ok := candidate(state, &m.Member); ok {
			all = append(all, c)
		}
	}
	return target.NewSet(e.Number, all)
}

func isTarget(m *member.Member) bool {
	return m.Kind == member.Target
}

// candidate returns a target as the packet path uses it, or false for one that has
// left or that the operators do not admit to the service.
func candidate(state *config.State, m *member.Member) (target.Candidate, bool) {
	service, ok := state.Service(m.Service)
	if !ok || !service.AllowsUpstream(m.Upstream.Addr()) || m.State == member.Left {
		return target.Candidate{}, false
	}
	return target.Candidate{
		ID: target.IDFromName(m.Name), Name: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, Tunnel: m.Tunnel(),
		Draining:  m.State != member.Alive || state.Draining(m.Service, m.Name),
		Leaving:   m.State == member.Leaving,
		Suspected: m.Suspected,
	}, true
}
