package config

import (
	"cmp"
	"slices"
)

// WithDrain returns a copy of the state in which one target's drain request is
// added or removed. The state itself is not modified.
func WithDrain(s *State, d Drain, on bool) *State {
	next := &State{Root: s.Root, Records: s.Records}
	next.Root.Drains = slices.DeleteFunc(slices.Clone(s.Root.Drains), func(o Drain) bool { return o == d })
	if on {
		next.Root.Drains = append(next.Root.Drains, d)
	}
	slices.SortFunc(next.Root.Drains, func(a, b Drain) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	return next
}
