package model

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// partitionSuspectDelay and partitionRemoveDelay are when the processes on
	// the two sides of a partition suspect and remove each other.
	partitionSuspectDelay = 1500 * clock.Millis(1)
	partitionRemoveDelay  = 2 * clock.Minute
)

// partition is a failure domain that is partitioned from the others: one target
// and one balancer. Its processes reach no others, callers do not reach its
// balancer, and no updates pass either way.
type partition struct {
	target   *Target
	balancer *Balancer
}

// Partition partitions a target's failure domain from the others.
func (w *World) Partition(name string) {
	p := &partition{target: w.findTarget(name), balancer: w.Balancers[len(w.Balancers)-1]}
	w.partition = p
	w.Cut = func(from, to netip.AddrPort) bool {
		return p.isProcess(w, from) && p.isProcess(w, to) && p.isolated(from) != p.isolated(to)
	}
	w.After(partitionSuspectDelay, func() { w.suspectOrRemove(p, false) })
	w.After(partitionRemoveDelay, func() { w.suspectOrRemove(p, true) })
}

// Heal ends the partition: all targets publish their state again.
func (w *World) Heal() {
	p := w.partition
	w.partition, w.Cut = nil, nil
	if p == nil {
		return
	}
	for _, t := range w.Targets {
		// A process refutes a suspicion with a higher sequence number.
		w.publishChange(t)
	}
}

func (p *partition) isProcess(w *World, address netip.AddrPort) bool {
	return w.agentAt(address) != nil || w.balancerAt(address) != nil
}

func (p *partition) isolated(address netip.AddrPort) bool {
	return address.Addr() == p.target.tunnel.Addr() || address.Addr() == p.balancer.address.Addr()
}

// suspectOrRemove makes the processes on each side of a partition suspect or
// remove those on the other side. The partitioned balancer serves no callers
// meanwhile and keeps its roster.
func (w *World) suspectOrRemove(p *partition, remove bool) {
	if w.partition != p {
		return
	}
	for _, t := range w.Targets {
		if t == p.target {
			for _, other := range w.Targets {
				t.suspectOrRemove(other, remove)
			}
			continue
		}
		t.suspectOrRemove(p.target, remove)
	}
	for _, b := range w.Balancers {
		if b != p.balancer {
			b.roster.suspectOrRemove(p.target.candidate(), remove)
			b.set = b.roster.set(service)
		}
	}
}

func (t *Target) suspectOrRemove(other *Target, remove bool) {
	if t == other {
		return
	}
	t.roster.suspectOrRemove(other.candidate(), remove)
	t.rebuildView(t.world.Now())
}

func (r roster) suspectOrRemove(c target.Candidate, remove bool) {
	k, ok := r[c.ID]
	if !ok {
		return
	}
	if remove {
		delete(r, c.ID)
		return
	}
	k.Suspected = true
	r[c.ID] = k
}

// reaches reports whether updates about a target reach an address.
func (p *partition) reaches(c target.Candidate, address netip.AddrPort) bool {
	return p == nil || p.isolated(c.Tunnel) == p.isolated(address)
}
