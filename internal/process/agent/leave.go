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
	// offerTimeout bounds one try to leave a ledger with somebody.
	offerTimeout = 3 * time.Second
	// hedge is how long one recipient may take before the next one is asked as well.
	hedge = 300 * time.Millisecond
	// mostOffers bounds the recipients that are asked at once, each with a whole ledger.
	mostOffers = 3
)

// recipient is somebody who may keep a ledger for the successor.
type recipient struct {
	name string
	keep func(context.Context) error
}

func (a *Agent) platformRecipient(l *owner.Ledger) recipient {
	return recipient{name: "platform", keep: func(ctx context.Context) error { return a.writeLedger(ctx, l) }}
}

// peerRecipients returns the peers, those that are suspected last.
func (a *Agent) peerRecipients(l *owner.Ledger) []recipient {
	data, err := json.Marshal(l)
	if err != nil {
		a.deps.Log.Error().Str("event", "ledger").Err(err).Msg("ledger cannot be written for a peer")
		return nil
	}
	request := &wire.Keep{Target: l.Target, Ledger: data}
	var all []recipient
	for _, p := range a.peerList() {
		all = append(all, recipient{name: p.Name, keep: func(ctx context.Context) error {
			return a.client.Call(ctx, p.Control, control.Keep, request, &wire.Empty{})
		}})
	}
	return all
}

// errNoRecipient is returned where nobody was there to be asked.
var errNoRecipient = errs.New("agent: nobody to leave the ledger with")

// attempt is how a recipient was asked and what came of it.
type attempt struct {
	recipient recipient
	err       error
}

// leave asks recipients in their order until one of them has the ledger, and returns its
// name. The next one is asked when one has failed or takes its time, and who failed is
// asked again later.
//
// A slow recipient is not given up when the next one is asked: where all processes are short
// of processor time, each of them is late.
func leave(ctx context.Context, recipients []recipient) (string, error) {
	if len(recipients) == 0 {
		return "", errNoRecipient
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &offering{waiting: recipients, fresh: len(recipients), answers: make(chan attempt, len(recipients)), err: errNoRecipient}
	s.again = backoff.NewExponentialBackOff()
	s.again.InitialInterval = hedge
	s.again.MaxInterval = offerTimeout
	defer s.calls.Wait()
	defer cancel()
	return s.run(ctx)
}

// offering is the state of leave.
type offering struct {
	// waiting are the recipients to be asked, of which the first ones are fresh: not asked yet.
	waiting []recipient
	fresh   int
	busy    int
	answers chan attempt
	calls   sync.WaitGroup
	// again is the pause before recipients that failed are asked again.
	again *backoff.ExponentialBackOff
	// err is why the last recipient failed.
	err error
}

func (s *offering) run(ctx context.Context) (string, error) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", errs.Combine(s.err, ctx.Err())
		case r := <-s.answers:
			if r.err == nil {
				return r.recipient.name, nil
			}
			s.failed(r)
			if s.fresh > 0 {
				next.Reset(0)
			}
		case <-next.C:
			s.askNext(ctx)
			next.Reset(s.pause())
		}
	}
}

// pause is the time until the next one is asked, whatever becomes of those that are.
func (s *offering) pause() time.Duration {
	if s.fresh > 0 {
		return hedge
	}
	return s.again.NextBackOff()
}

func (s *offering) failed(r attempt) {
	s.err = r.err
	s.busy--
	s.waiting = append(s.waiting, r.recipient)
}

func (s *offering) askNext(ctx context.Context) {
	if s.busy == mostOffers || len(s.waiting) == 0 {
		return
	}
	r := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.fresh = max(s.fresh-1, 0)
	s.busy++
	s.calls.Go(func() { s.answers <- attempt{recipient: r, err: r.try(ctx)} })
}

func (r *recipient) try(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	return r.keep(ctx)
}
