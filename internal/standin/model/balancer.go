package model

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Balancer is a simulated balancer.
type Balancer struct {
	world   *World
	address netip.AddrPort
	roster  roster
	set     *target.Set
	hints   *target.Hints
	// retained has copies for leaving targets.
	retained retainer
	// paths selects the local port used towards each target.
	paths target.Paths
	// UpdatesBlocked balancers receive no more updates about targets.
	UpdatesBlocked bool
	Dead           bool
}

// AddBalancer starts a balancer that knows the current targets and no flows.
func (w *World) AddBalancer() *Balancer {
	n := len(w.Balancers) + 1
	b := &Balancer{
		world: w, roster: roster{},
		address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1),
		hints:    target.NewHints(target.Limits{MaxHints: 1 << 16, MaxPending: 1 << 14, WalksPerSecond: 1 << 20}),
		retained: newRetainer(),
	}
	w.Balancers = append(w.Balancers, b)
	for _, c := range w.published {
		b.roster.apply(knownTarget{Candidate: c})
	}
	b.set = b.roster.set(service)
	return b
}

func (b *Balancer) applyUpdate(k knownTarget) {
	b.roster.apply(k)
	b.set = b.roster.set(service)
	b.world.release(b.retained, b.set)
}

// DropHints makes the balancer lose its hints, as when its hint table is full.
func (b *Balancer) DropHints() {
	b.hints = target.NewHints(target.Limits{MaxHints: 1 << 16, MaxPending: 1 << 14, WalksPerSecond: 1 << 20})
}

// forward routes a caller's datagram to a target.
func (b *Balancer) forward(caller netip.AddrPort, d *datagram) {
	w := b.world
	if b.Dead {
		return
	}
	key := envelope.AppendCaller(nil, caller)
	route, ok := b.hints.Route(w.Now(), b.set, caller, key, d.opening)
	if !ok {
		return
	}
	if w.Options.Disabled == WalkAll {
		// The walk ends at its first target, and without hints the next
		// attempt starts there again.
		route.Budget = 1
		b.DropHints()
	}
	e := &wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: route.Stage, Service: service, Target: route.Target.ID,
		Incarnation: route.Target.Incarnation, Caller: key, Ask: route.Ask, Budget: route.Budget, Payload: d.payload(),
	}
	if w.Options.Disabled != PortChange {
		if route.SilentTarget != 0 {
			b.paths.ChangePort(w.Now(), route.SilentTarget)
		}
		if route.Ask {
			b.paths.RecordAsk(w.Now(), route.Target.ID)
		}
	}
	w.Datagrams++
	from := b.socketFor(route.Target.ID)
	w.sendOrRetain(b.retained, route.Target, caller, hop{from: from, envelope: e, via: from, datagram: d})
}

// handleHint records an owner's hint.
func (b *Balancer) handleHint(caller netip.AddrPort, owner target.ID, incarnation uint32) {
	if !b.Dead {
		b.paths.RecordAnswer(owner)
		b.hints.Confirm(b.world.Now(), service, caller, envelope.AppendCaller(nil, caller), owner, incarnation)
	}
}

// balancerAt returns the running balancer at an address.
func (w *World) balancerAt(a netip.AddrPort) *Balancer {
	for _, b := range w.Balancers {
		if b.address.Addr() == a.Addr() && !b.Dead {
			return b
		}
	}
	return nil
}

// socketFor returns the local address that the balancer currently uses towards
// a target.
func (b *Balancer) socketFor(id target.ID) netip.AddrPort {
	return netip.AddrPortFrom(b.address.Addr(), b.address.Port()+uint16(b.paths.Port(id)))
}
