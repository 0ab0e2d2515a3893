package parcels

import (
	"strings"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// trafficEvery is the pause between two lines about what was sent.
const trafficEvery = 10 * clock.Second

// verbs is how many verbs are counted; what is above has the place of none.
const verbs = int(wire.Verb_VERB_SUMMARY) + 1

// Traffic counts the parcels that a process sends, by verb, and those of them that leave
// its failure domain, which are paid for by the byte.
//
// It is used under the lock of the process.
type Traffic struct {
	log    zerolog.Logger
	near   [verbs]load
	far    [verbs]load
	scopes [verbs]tally.Counter
	told   clock.Millis
}

// load is how many parcels there were and how many bytes they had.
type load struct{ parcels, bytes int }

func (l *load) add(size int) {
	l.parcels++
	l.bytes += size
}

// NewTraffic returns counts of nothing.
func NewTraffic(log zerolog.Logger, scope tally.Scope) *Traffic {
	t := &Traffic{log: log}
	for v := range t.scopes {
		t.scopes[v] = scope.Counter("sent_" + name(v))
	}
	return t
}

func name(verb int) string {
	return strings.ToLower(strings.TrimPrefix(wire.Verb(verb).String(), "VERB_"))
}

// Sent notes a parcel; far tells that it leaves the failure domain.
func (t *Traffic) Sent(verb wire.Verb, far bool, size int) {
	v := int(verb)
	if v < 0 || v >= verbs {
		v = 0
	}
	t.scopes[v].Inc(1)
	if far {
		t.far[v].add(size)
		return
	}
	t.near[v].add(size)
}

// Tell writes a line about what was sent since the last one, if it is time or the process
// stops, and reports whether it did.
func (t *Traffic) Tell(now clock.Millis, stops bool) bool {
	if t.told == 0 {
		t.told = now
	}
	if !stops && now.Sub(t.told) < trafficEvery {
		return false
	}
	t.log.Info().Str("event", "traffic").Int64("age", int64(now.Sub(t.told))).
		Dict("near", dict(&t.near)).Dict("far", dict(&t.far)).Send()
	t.told, t.near, t.far = now, [verbs]load{}, [verbs]load{}
	return true
}

// dict lists the verbs that were sent: parcels and bytes.
func dict(loads *[verbs]load) *zerolog.Event {
	d := zerolog.Dict()
	for v, l := range loads {
		if l.parcels > 0 {
			d.Ints(name(v), []int{l.parcels, l.bytes})
		}
	}
	return d
}
