package target_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

var (
	limits      = target.Limits{MaxHints: 1 << 16, MaxPending: 1 << 10, WalksPerSecond: 1000}
	caller      = netip.MustParseAddrPort("203.0.113.9:61000")
	callerBytes = envelope.AppendCaller(nil, caller)
)

func newSet(n int) *target.Set {
	var all []target.Candidate
	for i := range n {
		name := fmt.Sprintf("t%d", i)
		all = append(all, target.Candidate{ID: target.IDFromName(name), Name: name, Incarnation: 1})
	}
	return target.NewSet(1, all)
}

// A dead target in the middle of a walk drops the datagrams that reach it. The flow's
// owner may be any other target, so each target must be the start of some attempt.
func TestStartCoversAll(t *testing.T) {
	s := newSet(7)
	started := map[target.ID]bool{}
	for attempt := range 7 {
		c, _ := s.Start(callerBytes, attempt)
		started[c.ID] = true
	}
	if len(started) != 7 {
		t.Errorf("%d of 7 targets are the start of an attempt", len(started))
	}
}

// A flow without a hint sends several datagrams before its owner has answered. All of
// them must start their walk at the flow's first target: it is usually the owner or
// knows the owner, and starting elsewhere costs a hop.
func TestWalkStartsAtFirst(t *testing.T) {
	h := target.NewHints(limits)
	s := newSet(7)
	first, _ := s.Start(callerBytes, 0)
	for n := range 3 {
		r, _ := h.Route(clock.Hour+clock.Millis(n), s, caller, callerBytes, false)
		if r.Target.ID != first.ID {
			t.Errorf("datagram %d starts at %s, want %s", n, r.Target.Name, first.Name)
		}
	}
}

// The owner in a hint stops answering: its process died, or a device on the path lost
// the state of the tunnel. The caller keeps sending. After a few unanswered asks the
// next datagram must start its walk at another target, and the route must name the
// silent one, so that the balancer changes its source port towards it.
func TestSilentOwner(t *testing.T) {
	h := target.NewHints(limits)
	s := newSet(3)
	now := clock.Hour
	owner := s.Targets[1]
	h.Confirm(now, 1, caller, callerBytes, owner.ID, 1)
	var silent target.ID
	for range 100 {
		now += 100
		r, ok := h.Route(now, s, caller, callerBytes, false)
		if !ok {
			t.Fatal("got no route")
		}
		if r.SilentTarget != 0 {
			silent = r.SilentTarget
			if r.Target.ID == owner.ID {
				t.Error("the walk starts at the silent target again")
			}
			break
		}
	}
	if silent != owner.ID {
		t.Errorf("silent target %d, want %d", silent, owner.ID)
	}
}

// An attacker sends datagrams of flows that no target owns. Within the rate limit each
// walks over all targets; beyond it each reaches one target, so that it is not
// amplified. Flows with a hint must not be limited.
func TestWalkBudget(t *testing.T) {
	h := target.NewHints(limits)
	s := newSet(7)
	h.Confirm(clock.Hour, 1, caller, callerBytes, s.Targets[0].ID, 1)
	walked := 0
	for i := range 10 * limits.WalksPerSecond {
		a := netip.AddrPortFrom(netip.MustParseAddr("198.51.100.1"), uint16(i+1))
		r, _ := h.Route(clock.Hour, s, a, envelope.AppendCaller(nil, a), false)
		if r.Budget > 1 {
			walked++
		}
	}
	if walked < limits.WalksPerSecond || walked > 2*limits.WalksPerSecond {
		t.Errorf("%d walks, want about %d", walked, limits.WalksPerSecond)
	}
	if r, _ := h.Route(clock.Hour, s, caller, callerBytes, false); r.Budget <= 1 || !r.Hinted {
		t.Errorf("the flow with a hint is routed as %+v", r)
	}
}

