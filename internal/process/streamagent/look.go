package streamagent

import (
	"context"
	"errors"
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
	a.holder.Checked(a.deps.Clock.Now(), found)
	a.flush()
}

func (a *Agent) dial(ctx context.Context) (stream.Look, error) {
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

// finds looks for balancers while none probes this target.
func (a *Agent) finds(ctx context.Context) {
	pause := clock.Millis(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.Duration()):
		}
		pause = clock.Second
		if a.lonely() {
			a.find(ctx)
			pause = findEvery
		}
	}
}

// lonely reports that no balancer probes this target.
func (a *Agent) lonely() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.deps.Clock.Now().Sub(a.probed) > 2*clock.Second
}

func (a *Agent) find(ctx context.Context) {
	near, all, err := a.deps.Finder.Balancers(ctx, a.settings.Domain)
	if err != nil {
		a.deps.Log.Warn().Str("event", "nodirectory").Err(err).Msg("balancers cannot be looked up")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.learn(near, a.settings.Domain)
	if len(near) == 0 || a.alone(a.deps.Clock.Now()) {
		a.learn(all, "")
	}
}
