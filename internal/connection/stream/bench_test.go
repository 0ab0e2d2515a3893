package stream

import (
	"fmt"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// crowded returns a balancer that knows targets in three failure domains, with flows.
func crowded(b *testing.B, targets int) *Steerer {
	b.Helper()
	s := NewSteerer(testNow-clock.Minute, Settings{Domain: "a", Flows: 10_000, FlowLife: worldLife})
	for i := range targets {
		r := ready(1, 1)
		r.Domain, r.Slots, r.Flows, r.Busy, r.Serving = string(rune('a'+i%3)), 2, uint32(20+i%7), uint32(50+i%40), 25
		s.Hear(testNow, worldAddress(2, i), &wire.Parcel{Verb: wire.Verb_VERB_REPORT, Report: r}, nil)
	}
	s.Targets.SetSharers(6)
	return s
}

// BenchmarkOpening is the balancer's part of an opening and of the answer that a target took
// it.
func BenchmarkOpening(b *testing.B) {
	for _, targets := range []int{10, 44, 204, 1000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			s := crowded(b, targets)
			s.SetTable(testNow, oneListener(b))
			b.ReportAllocs()
			for i := range b.N {
				id := callerFlow(i % 9000)
				packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Opens})
				s.flows.Remove(id)
				s.Arrive(testNow, decode(packet), packet)
				s.Take()
			}
		})
	}
}

// BenchmarkCarry is the balancer's part of a packet whose flow it knows.
func BenchmarkCarry(b *testing.B) {
	s := crowded(b, 44)
	id := callerFlow(1)
	s.flows.Add(id, &flow{owner: takenBy(worldAddress(2, 0)), service: "one", last: testNow})
	packet := encode(segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Ack: 9, Size: 100})
	seg := decode(packet)
	b.ReportAllocs()
	for range b.N {
		s.Arrive(testNow, seg, packet)
		s.Take()
	}
}

// BenchmarkWaiting is a tick of a balancer whose openings wait for targets that have just
// started and have no room.
func BenchmarkWaiting(b *testing.B) {
	s := crowded(b, 204)
	table := oneListener(b)
	table.Services = []routing.Service{{Name: "one", WarmingRate: 1}}
	if err := table.Check(); err != nil {
		b.Fatal(err)
	}
	s.SetTable(testNow, table)
	s.Targets.Each(func(t *Target) { t.ColdUntil, t.room = testNow+clock.Hour, 1 })
	for i := range mostWaiting {
		opens(s, testNow, i)
	}
	for range b.N {
		s.retry(testNow)
	}
	if len(s.waiting) != mostWaiting {
		b.Errorf("%d openings wait", len(s.waiting))
	}
}
