package stream

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	fleetSlots = 4
	fleetQueue = 16
	fleetStep  = 5 * clock.Millis(1)
	fleetWork  = 40 * clock.Millis(1)
	// fleetCapacity is the number of requests a second that a target serves.
	fleetCapacity = fleetSlots * float64(clock.Second) / float64(fleetWork)
)

var (
	urgentListener = netip.MustParseAddrPort("198.18.0.2:443")
	otherListener  = netip.MustParseAddrPort("198.18.0.3:443")
	urgentClass    = &routing.Class{Priority: 3, Objective: 300}
	otherClass     = &routing.Class{Priority: 5, Repeatable: true, Objective: 250}
)

// loadedFleet is a fleet under load, without a network.
type loadedFleet struct {
	t         *testing.T
	random    *rand.Rand
	now       clock.Millis
	balancers []*Steerer
	targets   []*loadedTarget
	standing  []standingFlow
	flows     int
	// sent is the sequence number after the last request.
	sent uint32
	// choices are the targets of all openings, events those of all refusals.
	choices []netip.AddrPort
	events  []Event
	results map[netip.AddrPort]*loadResult
}

// loadedTarget works on the first requests of its queue and rejects those that do not fit.
type loadedTarget struct {
	address  netip.AddrPort
	domain   string
	draining bool
	tracker  *Tracker
	queue    []loadedRequest
}

type loadedRequest struct {
	flow   segment.Flow
	sentAt clock.Millis
	left   clock.Millis
}

func (target *loadedTarget) isWorkingOn(id segment.Flow) bool {
	return slices.ContainsFunc(target.queue, func(r loadedRequest) bool { return r.flow == id })
}

type standingFlow struct {
	flow   segment.Flow
	target *loadedTarget
}

// loadResult counts the requests of the callers of a listener.
type loadResult struct {
	asked, inTime, refused int
}

func (r *loadResult) share() float64 {
	return float64(r.inTime) / float64(max(r.asked, 1))
}

// newLoadedFleet returns a fleet whose balancers are in failure domain "a", with a target in
// each of the given domains. Listeners have no class unless classes is set.
func newLoadedFleet(t *testing.T, balancers int, classes bool, domains ...string) *loadedFleet {
	f := &loadedFleet{t: t, random: rand.New(rand.NewPCG(1, 1)), now: testNow}
	table := newTestTable(t)
	table.Listeners = []*routing.Listener{
		{Name: "u", Address: urgentListener, Shares: table.Listeners[0].Shares},
		{Name: "o", Address: otherListener, Shares: table.Listeners[0].Shares},
	}
	if classes {
		table.Listeners[0].Class, table.Listeners[1].Class = urgentClass, otherClass
	}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	for i := range balancers {
		s := NewSteerer(f.now, Settings{Domain: "a", MaxFlows: 100_000, FlowTTL: testFlowTTL, Seed: uint64(i)})
		s.SetTable(f.now, table)
		s.Targets.SetBalancers(balancers)
		f.balancers = append(f.balancers, s)
	}
	for i, domain := range domains {
		target := &loadedTarget{address: testAddress(2, i), domain: domain}
		f.targets = append(f.targets, target)
		f.startAgent(target, 1)
	}
	f.resetResults()
	return f
}

func (f *loadedFleet) startAgent(target *loadedTarget, epoch uint64) {
	target.tracker = NewTracker(f.now, TrackerSettings{
		Name: target.address.String(), Domain: target.domain, Service: "one", Epoch: epoch, Port: simPort,
		MaxFlows: 10_000, FlowTTL: testFlowTTL, Heartbeat: simHeartbeat, HeartbeatTimeout: 3 * simHeartbeat,
	})
	f.report(target)
}

func (f *loadedFleet) resetResults() {
	f.results = map[netip.AddrPort]*loadResult{urgentListener: {}, otherListener: {}}
	f.events = nil
}

func (f *loadedFleet) report(target *loadedTarget) {
	target.tracker.HandleHeartbeat(f.now, Heartbeat{
		Service: "one", Born: 1, Sequence: uint64(f.now), Slots: fleetSlots, Draining: target.draining,
	})
	for _, s := range f.balancers {
		s.HandleParcel(f.now, target.address, &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: target.tracker.report(f.now, 0)}, nil)
	}
}

// run lets callers open flows and send a request on each, at rates per second, and others
// send requests on standing flows.
func (f *loadedFleet) run(d clock.Millis, urgent, other, standing float64) {
	for end := f.now + d; f.now < end; f.now += fleetStep {
		f.work()
		f.repeat(urgent, func() { f.open(urgentListener) })
		f.repeat(other, func() { f.open(otherListener) })
		f.repeat(standing, func() {
			s := f.standing[f.random.IntN(len(f.standing))]
			if !s.target.isWorkingOn(s.flow) {
				f.request(s.target, s.flow)
			}
		})
	}
}

