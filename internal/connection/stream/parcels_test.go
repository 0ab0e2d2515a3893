package stream

import (
	"math/rand/v2"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// surpriseSeeds are the runs of each test and surpriseSteps what happens in each.
const (
	surpriseSeeds = 8
	surpriseSteps = 1000
)

// surprise makes parcels of every verb whose parts fit each other or do not: flows,
// targets and processes that are known and unknown, lists that are empty, cut or too long.
type surprise struct{ *rand.Rand }

func (r surprise) flow() segment.Flow {
	return segment.Flow{Caller: worldAddress(100, r.IntN(200)), Listener: worldListener}
}

func (r surprise) bytes(b []byte) []byte {
	if r.IntN(8) == 0 {
		return b[:r.IntN(len(b)+1)]
	}
	return b
}

func (r surprise) address() []byte {
	return r.bytes(segment.AppendAddress(nil, worldAddress(2, r.IntN(60))))
}

func (r surprise) report() *wire.Report {
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

func (r surprise) text(all ...string) string {
	return all[r.IntN(len(all))]
}

func (r surprise) segment() *segment.Segment {
	flags := []segment.Flags{segment.Opens, segment.Acks, segment.Ends | segment.Acks, segment.Resets}
	id := r.flow()
	return &segment.Segment{
		Source: id.Caller, Destination: id.Listener, Flags: flags[r.IntN(len(flags))], Seq: r.Uint32(),
		Ack: r.Uint32(), Mark: r.Uint32() >> r.IntN(32), Size: r.IntN(2) * 100,
	}
}

func (r surprise) parcel() (*wire.Parcel, *segment.Segment) {
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

func (r surprise) owners() []*wire.Owner {
	var all []*wire.Owner
	for range r.IntN(5) {
		all = append(all, &wire.Owner{
			Flow: r.bytes(segment.AppendFlow(nil, r.flow())), Address: r.address(), Service: r.text("one", "two", ""),
		})
	}
	return all
}

func (r surprise) summary() *wire.Summary {
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

// A surprising or malformed parcel of any verb must end no process, whatever a balancer
// has under way: searches up to their bound, openings that wait, targets that come and go.
func TestSurprisesAtSteerer(t *testing.T) {
	for seed := range uint64(surpriseSeeds) {
		r := surprise{rand.New(rand.NewPCG(seed, 7))}
		s, _ := searching(t, 20, 20)
		s.settings.Domain = "a"
		s.flows.Resize(100 + r.IntN(200))
		s.SetRelay(seed%2 == 0)
		s.SetSettled(seed%3 == 0)
		if seed%4 == 0 {
			for i := range mostAsked / leastSearches {
				s.Targets.Learn(testNow, worldAddress(3, i), "t", "b", "one")
			}
			fillSearches(s, testNow)
		}
		now := testNow
		for range surpriseSteps {
			now += clock.Millis(r.IntN(30))
			p, seg := r.parcel()
			switch r.IntN(10) {
			case 0:
				packet := r.segment()
				s.Arrive(now, packet, encode(*packet))
			case 1:
				s.Tick(now)
				s.Summary(now, 1, 1, true)
			case 2:
				s.Inherit(now, r.owners())
				s.Owners(now)
			case 3:
				s.HearSummary(now, r.summary())
			default:
				s.Hear(now, worldAddress(2, r.IntN(60)), p, seg)
			}
			for _, send := range s.Take().Sends {
				if !send.To.IsValid() {
					t.Fatalf("seed %d: a parcel of verb %s for nobody", seed, send.Parcel.Verb)
				}
			}
			if len(s.searches) > s.room()+1 || len(s.waiting) > mostWaiting || len(s.news) > mostNews {
				t.Fatalf("seed %d: %d searches, %d openings that wait, %d news", seed, len(s.searches), len(s.waiting), len(s.news))
			}
		}
	}
}

// The same at an agent: its target comes, goes and restarts meanwhile.
func TestSurprisesAtHolder(t *testing.T) {
	for seed := range uint64(surpriseSeeds) {
		r := surprise{rand.New(rand.NewPCG(seed, 8))}
		h := NewHolder(testNow, HolderSettings{
			Name: "t", Domain: "a", Service: "one", Epoch: 1, Port: worldPort, Flows: 50, FlowLife: worldLife,
			Heartbeat: worldBeat, SilentAfter: 3 * worldBeat, Checkpoint: seed%2 == 0,
		})
		now := testNow
		for range surpriseSteps {
			now += clock.Millis(r.IntN(30))
			p, seg := r.parcel()
			switch r.IntN(8) {
			case 0:
				h.Beat(now, Beat{Service: "one", Born: uint64(r.IntN(3)), Sequence: uint64(r.IntN(50)), Slots: r.IntN(3)})
			case 1:
				h.Tick(now)
			case 2, 3:
				out := r.segment()
				out.Source, out.Destination = out.Destination, out.Source
				if r.IntN(4) == 0 {
					out = r.segment()
					out.Flags |= segment.Returned
				}
				h.FromTarget(now, out, encode(*out))
			case 4:
				h.Restore(now, int64(now), nil)
			case 5:
				if r.IntN(20) == 0 {
					h.Leave(now)
				}
			default:
				h.Hear(now, worldAddress(1, r.IntN(5)), p, seg)
			}
			for _, send := range h.Take().Sends {
				if !send.To.IsValid() {
					t.Fatalf("seed %d: a parcel of verb %s for nobody", seed, send.Parcel.Verb)
				}
			}
			if h.flows.Len() > 50 || h.denied.Len() > 50 || len(h.working) > 50 {
				t.Fatalf("seed %d: %d flows, %d denied, %d under way", seed, h.flows.Len(), h.denied.Len(), len(h.working))
			}
		}
	}
}
