package agent

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// tries bounds how often a number or a ledger is written again after
	// another writer was first.
	tries = 5
	// handoverLimit bounds how long a stopping agent looks for somebody who keeps its
	// flows. A caller that hears nothing for longer gives its flow up.
	handoverLimit = 10 * time.Second
	// keepTimeout bounds one try to leave a ledger with somebody.
	keepTimeout = 3 * time.Second
	// hedge is how long one keeper may take before the next one is asked as well.
	hedge = 300 * time.Millisecond
	// mostKeepers bounds the keepers that are asked at once, each with a whole ledger.
	mostKeepers = 3
)

// Stop leaves as planned. New flows go elsewhere from this instant. A target
// without flows has left; another one writes its flows down for its successor.
func (a *Agent) Stop(ctx context.Context) {
	a.mu.Lock()
	a.self.State = member.Leaving
	a.self.Sequence++
	a.accepting.Store(false)
	a.rebuildLocked()
	a.mu.Unlock()
	a.announce(ctx)
	a.shut()
	if a.table.Len() == 0 {
		a.mu.Lock()
		a.self.State = member.Left
		a.mu.Unlock()
		a.announce(ctx)
		a.Kill()
		return
	}
	ledger := a.table.NewLedger(a.deps.Clock.Now(), a.object(), a.view.Load())
	// The ports are free before the ledger can be read.
	a.pool.Close()
	a.handOver(ctx, ledger)
	a.Kill()
}

// shut takes no envelope any more, so the table is complete. Datagrams that
// arrive from now on are lost, and QUIC sends them again.
//
// Closing the socket does not stop a worker that still holds an opening, whose flow would
// be in no ledger; waiting for it does.
func (a *Agent) shut() {
	_ = a.tunnel.Close()
	a.workers.Wait()
}

func (a *Agent) handOver(ctx context.Context, l *owner.Ledger) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	began := a.deps.Clock.Now()
	keeper, err := leave(ctx, append([]keeper{a.platformKeeper(l)}, a.peerKeepers(l)...))
	line := a.deps.Log.Info()
	if err != nil {
		line = a.deps.Log.Error()
	}
	line = line.Str("event", "ledger").Int("flows", len(l.Flows)).Uint32("incarnation", l.Incarnation).
		Int64("age", int64(a.deps.Clock.Now().Sub(began)))
	if err != nil {
		line.Err(err).Msg("flows lost: neither platform nor peer took them")
		return
	}
	line.Str("keeper", keeper).Msg("flows left for the successor")
}

func (a *Agent) writeLedger(ctx context.Context, l *owner.Ledger) error {
	for range tries {
		err := a.putLedger(ctx, l)
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrExists) && !errors.Is(err, platform.ErrUnknown) {
			return err
		}
	}
	return platform.ErrConflict
}

// putLedger writes the ledger. A ledger of this incarnation that is there
// already is this one: the answer to an earlier write was lost.
func (a *Agent) putLedger(ctx context.Context, l *owner.Ledger) error {
	o, err := a.deps.Store.Get(ctx, platform.Ledgers, a.object())
	if errors.Is(err, platform.ErrNotFound) {
		_, err = a.deps.Store.Create(ctx, platform.Ledgers, a.object(), l)
		return err
	}
	if err != nil {
		return err
	}
	var old owner.Ledger
	if json.Unmarshal(o.Spec, &old) == nil && old.Incarnation >= l.Incarnation {
		return nil
	}
	if o.Spec, err = json.Marshal(l); err != nil {
		return errs.Wrap(err)
	}
	_, err = a.deps.Store.Update(ctx, platform.Ledgers, o)
	return err
}

// keeper is somebody who may keep a ledger for the successor.
type keeper struct {
	name string
	keep func(context.Context) error
}

func (a *Agent) platformKeeper(l *owner.Ledger) keeper {
	return keeper{name: "platform", keep: func(ctx context.Context) error { return a.writeLedger(ctx, l) }}
}

// peerKeepers returns the peers, those that are suspected last.
func (a *Agent) peerKeepers(l *owner.Ledger) []keeper {
	data, err := json.Marshal(l)
	if err != nil {
		a.deps.Log.Error().Str("event", "ledger").Err(err).Msg("ledger cannot be written for a peer")
		return nil
	}
	request := &wire.Keep{Target: l.Target, Ledger: data}
	var all []keeper
	for _, p := range a.peerList() {
		all = append(all, keeper{name: p.Name, keep: func(ctx context.Context) error {
			return a.client.Call(ctx, p.Control, control.Keep, request, &wire.Empty{})
		}})
	}
	return all
}

func (a *Agent) leaveWithPeer(ctx context.Context, l *owner.Ledger) bool {
	_, err := leave(ctx, a.peerKeepers(l))
	return err == nil
}

// errNoKeeper is returned where nobody was there to be asked.
var errNoKeeper = errs.New("agent: nobody to keep the ledger")

// attempt is how a keeper was asked and what came of it.
type attempt struct {
	keeper keeper
	err    error
}

// leave asks keepers in their order until one of them has the ledger, and returns its
// name. The next one is asked when one has failed or takes its time, and who failed is
// asked again later.
//
// A slow keeper is not given up when the next one is asked: where all processes are short
// of processor time, each of them is late.
func leave(ctx context.Context, keepers []keeper) (string, error) {
	if len(keepers) == 0 {
		return "", errNoKeeper
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &keeperSearch{waiting: keepers, fresh: len(keepers), answers: make(chan attempt, len(keepers)), err: errNoKeeper}
	defer s.calls.Wait()
	defer cancel()
	return s.run(ctx)
}

// keeperSearch is the state of leave.
type keeperSearch struct {
	// waiting are the keepers to be asked, of which the first ones are fresh: not asked yet.
	waiting []keeper
	fresh   int
	busy    int
	answers chan attempt
	calls   sync.WaitGroup
	// err is why the last keeper failed.
	err error
}

func (s *keeperSearch) run(ctx context.Context) (string, error) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return "", errs.Combine(s.err, ctx.Err())
		case r := <-s.answers:
			if r.err == nil {
				return r.keeper.name, nil
			}
			s.failed(r)
			if s.fresh > 0 {
				next.Reset(0)
			}
		case <-next.C:
			s.askNext(ctx)
			next.Reset(hedge)
		}
	}
}

func (s *keeperSearch) failed(r attempt) {
	s.err = r.err
	s.busy--
	s.waiting = append(s.waiting, r.keeper)
}

func (s *keeperSearch) askNext(ctx context.Context) {
	if s.busy == mostKeepers || len(s.waiting) == 0 {
		return
	}
	k := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.fresh = max(s.fresh-1, 0)
	s.busy++
	s.calls.Go(func() { s.answers <- attempt{keeper: k, err: k.try(ctx)} })
}

func (k *keeper) try(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	return k.keep(ctx)
}

// peerList returns the peers that may hold a ledger, those that are suspected last.
func (a *Agent) peerList() []member.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	var live, suspected []member.Member
	for _, p := range a.peers {
		switch {
		case p.State == member.Left:
		case p.Suspected:
			suspected = append(suspected, p)
		default:
			live = append(live, p)
		}
	}
	return append(live, suspected...)
}
