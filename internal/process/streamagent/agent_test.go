package streamagent

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// A target's slots are in use, and balancers of other failure domains ask for its
// load once a second. Their next hundred openings must not go by a load that is a
// second old: they are told as soon as those near by know.
func TestTellPause(t *testing.T) {
	for _, c := range []struct {
		unheard, loaded bool
		most            clock.Millis
	}{
		{false, true, 200},
		{true, false, 100},
		{true, true, 100},
		{false, false, clock.Second},
	} {
		if got := tellPause(c.unheard, c.loaded); got > c.most {
			t.Errorf("unheard %v, loaded %v: told every %d ms, want %d", c.unheard, c.loaded, got, c.most)
		}
	}
}

// Strangers send parcels from ever new addresses. The agent remembers as many as
// there may be balancers, and no more.
func TestBalancersAreBounded(t *testing.T) {
	a := &Agent{balancers: map[netip.AddrPort]*balancer{}}
	for i := range 3 * mostBalancers {
		a.balancer(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
	}
	if got := len(a.balancers); got != mostBalancers {
		t.Errorf("%d balancers are remembered, want %d", got, mostBalancers)
	}
}
