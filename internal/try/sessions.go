package try

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/caller"
)

const (
	// openingShare is the part of the sessions that may be opening at a time.
	openingShare = 10
	// paceEvery is how often is looked whether enough sessions were begun.
	paceEvery = 10 * time.Millisecond
	// longest bounds a run on a slow machine, in lengths of a run.
	longest = 10
)

// keepSessions opens sessions at an even pace, and waits while many are opening: more
// handshakes than the machine carries would delay every datagram of the others by seconds.
func (r *run) keepSessions(opening, ctx context.Context) {
	ticker := time.NewTicker(r.gap())
	defer ticker.Stop()
	places := make(chan struct{}, max(r.options.Sessions/openingShare, 1))
	for n := 0; ; n++ {
		select {
		case <-opening.Done():
			return
		case <-ticker.C:
		}
		select {
		case <-opening.Done():
			return
		case places <- struct{}{}:
		}
		plan := r.plan(n, meanLength(r.options.For))
		plan.Settled = sync.OnceFunc(func() { <-places })
		r.begun.Add(1)
		r.sessions.Go(func() {
			defer plan.Settled()
			if err := r.session(ctx, plan, r.world.oracle); err != nil {
				r.endedEarly(&plan, err)
			}
		})
	}
}

// endedEarly logs a session with the address that the product knows its flow by, and the
// target that has served it.
func (r *run) endedEarly(p *caller.Plan, err error) {
	line := r.world.log.Warn().Str("event", "session").Str("service", p.Service)
	var early *caller.EarlyError
	if errors.As(err, &early) {
		seen, _ := r.world.fabric.Seen(p.Address.Port(), early.Caller)
		line = line.Uint64("session", early.Session).Stringer("caller", seen).Str("target", r.world.oracle.Served(early.Session))
	}
	line.Err(err).Msg("session ended early")
}

// gap is the time between two openings.
func (r *run) gap() time.Duration {
	return max(meanLength(r.options.For)/time.Duration(r.options.Sessions), time.Millisecond)
}

// pace waits until a share of the run is over: of its time, and of the sessions that are
// begun in that time. Where a slow machine opens them later the changes come later as
// well, and meet as many.
func (r *run) pace(ctx context.Context, share float64) {
	sleep(ctx, time.Duration(share*float64(r.options.For))-time.Since(r.started))
	for r.begun.Load() < r.wanted(share) && ctx.Err() == nil && time.Since(r.started) < longest*r.options.For {
		sleep(ctx, paceEvery)
	}
}

// wanted is how many sessions are to be begun in a share of the run.
func (r *run) wanted(share float64) int64 {
	return int64(share * float64(r.options.For/r.gap()))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(max(d, 0)):
	}
}

// meanLength is that of a session: a fifth of the run, so that each target
// sees several generations of sessions and every change meets open ones.
func meanLength(total time.Duration) time.Duration {
	return max(total/5, time.Second)
}

// sessionsOfFirst is how many of ten sessions are of the first service.
const sessionsOfFirst = 7

// plan draws what the n'th session does: every third one watches a feed, and
// those of the second service fetch a download.
func (r *run) plan(n int, mean time.Duration) caller.Plan {
	service := &r.world.answers.Services[0]
	if n%10 >= sessionsOfFirst {
		service = &r.world.answers.Services[1]
	}
	length := time.Duration(min(r.random.ExpFloat64(), 3) * float64(mean))
	p := caller.Plan{
		Service: service.Name, Address: service.Address.AddrPort, Local: r.world.address(octetCaller, byte(1+n%200)),
		Length: length, Pause: 300 * time.Millisecond,
	}
	if n%3 == 0 {
		p.Every = 100
		p.Ticks = int(length / (100 * time.Millisecond))
	}
	if service != &r.world.answers.Services[0] {
		p.Bytes = 64 << 10
	}
	return p
}
