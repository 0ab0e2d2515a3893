package balancer

import (
	"context"
	"maps"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/process/successor"
	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
)

// newWaiting returns what waits for restarted targets. Its sealer leaves no room for the age
// of a datagram, which its datagrams have.
func (b *Balancer) newWaiting() *successor.Waiting {
	size := envelope.MaxSize(b.settings.MTU, b.settings.Tunnel) - envelope.WalkReserve + envelope.AgeSize
	return successor.New(successor.Deps{
		Clock: b.deps.Clock, Sealer: envelope.NewSealer(b.deps.Ring, size), Write: b.writeToTarget, Log: b.deps.Log, Scope: b.deps.Scope,
	})
}

func (b *Balancer) writeToTarget(to *target.Candidate, datagram []byte) error {
	return b.tunnelTo(to.ID).write(datagram, to.Tunnel)
}

// serveWaiting sends what waits for restarted targets until the context ends.
func (b *Balancer) serveWaiting(ctx context.Context) {
	b.waiting.Run(ctx.Done(), func() []*target.Set { return slices.Collect(maps.Values(b.snapshot.Load().sets)) })
}
