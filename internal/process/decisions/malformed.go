package decisions

import (
	"net/netip"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// maxMalformedLinesPerSecond and maxMalformedLineBurst limit the lines about malformed
	// messages, so that a sender of garbage does not flood the log of decisions.
	maxMalformedLinesPerSecond = 1
	maxMalformedLineBurst      = 5
)

// MalformedRecorder logs and counts malformed datagrams and requests. All are counted; the log lines
// are rate limited, and each reports how many were omitted before it. It is safe for
// concurrent use.
type MalformedRecorder struct {
	log     zerolog.Logger
	counter tally.Counter
	limiter *rate.Limiter
	omitted atomic.Int64
}

// NewMalformedRecorder returns a MalformedRecorder with a count of zero.
func NewMalformedRecorder(log zerolog.Logger, scope tally.Scope) *MalformedRecorder {
	return &MalformedRecorder{
		log: log, counter: scope.Counter("malformed"), limiter: rate.NewLimiter(maxMalformedLinesPerSecond, maxMalformedLineBurst),
	}
}

// Record records one malformed datagram or request. socket names the socket that received it.
func (m *MalformedRecorder) Record(socket string, from netip.AddrPort, err error) {
	m.counter.Inc(1)
	if !m.limiter.Allow() {
		m.omitted.Add(1)
		return
	}
	m.log.Warn().Str("event", "malformed").Str("socket", socket).Stringer("from", from).
		Int64("left", m.omitted.Swap(0)).Err(err).Msg("received a malformed message")
}
