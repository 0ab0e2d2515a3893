package envelope_test

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/envelope"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

func parseRing(t testing.TB, keys string) key.Ring {
	r, err := key.Parse(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func newForward(payload []byte) *wire.Envelope {
	return &wire.Envelope{
		Kind: wire.Kind_KIND_FORWARD, Stage: wire.Stage_STAGE_OPEN, Service: 1200, Target: 0xfedcba98, Incarnation: 270 * 365,
		Caller: envelope.AppendCaller(nil, netip.MustParseAddrPort("203.0.113.9:61000")), Ask: true, Budget: 128, Payload: payload,
	}
}

func TestOverhead(t *testing.T) {
	payload := make([]byte, 1200)
	out, err := envelope.NewSealer(parseRing(t, key.Generate()), 1472).Seal(nil, newForward(payload))
	if err != nil {
		t.Fatal(err)
	}
	const most = 64
	if got := len(out) - len(payload) - envelope.TrailerSize; got > most {
		t.Errorf("a first-hop datagram adds %d bytes besides the trailer, want at most %d", got, most)
	}
}

// A datagram that exceeds the path MTU must not be sent: the caller's path MTU
// discovery detects the loss and chooses a smaller size.
func TestTooLarge(t *testing.T) {
	s := envelope.NewSealer(parseRing(t, key.Generate()), 1472)
	if _, err := s.Seal(nil, newForward(make([]byte, 1472))); !errors.Is(err, envelope.ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
}

// Every hop of a walk adds to a datagram. The largest datagram that a balancer
// forwards for an IPv6 flow must still fit the path MTU after seven targets.
func TestWalkFitsMTU(t *testing.T) {
	r := parseRing(t, key.Generate())
	const mtu = 1472
	balancer, agent := envelope.NewSealer(r, mtu-envelope.WalkReserve), envelope.NewSealer(r, mtu)
	e := newForward(nil)
	address := netip.MustParseAddrPort("[2001:db8::1]:61000")
	e.Caller = envelope.AppendCaller(nil, address)
	size := 0
	for n := range mtu {
		e.Payload = make([]byte, n)
		if _, err := balancer.Seal(nil, e); err != nil {
			break
		}
		size = n
	}
	e.Payload = make([]byte, size)
	e.Via, e.Home, e.Stage = envelope.AppendCaller(nil, address), 1, wire.Stage_STAGE_SEARCH
	for n := range 7 {
		e.Visited = append(e.Visited, uint32(n+1))
	}
	if _, err := agent.Seal(nil, e); err != nil {
		t.Errorf("payload of %d bytes: %v", size, err)
	}
}

// During a key rotation some processes sign with the new key while others still sign
// with the old one. A process with both keys must accept both; a process with neither
// key must reject the datagram, and so must any process if a bit was changed.
func TestRotation(t *testing.T) {
	old, next, foreign := key.Generate(), key.Generate(), key.Generate()
	var e wire.Envelope
	both := envelope.NewOpener(parseRing(t, next+","+old))
	for _, signer := range []string{old, next + "," + old} {
		out, err := envelope.NewSealer(parseRing(t, signer), 1472).Seal(nil, newForward([]byte("x")))
		if err != nil {
			t.Fatal(err)
		}
		if err := both.Open(&e, out); err != nil || string(e.Payload) != "x" {
			t.Errorf("signed with %.4s: %v", signer, err)
		}
		if err := envelope.NewOpener(parseRing(t, foreign)).Open(&e, out); !errors.Is(err, envelope.ErrForged) {
			t.Errorf("foreign key: %v", err)
		}
		for i := range out {
			out[i] ^= 1
			if both.Open(&e, out) == nil {
				t.Errorf("datagram with byte %d changed was accepted", i)
			}
			out[i] ^= 1
		}
	}
}

func FuzzOpen(f *testing.F) {
	keys := parseRing(f, "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f")
	s := envelope.NewSealer(keys, 1472)
	for _, e := range []*wire.Envelope{
		newForward([]byte("payload")),
		{Kind: wire.Kind_KIND_LEAVE},
		{Kind: wire.Kind_KIND_DIGEST, Digest: &wire.Digest{Flows: 2000}},
		{Kind: wire.Kind_KIND_RETURN, Caller: []byte{1, 2, 3}},
	} {
		out, err := s.Seal(nil, e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(out, true)
		f.Add(out[:len(out)/2], false)
	}
	f.Fuzz(func(t *testing.T, b []byte, seal bool) {
		if seal {
			// Authentic but invalid data from a peer must not cause a failure either.
			b = envelope.SealRaw(s, b)
		}
		var e wire.Envelope
		if envelope.NewOpener(keys).Open(&e, b) != nil {
			return
		}
		if len(e.Visited) > envelope.MaxVisited {
			t.Errorf("accepted %d visited targets", len(e.Visited))
		}
		caller := envelope.ParseCaller(e.Caller)
		if e.Kind == wire.Kind_KIND_FORWARD && !caller.IsValid() {
			t.Error("accepted a forwarded datagram without a caller")
		}
	})
}

func BenchmarkSeal(b *testing.B) {
	s := envelope.NewSealer(parseRing(b, key.Generate()), 1472)
	e := newForward(make([]byte, 1200))
	out := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		out, _ = s.Seal(out[:0], e)
	}
}
