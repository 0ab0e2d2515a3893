package stream

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// portTest is a balancer with a target of service "one" and two of service "two".
type portTest struct {
	t       *testing.T
	s       *Steerer
	version uint64
}

func newPortTest(t *testing.T) *portTest {
	p := &portTest{t: t, s: NewSteerer(0, Settings{Domain: "a", MaxFlows: 100, FlowTTL: testFlowTTL})}
	p.setService(testNow, "one")
	for i, service := range []string{"one", "two", "two"} {
		p.s.HandleParcel(testNow, testAddress(2, i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: &wire.Report{
			Name: service, Domain: "a", Service: service, Epoch: 1, Sequence: 1, Born: 1,
			Condition: wire.Condition_CONDITION_READY, Slots: 4,
		}}, nil)
	}
	return p
}

// setService routes the listener to a service, or drops it.
func (p *portTest) setService(now clock.Millis, service string) {
	p.t.Helper()
	p.version++
	table := &routing.Table{Version: p.version}
	if service != "" {
		table.Listeners = []*routing.Listener{{Name: "l", Address: testListener, Shares: []routing.Share{{Service: service, Weight: 1}}}}
	}
	if err := table.Check(); err != nil {
		p.t.Fatal(err)
	}
	p.s.SetTable(now, table)
}

func (p *portTest) send(now clock.Millis, flags segment.Flags, seq uint32) {
	packet := callerPacket(flags, seq)
	p.s.HandlePacket(now, decode(packet), packet)
}

func callerPacket(flags segment.Flags, seq uint32) []byte {
	return encode(segment.Segment{Source: testFlow.Caller, Destination: testFlow.Listener, Flags: flags, Seq: seq, Ack: 1000})
}

// open opens a flow at the target of service "one".
func (p *portTest) open() {
	p.send(testNow, segment.Opens, 7)
	sendAnswer(p.s, testNow+1, 0, wire.Holding_HOLDING_OWNED)
	p.s.TakeOutcome()
}

// end ends the flow at the caller.
func (p *portTest) end() {
	p.send(testNow+50, segment.Acks|segment.Ends, 8)
	p.s.TakeOutcome()
}

// inherit makes the balancer learn of the flow from another one.
func (p *portTest) inherit() {
	p.s.AddOwners(testNow, []*wire.Owner{{
		Flow: segment.AppendFlow(nil, testFlow), Address: segment.AppendAddress(nil, testAddress(2, 0)), Service: "one",
	}})
}

// find makes the balancer learn of the flow by a search.
func (p *portTest) find() {
	p.send(testNow, segment.Acks, 8)
	sendAnswer(p.s, testNow+1, 0, wire.Holding_HOLDING_OWNED)
	p.s.TakeOutcome()
}

// openedAt returns the target to which the opening packet was sent, and whether the caller
// was reset.
func (p *portTest) openedAt() (to netip.AddrPort, reset bool) {
	out := p.s.TakeOutcome()
	for _, send := range out.Sends {
		if send.Parcel.Verb == wire.Verb_VERB_OPEN {
			to = send.To
		}
	}
	return to, len(out.Resets) > 0
}

// An opening from a port that was used before went to the target of the earlier flow, past a
// route that had been changed or dropped since.
func TestReusedPortFollowsTable(t *testing.T) {
	for _, c := range []struct {
		name  string
		first func(p *portTest)
		after clock.Millis
		seq   uint32
	}{
		{"ended, later than its time to live", func(p *portTest) { p.open(); p.end() }, testFlowTTL + 2000, 7},
		{"ended, another number", func(p *portTest) { p.open(); p.end() }, 500, 9},
		{"left open, the same number", func(p *portTest) { p.open() }, 5000, 7},
		{"left open, another number", func(p *portTest) { p.open() }, 500, 9},
		{"never taken", func(p *portTest) { p.send(testNow, segment.Opens, 7); p.s.TakeOutcome() }, 5000, 7},
		{"inherited long ago", func(p *portTest) { p.inherit() }, 5000, 7},
		{"inherited just now", func(p *portTest) { p.inherit() }, 500, 7},
		{"found just now and ended", func(p *portTest) { p.find(); p.end() }, 500, 7},
		{"searched for", func(p *portTest) { p.send(testNow, segment.Acks, 8); p.s.TakeOutcome() }, 5000, 7},
	} {
		for _, service := range []string{"two", ""} {
			p := newPortTest(t)
			c.first(p)
			p.setService(testNow+60, service)
			p.send(testNow+c.after, segment.Opens, c.seq)
			to, reset := p.openedAt()
			if service == "" && (to.IsValid() || !reset) || service == "two" && (reset || to != testAddress(2, 1) && to != testAddress(2, 2)) {
				t.Errorf("%s, service %q: sent to %v, reset %v", c.name, service, to, reset)
			}
		}
	}
}

