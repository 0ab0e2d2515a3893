package streambalancer

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// A balancer counts as behind from the first version that it lacks, not from the last one
// that it has heard of, or a storm of versions would never make it overdue.
func TestLagCountsFromFirstMissingVersion(t *testing.T) {
	l := lag{}
	for i := range uint64(3 * maxLaterVersions) {
		l.Hear(testNow+clock.Millis(i), 10+i, 9)
	}
	l.Hear(testNow+clock.Minute, 9, 9)
	now := testNow + 2*clock.Second
	if l.Age(now) != 2*clock.Second || l.Latest() != 9+3*maxLaterVersions {
		t.Errorf("behind for %d ms, latest version %d", l.Age(now), l.Latest())
	}
	if v := l.Overdue(now, clock.Second+999); v != 10 {
		t.Errorf("version %d is overdue, not 10", v)
	}
	l.Activate(11)
	if l.Age(now) != 2*clock.Second-2 {
		t.Errorf("behind for %d ms after version 11", l.Age(now))
	}
	l.Activate(l.Latest())
	if l.Age(now) != 0 || l.Overdue(now, 0) != 0 || l.Latest() != 0 {
		t.Error("behind although the latest version is in force")
	}
}

// A balancer knows for a second that a peer has a later version, and cannot get it. It leaves
// openings to that peer, not to one of the last build, and goes on by itself when nobody in
// reach has the version.
func TestOverdueVersionHandsOpeningsOn(t *testing.T) {
	c := &clock.Manual{}
	c.Advance(testNow)
	b := newBalancer(Settings{Name: "b", Domain: "d", Parcels: peerAddress(9), FlowTTL: clock.Minute},
		Deps{Source: absentSource{}, Clock: c, Log: zerolog.Nop(), Scope: tally.NoopScope}, 1)
	b.parcelSender = discard{}
	activate(b, largeTable(t, 4, 1, 0))
	hear := func(from int, version uint64, takes bool) {
		self := newContact(peerAddress(from), "p", "d", "")
		b.handleNews(c.Now(), peerAddress(from), &wire.News{Self: self, Epoch: 1, Version: version, Takes: takes})
		b.updateHandOn(c.Now())
	}
	hear(0, 9, false)
	hear(1, 9, true)
	if b.handsOn {
		t.Error("hands on at once")
	}
	c.Advance(maxLag + 1)
	hear(0, 9, false)
	if peers := b.peers.UpToDate(c.Now(), 9); !b.handsOn || len(peers) != 1 || peers[0] != peerAddress(1) {
		t.Errorf("hands on %v, to %v", b.handsOn, peers)
	}
	c.Advance(peerTimeout + 1)
	hear(0, 4, true)
	if b.handsOn {
		t.Error("hands on to a silent balancer")
	}
	hear(1, 9, true)
	if !b.handsOn {
		t.Error("does not hand on to a balancer that is back")
	}
	b.applyTable(largeTable(t, 9, 1, 0), nil, "peer")
	if b.handsOn {
		t.Error("hands on with the version in force")
	}
}
