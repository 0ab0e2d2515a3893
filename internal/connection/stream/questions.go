package stream

import (
	"cmp"
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
	minBatchDelay    = 5 * clock.Millis(1)
	maxBatchDelay    = 50 * clock.Millis(1)
	searchesPerMilli = 4
	// questionSize is what a question takes in a parcel: a flow and a number.
	questionSize = 16
	// mostQuestions keeps a parcel of questions within one frame.
	maxBatchSize = 80
	// questionsPerCore is how many parcels of questions a second a whole core may send:
	// the answers come on top, and most of its time is for flows that are well.
	batchesPerCore = 6000.0
	// unknownShare stands in for a part of a core that is not known, in thousandths.
	defaultCPUShare = 250
	// questionBurst is how many of a second's parcels may leave at once, and leastBurst
	// how many at least: a single search in a failure domain waits for nothing.
	burstFraction = 0.3
	minBurst      = 100.0
	// handedCost is what a question that a relay hands on takes of the budget: some tens
	// of answers come back, each of which is less work than a question.
	relayedCost = 12.0
	// farWaits is how much longer questions to other failure domains wait than those
	// within the own one: most flows never leave it.
	remoteDelay = 50 * clock.Millis(1)
)

// questions are gathered for each agent.
//
// After a loss of power packets of thousands of flows arrive that nobody holds, and a
// datagram for each flow and target would keep small balancers busy for many seconds.
// Gathered, the questions of a moment are one datagram a target, and an answer is a byte
// a flow. A single search waits for nothing: its questions leave at once.
//
// Among hundreds of targets even a datagram a target for each moment is more than a small
// balancer can send. So there is a budget of them by its part of a core. What is over it
// goes on gathering: the later a question leaves, the more flows it asks about.
type questions struct {
	pending map[netip.AddrPort]*batch
	// sent are the batches without an answer, by their numbers.
	sent       map[uint32]*batch
	lastNumber uint32
	lastFlush  clock.Millis
	lastSweep  clock.Millis
	// searched tells whether the owner of a flow is still searched.
	isSearched func(segment.Flow) bool
	tokenBucket
}

// batch is questions to one agent, or to all agents of another failure domain by way of
// its relay.
type batch struct {
	to netip.AddrPort
	// domain is that failure domain; empty for a batch to an agent.
	domain string
	sentAt clock.Millis
	// since orders the batches that wait.
	queuedAt clock.Millis
	flows    []segment.Flow
	encoded  []byte
	// most is from how many flows on those are looked for whose searches are over.
	pruneAt int
}

// newQuestions returns the questions of a balancer with a part of a core, in thousandths.
func newQuestions(share uint32, searched func(segment.Flow) bool) questions {
	return questions{
		pending: map[netip.AddrPort]*batch{}, sent: map[uint32]*batch{}, isSearched: searched, tokenBucket: newQuestionBucket(share),
	}
}

// add asks an agent about a flow; far tells that it is in another failure domain.
func (q *questions) add(now clock.Millis, to netip.AddrPort, far bool, id segment.Flow, ack uint32) {
	q.addTo(q.pendingBatch(now, to, far), id, ack)
}

// addAll asks all agents of another failure domain by way of its relay.
func (q *questions) addRelayed(now clock.Millis, relay netip.AddrPort, domain string, id segment.Flow, ack uint32) {
	b := q.pendingBatch(now, relay, true)
	b.domain = domain
	q.addTo(b, id, ack)
}

func (q *questions) pendingBatch(now clock.Millis, to netip.AddrPort, far bool) *batch {
	b := q.pending[to]
	if b == nil {
		b = &batch{to: to, queuedAt: now, pruneAt: maxBatchSize}
		if far {
			b.queuedAt += remoteDelay
		}
		q.pending[to] = b
	}
	return b
}

