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

// errUnreadable is returned for data that is not a ledger. Retrying would not help.
var errUnreadable = errs.New("agent: unreadable ledger")

const (
	// takeoverTimeout bounds how long a starting agent looks for its predecessor's flows
	// while a source that may have them does not answer.
	takeoverTimeout = 5 * time.Second
	// initialRetryDelay is the delay before the first retry. Later delays grow and are
	// randomized.
	initialRetryDelay = 100 * time.Millisecond
)

// ledgerSource is the platform or a peer, which may have a ledger of a predecessor.
type ledgerSource struct {
	name string
	// suspected sources are queried only once.
	suspected bool
	// fetch returns nil if the source has no ledger.
	fetch func(context.Context) (*owner.Ledger, error)
}

// restoreLedger restores the flows that the predecessor left with the platform or a peer. If
// the agent is stopped in the meantime, it hands the flows over to the next incarnation,
// since a peer that returned its ledger does not return it to another incarnation.
func (a *Agent) restoreLedger(ctx context.Context) error {
	l := a.findLedger(context.WithoutCancel(ctx))
	if l == nil {
		return ctx.Err()
	}
	if ctx.Err() != nil {
		l.Incarnation = a.self.Incarnation
		if !a.handOver(context.WithoutCancel(ctx), l, handoverTimeout) {
			a.logLost(l)
		}
		return ctx.Err()
	}
	if len(l.Flows) == 0 {
		// All had ended before the predecessor did.
		return nil
	}
	lost := a.table.Import(a.deps.Clock.Now(), l, a.pool)
	a.tookOver.Store(true)
	a.count.restored.Inc(int64(len(l.Flows) - len(lost)))
	a.count.unrestored.Inc(int64(len(lost)))
	for _, caller := range lost {
		a.deps.Log.Error().Str("event", "unrestored").Stringer("caller", caller).Msg("flow lost: local port is not available")
	}
	a.deps.Log.Info().Str("event", "restored").Int("flows", len(l.Flows)-len(lost)).
		Uint32("of", l.Incarnation).Uint32("incarnation", a.self.Incarnation).Msg("restored the flows of a predecessor")
	return nil
}

// findLedger returns the newest ledger of the predecessors.
//
// The platform is queried first, and a ledger of the direct predecessor ends the search. An
// older ledger does not: its successor may have failed to remove it, and may have handed its
// own flows over to a peer while the platform was unavailable.
func (a *Agent) findLedger(ctx context.Context) *owner.Ledger {
	if a.self.Incarnation <= 1 {
		return nil
	}
	l, retry := a.querySources(ctx, []ledgerSource{a.platformSource()}, callTimeout)
	if a.isFromPredecessor(l) {
		return l
	}
	return a.newerLedger(l, a.queryAll(ctx, append(retry, a.peerSources()...)))
}

// queryAll queries sources until each has answered or the ledger of the direct predecessor
// is found. Sources that do not answer are retried with a longer timeout.
func (a *Agent) queryAll(ctx context.Context, remaining []ledgerSource) *owner.Ledger {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = initialRetryDelay
	var newest *owner.Ledger
	for timeout := callTimeout; len(remaining) > 0 && ctx.Err() == nil; timeout *= 2 {
		var l *owner.Ledger
		l, remaining = a.querySources(ctx, remaining, timeout)
		newest = a.newerLedger(newest, l)
		if a.isFromPredecessor(newest) || len(remaining) == 0 {
			break
		}
		sleep(ctx, clock.FromDuration(delay.NextBackOff()))
	}
	return newest
}

// sourceResult is the result of querying a source.
type sourceResult struct {
	source ledgerSource
	ledger *owner.Ledger
	err    error
}

// querySources queries sources concurrently. It returns the newest ledger and the sources
// to retry.
func (a *Agent) querySources(ctx context.Context, sources []ledgerSource, timeout time.Duration) (*owner.Ledger, []ledgerSource) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan sourceResult, len(sources))
	for _, s := range sources {
		go func() {
			l, err := s.fetch(ctx)
			results <- sourceResult{source: s, ledger: l, err: err}
		}()
	}
	var newest *owner.Ledger
	var retry []ledgerSource
	for range sources {
		r := <-results
		newest = a.newerLedger(newest, r.ledger)
		if a.isFromPredecessor(newest) {
			return newest, nil
		}
		if r.err == nil {
			continue
		}
		a.deps.Log.Warn().Str("event", "ledger").Str("source", r.source.name).Err(r.err).Msg("cannot get a ledger from this source")
		if !r.source.suspected && !errors.Is(r.err, errUnreadable) {
			retry = append(retry, r.source)
		}
	}
	return newest, retry
}

// newerLedger returns the newer of two ledgers, either of which may be nil. It ignores
// other if that is not the ledger of a predecessor.
func (a *Agent) newerLedger(l, other *owner.Ledger) *owner.Ledger {
	if other == nil || other.Incarnation >= a.self.Incarnation {
		return l
	}
	if l == nil || other.Incarnation > l.Incarnation {
		return other
	}
	return l
}

// isFromPredecessor reports whether a ledger is that of the direct predecessor, which is
// the newest one possible.
func (a *Agent) isFromPredecessor(l *owner.Ledger) bool {
	return l != nil && l.Incarnation+1 == a.self.Incarnation
}

func (a *Agent) platformSource() ledgerSource {
	return ledgerSource{name: "platform", fetch: func(ctx context.Context) (*owner.Ledger, error) {
		_, l, err := a.storedLedger(ctx)
		if errors.Is(err, platform.ErrNotFound) {
			return nil, nil
		}
		return l, err
	}}
}

func (a *Agent) storedLedger(ctx context.Context) (platform.Object, *owner.Ledger, error) {
	o, err := a.deps.Store.Get(ctx, platform.Ledgers, a.objectName())
	if err != nil {
		return o, nil, err
	}
	l, err := decodeLedger(o.Spec)
	return o, l, err
}

func (a *Agent) peerSources() []ledgerSource {
	var all []ledgerSource
	for _, p := range a.ledgerPeers() {
		all = append(all, ledgerSource{name: p.Name, suspected: p.Suspected, fetch: func(ctx context.Context) (*owner.Ledger, error) {
			var reply wire.Taken
			request := &wire.Take{Target: a.objectName(), Incarnation: a.self.Incarnation}
			if err := a.client.Call(ctx, p.Control, control.Take, request, &reply); err != nil {
				return nil, err
			}
			return decodeLedger(reply.Ledger)
		}})
	}
	return all
}

// decodeLedger decodes a stored ledger. It returns nil if data is empty.
func decodeLedger(data []byte) (*owner.Ledger, error) {
	if len(data) == 0 {
		return nil, nil
	}
	var l owner.Ledger
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, errs.Combine(errUnreadable, err)
	}
	return &l, nil
}

// removeLedger deletes the ledger of predecessors from the platform. It runs once the flows
// are served, so that it does not delay them.
func (a *Agent) removeLedger(ctx context.Context) {
	o, l, err := a.storedLedger(ctx)
	if errors.Is(err, platform.ErrNotFound) || l != nil && l.Incarnation >= a.self.Incarnation {
		return
	}
	if err == nil || errors.Is(err, errUnreadable) {
		err = a.deps.Store.Delete(ctx, platform.Ledgers, o)
	}
	if err != nil {
		a.deps.Log.Warn().Str("event", "platform").Err(err).Msg("cannot remove the ledger; a newer ledger takes precedence over it")
	}
}
