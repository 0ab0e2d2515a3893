package agent

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// rounds is how often a peer is asked for a ledger that does not answer.
const rounds = 2

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

func (a *Agent) callPeer(ctx context.Context, to netip.AddrPort, m control.Method, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return a.client.Call(ctx, to, m, request, reply)
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
