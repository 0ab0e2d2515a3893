package agent

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"

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
	// rounds is how often a peer is asked for a ledger that does not answer.
	rounds = 2
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
	err := a.writeLedger(ctx, l)
	if err == nil {
		a.deps.Log.Info().Str("event", "ledger").Int("flows", len(l.Flows)).Msg("flows left with the platform")
		return
	}
	if a.leaveWithPeer(ctx, l) {
		a.deps.Log.Info().Str("event", "ledger").Int("flows", len(l.Flows)).AnErr("platform", err).Msg("flows left with a peer")
		return
	}
	a.deps.Log.Error().Str("event", "ledger").Int("flows", len(l.Flows)).Err(err).Msg("flows lost: neither platform nor peer took them")
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

func (a *Agent) leaveWithPeer(ctx context.Context, l *owner.Ledger) bool {
	data, err := json.Marshal(l)
	if err != nil {
		return false
	}
	for _, p := range a.peerControls() {
		request := &wire.Keep{Target: l.Target, Ledger: data}
		if a.callPeer(ctx, p, control.Keep, request, &wire.Empty{}) == nil {
			return true
		}
	}
	return false
}

func (a *Agent) peerControls() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []netip.AddrPort
	for i := range a.peers {
		if a.peers[i].State != member.Left {
			all = append(all, a.peers[i].Control)
		}
	}
	return all
}

func (a *Agent) callPeer(ctx context.Context, to netip.AddrPort, m control.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.client.Call(ctx, to, m, request, reply)
}

// takeLedger takes up what the predecessor left, from the platform or a peer.
func (a *Agent) takeLedger(ctx context.Context) {
	l := a.readLedger(ctx)
	if l == nil {
		l = a.askPeers(ctx)
	}
	if l == nil || l.Incarnation >= a.self.Incarnation {
		return
	}
	lost := a.table.Import(a.deps.Clock.Now(), l, a.pool)
	a.inherited.Store(true)
	a.count.restored.Inc(int64(len(l.Flows) - len(lost)))
	a.count.unrestored.Inc(int64(len(lost)))
	for _, caller := range lost {
		a.deps.Log.Error().Str("event", "unrestored").Stringer("caller", caller).Msg("local port not free, flow lost")
	}
	a.deps.Log.Info().Str("event", "restored").Int("flows", len(l.Flows)-len(lost)).Msg("flows taken over")
}

// readLedger reads the ledger and removes it, so that it is taken up once.
func (a *Agent) readLedger(ctx context.Context) *owner.Ledger {
	o, err := a.deps.Store.Get(ctx, platform.Ledgers, a.object())
	if err != nil {
		return nil
	}
	var l owner.Ledger
	if err := json.Unmarshal(o.Spec, &l); err != nil {
		return nil
	}
	if err := a.deps.Store.Delete(ctx, platform.Ledgers, o); err != nil {
		a.deps.Log.Warn().Str("event", "platform").Err(err).Msg("ledger not removed; its incarnation keeps it from being taken up again")
	}
	return &l
}

// askPeers asks all peers for the ledger at once, and those that do not answer once more.
func (a *Agent) askPeers(ctx context.Context) *owner.Ledger {
	left := a.peerControls()
	for range rounds {
		var l *owner.Ledger
		if l, left = a.askOnce(ctx, left); l != nil {
			return l
		}
	}
	return nil
}

// askOnce returns the ledger that a peer gave, or the peers that have not answered.
func (a *Agent) askOnce(ctx context.Context, peers []netip.AddrPort) (*owner.Ledger, []netip.AddrPort) {
	ledgers, failed := make([]*owner.Ledger, len(peers)), make([]bool, len(peers))
	var all sync.WaitGroup
	for i, p := range peers {
		all.Go(func() {
			var err error
			if ledgers[i], err = a.askPeer(ctx, p); err != nil {
				failed[i] = true
				a.deps.Log.Warn().Str("event", "ledger").Stringer("peer", p).Err(err).Msg("a peer was not heard on a ledger")
			}
		})
	}
	all.Wait()
	var left []netip.AddrPort
	for i, p := range peers {
		if ledgers[i] != nil {
			return ledgers[i], nil
		}
		if failed[i] {
			left = append(left, p)
		}
	}
	return nil, left
}

// askPeer returns the ledger that a peer keeps, or nil if it keeps none.
func (a *Agent) askPeer(ctx context.Context, p netip.AddrPort) (*owner.Ledger, error) {
	var reply wire.Taken
	request := &wire.Take{Target: a.object(), Incarnation: a.self.Incarnation}
	if err := a.callPeer(ctx, p, control.Take, request, &reply); err != nil {
		return nil, err
	}
	if len(reply.Ledger) == 0 {
		return nil, nil
	}
	var l owner.Ledger
	if err := json.Unmarshal(reply.Ledger, &l); err != nil {
		return nil, errs.Wrap(err)
	}
	return &l, nil
}

// Handle answers calls of balancers and peers.
func (a *Agent) Handle(_ context.Context, method control.Method, params json.RawMessage) (any, error) {
	switch method {
	case control.Ping:
		return &wire.Empty{}, nil
	case control.Keep:
		r, err := control.Read[wire.Keep](params)
		if err != nil {
			return nil, err
		}
		return &wire.Empty{}, a.keep(r)
	case control.Take:
		r, err := control.Read[wire.Take](params)
		if err != nil {
			return nil, err
		}
		return a.giveLedger(r), nil
	default:
		return nil, control.ErrMethod
	}
}

func shuffle(a []netip.AddrPort) {
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
}