func BenchmarkForward(b *testing.B) {
	ring, err := key.Parse(key.Generate())
	if err != nil {
		b.Fatal(err)
	}
	for _, hinted := range []bool{true, false} {
		b.Run(fmt.Sprintf("hinted=%t", hinted), func(b *testing.B) {
			sealer := envelope.NewSealer(ring, 1472)
			h := target.NewHints(target.Limits{MaxHints: 1 << 16, MaxPending: 1 << 10, WalksPerSecond: 1 << 30})
			s := newSet(7)
			if hinted {
				h.Confirm(clock.Hour, 1, caller, callerBytes, s.Targets[0].ID, 1)
			}
			e := &wire.Envelope{Kind: wire.Kind_KIND_FORWARD, Service: 1, Payload: make([]byte, 1200)}
			out, key := make([]byte, 0, 2048), make([]byte, 0, 18)
			b.ReportAllocs()
			for b.Loop() {
				key = envelope.AppendCaller(key[:0], caller)
				r, _ := h.Route(clock.Hour, s, caller, key, false)
				e.Stage, e.Target, e.Incarnation = r.Stage, r.Target.ID, r.Target.Incarnation
				e.Caller, e.Ask, e.Budget = key, r.Ask, r.Budget
				out, _ = sealer.Seal(out[:0], e)
			}
		})
	}
}

// changed returns the set with one target replaced by change.
func changed(s *target.Set, i int, change func(*target.Candidate)) *target.Set {
	all := slices.Clone(s.Targets)
	change(&all[i])
	return target.NewSet(s.Service, all)
}

// An agent is restarted and has its predecessor's flows. Their datagrams must go to it and not
// to every other target before; if it does not have a flow after all, the flow must be walked.
func TestRestartedOwnerComesFirst(t *testing.T) {
	h := target.NewHints(limits)
	s := newSet(7)
	now := clock.Hour
	for i := range s.Targets {
		owner := s.Targets[i].ID
		h.Confirm(now, 1, caller, callerBytes, owner, 1)
		restarted := changed(s, i, func(c *target.Candidate) { c.Incarnation = 2 })
		if r, _ := h.Route(now, restarted, caller, callerBytes, false); r.Target.ID != owner || !r.Ask {
			t.Errorf("the first datagram after the restart of %d goes to %d, asks %t", owner, r.Target.ID, r.Ask)
		}
		elsewhere := false
		for range 10 {
			now += 100
			r, _ := h.Route(now, restarted, caller, callerBytes, false)
			elsewhere = elsewhere || r.Target.ID != owner
		}
		if !elsewhere {
			t.Errorf("a successor without the flow is asked forever")
		}
	}
}

// A target that is being restarted does not answer. Its flows must wait for its successor,
// and must not be walked past all other targets, which costs the time of a hop each.
func TestLeavingOwnerIsNotSilent(t *testing.T) {
	h := target.NewHints(limits)
	s := newSet(7)
	now := clock.Hour
	owner := s.Targets[3].ID
	h.Confirm(now, 1, caller, callerBytes, owner, 1)
	leaving := changed(s, 3, func(c *target.Candidate) { c.Leaving = true })
	for range 50 {
		now += 100
		if r, _ := h.Route(now, leaving, caller, callerBytes, false); r.Target.ID != owner || r.Ask {
			t.Fatalf("%d ms after the last answer routed to %d, asks %t", now-clock.Hour, r.Target.ID, r.Ask)
		}
	}
	if r, _ := h.Route(now, leaving, caller, callerBytes, true); r.Target.ID == owner {
		t.Error("an opening goes to the leaving target")
	}
	restarted := changed(s, 3, func(c *target.Candidate) { c.Incarnation = 2 })
	if r, _ := h.Route(now+100, restarted, caller, callerBytes, false); r.Target.ID != owner {
		t.Errorf("after the restart routed to %d", r.Target.ID)
	}
}

// The owner of a flow may be any target but the leaving one. A walk must not wait for that.
func TestLeavingTargetIsWalkedLate(t *testing.T) {
	s := newSet(7)
	first, _ := s.Start(callerBytes, 0)
	i := slices.IndexFunc(s.Targets, func(c target.Candidate) bool { return c.ID == first.ID })
	left := changed(s, i, func(c *target.Candidate) { c.Leaving = true })
	left = changed(left, (i+1)%7, func(c *target.Candidate) { c.Suspected = true })
	var visited []target.ID
	for range left.Targets {
		c, _ := left.Next(callerBytes, visited)
		visited = append(visited, c.ID)
	}
	if visited[5] != first.ID || visited[6] != left.Targets[(i+1)%7].ID {
		t.Errorf("walked %v; %d is leaving, %d is suspected", visited, first.ID, left.Targets[(i+1)%7].ID)
	}
}
