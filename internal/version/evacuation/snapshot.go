package evacuation

import (
	"maps"
	"slices"
)

// maxDomains bounds the failure domains of a snapshot: any process may send one, and an
// operator may name domains that do not exist.
const maxDomains = 256

// Snapshot holds the evacuations in effect at a revision of the platform's store.
type Snapshot struct {
	// Revision is zero if nothing is known.
	Revision uint64
	// Domains is sorted.
	Domains []string
}

// New returns a snapshot with at most maxDomains domains, sorted and without duplicates.
func New(revision uint64, domains []string) Snapshot {
	all := slices.Compact(slices.Sorted(slices.Values(domains)))
	return Snapshot{Revision: revision, Domains: all[:min(len(all), maxDomains)]}
}

// Known reports whether the evacuations are known, even if there are none.
func (s Snapshot) Known() bool {
	return s.Revision != 0
}

// Has reports whether a failure domain is evacuated.
func (s Snapshot) Has(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// Change is an evacuation that was added or removed.
type Change struct {
	Domain  string
	Removed bool
}

// Apply returns the snapshot at a later revision, given the changes up to that revision
// in order.
func (s Snapshot) Apply(revision uint64, changes []Change) Snapshot {
	domains := map[string]bool{}
	for _, d := range s.Domains {
		domains[d] = true
	}
	for _, c := range changes {
		if c.Removed {
			delete(domains, c.Domain)
			continue
		}
		domains[c.Domain] = true
	}
	return New(max(s.Revision, revision), slices.Collect(maps.Keys(domains)))
}

// Difference lists the domains in which two snapshots differ.
type Difference struct {
	Added   []string
	Removed []string
}

// HasChanges reports whether any domain was added or removed.
func (d Difference) HasChanges() bool {
	return len(d.Added)+len(d.Removed) > 0
}

// Update replaces the snapshot with a later one and returns the difference. A snapshot
// whose revision is not higher is ignored.
func (s *Snapshot) Update(later Snapshot) Difference {
	if later.Revision <= s.Revision {
		return Difference{}
	}
	d := Difference{Added: domainsNotIn(later.Domains, *s), Removed: domainsNotIn(s.Domains, later)}
	*s = later
	return d
}

func domainsNotIn(domains []string, s Snapshot) []string {
	var rest []string
	for _, d := range domains {
		if !s.Has(d) {
			rest = append(rest, d)
		}
	}
	return rest
}
