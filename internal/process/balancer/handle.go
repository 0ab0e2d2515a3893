package balancer

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Handle handles the calls of peers, agents and operators.
func (b *Balancer) Handle(ctx context.Context, method control.Method, params json.RawMessage) (any, error) {
	switch method {
	case control.Announce:
		r, err := control.DecodeParams[wire.Announce](params)
		if err != nil {
			return nil, err
		}
		return b.handleAnnounce(r)
	case control.Push:
		r, err := control.DecodeParams[wire.Push](params)
		if err != nil {
			return nil, err
		}
		return &wire.Empty{}, b.handlePush(ctx, r)
	case control.Sync:
		r, err := control.DecodeParams[wire.Sync](params)
		if err != nil {
			return nil, err
		}
		return b.handleSync(r), nil
	case control.Exchange:
		r, err := control.DecodeParams[wire.Exchange](params)
		if err != nil {
			return nil, err
		}
		return b.handleExchange(r), nil
	case control.Status:
		return b.status(), nil
	case control.Ping:
		return &wire.Empty{}, nil
	default:
		return nil, control.ErrUnknownMethod
	}
}

// handlePush applies a pushed update. Deltas that are missing before it are
// fetched from the sender.
func (b *Balancer) handlePush(ctx context.Context, r *wire.Push) error {
	b.mergeMembers(r.Members)
	if len(r.Delta) == 0 {
		return nil
	}
	var d config.Delta
	if err := json.Unmarshal(r.Delta, &d); err != nil {
		return err
	}
	if !b.applyDelta(&d) {
		return nil
	}
	if sender, ok := b.controlAddress(r.From); ok {
		// The sync outlives this call, which must not wait for it: the
		// sender may be waiting for the reply.
		b.run(context.WithoutCancel(ctx), func(ctx context.Context) { _ = b.syncWith(ctx, sender) })
	}
	return nil
}

func (b *Balancer) controlAddress(name string) (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.table.Get(member.Key{Kind: member.Balancer, Name: name})
	return m.Control, ok
}

func (b *Balancer) status() *wire.Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := &wire.Status{Self: b.self.Wire(), Version: b.replica.Version(), Hints: uint64(b.hints.Len())}
	s.Members = wireMembers(b.table.Filter(func(*member.Member) bool { return true }))
	for k, c := range b.tracked {
		m, ok := b.table.Get(k)
		if !ok {
			continue
		}
		s.Targets = append(s.Targets, &wire.Reported{Member: m.Wire(), Flows: c.flows, Busy: c.busy, Slots: c.slots})
	}
	return s
}
