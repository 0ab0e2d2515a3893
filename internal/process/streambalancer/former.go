package streambalancer

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// formerRetention is how long a removed balancer is still contacted: a partition may last
	// as long.
	formerRetention = 2 * clock.Hour
	// formerContactInterval is the interval between contacts of removed balancers, of which
	// one is contacted at a time.
	formerContactInterval = 20 * clock.Second
)

// formerPeers has the balancers that were removed as silent. After a partition neither side
// knows the other any more, and both may have removed the other from the directory; so
// removed balancers are contacted now and then.
type formerPeers struct {
	removed     map[netip.AddrPort]removedPeer
	contactedAt clock.Millis
	// last is the address that was last contacted.
	last netip.AddrPort
}

// removedPeer identifies a process by the epoch of its start.
type removedPeer struct {
	epoch uint64
	at    clock.Millis
}

// add records that a balancer was removed. One that was never heard from is not contacted.
func (fs *formerPeers) add(now clock.Millis, p *Peer) {
	if p.HeardAt != 0 && !p.Leaving && len(fs.removed) < maxPeers {
		fs.removed[p.Address] = removedPeer{epoch: p.Epoch, at: now}
	}
}

// takeReturned reports whether a process that was removed is heard again for the first time.
func (fs *formerPeers) takeReturned(a netip.AddrPort, epoch uint64) bool {
	p, ok := fs.removed[a]
	delete(fs.removed, a)
	return ok && p.epoch == epoch
}

// next returns the balancer to contact now, if it is time: each in turn.
func (fs *formerPeers) next(now clock.Millis) (netip.AddrPort, bool) {
	if len(fs.removed) == 0 || now.Sub(fs.contactedAt) < formerContactInterval {
		return netip.AddrPort{}, false
	}
	maps.DeleteFunc(fs.removed, func(_ netip.AddrPort, p removedPeer) bool { return now.Sub(p.at) > formerRetention })
	all := slices.SortedFunc(maps.Keys(fs.removed), netip.AddrPort.Compare)
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	i, found := slices.BinarySearchFunc(all, fs.last, netip.AddrPort.Compare)
	if found {
		i++
	}
	fs.last, fs.contactedAt = all[i%len(all)], now
	return fs.last, true
}
