package decisions

import (
	"net/netip"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// malformedPerSecond and malformedBurst bound the lines about datagrams that
	// cannot be read: a sender of garbage must not drown the decisions.
	malformedPerSecond = 1
	malformedBurst     = 5
)

// Malformed logs and counts datagrams that cannot be read. All are counted; some
// have a line, which tells how many had none before it. It is safe for concurrent
// use.
type Malformed struct {
	log     zerolog.Logger
	counter tally.Counter
	limit   *rate.Limiter
	left    atomic.Int64
}

// NewMalformed returns one that has seen nothing.
func NewMalformed(log zerolog.Logger, scope tally.Scope) *Malformed {
	return &Malformed{
		log: log, counter: scope.Counter("malformed"), limit: rate.NewLimiter(malformedPerSecond, malformedBurst),
	}
}

// Note takes one datagram that arrived on a socket, which the caller names.
func (m *Malformed) Note(socket string, from netip.AddrPort, err error) {
	m.counter.Inc(1)
	if !m.limit.Allow() {
		m.left.Add(1)
		return
	}
	m.log.Warn().Str("event", "malformed").Str("socket", socket).Stringer("from", from).
		Int64("left", m.left.Swap(0)).Err(err).Msg("a datagram cannot be read")
}
