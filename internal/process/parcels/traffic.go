package parcels

import (
	"strings"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// trafficLogInterval is the interval between two log lines about sent parcels.
const trafficLogInterval = 10 * clock.Second

// verbCount is the number of verbs that are counted separately; higher ones count as
// VERB_NONE.
const verbCount = int(wire.Verb_VERB_HANDED) + 1

// Traffic counts the parcels and bytes that a process sends, by verb. Parcels that leave
// its failure domain are counted separately, because they are charged by the byte.
//
// The caller must hold the lock of the process.
type Traffic struct {
	log      zerolog.Logger
	local    [verbCount]sentCount
	remote   [verbCount]sentCount
	counters [verbCount]tally.Counter
	loggedAt clock.Millis
}

// sentCount is a number of parcels and their total size.
type sentCount struct{ parcels, bytes int }

func (c *sentCount) add(size int) {
	c.parcels++
	c.bytes += size
}

// NewTraffic returns a Traffic with all counts at zero.
func NewTraffic(log zerolog.Logger, scope tally.Scope) *Traffic {
	t := &Traffic{log: log}
	for v := range t.counters {
		t.counters[v] = scope.Counter("sent_" + verbName(v))
	}
	return t
}

func verbName(verb int) string {
	return strings.ToLower(strings.TrimPrefix(wire.Verb(verb).String(), "VERB_"))
}

// RecordSent counts a sent parcel; remote reports whether it leaves the failure domain.
func (t *Traffic) RecordSent(verb wire.Verb, remote bool, size int) {
	v := int(verb)
	if v < 0 || v >= verbCount {
		v = 0
	}
	t.counters[v].Inc(1)
	if remote {
		t.remote[v].add(size)
		return
	}
	t.local[v].add(size)
}

// LogIfDue logs the parcels that were sent since the last line, if trafficLogInterval is
// over or the process stops, and reports whether it did.
func (t *Traffic) LogIfDue(now clock.Millis, stopping bool) bool {
	if t.loggedAt == 0 {
		t.loggedAt = now
	}
	if !stopping && now.Sub(t.loggedAt) < trafficLogInterval {
		return false
	}
	t.log.Info().Str("event", "traffic").Int64("age", int64(now.Sub(t.loggedAt))).
		Dict("near", logDict(&t.local)).Dict("far", logDict(&t.remote)).Send()
	t.loggedAt, t.local, t.remote = now, [verbCount]sentCount{}, [verbCount]sentCount{}
	return true
}

// logDict returns the parcels and bytes of each verb that was sent.
func logDict(counts *[verbCount]sentCount) *zerolog.Event {
	d := zerolog.Dict()
	for v, c := range counts {
		if c.parcels > 0 {
			d.Ints(verbName(v), []int{c.parcels, c.bytes})
		}
	}
	return d
}
