// Package evacuation tracks the failure domains in which operators have disabled the
// opening of flows.
//
// # The model
//
// An evacuation is an object in the platform's store that names a failure domain. It is in
// effect until the object is deleted. The store numbers all its changes with one revision
// counter. A Snapshot holds the evacuations in effect at a revision and is replaced only by
// a snapshot of a higher revision, so a process that sends an older snapshot can neither
// undo nor repeat the addition or removal of an evacuation.
//
// A balancer keeps the whole snapshot and forwards it. An agent needs to know only whether
// its own failure domain is evacuated, which is a DomainStatus.
//
// For example, balancer a reads at revision 7 that d1 is evacuated, and balancer b reads at
// revision 9 that no domain is. In whatever order they exchange snapshots, both end at
// revision 9.
//
// # Usage
//
//	s = s.Apply(revision, changes)       // from the store's changes
//	if d := s.Update(received); ... {    // from a reader or a peer
//	s.Has("d1")
package evacuation