// Both copies of an opening packet must reach the same target, also if the route has changed
// in between or the balancer has learned of the flow from another one.
func TestRetransmissionFollowsOwner(t *testing.T) {
	for _, c := range []struct {
		name    string
		first   func(p *portTest)
		service string
	}{
		{"opened here", func(p *portTest) { p.open() }, "two"},
		{"half closed", func(p *portTest) { p.open(); p.end() }, "two"},
		{"inherited", func(p *portTest) { p.inherit() }, "one"},
		{"found", func(p *portTest) { p.find() }, "one"},
	} {
		p := newPortTest(t)
		c.first(p)
		p.setService(testNow+60, c.service)
		for _, after := range []clock.Millis{200, 600} {
			p.send(testNow+after, segment.Opens, 7)
			if to, reset := p.openedAt(); to != testAddress(2, 0) || reset {
				t.Errorf("%s, after %d ms: sent to %v, reset %v, want the owner", c.name, after, to, reset)
			}
		}
	}
}

// An opening that the target of an earlier flow returned was dropped, with all its copies. It
// must go to another target; a copy of the opening of a flow in use must not.
func TestOpeningReturnedByOwnerIsPlaced(t *testing.T) {
	for _, inUse := range []bool{false, true} {
		p := newPortTest(t)
		p.open()
		p.send(testNow+20, segment.Acks, 8)
		if !inUse {
			p.end()
		}
		p.setService(testNow+60, "two")
		p.send(testNow+500, segment.Opens, 7)
		p.s.TakeOutcome()
		packet := callerPacket(segment.Opens, 7)
		p.s.HandleParcel(testNow+510, testAddress(2, 0), &wire.Parcel{
			Verb: wire.Verb_VERB_RETURN, Cause: wire.Cause_CAUSE_CLOSED, Packet: packet,
		}, decode(packet))
		if to, _ := p.openedAt(); to.IsValid() == inUse {
			t.Errorf("flow in use %v: sent to %v", inUse, to)
		}
	}
}

// An opening from a port that was used before waits at a starting balancer that has inherited
// the earlier flow: it was dropped when the configuration came.
func TestReusedPortIsQueued(t *testing.T) {
	s := NewSteerer(testNow, Settings{Domain: "a", MaxFlows: 100, FlowTTL: testFlowTTL})
	p := &portTest{t: t, s: s}
	p.inherit()
	p.send(testNow+10, segment.Opens, 7)
	reportReadyTarget(s, testNow+20)
	p.setService(testNow+30, "one")
	if to, _ := p.openedAt(); to != testAddress(2, 0) {
		t.Errorf("sent to %v", to)
	}
}

// An agent took an opening from a port that was used before for a copy of the earlier flow's,
// and passed it to a target that accepts no new flows.
func TestReusedPortAtAgent(t *testing.T) {
	for _, c := range []struct {
		name  string
		after clock.Millis
		seq   uint32
		want  int
	}{
		{"a copy", 600, 0, 1},
		{"the same number later", 5000, 0, 0},
		{"another number", 600, 9, 0},
	} {
		tr := newAgentWithoutTarget()
		sendHeartbeat(tr, testNow, 500, 1)
		openFlow(tr, testNow+100, 1)
		tr.HandleHeartbeat(testNow+200, Heartbeat{Service: "one", Born: 500, Sequence: 2, Slots: 4, Draining: true})
		tr.TakeOutcome()
		sendOpeningToAgent(tr, testNow+100+c.after, c.seq)
		if got := len(tr.TakeOutcome().Deliveries); got != c.want {
			t.Errorf("%s: %d delivered, want %d", c.name, got, c.want)
		}
	}
}

// A copy of an opening packet reaches the agent too late to be told from a new flow, and the
// target returns it. The open flow must not be forgotten.
func TestLateCopyKeepsOpenFlow(t *testing.T) {
	tr := newAgentWithoutTarget()
	sendHeartbeat(tr, testNow, 500, 1)
	openFlow(tr, testNow+100, 1)
	s := sendOpeningToAgent(tr, testNow+3000, 0)
	s.Flags |= segment.Returned
	tr.HandleTargetPacket(testNow+3001, &s, encode(s))
	if got := tr.holding(testNow+3002, callerFlow(1), 1000); got != wire.Holding_HOLDING_OWNED {
		t.Errorf("holding %v", got)
	}
}

func sendOpeningToAgent(tr *Tracker, now clock.Millis, seq uint32) segment.Segment {
	id := callerFlow(1)
	s := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens, Seq: seq}
	tr.HandleParcel(now, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_OPEN, Service: "one", Packet: encode(s)}, &s)
	return s
}
