package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Compare returns a human-readable list of the differences between two states,
// one per line.
func Compare(from, to *State) []string {
	var lines []string
	lines = append(lines, compareFields("timing", from.Root.Timing, to.Root.Timing)...)
	if !slices.Equal(from.Root.Domains, to.Root.Domains) {
		lines = append(lines, fmt.Sprintf("~ domains: %v -> %v", from.Root.Domains, to.Root.Domains))
	}
	for _, e := range to.Root.Services {
		was, ok := from.Service(e.Name)
		now, _ := to.Service(e.Name)
		if !ok {
			lines = append(lines, fmt.Sprintf("+ service %s at %s", e.Name, now.Address))
			continue
		}
		lines = append(lines, compareFields("service "+e.Name, was, now)...)
	}
	for _, e := range from.Root.Services {
		if _, ok := to.Service(e.Name); !ok {
			lines = append(lines, "- service "+e.Name)
		}
	}
	for _, d := range to.Root.Drains {
		if !slices.Contains(from.Root.Drains, d) {
			lines = append(lines, fmt.Sprintf("+ drain %s/%s", d.Service, d.Target))
		}
	}
	for _, d := range from.Root.Drains {
		if !slices.Contains(to.Root.Drains, d) {
			lines = append(lines, fmt.Sprintf("- drain %s/%s", d.Service, d.Target))
		}
	}
	return lines
}

// compareFields compares two records field by field, using their JSON encoding,
// so that a new field cannot be left out of the comparison.
func compareFields(what string, from, to any) []string {
	a, b := jsonFields(from), jsonFields(to)
	var names []string
	for name := range b {
		if a[name] != b[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var lines []string
	for _, name := range names {
		lines = append(lines, fmt.Sprintf("~ %s: %s: %s -> %s", what, name, a[name], b[name]))
	}
	return lines
}

func jsonFields(v any) map[string]string {
	data, err := json.Marshal(v)
	if err != nil {
		// The records have no field that JSON cannot encode.
		panic(err)
	}
	var raw map[string]json.RawMessage
	_ = json.Unmarshal(data, &raw)
	out := map[string]string{}
	for name, value := range raw {
		out[name] = string(value)
	}
	return out
}
