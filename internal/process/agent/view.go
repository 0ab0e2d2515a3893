package agent

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// applyReply applies a balancer's reply to an announcement: all of it, or only
// what concerns this target itself. It returns ErrSuperseded if the balancer
// knows a later process of this target.
func (a *Agent) applyReply(r *wire.Announced, all bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.self.Incarnation != 0 && r.Incarnation > a.self.Incarnation {
		return ErrSuperseded
	}
	if r.Suspected && a.self.Sequence <= r.Sequence {
		// Only a higher sequence overrides the suspicion.
		a.self.Sequence = r.Sequence + 1
	}
	if !all {
		return nil
	}
	a.barred = r.Barred
	if r.Version >= a.version {
		a.applyConfig(r)
		a.drainRequested = r.Drain
	}
	a.applyMembership(r)
	a.updateState()
	a.rebuildViewLocked()
	return nil
}

// applyConfig applies the configuration in a reply. Balancers include it only if
// it is newer than the agent's, so a balancer that is behind changes nothing.
func (a *Agent) applyConfig(r *wire.Announced) {
	var service config.Service
	var timing config.Timing
	if len(r.Record) == 0 || json.Unmarshal(r.Record, &service) != nil || json.Unmarshal(r.Timing, &timing) != nil {
		return
	}
	a.service, a.timing, a.version = service, timing, r.Version
	a.leaseMillis.Store(int64(timing.LeaseDuration))
	a.digestMillis.Store(int64(service.DigestInterval))
	a.rampMillis.Store(int64(service.RampTime))
	a.slots.Store(uint32(service.Slots))
	if a.table != nil {
		a.table.SetLimits(a.limits())
		a.loads.SetMaxAge(maxMissedDigests * service.DigestInterval)
	}
}

// applyMembership applies the peers and contacts in a reply, if its view differs.
func (a *Agent) applyMembership(r *wire.Announced) {
	if r.View == 0 || r.View == a.viewHash {
		return
	}
	a.viewHash = r.View
	// New slices: a heartbeat that is being sent reads the old ones without the lock.
	a.peers, a.contacts, a.tunnels = nil, nil, nil
	for _, w := range r.Peers {
		if m, err := member.FromWire(w); err == nil && m.Key != a.self.Key {
			a.peers = append(a.peers, m)
		}
	}
	for _, w := range r.Contacts {
		if m, err := member.FromWire(w); err == nil {
			a.contacts = append(a.contacts, m.Control)
			a.tunnels = append(a.tunnels, m.Tunnel())
		}
	}
}

// updateState moves the target to its desired state, unless it is leaving or has
// left. The caller holds a.mu.
func (a *Agent) updateState() {
	if a.version == 0 || a.self.State == member.Leaving || a.self.State == member.Left {
		return
	}
	now := a.deps.Clock.Now()
	desired := a.desiredState(now)
	if a.self.State == desired {
		return
	}
	a.self.State = desired
	a.drainingSince = now
	a.self.Sequence++
	a.accepting.Store(desired == member.Alive)
	a.deps.Log.Info().Str("event", "state").Str("state", string(desired)).Msg("target state changed")
}

// desiredState returns the state that follows from the operators' request, the
// configuration and the time since the target was first announced.
func (a *Agent) desiredState(now clock.Millis) member.State {
	switch {
	case a.drainRequested || a.barred:
		return member.Draining
	case a.isJoining(now):
		return member.Joining
	default:
		return member.Alive
	}
}

// isJoining reports whether the target started so recently that other processes may not
// know it yet. A target that took over the flows of a predecessor is known already.
//
// A ledger alone is not enough for that: after all agents of a service were stopped for long,
// each has one and none knows the others. The balancers must still know the predecessor.
func (a *Agent) isJoining(now clock.Millis) bool {
	if a.tookOver.Load() && a.predecessorKnown {
		return false
	}
	return a.joinedAt == 0 || now.Sub(a.joinedAt) <= owner.MaxPropagationDelay
}

// refreshState updates the target's state, which ends the joining state once its
// time has passed. It reports whether the state changed and must be announced.
func (a *Agent) refreshState() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.self.State
	a.updateState()
	if a.self.State == old {
		return false
	}
	a.rebuildViewLocked()
	return true
}

// rebuildViewLocked replaces the view that the packet path reads.
func (a *Agent) rebuildViewLocked() {
	if a.service.Number == 0 || a.self.Incarnation == 0 {
		return
	}
	now := a.deps.Clock.Now()
	candidates := []target.Candidate{a.candidate(&a.self)}
	for i := range a.peers {
		if !a.left(&a.peers[i]) {
			candidates = append(candidates, a.candidate(&a.peers[i]))
		}
	}
	set := target.NewSet(a.service.Number, candidates)
	v := a.observer.View(now, set, a.self.Incarnation, a.service.ResendWindow)
	if a.loads != nil {
		a.loads.Retain(set)
	}
	a.view.Store(v)
	a.waiting.Wake()
}

func (a *Agent) candidate(m *member.Member) target.Candidate {
	return target.Candidate{
		ID: target.IDFromName(m.Name), Name: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, Tunnel: m.Tunnel(),
		Draining: m.State != member.Alive, Leaving: a.leaving(m),
		Suspected: m.Suspected,
	}
}

func (a *Agent) lease() clock.Millis {
	return clock.Millis(a.leaseMillis.Load())
}

func (a *Agent) digestInterval() clock.Millis {
	return max(clock.Millis(a.digestMillis.Load()), minInterval)
}

// minInterval keeps a loop from spinning on an interval that is not set yet.
const minInterval = 50 * clock.Millis(1)

// otherBalancer returns the tunnel of a contact on a VM with another address.
func (a *Agent) otherBalancer(exclude netip.Addr) (netip.AddrPort, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.IndexFunc(a.tunnels, func(t netip.AddrPort) bool { return t.Addr() != exclude })
	if i < 0 {
		return netip.AddrPort{}, false
	}
	return a.tunnels[i], true
}
