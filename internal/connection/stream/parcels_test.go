package stream

import (
	"math/rand/v2"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// randomParcelSeeds is the number of runs of each test, randomParcelSteps the number of
// events in each.
const (
	randomParcelSeeds = 8
	randomParcelSteps = 1000
)

// randomParcels generates parcels of every verb with consistent and inconsistent fields:
// known and unknown flows, targets and processes, and lists that are empty, truncated or
// too long.
type randomParcels struct{ *rand.Rand }

func (r randomParcels) flow() segment.Flow {
	return segment.Flow{Caller: testAddress(100, r.IntN(200)), Listener: testListener}
}

func (r randomParcels) bytes(b []byte) []byte {
	if r.IntN(8) == 0 {
		return b[:r.IntN(len(b)+1)]
	}
	return b
}

func (r randomParcels) address() []byte {
	return r.bytes(segment.AppendAddress(nil, testAddress(2, r.IntN(60))))
}

func (r randomParcels) report() *wire.Report {
	if r.IntN(10) == 0 {
		return nil
	}
	return &wire.Report{
		Name: "t", Domain: r.text("a", "b", ""), Service: r.text("one", "two", ""), Epoch: uint64(r.IntN(3)),
		Sequence: uint64(r.IntN(50)), Born: uint64(r.IntN(3)), Condition: wire.Condition(r.IntN(6)),
		Slots: r.Uint32() >> r.IntN(32), Flows: r.Uint32() >> r.IntN(32), Busy: r.Uint32() >> r.IntN(32),
		Cold: r.Uint32() >> r.IntN(32), Restarting: r.IntN(2) == 0, Probe: uint64(r.IntN(20)), Keeper: r.IntN(2) == 0,
	}
}

func (r randomParcels) text(all ...string) string {
	return all[r.IntN(len(all))]
}

func (r randomParcels) segment() *segment.Segment {
	flags := []segment.Flags{segment.Opens, segment.Acks, segment.Ends | segment.Acks, segment.Resets}
	id := r.flow()
	return &segment.Segment{
		Source: id.Caller, Destination: id.Listener, Flags: flags[r.IntN(len(flags))], Seq: r.Uint32(),
		Ack: r.Uint32(), Mark: r.Uint32() >> r.IntN(32), Size: r.IntN(2) * 100,
	}
}

func (r randomParcels) parcel() (*wire.Parcel, *segment.Segment) {
	p := &wire.Parcel{
		Verb: wire.Verb(r.IntN(int(wire.Verb_VERB_SUMMARY) + 2)), Number: uint32(r.IntN(200)),
		Holding: wire.Holding(r.IntN(5)), Service: r.text("one", "two", ""), Cause: wire.Cause(r.IntN(6)),
		Report: r.report(), Flow: r.bytes(segment.AppendFlow(nil, r.flow())),
	}
	for range r.IntN(100) {
		p.Questions = append(segment.AppendFlow(p.Questions, r.flow()), 0, 0, 0, 9)
		p.Holdings = append(p.Holdings, byte(r.IntN(5)))
	}
	p.Questions = r.bytes(p.Questions)
	if r.IntN(3) == 0 {
		return p, nil
	}
	seg := r.segment()
	p.Packet = encode(*seg)
	return p, seg
}

func (r randomParcels) owners() []*wire.Owner {
	var all []*wire.Owner
	for range r.IntN(5) {
		all = append(all, &wire.Owner{
			Flow: r.bytes(segment.AppendFlow(nil, r.flow())), Address: r.address(), Service: r.text("one", "two", ""),
		})
	}
	return all
}

func (r randomParcels) summary() *wire.Summary {
	m := &wire.Summary{
		Domain: r.text("a", "b", ""), Epoch: uint64(r.IntN(3)), Number: uint32(r.IntN(3)),
		Part: uint32(r.IntN(4)), Parts: uint32(r.IntN(4)), Complete: r.IntN(2) == 0,
	}
	for range r.IntN(5) {
		m.Entries = append(m.Entries, &wire.Entry{
			Address: r.address(), Report: r.report(), Age: r.Uint32() >> r.IntN(32), Silent: r.Uint32() >> r.IntN(32),
		})
	}
	return m
}

// Random or malformed parcels of any verb must not crash a balancer in any state: with the
// maximum number of searches, queued openings, or targets that come and go.
func TestRandomParcelsAtSteerer(t *testing.T) {
	for seed := range uint64(randomParcelSeeds) {
		r := randomParcels{rand.New(rand.NewPCG(seed, 7))}
		s, _ := newSearchingSteerer(t, 20, 20)
		s.settings.Domain = "a"
		s.flows.Resize(100 + r.IntN(200))
		s.SetRelay(seed%2 == 0)
		s.SetSettled(seed%3 == 0)
		if seed%4 == 0 {
			for i := range maxSearchAnswers / minSearches {
				s.Targets.Learn(testNow, testAddress(3, i), "t", "b", "one")
			}
			fillSearches(s, testNow)
		}
		now := testNow
		for range randomParcelSteps {
			now += clock.Millis(r.IntN(30))
			p, seg := r.parcel()
			switch r.IntN(10) {
			case 0:
				packet := r.segment()
				s.HandlePacket(now, packet, encode(*packet))
			case 1:
				s.Tick(now)
				s.Summary(now, 1, 1, true)
			case 2:
				s.AddOwners(now, r.owners())
				s.Owners(now)
			case 3:
				s.HandleSummary(now, r.summary())
			default:
				s.HandleParcel(now, testAddress(2, r.IntN(60)), p, seg)
			}
			for _, send := range s.TakeOutcome().Sends {
				if !send.To.IsValid() {
					t.Fatalf("seed %d: parcel of verb %s without a destination", seed, send.Parcel.Verb)
				}
			}
			if len(s.searches) > s.searchLimit()+1 || len(s.queued) > maxQueued || len(s.changes) > maxChanges {
				t.Fatalf("seed %d: %d searches, %d queued openings, %d changes", seed, len(s.searches), len(s.queued), len(s.changes))
			}
		}
	}
}

// The same for an agent whose target starts, stops and restarts meanwhile.
func TestRandomParcelsAtTracker(t *testing.T) {
	for seed := range uint64(randomParcelSeeds) {
		r := randomParcels{rand.New(rand.NewPCG(seed, 8))}
		tr := NewTracker(testNow, TrackerSettings{
			Name: "t", Domain: "a", Service: "one", Epoch: 1, Port: simPort, MaxFlows: 50, FlowTTL: testFlowTTL,
			Heartbeat: simHeartbeat, HeartbeatTimeout: 3 * simHeartbeat, Checkpoint: seed%2 == 0,
		})
		now := testNow
		for range randomParcelSteps {
			now += clock.Millis(r.IntN(30))
			p, seg := r.parcel()
			switch r.IntN(8) {
			case 0:
				tr.HandleHeartbeat(now, Heartbeat{Service: "one", Born: uint64(r.IntN(3)), Sequence: uint64(r.IntN(50)), Slots: r.IntN(3)})
			case 1:
				tr.Tick(now)
			case 2, 3:
				out := r.segment()
				out.Source, out.Destination = out.Destination, out.Source
				if r.IntN(4) == 0 {
					out = r.segment()
					out.Flags |= segment.Returned
				}
				tr.HandleTargetPacket(now, out, encode(*out))
			case 4:
				tr.Restore(now, int64(now), nil)
			case 5:
				if r.IntN(20) == 0 {
					tr.RecordLeave(now)
				}
			default:
				tr.HandleParcel(now, testAddress(1, r.IntN(5)), p, seg)
			}
			for _, send := range tr.TakeOutcome().Sends {
				if !send.To.IsValid() {
					t.Fatalf("seed %d: parcel of verb %s without a destination", seed, send.Parcel.Verb)
				}
			}
			if tr.flows.Len() > 50 || tr.denied.Len() > 50 || len(tr.busyFlows) > 50 {
				t.Fatalf("seed %d: %d flows, %d denied, %d with a request in progress", seed, tr.flows.Len(), tr.denied.Len(), len(tr.busyFlows))
			}
		}
	}
}
