package member

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// localContacts and remoteContacts are the numbers of balancers that an
	// agent announces itself to, inside and outside its failure domain. Two
	// local ones tolerate the failure of one; the remote one tolerates a
	// partition of the domain.
	localContacts  = 2
	remoteContacts = 1
)

// Ranked orders balancers by rendezvous hashing for a name.
func Ranked(balancers []Observed, name string) []Observed {
	seed := xxh3.HashString(name)
	weights := make(map[string]uint64, len(balancers))
	for i := range balancers {
		weights[balancers[i].Name] = weight(&balancers[i].Member, seed)
	}
	sorted := slices.Clone(balancers)
	slices.SortStableFunc(sorted, func(a, b Observed) int {
		return cmp.Compare(weights[b.Name], weights[a.Name])
	})
	return sorted
}

func weight(m *Member, seed uint64) uint64 {
	return xxh3.HashStringSeed(m.Name, seed)
}

// Contacts returns the balancers that a target announces itself to: the highest
// ranked live ones, so that announcements are spread evenly and few of them move
// when a balancer leaves.
//
// A balancer regularly computes this for every target, so it takes one pass over
// the balancers and does not sort.
func Contacts(balancers []Observed, domain, target string) []Observed {
	seed := xxh3.HashString(target)
	local := topWeights{capacity: localContacts}
	remote := topWeights{capacity: remoteContacts}
	for i := range balancers {
		b := &balancers[i]
		switch {
		case !b.Live():
		case b.Domain == domain:
			local.add(b, weight(&b.Member, seed))
		default:
			remote.add(b, weight(&b.Member, seed))
		}
	}
	return append(local.list(), remote.list()...)
}

// topWeights keeps the balancers with the highest weights, in descending order.
type topWeights struct {
	capacity int
	members  [localContacts]*Observed
	weights  [localContacts]uint64
	count    int
}

func (t *topWeights) add(m *Observed, weight uint64) {
	at := t.count
	for at > 0 && weight > t.weights[at-1] {
		at--
	}
	if at >= t.capacity {
		return
	}
	t.count = min(t.count+1, t.capacity)
	copy(t.members[at+1:t.count], t.members[at:])
	copy(t.weights[at+1:t.count], t.weights[at:])
	t.members[at], t.weights[at] = m, weight
}

func (t *topWeights) list() []Observed {
	all := make([]Observed, 0, t.count)
	for _, m := range t.members[:t.count] {
		all = append(all, *m)
	}
	return all
}
