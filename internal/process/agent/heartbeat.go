package agent

import (
	"context"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// broadcastEvery is the number of heartbeats of which one goes to all
	// contacts and the others go to the primary contact alone. The primary
	// contact detects a failure of the target quickly; the others detect, some
	// seconds later, that both have failed.
	broadcastEvery = 7
	// maxUnanswered is how many consecutive heartbeats may go unanswered
	// before the next contact becomes the primary one.
	maxUnanswered = 2
	// maxInFlight bounds the heartbeats whose answer is still accepted.
	maxInFlight = 64
)

// heartbeatState is the state of an agent's heartbeats. It is guarded by Agent.mu.
type heartbeatState struct {
	number uint32
	// sentAt is when the last heartbeats were sent, by number modulo maxInFlight.
	sentAt [maxInFlight]clock.Millis
	// unanswered counts the heartbeats since the last answer.
	unanswered int
	// primary selects the contact that gets every heartbeat, modulo the number
	// of contacts.
	primary int
}

// next returns the number of the next heartbeat and the contacts to send it to.
func (s *heartbeatState) next(now clock.Millis, contacts []netip.AddrPort) (uint32, []netip.AddrPort) {
	s.number++
	s.sentAt[s.number%maxInFlight] = now
	s.unanswered++
	if len(contacts) == 0 || s.number%broadcastEvery == 0 {
		return s.number, contacts
	}
	if s.unanswered > maxUnanswered {
		s.primary++
	}
	return s.number, contacts[s.primary%len(contacts):][:1]
}

// acknowledge records an answer and returns when its heartbeat was sent. It
// returns false for a number that was never sent or is too old.
func (s *heartbeatState) acknowledge(number uint32) (clock.Millis, bool) {
	if number > s.number || s.number-number >= maxInFlight {
		return 0, false
	}
	s.unanswered = 0
	return s.sentAt[number%maxInFlight], true
}

// contactsLost reports whether enough heartbeats are unanswered for every
// contact to have been tried as the primary one.
func (s *heartbeatState) contactsLost(contacts int) bool {
	return s.unanswered > maxUnanswered+contacts
}

// runHeartbeats sends heartbeats until the context ends, and a full
// announcement when the target's state has changed, an answer differs from the
// agent's state or no contact answers.
func (a *Agent) runHeartbeats(ctx context.Context) {
	for {
		a.mu.Lock()
		every := a.timing.HeartbeatInterval
		a.mu.Unlock()
		if every <= 0 {
			every = initialHeartbeat
		}
		if !a.waitHeartbeat(ctx, every) {
			return
		}
		if a.refreshState() || a.sendHeartbeat() {
			a.announce(ctx)
		}
	}
}

// waitHeartbeat waits until the next heartbeat is due. It announces the target
// at once, and returns, when an answer differs from the agent's state.
func (a *Agent) waitHeartbeat(ctx context.Context, every clock.Millis) bool {
	timer := time.NewTimer(every.Duration())
	defer timer.Stop()
	select {
	case <-a.outOfSync:
		a.announce(ctx)
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// sendHeartbeat sends one heartbeat and reports whether a full announcement is
// due as well, because there are no contacts or none of them answers.
func (a *Agent) sendHeartbeat() bool {
	now := a.deps.Clock.Now()
	local := a.localState()
	a.mu.Lock()
	number, to := a.heartbeats.next(now, a.tunnels)
	lost := len(to) == 0 || a.heartbeats.contactsLost(len(a.tunnels))
	b := &wire.Beat{
		Number: number, Incarnation: a.self.Incarnation, Sequence: a.self.Sequence, View: a.viewHash,
		Version: a.version, Flows: uint32(local.Flows), Busy: local.Busy, Slots: local.Slots,
	}
	e := &wire.Envelope{
		Kind: wire.Kind_KIND_BEAT, Service: a.service.Number, Target: target.IDFromName(a.settings.Name),
		Incarnation: a.self.Incarnation, Beat: b,
	}
	a.mu.Unlock()
	if out, err := a.sealer.Seal(nil, e); err == nil {
		for _, t := range to {
			_, _ = a.tunnel.WriteToUDPAddrPort(out, t)
		}
	}
	return lost
}

// handleAck handles a contact's answer to a heartbeat. It renews the lease from
// the time at which that heartbeat was sent, which may be before a pause of this
// process.
func (a *Agent) handleAck(now clock.Millis, e *wire.Envelope) {
	if !a.addressed(e) {
		return
	}
	b := e.Beat
	a.mu.Lock()
	sent, ok := a.heartbeats.acknowledge(b.Number)
	same := b.Incarnation == a.self.Incarnation && b.Sequence == a.self.Sequence &&
		!b.Suspected && b.View == a.viewHash
	later := b.Incarnation > a.self.Incarnation
	a.mu.Unlock()
	if !ok || now < sent {
		return
	}
	if later {
		a.supersede(ErrSuperseded)
		return
	}
	a.renewLease(sent)
	if !same {
		a.requestAnnounce()
	}
}

// requestAnnounce requests an announcement, whose replies bring this agent up to date.
func (a *Agent) requestAnnounce() {
	select {
	case a.outOfSync <- struct{}{}:
	default:
	}
}

// renewLease restarts the lease at the time at which an answered heartbeat or
// announcement was sent.
func (a *Agent) renewLease(sent clock.Millis) {
	if int64(sent) > a.leaseStart.Load() {
		a.leaseStart.Store(int64(sent))
	}
	if len(a.queued) > 0 {
		a.wakeQueue()
	}
}
