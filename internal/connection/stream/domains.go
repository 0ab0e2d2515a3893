package stream

import (
	"math"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const (
	// shortLoad is the mean load of a failure domain's slots above which it is short, and
	// roomLoad the one up to which flows of others may fill it.
	shortLoad = 0.9
	roomLoad  = 0.8
	// remoteLoadRatio is the load of remote slots, as a fraction of that of the local ones,
	// up to which flows leave a failure domain that stays short. The rest is what the
	// distance and traffic between domains are worth, and keeps domains that are equally
	// short from exchanging flows.
	remoteLoadRatio = 0.6
	// maxSlotLoad bounds the load that counts at a target: more requests in progress show
	// for how long it has been short, not by how much.
	maxSlotLoad = 3.0
	// splitDelay is the time constant with which shares of remote flows change.
	// splitWindow is the one with which reports show what was sent away.
	splitDelay  = 200 * clock.Millis(1)
	splitWindow = 500 * clock.Millis(1)
	// minShare is the smallest share of flows that is sent away, and minStaying the
	// smallest that counts as staying.
	minShare   = 0.01
	minStaying = 0.1
)

// distance orders remote failure domains by their distance from the balancer's own.
type distance int

const (
	sameRegion distance = iota
	otherRegion
	numDistances
)

// domainLoad is the load of a service's targets in one or more failure domains.
type domainLoad struct {
	// busy is the number of requests in progress.
	busy  float64
	slots float64
}

func (d *domainLoad) add(t *Target) {
	busy := t.Busy
	if t.RunningKnown {
		busy = (busy + float64(t.Running)) / 2
	}
	slots := float64(max(t.Slots, 1))
	d.busy += min(busy, maxSlotLoad*slots)
	d.slots += slots
}

// acceptableShare returns the share of a local demand that the remote targets can take, given
// the number of local slots and the share that the remote load already includes.
func (d *domainLoad) acceptableShare(demand, localSlots, sent float64) float64 {
	if d.slots == 0 {
		return 0
	}
	own := d.busy - sent*demand
	upToRoomLoad := (roomLoad*d.slots - own) / demand
	// The share x with (own + x*demand)/slots = remoteLoadRatio * (1-x)*demand/localSlots.
	ratio := remoteLoadRatio / localSlots
	upToRatio := (ratio - own/d.slots/demand) / (ratio + 1/d.slots)
	return max(upToRoomLoad, upToRatio, 0)
}

// remoteShare is the share of a service's flows that this failure domain sends to others.
type remoteShare struct {
	share float64
	// sent is the mean share of the last splitWindow, in which the requests were placed that
	// the last reports show.
	sent float64
}

// split divides a service's flows between the balancer's own failure domain and others.
//
// A domain that is short sends away as much as it lacks, as far as others have room, the
// nearest first. The demand is the local load together with what was sent away; without the
// latter the flows would return as soon as they had left. All balancers of a domain see the
// same reports and send about the same share.
//
// For example, 40 requests are in progress on 30 slots: a third of the flows leaves. The load
// falls to 27, and the demand is still 40.
type split struct {
	remote    [numDistances]remoteShare
	updatedAt clock.Millis
	// recorded is set if the last recorded event says that flows leave.
	recorded bool
}

// update computes the shares anew from the last reports.
func (s *split) update(now clock.Millis, near domainLoad, far [numDistances]domainLoad) {
	period := min(now.Sub(s.updatedAt), splitWindow)
	s.updatedAt = now
	staying := 1.0
	for i := range s.remote {
		r := &s.remote[i]
		r.sent += (r.share - r.sent) * meanWeight(period, splitWindow)
		staying -= r.sent
	}
	demand := near.busy / max(staying, minStaying)
	lacking := max(1-shortLoad*near.slots/max(demand, 1), 0)
	for i := range s.remote {
		r := &s.remote[i]
		wanted := 0.0
		if lacking > 0 {
			wanted = min(lacking, far[i].acceptableShare(demand, near.slots, r.sent))
		}
		lacking -= wanted
		r.share += (wanted - r.share) * meanWeight(period, splitDelay)
		if r.share < minShare {
			r.share = 0
		}
	}
}

// draw returns how far a flow goes given a random number from 0 to 1, and whether it leaves
// the failure domain.
func (s *split) draw(random float64) (distance, bool) {
	for i, r := range s.remote {
		if random < r.share {
			return distance(i), true
		}
		random -= r.share
	}
	return 0, false
}

// total returns the share of flows that leaves.
func (s *split) total() float64 {
	total := 0.0
	for _, r := range s.remote {
		total += r.share
	}
	return total
}

// recordShortages records for which services flows have begun or ceased to leave the failure
// domain.
func (s *Steerer) recordShortages() {
	for name, g := range s.Targets.groups {
		p := &g.load.split
		share := p.total()
		if p.recorded == (share > 0) {
			continue
		}
		p.recorded = share > 0
		reason := "flows stay"
		if p.recorded {
			reason = "flows leave the failure domain"
		}
		s.out.record(Event{Kind: Short, Service: name, Reason: reason, Count: int(math.Ceil(100 * share))})
	}
}

// meanWeight returns the weight of the last period in an exponentially weighted mean.
func meanWeight(period, window clock.Millis) float64 {
	return 1 - math.Exp(-float64(period)/float64(window))
}

// distanceTo returns the distance of a remote failure domain.
func (ts *Targets) distanceTo(domain string) distance {
	if ts.regions[domain] == ts.regions[ts.domain] {
		return sameRegion
	}
	return otherRegion
}

// selectDomain returns the remote candidates if a flow leaves the failure domain, else the
// local ones.
//
// Flows placed locally since the last reports also count against remote targets: when all
// callers reconnect at once, remote balancers place as many flows there.
func (ts *Targets) selectDomain(l *serviceLoad, near, far *candidates) *candidates {
	if len(near.all) == 0 {
		return far
	}
	if l.pressure == 0 {
		if near.best > overloadThreshold && len(far.all) > 0 && far.best+near.placed+crossDomainMargin < near.best {
			return far
		}
		return near
	}
	d, leaves := l.split.draw(ts.random.Float64())
	if !leaves {
		return near
	}
	far.keep(func(t *Target) bool { return ts.distanceTo(t.Domain) == d })
	if len(far.all) == 0 {
		return near
	}
	return far
}
