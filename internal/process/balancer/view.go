package balancer

import (
	"maps"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
)

// stamp tells whether what a service's targets are told may have changed.
type stamp struct {
	version, balancers, service uint64
}

// stamp returns the present stamp of a service. It runs with mu held.
func (b *Balancer) stamp(service string) stamp {
	return stamp{version: b.book.Version(), balancers: b.balancersChanged, service: b.serviceChanged[service]}
}

// versionChanged makes the snapshot of all services anew. It runs with mu held,
// as the next one does.
func (b *Balancer) versionChanged() {
	state := b.book.State()
	s := &snapshot{sets: make(map[uint32]*target.Set, len(state.Root.Services))}
	b.byBeat = map[beaten]member.Key{}
	for _, e := range state.Root.Services {
		s.sets[e.Number] = b.makeSet(state, e)
	}
	b.snapshot.Store(s)
}

// membersChanged replaces the parts of the snapshot that some records belong
// to. After a failure domain has restarted, hundreds of records change within
// seconds; making everything anew for each would take a good part of a core.
func (b *Balancer) membersChanged(records []member.Member) {
	if len(records) == 0 {
		return
	}
	state := b.book.State()
	next := &snapshot{sets: maps.Clone(b.snapshot.Load().sets)}
	for i := range records {
		m := &records[i]
		if m.Kind == member.Balancer {
			b.balancersChanged++
			continue
		}
		b.serviceChanged[m.Service]++
		if service, ok := state.Service(m.Service); ok {
			next.sets[service.Number] = b.makeSet(state, config.Entry{Name: m.Service, Number: service.Number})
		}
	}
	b.snapshot.Store(next)
}

// makeSet returns a service's targets for the packet path, and lets their
// beats be found.
func (b *Balancer) makeSet(state *config.State, e config.Entry) *target.Set {
	var all []target.Candidate
	for _, m := range b.table.Service(e.Name) {
		b.byBeat[beaten{service: e.Number, target: target.IDFromName(m.Name)}] = m.Key
		if c, ok := candidate(state, &m.Member); ok {
			all = append(all, c)
		}
	}
	return target.NewSet(e.Number, all)
}

func isTarget(m *member.Member) bool {
	return m.Kind == member.Target
}

// candidate returns a target as the packet path sees it. A target that the
// operators do not admit to the service is none.
func candidate(state *config.State, m *member.Member) (target.Candidate, bool) {
	service, ok := state.Service(m.Service)
	if !ok || !service.AllowsUpstream(m.Upstream.Addr()) || m.State == member.Left {
		return target.Candidate{}, false
	}
	return target.Candidate{
		ID: target.IDFromName(m.Name), Name: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, Tunnel: m.Tunnel(),
		Draining:  m.State != member.Alive || state.Draining(m.Service, m.Name),
		Suspected: m.Suspected,
	}, true
}
