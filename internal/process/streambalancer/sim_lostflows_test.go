package streambalancer

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// sendLostFlows simulates callers that send on lost flows, and retransmit after each pause,
// to any balancer of their failure domain, within a second.
func (f *simFleet) sendLostFlows(balancers, domains int) {
	for i := range lostFlowsPerBalancer * balancers {
		id := segment.Flow{Caller: peerAddress(10_000 + i), Listener: netip.MustParseAddrPort("198.18.0.1:443")}
		to := f.byAddress[peerAddress(f.random.IntN(balancers/domains)*domains+i%domains)]
		at := f.measureFrom + 400_000 + 1e6*f.random.Float64()
		for _, pause := range []float64{0, 200_000, 600_000} {
			f.schedule(at+pause, func() { f.deliverPacket(id, to) })
		}
	}
}

func (f *simFleet) deliverPacket(id segment.Flow, to *simProcess) {
	if f.now < to.startAt {
		return
	}
	if to.busyUntil-f.now > maxBacklogMicros {
		to.dropped++
		return
	}
	to.busyUntil = max(to.busyUntil, f.now) + cpuMicrosPerDatagram/to.share
	f.schedule(to.busyUntil-f.now, func() {
		seg := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks, Seq: 1, Ack: 9, Size: 100}
		to.maxDelay = max(to.maxDelay, to.busyUntil-f.now)
		b := to.balancer
		b.steerer.HandlePacket(f.syncClock(to), &seg, []byte("packet"))
		b.flush()
	})
}

// fakeCodec replaces the platform's codec for packet headers.
type fakeCodec struct{}

func (fakeCodec) Decode([]byte) (segment.Segment, error) { return segment.Segment{}, nil }
func (fakeCodec) Mark([]byte, uint32)                    {}
func (fakeCodec) Reset(segment.Flow, uint32) []byte      { return nil }

// processStats holds what balancers with a small share of a core received in the two
// seconds after the restart, on average, and the maximum delays among them.
type processStats struct {
	parcels, bytes float64
	// settled and maxDelay are in milliseconds. maxDelay is the longest queueing delay.
	settled, maxDelay float64
	dropped           int
	verbs             map[wire.Verb]int
}

func (f *simFleet) smallBalancerStats() processStats {
	a := processStats{verbs: map[wire.Verb]int{}}
	count := 0
	for _, s := range f.processes {
		if s.balancer == nil || s.share > 0.1 {
			continue
		}
		count++
		a.parcels += float64(s.parcels)
		a.bytes += float64(s.bytes)
		a.dropped += s.dropped
		a.settled = max(a.settled, s.settledAfter/1000)
		a.maxDelay = max(a.maxDelay, s.maxDelay/1000)
		for v, n := range s.verbs {
			a.verbs[v] += n
		}
	}
	a.parcels /= float64(count)
	a.bytes /= float64(count)
	for v := range a.verbs {
		a.verbs[v] /= count
	}
	return a
}