// repeat calls an action at a rate per second.
func (f *loadedFleet) repeat(rate float64, action func()) {
	n := rate * float64(fleetStep) / float64(clock.Second)
	for n > f.random.Float64() {
		action()
		n--
	}
}

// work lets the targets work for a step.
func (f *loadedFleet) work() {
	for _, target := range f.targets {
		for i := range min(fleetSlots, len(target.queue)) {
			target.queue[i].left -= fleetStep
		}
		target.queue = slices.DeleteFunc(target.queue, func(r loadedRequest) bool {
			if r.left > 0 {
				return false
			}
			result := f.results[r.flow.Listener]
			if f.now.Sub(r.sentAt) <= 250 {
				result.inTime++
			}
			f.answer(target, r.flow)
			return true
		})
		if f.now%50 == 0 {
			target.tracker.Tick(f.now)
		}
		if f.now%150 == 0 {
			f.report(target)
		}
	}
}

func (f *loadedFleet) answer(target *loadedTarget, id segment.Flow) {
	s := segment.Segment{Source: id.Listener, Destination: id.Caller, Flags: segment.Acks, Seq: 6, Size: 900}
	target.tracker.HandleTargetPacket(f.now, &s, encode(s))
	target.tracker.TakeOutcome()
}

// request sends a request on an open flow.
func (f *loadedFleet) request(target *loadedTarget, id segment.Flow) {
	s := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Ack: 6, Seq: f.sent, Size: 200}
	f.sent += 200
	target.tracker.HandleParcel(f.now, testAddress(1, 0), &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: "one", Packet: encode(s)}, &s)
	if out := target.tracker.TakeOutcome(); len(out.Deliveries) != 1 || len(out.Resets) > 0 {
		f.t.Fatal("a packet of an open flow was not delivered")
	}
	if len(target.queue) >= fleetSlots+fleetQueue {
		f.answer(target, id)
		return
	}
	work := fleetWork/2 + clock.Millis(f.random.IntN(int(fleetWork)))
	target.queue = append(target.queue, loadedRequest{flow: id, sentAt: f.now, left: work})
}

// open opens a flow over a random balancer and sends a request on it. It returns the target,
// or nil if the caller was refused.
func (f *loadedFleet) open(listener netip.AddrPort) (segment.Flow, *loadedTarget) {
	f.flows++
	id := callerFlow(f.flows)
	id.Listener = listener
	f.results[listener].asked++
	s := f.balancers[f.random.IntN(len(f.balancers))]
	packet := encode(segment.Segment{Source: id.Caller, Destination: listener, Flags: segment.Opens})
	s.HandlePacket(f.now, decode(packet), packet)
	for out := s.TakeOutcome(); ; out = s.TakeOutcome() {
		if len(out.Resets) > 0 {
			f.results[listener].refused++
			f.events = append(f.events, out.Events...)
			return id, nil
		}
		if len(out.Sends) != 1 {
			f.t.Fatalf("an opening led to %d parcels and no reset", len(out.Sends))
		}
		if target := f.deliver(s, id, out.Sends[0]); target != nil {
			return id, target
		}
	}
}

// deliver delivers an opening to an agent. It returns the target if that took it.
func (f *loadedFleet) deliver(s *Steerer, id segment.Flow, send Send) *loadedTarget {
	f.choices = append(f.choices, send.To)
	i := slices.IndexFunc(f.targets, func(target *loadedTarget) bool { return target.address == send.To })
	target := f.targets[i]
	target.tracker.HandleParcel(f.now, testAddress(1, 0), send.Parcel, packetSegment(send.Parcel))
	out := target.tracker.TakeOutcome()
	for _, returned := range out.Sends {
		s.HandleParcel(f.now, target.address, returned.Parcel, packetSegment(returned.Parcel))
	}
	if len(out.Deliveries) == 0 {
		return nil
	}
	accepted := segment.Segment{Source: id.Listener, Destination: id.Caller, Flags: segment.Opens | segment.Acks, Seq: 5}
	target.tracker.HandleTargetPacket(f.now, &accepted, encode(accepted))
	target.tracker.TakeOutcome()
	s.HandleParcel(f.now, target.address, &wire.Parcel{
		Verb: wire.Verb_VERB_ANSWER, Flow: segment.AppendFlow(nil, id), Holding: wire.Holding_HOLDING_OWNED,
	}, nil)
	s.TakeOutcome()
	f.request(target, id)
	return target
}

// openStanding opens flows that stay, evenly over the targets.
func (f *loadedFleet) openStanding(flows int) {
	for range flows {
		if id, target := f.open(otherListener); target != nil {
			f.standing = append(f.standing, standingFlow{flow: id, target: target})
		}
		f.run(20, 0, 0, 0)
	}
	f.resetResults()
}

func repeatDomain(domain string, n int) []string {
	return slices.Repeat([]string{domain}, n)
}

