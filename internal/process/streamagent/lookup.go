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

// runLookups looks up balancers while none probes this target; see Lookups.
func (a *Agent) runLookups(ctx context.Context) {
	lookups, delay := NewLookups(), clock.Millis(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay.Duration()):
		}
		due := a.dueLookup(lookups)
		answered := due == NoLookup || a.lookUpBalancers(ctx, due == CurrentLookup)
		a.mu.Lock()
		delay = lookups.Delay(a.deps.Clock.Now(), a.balancers, due, answered, rand.Float64())
		a.mu.Unlock()
	}
}

func (a *Agent) dueLookup(lookups *Lookups) Lookup {
	a.mu.Lock()
	defer a.mu.Unlock()
	return lookups.Due(a.deps.Clock.Now(), a.balancers)
}

// lookUpBalancers looks up balancers, in a current list or in one that may be stale, and
// reports whether the platform answered.
func (a *Agent) lookUpBalancers(ctx context.Context, current bool) bool {
	ctx, cancel := context.WithTimeout(ctx, lookupTime.Duration())
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
