package streamagent

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// checkTarget dials the target's address to check whether a process listens there.
func (a *Agent) checkTarget(ctx context.Context) {
	result, err := a.dialTarget(ctx)
	if err != nil {
		a.deps.Log.Debug().Str("event", "look").Err(err).Send()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.RecordDial(a.deps.Clock.Now(), result)
	a.flush()
}

func (a *Agent) dialTarget(ctx context.Context) (stream.DialResult, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", a.settings.Target.String())
	switch {
	case err == nil:
		return stream.Listening, conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		return stream.Refusing, nil
	default:
		return stream.Unanswered, err
	}
}

// runLookups looks up balancers while none probes this target. A failed lookup is retried
// soon: after a loss of power only the platform knows the balancers' addresses.
//
// The directory's cheap lists may be many seconds old. If all balancers were replaced they
// name only those that have left, and flows wait until the agent is known to the new ones;
// so an abandoned agent reads a current list.
func (a *Agent) runLookups(ctx context.Context) {
	delay, retry, abandonedDelay := clock.Millis(0), minLookupRetryDelay, minAbandonedDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay.Duration()):
		}
		unprobed, rest := a.unprobed()
		abandoned := rest <= 0
		if !abandoned {
			abandonedDelay = minAbandonedDelay
		}
		switch {
		case !unprobed:
			delay, retry = clock.Second, minLookupRetryDelay
		case !a.lookUpBalancers(ctx, abandoned):
			delay, retry = retry/2+rand.N(retry/2), min(2*retry, lookupInterval)
		case abandoned:
			delay, retry = abandonedDelay/2+rand.N(abandonedDelay), minLookupRetryDelay
			abandonedDelay = min(2*abandonedDelay, lookupInterval)
		default:
			delay, retry = min(rest, lookupInterval), minLookupRetryDelay
		}
	}
}

// unprobed reports whether no balancer probes this target, and how long until the agent
// counts as abandoned.
func (a *Agent) unprobed() (unprobed bool, untilAbandoned clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	return a.balancers.Unprobed(now), a.balancers.UntilAbandoned(now)
}

// lookUpBalancers looks up balancers, in a current list or in one that may be stale, and
// reports whether the platform answered.
func (a *Agent) lookUpBalancers(ctx context.Context, current bool) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	find := a.deps.Finder.Balancers
	if current {
		find = a.deps.Finder.CurrentBalancers
	}
	local, all, err := find(ctx, a.settings.Domain)
	if err != nil {
		a.deps.Log.Warn().Str("event", "nodirectory").Err(err).Msg("looking up balancers failed; retrying")
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	a.balancers.Learn(now, local, a.settings.Domain)
	if len(local) == 0 || a.balancers.NoLocalBalancer(now) {
		a.balancers.Learn(now, all, "")
	}
	return true
}
