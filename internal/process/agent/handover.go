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
	// maxWriteAttempts bounds the attempts to write an incarnation or a ledger
	// after conflicts with other writers.
	maxWriteAttempts = 5
	// handoverTimeout bounds how long a stopping agent tries to hand its flows over.
	// A caller that receives nothing for longer gives its flow up.
	handoverTimeout = 10 * time.Second
	// updateTimeout bounds the attempts to replace a ledger that is already stored:
	// a leaving target opens no flows, so the stored ledger has all that remain.
	updateTimeout = time.Second
)

// Stop stops the agent as planned. It stops accepting new flows at once, and serves its
// flows until its leave has spread, so that others keep what they send to it afterwards
// for its successor. A target without flows is announced as left; otherwise its flows
// are handed over to its successor in a ledger.
func (a *Agent) Stop(ctx context.Context) {
	a.mu.Lock()
	a.self.State = member.Leaving
	a.self.Sequence++
	a.accepting.Store(false)
	linger := a.timing.LingerTime
	a.rebuildViewLocked()
	a.mu.Unlock()
	stored := a.storeEarly(ctx)
	a.spreadLeave(ctx, linger)
	a.closeTunnel()
	a.pool.Close()
	a.storeFinal(ctx, stored())
	if a.table.Len() == 0 {
		a.mu.Lock()
		a.self.State = member.Left
		a.mu.Unlock()
		a.sendLeft()
		a.announce(ctx)
	}
	a.Kill()
}

// storeFinal stores the last ledger. One without flows is needed only to replace an earlier
// one, whose flows have ended since.
func (a *Agent) storeFinal(ctx context.Context, early bool) {
	ledger := a.table.NewLedger(a.deps.Clock.Now(), a.objectName(), a.view.Load())
	ledger.Final = true
	switch {
	case early:
		a.handOver(ctx, ledger, updateTimeout)
	case len(ledger.Flows) == 0:
	case !a.handOver(ctx, ledger, handoverTimeout):
		a.logLost(ledger)
	}
}

// storeEarly begins to store a first ledger while the flows are still served, since nobody
// serves them while the last one is being stored. It returns a function that ends the
// attempt and reports whether the ledger is stored.
func (a *Agent) storeEarly(ctx context.Context) func() bool {
	if a.table.Len() == 0 {
		return func() bool { return false }
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan bool, 1)
	l := a.table.NewLedger(a.deps.Clock.Now(), a.objectName(), a.view.Load())
	go func() { done <- a.handOver(ctx, l, handoverTimeout) }()
	return func() bool {
		cancel()
		return <-done
	}
}

// closeTunnel closes the tunnel and waits for the workers, so that the flow table
// is final. Datagrams that arrive later are lost, and QUIC retransmits them.
//
// Closing the socket does not stop a worker that still processes an opening datagram,
// whose flow would be missing from the ledger; waiting for the worker prevents that.
func (a *Agent) closeTunnel() {
	a.closeOnce.Do(func() {
		close(a.closing)
		if a.tunnel != nil {
			_ = a.tunnel.Close()
		}
	})
	a.workers.Wait()
}

// handOver stores a ledger for the successor, and reports whether it could.
func (a *Agent) handOver(ctx context.Context, l *owner.Ledger, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := a.deps.Clock.Now()
	name, err := offerLedger(ctx, append([]recipient{a.platformRecipient(l)}, a.peerRecipients(l)...))
	line := a.deps.Log.Info()
	if err != nil {
		line = a.deps.Log.Warn()
	}
	line = line.Str("event", "ledger").Int("flows", len(l.Flows)).Uint32("incarnation", l.Incarnation).
		Bool("final", l.Final).Int64("age", int64(a.deps.Clock.Now().Sub(start)))
	if err != nil {
		line.Err(err).Msg("neither the platform nor a peer stored this ledger in time")
		return false
	}
	line.Str("to", name).Msg("ledger stored for the successor")
	return true
}

// logLost logs that no ledger of the flows is stored.
func (a *Agent) logLost(l *owner.Ledger) {
	a.deps.Log.Error().Str("event", "ledger").Int("flows", len(l.Flows)).Uint32("incarnation", l.Incarnation).
		Msg("flows lost: neither the platform nor a peer stored the ledger")
}

// writeLedger writes the ledger to the platform. It retries after conflicts and
// after writes with an unknown outcome.
func (a *Agent) writeLedger(ctx context.Context, l *owner.Ledger) error {
	for range maxWriteAttempts {
		err := a.putLedger(ctx, l)
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrExists) && !errors.Is(err, platform.ErrUnknown) {
			return err
		}
	}
	return platform.ErrConflict
}

// putLedger creates or replaces the ledger on the platform. An existing final ledger of
// this incarnation is this one: the response to an earlier write was lost.
func (a *Agent) putLedger(ctx context.Context, l *owner.Ledger) error {
	o, err := a.deps.Store.Get(ctx, platform.Ledgers, a.objectName())
	if errors.Is(err, platform.ErrNotFound) {
		_, err = a.deps.Store.Create(ctx, platform.Ledgers, a.objectName(), l)
		return err
	}
	if err != nil {
		return err
	}
	var old owner.Ledger
	if json.Unmarshal(o.Spec, &old) == nil && (old.Incarnation > l.Incarnation || old.Incarnation == l.Incarnation && (old.Final || !l.Final)) {
		return nil
	}
	if o.Spec, err = json.Marshal(l); err != nil {
		return errs.Wrap(err)
	}
	_, err = a.deps.Store.Update(ctx, platform.Ledgers, o)
	return err
}

// ledgerPeers returns the peers that may store a ledger, suspected ones last.
func (a *Agent) ledgerPeers() []member.Member {
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
