package streambalancer

import (
	"cmp"
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// maxLaterVersions bounds the versions that a lag tracks.
const maxLaterVersions = 64

// maxLag is how long a balancer may open flows by its table after it has heard of a later
// version: a quarter of the time within which a version must be in force.
const maxLag = clock.Second

// lag tracks the versions of the configuration that this balancer has heard of and not yet
// activated. It is pure: time is an argument.
type lag struct {
	// later holds the versions above the one in force, in ascending order.
	later []laterVersion
}

// laterVersion is a version and when it was first heard of.
type laterVersion struct {
	version uint64
	heardAt clock.Millis
}

// Hear records that a peer holds a version. Beyond the bound the highest ones count as one:
// what matters is since when the lowest is missing.
func (l *lag) Hear(now clock.Millis, version, inForce uint64) {
	if version <= inForce {
		return
	}
	i, known := slices.BinarySearchFunc(l.later, version, func(v laterVersion, version uint64) int {
		return cmp.Compare(v.version, version)
	})
	switch {
	case known:
	case len(l.later) < maxLaterVersions:
		l.later = slices.Insert(l.later, i, laterVersion{version: version, heardAt: now})
	case i == len(l.later):
		l.later[i-1].version = version
	}
}

// Activate records that a version is in force.
func (l *lag) Activate(version uint64) {
	l.later = slices.DeleteFunc(l.later, func(v laterVersion) bool { return v.version <= version })
}

// Age returns for how long a version later than the one in force has been known, zero if
// there is none.
func (l *lag) Age(now clock.Millis) clock.Millis {
	age := clock.Millis(0)
	for _, v := range l.later {
		age = max(age, now.Sub(v.heardAt))
	}
	return age
}

// Overdue returns the highest version that has been known for longer than the given time, or
// zero.
func (l *lag) Overdue(now clock.Millis, after clock.Millis) uint64 {
	overdue := uint64(0)
	for _, v := range l.later {
		if now.Sub(v.heardAt) > after {
			overdue = max(overdue, v.version)
		}
	}
	return overdue
}

// Latest returns the highest version that is known, or zero if none is later than the one in
// force.
func (l *lag) Latest() uint64 {
	if len(l.later) == 0 {
		return 0
	}
	return l.later[len(l.later)-1].version
}
