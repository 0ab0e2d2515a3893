package agent

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// offerTimeout bounds one attempt to store a ledger with a recipient.
	offerTimeout = 3 * time.Second
	// hedgeDelay is how long to wait for a recipient before the next one is tried as well.
	hedgeDelay = 300 * time.Millisecond
	// maxConcurrentOffers bounds the concurrent attempts, each of which holds a whole ledger.
	maxConcurrentOffers = 3
)

// recipient is the platform or a peer, which may store a ledger for the successor.
type recipient struct {
	name  string
	store func(context.Context) error
}

func (a *Agent) platformRecipient(l *owner.Ledger) recipient {
	return recipient{name: "platform", store: func(ctx context.Context) error { return a.writeLedger(ctx, l) }}
}

// peerRecipients returns the peers, suspected ones last.
func (a *Agent) peerRecipients(l *owner.Ledger) []recipient {
	data, err := json.Marshal(l)
	if err != nil {
		a.deps.Log.Error().Str("event", "ledger").Err(err).Msg("cannot encode the ledger for peers")
		return nil
	}
	request := &wire.Keep{Target: l.Target, Ledger: data}
	var all []recipient
	for _, p := range a.ledgerPeers() {
		all = append(all, recipient{name: p.Name, store: func(ctx context.Context) error {
			return a.client.Call(ctx, p.Control, control.Keep, request, &wire.Empty{})
		}})
	}
	return all
}

// errNoRecipient is returned if no recipient has been tried.
var errNoRecipient = errs.New("agent: no recipient for the ledger")

// offerResult is the outcome of an attempt to store a ledger with a recipient.
type offerResult struct {
	recipient recipient
	err       error
}

// offerLedger offers the ledger to recipients in order until one has stored it, and returns
// its name. The next one is tried when one has failed or is slow, and those that failed are
// retried later.
//
// The attempt at a slow recipient goes on when the next one is tried: if all processes are
// short of CPU time, each of them is slow.
func offerLedger(ctx context.Context, recipients []recipient) (string, error) {
	if len(recipients) == 0 {
		return "", errNoRecipient
	}
	ctx, cancel := context.WithCancel(ctx)
	o := &ledgerOffer{waiting: recipients, untried: len(recipients), results: make(chan offerResult, len(recipients)), err: errNoRecipient}
	o.retryBackoff = backoff.NewExponentialBackOff()
	o.retryBackoff.InitialInterval = hedgeDelay
	o.retryBackoff.MaxInterval = offerTimeout
	defer o.calls.Wait()
	defer cancel()
	return o.run(ctx)
}

// ledgerOffer is the state of offerLedger.
type ledgerOffer struct {
	// waiting are the recipients to try; the first untried of them have not been tried yet.
	waiting  []recipient
	untried  int
	inFlight int
	results  chan offerResult
	calls    sync.WaitGroup
	// retryBackoff is the delay before recipients that failed are retried.
	retryBackoff *backoff.ExponentialBackOff
	// err is the error of the last recipient that failed.
	err error
}

func (o *ledgerOffer) run(ctx context.Context) (string, error) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", errs.Combine(o.err, ctx.Err())
		case r := <-o.results:
			if r.err == nil {
				return r.recipient.name, nil
			}
			o.recordFailure(r)
			if o.untried > 0 {
				next.Reset(0)
			}
		case <-next.C:
			o.offerNext(ctx)
			next.Reset(o.nextDelay())
		}
	}
}

// nextDelay returns the time until the next recipient is tried, regardless of the attempts
// that are in flight.
func (o *ledgerOffer) nextDelay() time.Duration {
	if o.untried > 0 {
		return hedgeDelay
	}
	return o.retryBackoff.NextBackOff()
}

func (o *ledgerOffer) recordFailure(r offerResult) {
	o.err = r.err
	o.inFlight--
	o.waiting = append(o.waiting, r.recipient)
}

func (o *ledgerOffer) offerNext(ctx context.Context) {
	if o.inFlight == maxConcurrentOffers || len(o.waiting) == 0 {
		return
	}
	r := o.waiting[0]
	o.waiting = o.waiting[1:]
	o.untried = max(o.untried-1, 0)
	o.inFlight++
	o.calls.Go(func() { o.results <- offerResult{recipient: r, err: r.offer(ctx)} })
}

func (r *recipient) offer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	return r.store(ctx)
}