// put adds a question to a batch. Those of ended searches are taken out as it grows, so
// that it has no more than there may be searches, twice over.
func (q *questions) addTo(b *batch, id segment.Flow, ack uint32) {
	if slices.Contains(b.flows, id) {
		return
	}
	if len(b.flows) >= b.pruneAt {
		q.prune(b)
		b.pruneAt = max(2*len(b.flows), maxBatchSize)
	}
	b.flows = append(b.flows, id)
	b.encoded = segment.AppendFlow(b.encoded, id)
	b.encoded = binary.BigEndian.AppendUint32(b.encoded, ack)
}

// prune takes the questions out whose searches are over.
func (q *questions) prune(b *batch) {
	kept := 0
	for i, id := range b.flows {
		if !q.isSearched(id) {
			continue
		}
		b.flows[kept] = id
		copy(b.encoded[kept*questionSize:], b.encoded[i*questionSize:(i+1)*questionSize])
		kept++
	}
	b.flows, b.encoded = b.flows[:kept], b.encoded[:kept*questionSize]
}

// behind reports that questions wait because the budget is spent.
func (q *questions) throttled() bool {
	return len(q.pending) > 0 && q.tokens < 1
}

// flush sends what waits as far as the budget goes, unless something was sent a moment
// ago, and forgets the questions whose searches are over.
func (q *questions) flush(now clock.Millis, searches int, out *Outcome) {
	if now.Sub(q.lastSweep) > searchTimeout {
		q.lastSweep = now
		maps.DeleteFunc(q.sent, func(_ uint32, b *batch) bool { return now.Sub(b.sentAt) > searchTimeout })
	}
	pause := min(max(clock.Millis(searches/searchesPerMilli), minBatchDelay), maxBatchDelay)
	if len(q.pending) == 0 || now.Sub(q.lastFlush) < pause {
		return
	}
	q.lastFlush = now
	if !q.refill(now) {
		return
	}
	for _, b := range q.oldest() {
		if !q.sendAll(now, b, out) {
			return
		}
		delete(q.pending, b.to)
	}
}

// oldest returns the batches that wait, those that have waited longest first.
func (q *questions) oldest() []*batch {
	return slices.SortedFunc(maps.Values(q.pending), func(a, b *batch) int {
		return cmp.Or(cmp.Compare(a.queuedAt, b.queuedAt), a.to.Compare(b.to))
	})
}

// sendAll sends a batch in parcels, and reports whether the budget sufficed.
func (q *questions) sendAll(now clock.Millis, b *batch, out *Outcome) bool {
	q.prune(b)
	for len(b.flows) > 0 {
		if q.tokens < 1 {
			return false
		}
		q.tokens -= b.cost()
		size := min(len(b.flows), maxBatchSize)
		q.send(now, out, &batch{to: b.to, domain: b.domain, flows: b.flows[:size], encoded: b.encoded[:size*questionSize]})
		b.flows, b.encoded = b.flows[size:], b.encoded[size*questionSize:]
	}
	return true
}

// cost is what a parcel takes of the budget: one for a question with its answer, and for
// one that a relay hands on about as much as the answers of a failure domain.
func (b *batch) cost() float64 {
	if b.domain == "" {
		return 1
	}
	return relayedCost
}

func (q *questions) send(now clock.Millis, out *Outcome, b *batch) {
	q.lastNumber = max(q.lastNumber+1, 1)
	q.sent[q.lastNumber] = b
	b.sentAt = now
	out.send(b.to, &wire.Parcel{Verb: wire.Verb_VERB_ASK, Number: q.lastNumber, Questions: b.encoded})
}

// asked returns the flows of a question that an agent of a failure domain answers. An
// agent that was asked itself answers once.
func (q *questions) answeredFlows(number uint32, from netip.AddrPort, domain string) []segment.Flow {
	b := q.sent[number]
	switch {
	case b == nil:
		return nil
	case b.domain != "":
		if b.domain != domain {
			return nil
		}
		return b.flows
	case b.to != from:
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
