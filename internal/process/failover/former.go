package failover

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
	// ContactInterval is the interval between contacts of removed balancers, of which one is
	// contacted at a time.
	ContactInterval = 20 * clock.Second
	// maxFormer bounds the balancers that are contacted: twice as many as are planned for in
	// two years.
	maxFormer = 1024
)

// Former has the balancers that were removed as silent. The zero value is empty. It is not
// safe for concurrent use.
type Former struct {
	removed     map[netip.AddrPort]formerProcess
	contactedAt clock.Millis
	// last is the address that was last contacted.
	last netip.AddrPort
}

// formerProcess identifies a process by the epoch of its start.
type formerProcess struct {
	epoch     uint64
	removedAt clock.Millis
}

// Add records that a balancer was removed.
func (f *Former) Add(now clock.Millis, address netip.AddrPort, epoch uint64) {
	if f.removed == nil {
		f.removed = map[netip.AddrPort]formerProcess{}
	}
	if len(f.removed) < maxFormer {
		f.removed[address] = formerProcess{epoch: epoch, removedAt: now}
	}
}

// TakeReturned reports whether a process that was removed answers again for the first time.
func (f *Former) TakeReturned(address netip.AddrPort, epoch uint64) bool {
	p, ok := f.removed[address]
	delete(f.removed, address)
	return ok && p.epoch == epoch
}

// Next returns the balancer to contact now, if it is time: each in turn.
func (f *Former) Next(now clock.Millis) (netip.AddrPort, bool) {
	if len(f.removed) == 0 || now.Sub(f.contactedAt) < ContactInterval {
		return netip.AddrPort{}, false
	}
	maps.DeleteFunc(f.removed, func(_ netip.AddrPort, p formerProcess) bool {
		return now.Sub(p.removedAt) > formerRetention
	})
	all := slices.SortedFunc(maps.Keys(f.removed), netip.AddrPort.Compare)
	if len(all) == 0 {
		return netip.AddrPort{}, false
	}
	i, found := slices.BinarySearchFunc(all, f.last, netip.AddrPort.Compare)
	if found {
		i++
	}
	f.last, f.contactedAt = all[i%len(all)], now
	return f.last, true
}
