package evacuation

// DomainStatus is what an agent knows of the evacuation of its own failure domain. The
// zero value means that nothing is known and the domain is not evacuated.
type DomainStatus struct {
	// Revision is the revision of the platform's store at which the status was read.
	Revision  uint64
	Evacuated bool
}

// Update applies the status that a balancer reports, and reports whether Evacuated has
// changed. A status whose revision is not higher is ignored.
func (s *DomainStatus) Update(revision uint64, evacuated bool) bool {
	if revision <= s.Revision {
		return false
	}
	changed := s.Evacuated != evacuated
	s.Revision, s.Evacuated = revision, evacuated
	return changed
}
