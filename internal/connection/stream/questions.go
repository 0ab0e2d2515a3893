package stream

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// gather is how long questions wait for others to the same agent after some
	// were sent: a fraction of a search's first stage.
	gather = 5 * clock.Millis(1)
	// mostQuestions keeps a parcel of questions, some 20 bytes each, within one
	// frame.
	mostQuestions = 60
)

// questions are gathered for each agent.
//
// Failure: all VMs lost power, and the packets of thousands of flows arrive that
// nobody holds any more. Symptom: a datagram for each flow and target keeps small
// balancers busy for many seconds, and what is well is served late. Gathered, the
// questions of a moment are one datagram a target. A single search waits for
// nothing: its questions leave at once.
type questions struct {
	waiting map[netip.AddrPort][]*wire.Question
	sent    clock.Millis
}

func (q *questions) add(to netip.AddrPort, question *wire.Question) {
	q.waiting[to] = append(q.waiting[to], question)
}

// flush sends what waits, unless something was sent a moment ago.
func (q *questions) flush(now clock.Millis, out *Outcome) {
	if len(q.waiting) == 0 || now.Sub(q.sent) < gather {
		return
	}
	q.sent = now
	for _, to := range slices.SortedFunc(maps.Keys(q.waiting), netip.AddrPort.Compare) {
		all := q.waiting[to]
		delete(q.waiting, to)
		for len(all) > 0 {
			size := min(len(all), mostQuestions)
			out.send(to, &wire.Parcel{Verb: wire.Verb_VERB_ASK, Questions: all[:size]})
			all = all[size:]
		}
	}
}
