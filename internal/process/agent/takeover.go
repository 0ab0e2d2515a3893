package agent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// errUnreadable is returned for what is no ledger: asking again would change nothing.
var errUnreadable = errs.New("agent: unreadable ledger")

const (
	// takeoverLimit bounds how long a starting agent asks for its predecessor's flows
	// while somebody who may have them does not answer.
	takeoverLimit = 5 * time.Second
	// firstPause is between the first two rounds of questions; it grows, and is drawn.
	firstPause = 100 * time.Millisecond
)

// source is somebody who may have a ledger of a predecessor.
type source struct {
	name string
	// suspected sources are asked once.
	suspected bool
	// ask returns nil for a source that has none.
	ask func(context.Context) (*owner.Ledger, error)
}

// takeLedger takes up what the predecessor left with the platform or a peer. If the agent
// is told to stop meanwhile, it leaves the flows for the next one: who gave them gives them
// to nobody else.
func (a *Agent) takeLedger(ctx context.Context) error {
	l := a.findLedger(context.WithoutCancel(ctx))
	if l == nil {
		return ctx.Err()
	}
	if ctx.Err() != nil {
		l.Incarnation = a.self.Incarnation
		a.handOver(context.WithoutCancel(ctx), l)
		return ctx.Err()
	}
	lost := a.table.Import(a.deps.Clock.Now(), l, a.pool)
	a.inherited.Store(true)
	a.count.restored.Inc(int64(len(l.Flows) - len(lost)))
	a.count.unrestored.Inc(int64(len(lost)))
	for _, caller := range lost {
		a.deps.Log.Error().Str("event", "unrestored").Stringer("caller", caller).Msg("local port not free, flow lost")
	}
	a.deps.Log.Info().Str("event", "restored").Int("flows", len(l.Flows)-len(lost)).
		Uint32("of", l.Incarnation).Uint32("incarnation", a.self.Incarnation).Msg("flows taken over")
	return nil
}

// findLedger returns the newest ledger of the predecessors.
//
// The platform goes first, and its ledger of the direct predecessor ends the search. An
// older one is not enough: its successor may not have been able to remove it, and may have
// left its own flows with a peer while the platform was away.
func (a *Agent) findLedger(ctx context.Context) *owner.Ledger {
	if a.self.Incarnation <= 1 {
		return nil
	}
	l, silent := a.ask(ctx, []source{a.platformSource()}, callTimeout)
	if a.fromDirect(l) {
		return l
	}
	return a.newer(l, a.askAll(ctx, append(silent, a.peerSources()...)))
}

// askAll asks sources until each has answered, or until there is nothing newer to be had.
// Who does not answer is asked again and given longer.
func (a *Agent) askAll(ctx context.Context, left []source) *owner.Ledger {
	ctx, cancel := context.WithTimeout(ctx, takeoverLimit)
	defer cancel()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	var newest *owner.Ledger
	for timeout := callTimeout; len(left) > 0 && ctx.Err() == nil; timeout *= 2 {
		var l *owner.Ledger
		l, left = a.ask(ctx, left, timeout)
		newest = a.newer(newest, l)
		if a.fromDirect(newest) || len(left) == 0 {
			break
		}
		sleep(ctx, clock.FromDuration(pause.NextBackOff()))
	}
	return newest
}

// answer is what a source said.
type answer struct {
	source source
	ledger *owner.Ledger
	err    error
}

// ask asks sources at once. It returns the newest ledger among their answers, and who is
// to be asked again.
func (a *Agent) ask(ctx context.Context, sources []source, timeout time.Duration) (*owner.Ledger, []source) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make(chan answer, len(sources))
	for _, s := range sources {
		go func() {
			l, err := s.ask(ctx)
			answers <- answer{source: s, ledger: l, err: err}
		}()
	}
	var newest *owner.Ledger
	var silent []source
	for range sources {
		r := <-answers
		newest = a.newer(newest, r.ledger)
		if a.fromDirect(newest) {
			return newest, nil
		}
		if r.err == nil {
			continue
		}
		a.deps.Log.Warn().Str("event", "ledger").Str("source", r.source.name).Err(r.err).Msg("not heard on a ledger")
		if !r.source.suspected && !errors.Is(r.err, errUnreadable) {
			silent = append(silent, r.source)
		}
	}
	return newest, silent
}

// newer returns the later one of two ledgers of predecessors; either may be nil.
func (a *Agent) newer(l, other *owner.Ledger) *owner.Ledger {
	if other == nil || other.Incarnation >= a.self.Incarnation {
		return l
	}
	if l == nil || other.Incarnation > l.Incarnation {
		return other
	}
	return l
}

// fromDirect reports a ledger of the direct predecessor: there is no newer one.
func (a *Agent) fromDirect(l *owner.Ledger) bool {
	return l != nil && l.Incarnation+1 == a.self.Incarnation
}

func (a *Agent) platformSource() source {
	return source{name: "platform", ask: func(ctx context.Context) (*owner.Ledger, error) {
		_, l, err := a.storedLedger(ctx)
		if errors.Is(err, platform.ErrNotFound) {
			return nil, nil
		}
		return l, err
	}}
}

func (a *Agent) storedLedger(ctx context.Context) (platform.Object, *owner.Ledger, error) {
	o, err := a.deps.Store.Get(ctx, platform.Ledgers, a.object())
	if err != nil {
		return o, nil, err
	}
	l, err := readLedger(o.Spec)
	return o, l, err
}

func (a *Agent) peerSources() []source {
	var all []source
	for _, p := range a.peerList() {
		all = append(all, source{name: p.Name, suspected: p.Suspected, ask: func(ctx context.Context) (*owner.Ledger, error) {
			var reply wire.Taken
			request := &wire.Take{Target: a.object(), Incarnation: a.self.Incarnation}
			if err := a.client.Call(ctx, p.Control, control.Take, request, &reply); err != nil {
				return nil, err
			}
			return readLedger(reply.Ledger)
		}})
	}
	return all
}

// readLedger reads what was kept; nothing means that there is no ledger.
func readLedger(data []byte) (*owner.Ledger, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var l owner.Ledger
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, errs.Combine(errUnreadable, err)
	}
	return &l, nil
}

// removeLedger takes what predecessors have left out of the platform. It runs when the
// flows are served, so that they do not wait for it.
func (a *Agent) removeLedger(ctx context.Context) {
	o, l, err := a.storedLedger(ctx)
	if errors.Is(err, platform.ErrNotFound) || l != nil && l.Incarnation >= a.self.Incarnation {
		return
	}
	if err == nil || errors.Is(err, errUnreadable) {
		err = a.deps.Store.Delete(ctx, platform.Ledgers, o)
	}
	if err != nil {
		a.deps.Log.Warn().Str("event", "platform").Err(err).Msg("ledger not removed; a later one goes before it")
	}
}
