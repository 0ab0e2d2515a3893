package streambalancer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// discardSender discards what a balancer sends, and fails the test if there is no
// destination.
type discardSender struct{ t *testing.T }

func (n discardSender) Send(to netip.AddrPort, p *wire.Parcel) (int, error) {
	if !to.IsValid() {
		n.t.Fatalf("a parcel of verb %s without a destination", p.Verb)
	}
	data, err := p.MarshalVT()
	return len(data), err
}

func (n discardSender) WriteToUDPAddrPort(packet []byte, _ netip.AddrPort) (int, error) {
	return len(packet), nil
}

// randomParcels generates parcels for a balancer whose fields may contradict each other.
type randomParcels struct{ *rand.Rand }

func (r randomParcels) address() []byte {
	b := segment.AppendAddress(nil, peerAddress(r.IntN(40)))
	if r.IntN(8) == 0 {
		return b[:r.IntN(len(b))]
	}
	return b
}

func (r randomParcels) contact() *wire.Contact {
	if r.IntN(10) == 0 {
		return &wire.Contact{}
	}
	services := []string{"", "one", "two"}
	return &wire.Contact{
		Address: r.address(), Name: fmt.Sprint("b", r.IntN(40)), Domain: fmt.Sprint("d", r.IntN(4)),
		Service: services[r.IntN(len(services))], Share: r.Uint32() >> r.IntN(32),
	}
}

func (r randomParcels) news() *wire.News {
	if r.IntN(20) == 0 {
		return nil
	}
	n := &wire.News{
		Self: r.contact(), Epoch: uint64(r.IntN(3)), Version: uint64(r.IntN(3)), Digest: uint64(r.IntN(5)),
		Watching: r.IntN(2) == 0, Duties: r.Uint32(), Failing: r.Uint32(), Leaving: r.IntN(4) == 0, Ask: r.IntN(2) == 0, Chose: r.IntN(2) == 0,
		Complete: r.IntN(2) == 0, Settled: r.IntN(2) == 0,
	}
	for range r.IntN(4) {
		n.Contacts = append(n.Contacts, r.contact())
		n.Known = append(n.Known, r.Uint32())
	}
	return n
}

func (r randomParcels) report() *wire.Report {
	if r.IntN(10) == 0 {
		return nil
	}
	return &wire.Report{
		Name: "t", Domain: fmt.Sprint("d", r.IntN(4)), Service: "one", Epoch: uint64(r.IntN(3)),
		Sequence: uint64(r.IntN(50)), Condition: wire.Condition(r.IntN(6)), Slots: r.Uint32(), Probe: uint64(r.IntN(20)),
	}
}

func (r randomParcels) parcel() *wire.Parcel {
	p := &wire.Parcel{
		Verb: wire.Verb(r.IntN(int(wire.Verb_VERB_SUMMARY) + 2)), News: r.news(), Report: r.report(), Flow: r.address(),
		Checkpoint: &wire.Checkpoint{
			Number: uint32(r.IntN(5)), Part: uint32(r.IntN(5)), Parts: uint32(r.IntN(5)), Flows: make([]byte, r.IntN(50)),
		},
		Owners: &wire.Owners{Owners: []*wire.Owner{{Flow: r.address(), Address: r.address()}}},
		Summary: &wire.Summary{
			Domain: fmt.Sprint("d", r.IntN(4)), Epoch: uint64(r.IntN(3)), Number: uint32(r.IntN(4)),
			Part: uint32(r.IntN(4)), Parts: uint32(r.IntN(4)), Complete: r.IntN(2) == 0, Handed: r.IntN(2) == 0,
			Entries: []*wire.Entry{{Address: r.address(), Report: r.report(), Silent: r.Uint32() >> r.IntN(32)}},
		},
	}
	if r.IntN(10) == 0 {
		p.Checkpoint, p.Owners, p.Summary = nil, nil, nil
	}
	return p
}

// A malformed or inconsistent parcel of any verb must not crash a balancer in any role:
// relay, keeper or leaving.
func TestRandomParcelsDoNotPanic(t *testing.T) {
	for seed := range uint64(8) {
		r := randomParcels{rand.New(rand.NewPCG(seed, 9))}
		manual := &clock.Manual{}
		manual.Advance(testNow)
		b := newBalancer(Settings{
			Name: "b000", Domain: "d0", Parcels: peerAddress(0), FlowTTL: clock.Minute,
			Checkpoint: checkpoint.KeeperSettings{MaxValueSize: 1 << 16, FlowTTL: clock.Minute, WritesPerSecond: 10},
		}, Deps{Codec: fakeCodec{}, Clock: manual, Log: zerolog.Nop(), Scope: tally.NoopScope}, 1)
		b.parcelSender, b.callerWriter = discardSender{t}, discardSender{t}
		b.steerer.SetKeeper(seed%2 == 0)
		for range 2000 {
			manual.Advance(clock.Millis(r.IntN(60)))
			b.handleParcel(peerAddress(r.IntN(40)), r.parcel(), nil)
			if r.IntN(3) == 0 {
				b.step()
			}
		}
		b.sendLeave(manual.Now())
	}
}
