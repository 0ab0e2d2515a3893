// Package spread decides which version of the configuration a process holds
// and what it sends to a peer that is behind.
//
// A Replica accepts only higher versions, from any sender and in any order, so
// its version never decreases: not because of a relay with a stale read of the
// platform, a peer that was partitioned, or a late delta.
//
// # Usage
//
//	applied, behind := replica.ApplyDelta(delta)
//	if behind { ... } // ask the sender for everything since our version
//
// A Replica is not safe for concurrent use; the states it returns are immutable.
package spread

import (
	"errors"

	"github.com/wagtailtray/wagtailtray/internal/version/config"
)

// maxDeltas is how many deltas a replica retains. At 1,100 changes a day they cover
// the last hour and a half; a peer further behind gets the whole state.
const maxDeltas = 64

// Replica is the configuration that one process holds.
type Replica struct {
	state  *config.State
	deltas []*config.Delta
}

// NewReplica returns a replica with the empty configuration.
func NewReplica() *Replica {
	return &Replica{state: &config.State{Records: map[string]*config.Service{}}}
}

// State returns the current state.
func (r *Replica) State() *config.State {
	return r.state
}

// Version returns the current version.
func (r *Replica) Version() uint64 {
	return r.state.Root.Version
}

// ApplyDelta applies a delta that starts at the current version. behind reports
// that the replica lacks earlier changes or that the delta does not apply, so it
// needs everything since its version.
func (r *Replica) ApplyDelta(d *config.Delta) (applied, behind bool) {
	if d.To <= r.Version() {
		return false, false
	}
	next, err := d.Apply(r.state)
	if errors.Is(err, config.ErrBaseVersion) {
		return false, d.From > r.Version()
	}
	if err != nil {
		return false, true
	}
	r.set(next, d)
	return true, false
}

// Replace accepts a whole state if its version is higher, and returns the delta to
// send to others.
func (r *Replica) Replace(s *config.State) (*config.Delta, bool) {
	if s.Root.Version <= r.Version() || s.Check() != nil {
		return nil, false
	}
	d := config.Diff(r.state, s)
	r.set(s, d)
	return d, true
}

func (r *Replica) set(s *config.State, d *config.Delta) {
	r.state = s
	r.deltas = append(r.deltas, d)
	if len(r.deltas) > maxDeltas {
		r.deltas = r.deltas[1:]
	}
}

// DeltasSince returns the deltas that lead from a version to the current one. It
// reports false if they are no longer retained.
func (r *Replica) DeltasSince(version uint64) ([]*config.Delta, bool) {
	for i, d := range r.deltas {
		if d.From == version {
			return r.deltas[i:], true
		}
	}
	return nil, version == r.Version()
}
