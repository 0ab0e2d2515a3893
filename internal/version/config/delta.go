package config

import (
	"slices"
	"strings"
)

// Delta is the difference between one version and a later one. A change of one
// service gives a small delta, however many services there are.
type Delta struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Entries and Records describe the services that were added or changed.
	Entries []Entry    `json:"entries,omitempty"`
	Records []*Service `json:"records,omitempty"`
	Removed []string   `json:"removed,omitempty"`
	// Head is the root of version To without its services and with only its
	// last change.
	Head Root `json:"head"`
}

// Diff returns the delta between two states.
func Diff(from, to *State) *Delta {
	d := &Delta{From: from.Root.Version, To: to.Root.Version, Head: to.Root}
	d.Head.Services = nil
	d.Head.Changes = to.Root.Changes[max(0, len(to.Root.Changes)-1):]
	old := map[string]string{}
	for _, e := range from.Root.Services {
		old[e.Name] = e.RecordName
	}
	for _, e := range to.Root.Services {
		if old[e.Name] != e.RecordName {
			d.Entries = append(d.Entries, e)
			d.Records = append(d.Records, to.Records[e.RecordName])
		}
		delete(old, e.Name)
	}
	for name := range old {
		d.Removed = append(d.Removed, name)
	}
	slices.Sort(d.Removed)
	return d
}

// Apply returns the state that the delta leads to. It does not modify s, because
// workers may still be reading it.
func (d *Delta) Apply(s *State) (*State, error) {
	if s.Root.Version != d.From {
		return nil, ErrBaseVersion
	}
	next := &State{Root: d.Head, Records: map[string]*Service{}}
	next.Root.Changes = mergeChanges(s.Root.Changes, d.Head.Changes)
	for _, e := range s.Root.Services {
		if slices.Contains(d.Removed, e.Name) || slices.ContainsFunc(d.Entries, hasName(e.Name)) {
			continue
		}
		next.Root.Services = append(next.Root.Services, e)
		next.Records[e.RecordName] = s.Records[e.RecordName]
	}
	for i, e := range d.Entries {
		next.Root.Services = append(next.Root.Services, e)
		next.Records[e.RecordName] = d.Records[i]
	}
	slices.SortFunc(next.Root.Services, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return next, next.Check()
}

func hasName(name string) func(Entry) bool {
	return func(e Entry) bool { return e.Name == name }
}

func mergeChanges(old, last []Change) []Change {
	all := slices.Clone(old)
	for _, c := range last {
		if !slices.ContainsFunc(all, func(o Change) bool { return o.ID == c.ID }) {
			all = append(all, c)
		}
	}
	return all[max(0, len(all)-maxChanges):]
}
