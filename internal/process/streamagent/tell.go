package streamagent

import (
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// alone reports that no balancer of the own failure domain is there.
func (a *Agent) alone(now clock.Millis) bool {
	return now.Sub(max(a.near, a.started)) > nearFor
}

// tellPause is the pause until a balancer is told unasked, and whether it is at all.
//
// Balancers of the own failure domain ask, and tell those of others; what is unasked
// repairs that where one does not know the target yet. One that was never heard may be
// starting while callers wait. Where none of the own failure domain asks, all that are
// known are told.
func (a *Agent) tellPause(now clock.Millis, b *balancer) (clock.Millis, bool) {
	first := now.Sub(a.started) < firstFor
	served := a.near != 0 && !a.alone(now)
	near := b.domain == a.settings.Domain
	switch {
	case !near && served:
		return 0, false
	case near && !b.met && first:
		return tellFirst, true
	case !b.met && first:
		return min(max(2*b.pause, tellFirst), stream.ReportEvery), true
	case a.holder.Loaded():
		return tellLoaded, true
	default:
		return stream.ReportEvery, true
	}
}

// tell reports to all balancers, or to those that are due.
func (a *Agent) tell(now clock.Millis, all bool) {
	var to []netip.AddrPort
	for address, b := range a.balancers {
		if now.Sub(b.heard) > knownFor && len(a.balancers) > 1 {
			delete(a.balancers, address)
			continue
		}
		pause, ok := a.tellPause(now, b)
		due := ok && now.Sub(b.told) >= pause
		if due {
			b.pause = pause
		}
		if all || due {
			b.told = now
			to = append(to, address)
		}
	}
	slices.SortFunc(to, netip.AddrPort.Compare)
	a.holder.Tell(now, to)
}
