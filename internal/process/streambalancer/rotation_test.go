package streambalancer

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/process/rotation"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Balancers that are silent, leaving or of an unknown failure domain count for the fabric,
// but cannot take over flows.
func TestRotationDomain(t *testing.T) {
	now := 24 * clock.Hour
	ps := NewPeers(now, Peer{Address: peerAddress(1), Name: "self", Domain: "a"}, nil)
	for i, p := range []Peer{
		{Name: "active", Domain: "a", Version: 3, Lateness: 1},
		{Name: "resting", Domain: "a", Version: 3, Resting: true},
		{Name: "leaving", Domain: "a", Version: 3, Leaving: true},
		{Name: "without configuration", Domain: "a"},
		{Name: "remote", Domain: "b", Version: 3},
	} {
		p.Address = peerAddress(10 + i)
		ps.Update(now, p)
	}
	ps.Learn(now, peerAddress(20), Peer{Name: "silent", Domain: "a"})
	ps.Learn(now, peerAddress(21), Peer{})
	d := ps.rotationDomain(now)
	if d.Known != 7 || len(d.Peers) != 2 {
		t.Errorf("%d balancers are known and %d heard, want 7 and 2: %+v", d.Known, len(d.Peers), d.Peers)
	}
}

// An earlier build does not report its lateness.
func TestLatenessOfEarlierBuild(t *testing.T) {
	if decodeLateness(0) != rotation.UnknownLateness || decodeLateness(encodeLateness(0)) != 0 || decodeLateness(encodeLateness(4.2)) != 4.2 {
		t.Error("the lateness is not decoded as it was encoded")
	}
}

// While a search is under way ticks are due every 10 ms, and one that comes after 50 ms is late.
func TestLatenessDuringSearches(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(24 * clock.Hour)
	b := newBalancer(Settings{Name: "one", Domain: "a"}, Deps{Clock: c, Log: zerolog.Nop(), Scope: tally.NoopScope}, 1)
	for range 100 {
		b.step()
		b.tickInterval = searchTickInterval
		b.tickDue = c.Now() + clock.FromDuration(searchTickInterval)
		c.Advance(50)
	}
	if b.rotation.Lateness.Mean() < 30 {
		t.Errorf("the mean lateness is %.1f ms, want some 40", b.rotation.Lateness.Mean())
	}
}
