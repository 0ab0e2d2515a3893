package model

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Balancer is one balancer's decisions.
type Balancer struct {
	world   *World
	address netip.AddrPort
	roster  roster
	set     *target.Set
	hints   *target.Hints
	// paths says which of its ports is used towards each target.
	paths target.Paths
	// Deaf balancers hear no news of targets any more.
	Deaf bool
	Dead bool
}

// AddBalancer starts a balancer that knows the truth and no flow.
func (w *World) AddBalancer() *Balancer {
	n := len(w.Balancers) + 1
	b := &Balancer{
		world: w, roster: roster{},
		address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 1),
		hints:   target.NewHints(target.Limits{MaxHints: 1 << 16, MaxPending: 1 << 14, WalksPerSecond: 1 << 20}),
	}
	w.Balancers = append(w.Balancers, b)
	for _, c := range w.news {
		b.roster.hear(known{Candidate: c})
	}
	b.set = b.roster.set(service)
	return b
}

func (b *Balancer) hear(k known) {
	b.roster.hear(k)
	b.set = b.roster.set(service)
}

// Forget makes the balancer lose its hints, as a full memory does.
func (b *Balancer) Forget() {
	b.hints = target.NewHints(target.Limits{MaxHints: 1 << 16, MaxPending: 1 << 14, WalksPerSecond: 1 << 20})
}

// forward does what a balancer does with a caller's datagram.
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
	if w.Options.Without == WalkAll {
		// Neither the walk nor the next attempt's start finds the owner.
		route.Budget = 1
		b.Forget()
	}
	e := &wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: route.Stage, Service: service, Target: route.Target.ID,
		Incarnation: route.Target.Incarnation, Caller: key, Ask: route.Ask, Budget: route.Budget, Payload: d.bytes(),
	}
	if w.Options.Without != Rotation {
		if route.SilentTarget != 0 {
			b.paths.ChangePort(w.Now(), route.SilentTarget)
		}
		if route.Ask {
			b.paths.RecordAsk(w.Now(), route.Target.ID)
		}
	}
	w.Datagrams++
	from := b.socket(route.Target.ID)
	w.tunnel(from, route.Target.Tunnel, e, from, d)
}

// confirm takes an owner's hint.
func (b *Balancer) confirm(caller netip.AddrPort, owner target.ID, incarnation uint32) {
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

// socket returns what the balancer uses towards a target now.
func (b *Balancer) socket(id target.ID) netip.AddrPort {
	return netip.AddrPortFrom(b.address.Addr(), b.address.Port()+uint16(b.paths.Port(id)))
}
