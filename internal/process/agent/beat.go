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
	// allEvery is how many beats go to the first contact alone before one
	// goes to all of them. The first contact watches the target closely;
	// the others notice, some seconds later, if both are gone.
	allEvery = 7
	// missed is how many beats in a row may go unanswered before the next
	// contact becomes the first one.
	missed = 2
	// inFlight bounds the beats whose answer may still come.
	inFlight = 64
)

// beats is the state of an agent's heartbeats. It is guarded by Agent.mu.
type beats struct {
	number uint32
	// sent is when the last beats were sent, by their numbers.
	sent [inFlight]clock.Millis
	// unanswered counts the beats since the last answer.
	unanswered int
	// first is the index of the contact that gets every beat.
	first int
}

// next counts a beat and says whom it goes to.
func (s *beats) next(now clock.Millis, contacts []netip.AddrPort) (uint32, []netip.AddrPort) {
	s.number++
	s.sent[s.number%inFlight] = now
	s.unanswered++
	if len(contacts) == 0 || s.number%allEvery == 0 {
		return s.number, contacts
	}
	if s.unanswered > missed {
		s.first++
	}
	return s.number, contacts[s.first%len(contacts):][:1]
}

// answered notes an answer and returns when its beat was sent.
func (s *beats) answered(number uint32) (clock.Millis, bool) {
	if number > s.number || s.number-number >= inFlight {
		return 0, false
	}
	s.unanswered = 0
	return s.sent[number%inFlight], true
}

// silent reports that several contacts in a row did not answer.
func (s *beats) silent(contacts int) bool {
	return s.unanswered > missed+contacts
}

// heartbeats sends beats until the context ends, and announces the target in
// full when an answer showed a difference or no contact answers.
func (a *Agent) heartbeats(ctx context.Context) {
	for {
		a.mu.Lock()
		every := a.timing.HeartbeatInterval
		a.mu.Unlock()
		if every <= 0 {
			every = idleHeartbeat
		}
		if !a.pause(ctx, every) {
			return
		}
		if a.settle() || a.beat() {
			a.announce(ctx)
		}
	}
}

// pause waits for the next beat, or for an answer that showed a difference,
// which is announced at once.
func (a *Agent) pause(ctx context.Context, every clock.Millis) bool {
	timer := time.NewTimer(every.Duration())
	defer timer.Stop()
	select {
	case <-a.differs:
		a.announce(ctx)
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// beat sends one beat and reports that a full announcement is due instead.
func (a *Agent) beat() bool {
	now := a.deps.Clock.Now()
	own := a.own()
	a.mu.Lock()
	number, to := a.beats.next(now, a.tunnels)
	silent := len(to) == 0 || a.beats.silent(len(a.tunnels))
	b := &wire.Beat{
		Number: number, Incarnation: a.self.Incarnation, Sequence: a.self.Sequence, View: a.viewHash,
		Version: a.version, Flows: uint32(own.Flows), Busy: own.Busy, Slots: own.Slots,
	}
	e := &wire.Envelope{
		Kind: wire.Kind_KIND_BEAT, Service: a.record.Number, Target: target.IDFromName(a.settings.Name),
		Incarnation: a.self.Incarnation, Beat: b,
	}
	a.mu.Unlock()
	if out, err := a.sealer.Seal(nil, e); err == nil {
		for _, t := range to {
			_, _ = a.tunnel.WriteToUDPAddrPort(out, t)
		}
	}
	return silent
}

// acked takes a contact's answer to a beat. An answer to a beat from before a
// pause of this process confirms only the time at which that beat was sent.
func (a *Agent) acked(now clock.Millis, e *wire.Envelope) {
	if !a.addressed(e) {
		return
	}
	b := e.Beat
	a.mu.Lock()
	sent, ok := a.beats.answered(b.Number)
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
	a.confirm(sent)
	if !same {
		select {
		case a.differs <- struct{}{}:
		default:
		}
	}
}

// confirm notes when the last answered heartbeat was sent.
func (a *Agent) confirm(sent clock.Millis) {
	if int64(sent) > a.confirmed.Load() {
		a.confirmed.Store(int64(sent))
	}
	if len(a.held) > 0 {
		a.wake()
	}
}