// Guards against urgent callers without a flow starving beside callers with standing flows,
// and against openings that only make every answer late. The less urgent class keeps its
// least share.
func TestOverloadBesideStandingFlows(t *testing.T) {
	for _, balancers := range []int{2, 19, 91} {
		const targets = 8
		const capacity = targets * fleetCapacity
		f := newLoadedFleet(t, balancers, true, repeatDomain("a", targets)...)
		f.openStanding(200)
		f.run(2*clock.Second, .25*capacity, .5*capacity, .6*capacity)
		f.resetResults()
		f.run(6*clock.Second, .25*capacity, .5*capacity, .6*capacity)
		urgent, other := f.results[urgentListener], f.results[otherListener]
		if urgent.share() < .95 {
			t.Errorf("%d balancers: %.2f of the urgent requests were served in time: %+v", balancers, urgent.share(), *urgent)
		}
		admitted := float64(other.asked-other.refused) / float64(other.asked)
		if admitted < .02 || admitted > .5 {
			t.Errorf("%d balancers: %.2f of the less urgent openings were admitted", balancers, admitted)
		}
	}
}

// Guards against a long queue at each target once half of them are gone: all would be served
// late.
func TestOverloadHalfOfRoomGone(t *testing.T) {
	const capacity = 8 * fleetCapacity
	f := newLoadedFleet(t, 6, true, repeatDomain("a", 8)...)
	f.run(2*clock.Second, .2*capacity, .5*capacity, 0)
	for _, target := range f.targets[:4] {
		target.draining = true
	}
	f.run(2*clock.Second, .2*capacity, .5*capacity, 0)
	f.resetResults()
	f.run(4*clock.Second, .2*capacity, .5*capacity, 0)
	urgent, other := f.results[urgentListener], f.results[otherListener]
	if urgent.share() < .95 || other.share() < .45 {
		t.Errorf("served in time: %.2f of the urgent requests, %.2f of the others", urgent.share(), other.share())
	}
	if other.refused == 0 || other.inTime < (other.asked-other.refused)*9/10 {
		t.Errorf("admitted requests are served late: %+v", *other)
	}
}

// Guards against refusals while another failure domain has room.
func TestOverloadLeavesDomainBeforeRefusing(t *testing.T) {
	f := newLoadedFleet(t, 6, true, append(repeatDomain("a", 4), repeatDomain("b", 4)...)...)
	f.run(2*clock.Second, .2*fleetCapacity, fleetCapacity, 0)
	f.run(6*clock.Second, .8*fleetCapacity, 3.6*fleetCapacity, 0)
	if n := f.results[urgentListener].refused + f.results[otherListener].refused; n > 0 {
		t.Errorf("%d openings were refused: %+v", n, f.events)
	}
}

// Guards against an agent that forgets the limits for good when it restarts in an overload.
func TestOverloadAgentRestarts(t *testing.T) {
	const capacity = 4 * fleetCapacity
	f := newLoadedFleet(t, 6, true, repeatDomain("a", 4)...)
	f.run(2*clock.Second, .3*capacity, 1.2*capacity, 0)
	for _, target := range f.targets {
		target.queue = nil
		f.startAgent(target, 2)
	}
	f.run(clock.Second, .3*capacity, 1.2*capacity, 0)
	f.resetResults()
	f.run(3*clock.Second, .3*capacity, 1.2*capacity, 0)
	if urgent := f.results[urgentListener]; urgent.share() < .95 {
		t.Errorf("%.2f of the urgent requests were served in time: %+v", urgent.share(), *urgent)
	}
}

// Below the room at the targets, openings go to the same targets as those without a class.
func TestClassesChangeNothingBelowRoom(t *testing.T) {
	var choices [2][]netip.AddrPort
	for i, classes := range []bool{false, true} {
		f := newLoadedFleet(t, 6, classes, append(repeatDomain("a", 4), repeatDomain("b", 4)...)...)
		f.run(8*clock.Second, .2*fleetCapacity, .6*fleetCapacity, 0)
		choices[i] = f.choices
	}
	if !slices.Equal(choices[0], choices[1]) {
		t.Error("classes change the targets of openings below the room there is")
	}
}

// Guards against refusals on the word of reports that have stopped: the agents decide then.
func TestOldReportsDoNotRefuse(t *testing.T) {
	f := newLoadedFleet(t, 1, true, "a")
	s := f.balancers[0]
	r := f.targets[0].tracker.report(f.now, 0)
	r.Refused = 1 << otherClass.Priority
	s.HandleParcel(f.now, f.targets[0].address, &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
	f.now += 100
	if _, target := f.open(otherListener); target != nil {
		t.Error("an opening was sent to a target that refuses its class")
	}
	e := f.events[len(f.events)-1]
	if e.Kind != Overload || e.Age != 100 || e.Class == nil || e.Class.Priority != otherClass.Priority || !strings.Contains(e.Reason, "refused by 1 of 1") {
		t.Errorf("event of the refusal: %+v", e)
	}
	if _, target := f.open(urgentListener); target == nil {
		t.Error("an urgent opening was refused")
	}
	f.now += refusalTTL
	if _, target := f.open(otherListener); target == nil {
		t.Error("an opening was refused on an old report")
	}
}
