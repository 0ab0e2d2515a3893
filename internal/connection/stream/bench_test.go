package stream

import (
	"fmt"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// newLoadedSteerer returns a balancer that knows targets with flows in three failure domains.
func newLoadedSteerer(b *testing.B, targets int) *Steerer {
	b.Helper()
	s := NewSteerer(testNow-clock.Minute, Settings{Domain: "a", MaxFlows: 10_000, FlowTTL: testFlowTTL})
	for i := range targets {
		r := readyReport(1, 1)
		r.Domain, r.Slots, r.Flows, r.Busy, r.Serving = string(rune('a'+i%3)), 2, uint32(20+i%7), uint32(50+i%40), 25
		s.HandleParcel(testNow, testAddress(2, i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
	}
	s.Targets.SetBalancers(6)
	return s
}

// BenchmarkOpening measures a balancer's handling of an opening packet.
func BenchmarkOpening(b *testing.B) {
	for _, targets := range []int{10, 44, 204, 1000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s := newLoadedSteerer(b, targets)
			s.SetTable(testNow, newTestTable(b))
			b.ReportAllocs()
			for i := range b.N {
				id := callerFlow(i % 9000)
				packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens})
				s.flows.Remove(id)
				s.HandlePacket(testNow, decode(packet), packet)
				s.TakeOutcome()
			}
		})
	}
}

// BenchmarkLoadedOpening measures the same while no target has a free slot and flows leave
// the failure domain.
func BenchmarkLoadedOpening(b *testing.B) {
	s := newLoadedSteerer(b, 44)
	s.SetTable(testNow, newTestTable(b))
	s.Targets.Each(func(t *Target) {
		t.Work, t.Running, t.RunningKnown = 10+t.Busy, 5, true
		if t.Domain == "a" {
			t.Busy += 4
		}
	})
	for i := range b.N {
		id := callerFlow(i % 9000)
		packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens})
		s.flows.Remove(id)
		s.HandlePacket(testNow, decode(packet), packet)
		s.TakeOutcome()
	}
	if s.Targets.groups["one"].load.split.total() == 0 {
		b.Error("no flow leaves the failure domain")
	}
}

// BenchmarkForward measures a balancer's handling of a packet whose owner is known.
func BenchmarkForward(b *testing.B) {
	s := newLoadedSteerer(b, 44)
	id := callerFlow(1)
	s.flows.Add(id, &flow{owner: confirmedBy(testAddress(2, 0)), service: "one", lastSeen: testNow})
	packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Ack: 9, Size: 100})
	seg := decode(packet)
	b.ReportAllocs()
	for range b.N {
		s.HandlePacket(testNow, seg, packet)
		s.TakeOutcome()
	}
}

// BenchmarkQueuedOpenings measures a retry of queued opening packets while all targets have
// just started and accept no more.
func BenchmarkQueuedOpenings(b *testing.B) {
	s := newLoadedSteerer(b, 204)
	table := newTestTable(b)
	table.Services = []routing.Service{{Name: "one", WarmingRate: 1}}
	if err := table.Check(); err != nil {
		b.Fatal(err)
	}
	s.SetTable(testNow, table)
	s.Targets.Each(func(t *Target) { t.ColdUntil, t.room = testNow+clock.Hour, 1 })
	for i := range maxQueued {
		sendOpening(s, testNow, i)
	}
	for range b.N {
		s.retryQueued(testNow)
	}
	if len(s.queued) != maxQueued {
		b.Errorf("%d opening packets are queued", len(s.queued))
	}
}
