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
	// minBatchDelay is how long questions are batched after the last batch was sent: a
	// fraction of domainTimeout. If that is longer, the delay is a millisecond per
	// searchesPerMilli searches under way, up to maxBatchDelay. This delays searches, but leaves
	// a small balancer time to process the answers.
	minBatchDelay    = 5 * clock.Millis(1)
	maxBatchDelay    = 50 * clock.Millis(1)
	searchesPerMilli = 4
	// questionSize is the encoded size of a question: a flow and an acknowledgement number.
	questionSize = 16
	// maxBatchSize keeps a parcel of questions within one Ethernet frame.
	maxBatchSize = 80
	// batchesPerCore is how many parcels of questions a balancer with a whole core may send
	// per second: it processes the answers too, and most of its time is for healthy flows.
	batchesPerCore = 6000.0
	// defaultCPUShare is used for a share of a core that is unknown, in thousandths.
	defaultCPUShare = 250
	// burstFraction is the fraction of a second's parcels that may be sent at once, and
	// minBurst the smallest burst: a single search in a failure domain is not delayed.
	burstFraction = 0.3
	minBurst      = 100.0
	// relayedCost is how many tokens a question to a relay takes: some tens of answers
	// come back, each of which is less work than a question.
	relayedCost = 12.0
	// remoteDelay is by how much questions to other failure domains are ranked behind
	// those within the balancer's own: most flows never leave it.
	remoteDelay = 50 * clock.Millis(1)
)

// questions batches the ownership questions to each agent.
//
// After a power loss, packets of thousands of flows arrive that no target holds, and a
// datagram per flow and target would keep small balancers busy for many seconds. Batched,
// the questions of one interval are a datagram per target, and an answer is a byte per
// flow. A single search is not delayed: its questions are sent at once.
//
// With hundreds of targets, even a datagram per target and interval is more than a small
// balancer can send. So a token bucket limits them according to its share of a core.
// Questions over the limit stay batched: the later a batch is sent, the more flows it has.
type questions struct {
	pending map[netip.AddrPort]*batch
	// sent are the unanswered batches, by their numbers.
	sent       map[uint32]*batch
	lastNumber uint32
	lastFlush  clock.Millis
	lastSweep  clock.Millis
	// isSearching reports whether a search for the owner of a flow is still under way.
	isSearching func(segment.Flow) bool
	tokenBucket
}

// batch holds questions to one agent, or to all agents of another failure domain through
// its relay.
type batch struct {
	to netip.AddrPort
	// domain is that failure domain; empty for a batch to an agent.
	domain string
	sentAt clock.Millis
	// queuedAt orders the pending batches.
	queuedAt clock.Millis
	flows    []segment.Flow
	encoded  []byte
	// pruneAt is the number of flows at which those whose searches have ended are removed.
	pruneAt int
}

// newQuestions returns the questions of a balancer with a share of a core, in thousandths.
func newQuestions(share uint32, isSearching func(segment.Flow) bool) questions {
	return questions{
		pending: map[netip.AddrPort]*batch{}, sent: map[uint32]*batch{}, isSearching: isSearching, tokenBucket: newQuestionBucket(share),
	}
}

// add asks an agent about a flow; remote reports that it is in another failure domain.
func (q *questions) add(now clock.Millis, to netip.AddrPort, remote bool, id segment.Flow, ack uint32) {
	q.addTo(q.pendingBatch(now, to, remote), id, ack)
}

// addRelayed asks all agents of another failure domain through its relay.
func (q *questions) addRelayed(now clock.Millis, relay netip.AddrPort, domain string, id segment.Flow, ack uint32) {
	b := q.pendingBatch(now, relay, true)
	b.domain = domain
	q.addTo(b, id, ack)
}

func (q *questions) pendingBatch(now clock.Millis, to netip.AddrPort, remote bool) *batch {
	b := q.pending[to]
	if b == nil {
		b = &batch{to: to, queuedAt: now, pruneAt: maxBatchSize}
		if remote {
			b.queuedAt += remoteDelay
		}
		q.pending[to] = b
	}
	return b
}

// addTo adds a question to a batch. As the batch grows, the questions of ended searches
// are removed, so that it has at most twice as many as there may be searches.
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

// prune removes the questions whose searches have ended.
func (q *questions) prune(b *batch) {
	kept := 0
	for i, id := range b.flows {
		if !q.isSearching(id) {
			continue
		}
		b.flows[kept] = id
		copy(b.encoded[kept*questionSize:], b.encoded[i*questionSize:(i+1)*questionSize])
		kept++
	}
	b.flows, b.encoded = b.flows[:kept], b.encoded[:kept*questionSize]
}

// throttled reports that questions are pending because there is no token left.
func (q *questions) throttled() bool {
	return len(q.pending) > 0 && q.tokens < 1
}

// flush sends pending batches while there are tokens, unless the batch delay has not
// passed yet, and removes sent batches whose searches have ended.
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

// oldest returns the pending batches, the oldest first.
func (q *questions) oldest() []*batch {
	return slices.SortedFunc(maps.Values(q.pending), func(a, b *batch) int {
		return cmp.Or(cmp.Compare(a.queuedAt, b.queuedAt), a.to.Compare(b.to))
	})
}

// sendAll sends a batch in parcels, and reports whether there were tokens for all of it.
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

// cost is how many tokens a parcel takes: one for a question to an agent with its answer,
// and for a question to a relay as much as the answers of a failure domain cost.
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

// answeredFlows returns the flows of a batch that an agent of a failure domain answers. A
// batch to a single agent is answered once.
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

// eachQuestion calls each for the questions of a parcel.
func eachQuestion(b []byte, each func(id segment.Flow, ack uint32)) {
	for ; len(b) >= questionSize; b = b[questionSize:] {
		id, err := segment.ParseFlow(b[:questionSize-4])
		if err != nil {
			return
		}
		each(id, binary.BigEndian.Uint32(b[questionSize-4:]))
	}
}
