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

// takeReply brings in what a balancer told: all of it, or only what concerns
// this target itself. It returns ErrSuperseded where a later process of this
// target is known.
func (a *Agent) takeReply(r *wire.Announced, all bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.self.Incarnation != 0 && r.Incarnation > a.self.Incarnation {
		return ErrSuperseded
	}
	if r.Suspected && a.self.Sequence <= r.Sequence {
		// Only a higher sequence beats the suspicion.
		a.self.Sequence = r.Sequence + 1
	}
	if !all {
		return nil
	}
	a.barred = r.Barred
	if r.Version >= a.version {
		a.takeRecord(r)
		a.drained = r.Drain
	}
	a.takePeers(r)
	a.setState()
	a.rebuildLocked()
	return nil
}

// takeRecord takes a later version; a balancer that is behind changes nothing.
func (a *Agent) takeRecord(r *wire.Announced) {
	var record config.Service
	var timing config.Timing
	if len(r.Record) == 0 || json.Unmarshal(r.Record, &record) != nil || json.Unmarshal(r.Timing, &timing) != nil {
		return
	}
	a.record, a.timing, a.version = record, timing, r.Version
	a.leaseTime.Store(int64(timing.LeaseDuration))
	a.digestTime.Store(int64(record.DigestInterval))
	a.rampTime.Store(int64(record.RampTime))
	a.slots.Store(uint32(record.Slots))
	if a.table != nil {
		a.table.SetLimits(a.limits())
		a.loads.SetBound(staleDigests * record.DigestInterval)
	}
}

func (a *Agent) takePeers(r *wire.Announced) {
	if r.View == 0 || r.View == a.viewHash {
		return
	}
	a.viewHash = r.View
	// New slices: a beat that is being sent reads the old ones without the lock.
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

// setState follows the operators' word. A target that leaves stays so.
func (a *Agent) setState() {
	if a.version == 0 || a.self.State == member.Leaving || a.self.State == member.Left {
		return
	}
	now := a.deps.Clock.Now()
	wanted := a.wanted(now)
	if a.self.State == wanted {
		return
	}
	a.self.State = wanted
	a.draining = now
	a.self.Sequence++
	a.accepting.Store(wanted == member.Alive)
	a.deps.Log.Info().Str("event", "state").Str("state", string(wanted)).Msg("state of the target")
}

func (a *Agent) wanted(now clock.Millis) member.State {
	switch {
	case a.drained || a.barred:
		return member.Draining
	case a.joining(now):
		return member.Joining
	default:
		return member.Alive
	}
}

// joining reports that the target started not long enough ago for everybody to
// have heard of it, and has no predecessor's flows that make up for that. See
// owner.NewsLag.
//
// A ledger alone is not enough: after all agents of a service have stopped for long, each
// has one and none knows the others. The balancers must still know the predecessor.
func (a *Agent) joining(now clock.Millis) bool {
	if a.inherited.Load() && a.familiar {
		return false
	}
	return a.joined == 0 || now.Sub(a.joined) <= owner.NewsLag
}

// settle ends the joining of the target once its time has passed, and reports
// that it is to be announced.
func (a *Agent) settle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.self.State
	a.setState()
	if a.self.State == before {
		return false
	}
	a.rebuildLocked()
	return true
}

// rebuildLocked replaces the view that the packet path reads.
func (a *Agent) rebuildLocked() {
	if a.record.Number == 0 || a.self.Incarnation == 0 {
		return
	}
	now := a.deps.Clock.Now()
	candidates := []target.Candidate{a.candidate(&a.self)}
	for i := range a.peers {
		candidates = append(candidates, a.candidate(&a.peers[i]))
	}
	set := target.NewSet(a.record.Number, candidates)
	v := a.observer.View(now, set, a.self.Incarnation, a.record.ResendWindow)
	if a.loads != nil {
		a.loads.Keep(set)
	}
	a.view.Store(v)
}

func (a *Agent) candidate(m *member.Member) target.Candidate {
	return target.Candidate{
		ID: target.IDFromName(m.Name), Name: m.Name, Incarnation: m.Incarnation, Sequence: m.Sequence, Tunnel: m.Tunnel(),
		Draining: m.State != member.Alive, Suspected: m.Suspected,
	}
}

func (a *Agent) lease() clock.Millis {
	return clock.Millis(a.leaseTime.Load())
}

func (a *Agent) digestEvery() clock.Millis {
	return max(clock.Millis(a.digestTime.Load()), leastEvery)
}

// leastEvery keeps a loop from spinning on a value that is not set yet.
const leastEvery = 50 * clock.Millis(1)

// otherBalancer returns a contact's tunnel on another VM than the address.
func (a *Agent) otherBalancer(not netip.Addr) (netip.AddrPort, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := slices.IndexFunc(a.tunnels, func(t netip.AddrPort) bool { return t.Addr() != not })
	if i < 0 {
		return netip.AddrPort{}, false
	}
	return a.tunnels[i], true
}
