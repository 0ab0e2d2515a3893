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

// look finds out whether anybody listens at the target's address.
func (a *Agent) look(ctx context.Context) {
	found, err := a.dial(ctx)
	if err != nil {
		a.deps.Log.Debug().Str("event", "look").Err(err).Send()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.RecordDial(a.deps.Clock.Now(), found)
	a.flush()
}

func (a *Agent) dial(ctx context.Context) (stream.DialResult, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
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

// finds looks for balancers while none probes this target. A platform that does not answer
// is asked again soon: after a loss of power nobody else knows where balancers are.
func (a *Agent) finds(ctx context.Context) {
	pause, retry := clock.Millis(0), firstFind
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.Duration()):
		}
		switch {
		case !a.lonely():
			pause, retry = clock.Second, firstFind
		case a.find(ctx):
			pause, retry = findEvery, firstFind
		default:
			pause, retry = retry/2+rand.N(retry/2), min(2*retry, findEvery)
		}
	}
}

// lonely reports that no balancer probes this target.
func (a *Agent) lonely() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.balancers.Lonely(a.deps.Clock.Now())
}

// find looks balancers up, and reports whether the platform has answered.
func (a *Agent) find(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	near, all, err := a.deps.Finder.Balancers(ctx, a.settings.Domain)
	if err != nil {
		a.deps.Log.Warn().Str("event", "nodirectory").Err(err).Msg("balancers cannot be looked up")
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	a.balancers.Learn(now, near, a.settings.Domain)
	if len(near) == 0 || a.balancers.Alone(now) {
		a.balancers.Learn(now, all, "")
	}
	return true
}
