package stream

import (
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// leastGather is how long questions wait for others to the same agent after some
	// were sent: a fraction of a search's first stage. Each search under way beyond
	// that many milliseconds times searchesPerMilli makes it longer, up to
	// mostGather: what a search waits longer, a small balancer has for the answers.
	leastGather      = 5 * clock.Millis(1)
	mostGather       = 50 * clock.Millis(1)
	searchesPerMilli = 4
	// questionSize is what a question takes in a parcel: a flow and a number.
	questionSize = 16
	// mostQuestions keeps a parcel of questions within one frame.
	mostQuestions = 80
)

// questions are gathered for each agent.
//
// After a loss of power packets of thousands of flows arrive that nobody holds, and a
// datagram for each flow and target would keep small balancers busy for many seconds.
// Gathered, the questions of a moment are one datagram a target, and an answer is a byte
// a flow. A single search waits for nothing: its questions leave at once.
type questions struct {
	waiting map[netip.AddrPort]*batch
	// sent are the batches without an answer, by their numbers.
	sent   map[uint32]*batch
	number uint32
	last   clock.Millis
	swept  clock.Millis
}

// batch is questions to one agent.
type batch struct {
	to    netip.AddrPort
	at    clock.Millis
	flows []segment.Flow
	bytes []byte
}

func newQuestions() questions {
	return questions{waiting: map[netip.AddrPort]*batch{}, sent: map[uint32]*batch{}}
}

func (q *questions) add(to netip.AddrPort, id segment.Flow, ack uint32) {
	b := q.waiting[to]
	if b == nil {
		b = &batch{to: to}
		q.waiting[to] = b
	}
	b.flows = append(b.flows, id)
	b.bytes = segment.AppendFlow(b.bytes, id)
	b.bytes = binary.BigEndian.AppendUint32(b.bytes, ack)
}

// flush sends what waits, unless something was sent a moment ago, and forgets the
// questions whose searches are over.
func (q *questions) flush(now clock.Millis, searches int, out *Outcome) {
	if now.Sub(q.swept) > searchFor {
		q.swept = now
		maps.DeleteFunc(q.sent, func(_ uint32, b *batch) bool { return now.Sub(b.at) > searchFor })
	}
	pause := min(max(clock.Millis(searches/searchesPerMilli), leastGather), mostGather)
	if len(q.waiting) == 0 || now.Sub(q.last) < pause {
		return
	}
	q.last = now
	for _, to := range slices.SortedFunc(maps.Keys(q.waiting), netip.AddrPort.Compare) {
		b := q.waiting[to]
		delete(q.waiting, to)
		for len(b.flows) > 0 {
			size := min(len(b.flows), mostQuestions)
			q.send(now, out, &batch{to: to, at: now, flows: b.flows[:size], bytes: b.bytes[:size*questionSize]})
			b.flows, b.bytes = b.flows[size:], b.bytes[size*questionSize:]
		}
	}
}

func (q *questions) send(now clock.Millis, out *Outcome, b *batch) {
	q.number = max(q.number+1, 1)
	q.sent[q.number] = b
	b.at = now
	out.send(b.to, &wire.Parcel{Verb: wire.Verb_VERB_ASK, Number: q.number, Questions: b.bytes})
}

// asked returns the flows of a question that an agent answers. It is answered
// once.
func (q *questions) asked(number uint32, from netip.AddrPort) []segment.Flow {
	b := q.sent[number]
	if b == nil || b.to != from {
		return nil
	}
	delete(q.sent, number)
	return b.flows
}

// eachQuestion reads the questions of a parcel.
func eachQuestion(b []byte, each func(id segment.Flow, ack uint32)) {
	for ; len(b) >= questionSize; b = b[questionSize:] {
		id, err := segment.ParseFlow(b[:questionSize-4])
		if err != nil {
			return
		}
		each(id, binary.BigEndian.Uint32(b[questionSize-4:]))
	}
}
