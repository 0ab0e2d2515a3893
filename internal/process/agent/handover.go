package agent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

const (
	// tries bounds how often a number or a ledger is written again after
	// another writer was first.
	tries = 5
	// handoverLimit bounds how long a stopping agent looks for somebody who keeps its
	// flows. A caller that hears nothing for longer gives its flow up.
	handoverLimit = 10 * time.Second
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
	a.shutting.Do(func() {
		close(a.closing)
		if a.tunnel != nil {
			_ = a.tunnel.Close()
		}
	})
	a.workers.Wait()
}

func (a *Agent) handOver(ctx context.Context, l *owner.Ledger) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	began := a.deps.Clock.Now()
	recipient, err := leave(ctx, append([]recipient{a.platformRecipient(l)}, a.peerRecipients(l)...))
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
	line.Str("to", recipient).Msg("flows left for the successor")
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
