package streambalancer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const testNow = 24 * clock.Hour

// everywhere tells that relays of all failure domains have told of all their targets.
func everywhere(string) bool { return true }

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i + 1)}), 7000)
}

func testPeer(i int) Peer {
	return Peer{Address: peerAddress(i), Name: fmt.Sprintf("b%03d", i), Domain: fmt.Sprint("d", i%3), Epoch: 1}
}

// heard returns the peers of balancer self that has just heard all of count.
func heard(self, count int) *Peers {
	ps := NewPeers(testNow-clock.Minute, testPeer(self), nil)
	for i := range count {
		ps.Hear(testNow, testPeer(i))
	}
	return ps
}

// The first balancer of a failure domain reads the platform. It is cut off from
// it and says so; after a while the next one reads, so that the domain does not
// keep an old version.
func TestWatchPassesOn(t *testing.T) {
	first := testPeer(0)
	ps := heard(3, 1)
	watching := first
	watching.Watching = true
	ps.Hear(testNow, watching)
	if ps.Watches(testNow) {
		t.Error("reads beside a balancer that does")
	}
	ps.Hear(testNow+100, first)
	if ps.Watches(testNow + 200) {
		t.Error("reads at once")
	}
	later := testNow + 200 + watchGrace
	ps.Hear(later, first)
	if !ps.Watches(later) {
		t.Error("does not read although the first one cannot")
	}
}

// The first of seven balancers of a failure domain stops after it has been the only
// reader for long: one of the others takes its place, not all six at once.
func TestOneTakesTheWatch(t *testing.T) {
	const count = 7
	member := func(i int) Peer {
		p := testPeer(i)
		p.Domain = "d"
		return p
	}
	var all []*Peers
	for i := 1; i < count; i++ {
		ps := NewPeers(testNow, member(i), nil)
		for at := testNow; at <= testNow+10*clock.Second; at += 500 {
			for j := range count {
				p := member(j)
				p.Watching = j == 0
				ps.Hear(at, p)
			}
			ps.Watches(at)
		}
		all = append(all, ps)
	}
	stopped := testNow + 10*clock.Second + 10
	readers := 0
	for _, ps := range all {
		leaving := member(0)
		leaving.Leaving = true
		ps.Hear(stopped, leaving)
		if ps.Watches(stopped + 10) {
			readers++
		}
	}
	if readers != 1 || !all[0].Watches(stopped+20) {
		t.Errorf("%d balancers read after the first one stopped", readers)
	}
	late := stopped + watchGrace + 20
	for j := 1; j < count; j++ {
		all[1].Hear(late, member(j))
	}
	if !all[1].Watches(late) {
		t.Error("the second one does not read although the first one cannot")
	}
}

// The first balancer of a failure domain dies; the next one reads.
func TestWatchAfterDeath(t *testing.T) {
	watching := testPeer(0)
	watching.Watching = true
	ps := heard(3, 0)
	ps.Hear(testNow, watching)
	if ps.Watches(testNow + peerLive) {
		t.Error("reads although the first one may live")
	}
	if !ps.Watches(testNow + peerLive + 1) {
		t.Error("does not read although the first one is silent")
	}
}

// Among hundreds each balancer has few neighbours, and news still reach all: the
// neighbours of neighbours are everybody.
func TestNeighboursReachAll(t *testing.T) {
	const count = 490
	links := make([][]int, count)
	index := map[netip.AddrPort]int{}
	for i := range count {
		index[peerAddress(i)] = i
	}
	for i := range count {
		neighbours := heard(i, count).Neighbours(testNow)
		if len(neighbours) > nearNeighbours+farNeighbours+3*relayCount {
			t.Fatalf("balancer %d has %d neighbours", i, len(neighbours))
		}
		for _, p := range neighbours {
			links[i] = append(links[i], index[p.Address])
		}
	}
	const rounds = 5
	knows := map[int]bool{0: true}
	for range rounds {
		for i := range knows {
			for _, n := range links[i] {
				knows[n] = true
			}
		}
	}
	if len(knows) != count {
		t.Errorf("after %d rounds %d of %d balancers have the news", rounds, len(knows), count)
	}
}

// A balancer counts as settled only while its neighbours know no target that it
// does not know. A neighbour that hears more is asked; once it has told all, the
// difference no longer matters.
func TestSettled(t *testing.T) {
	ps := heard(1, 1)
	other := testPeer(0)
	other.Digest = 7
	tell := func(at clock.Millis) { ps.Hear(at, other) }
	tell(testNow)
	if ps.Settled(testNow, 5, everywhere) {
		t.Error("settled beside a neighbour that knows others")
	}
	if !ps.Ask(testNow, other.Address, other.View) || ps.Ask(testNow+1, other.Address, other.View) {
		t.Error("want one question, and no second one at once")
	}
	ps.Covered(other.View)
	ps.Settled(testNow+10, 5, everywhere)
	at := testNow + 10 + settleTime + 1
	tell(at)
	if !ps.Settled(at, 5, everywhere) {
		t.Error("not settled after the neighbour has told all that it knows")
	}
	other.Digest = 8
	tell(at + 1)
	if ps.Settled(at+1, 5, everywhere) {
		t.Error("settled although the neighbour has heard a new target")
	}
}

// A target leaves a fleet of hundreds, and balancers learn of it within some ms. One agrees
// again with its neighbours as soon as they have told it, also those whose neighbour it is
// not; callers of lost flows wait for that.
func TestChangeReachesThoseConcerned(t *testing.T) {
	const count = 91
	all := make([]*Peers, count)
	for i := range all {
		all[i] = heard(i, count)
	}
	for i, ps := range all {
		for _, p := range ps.Neighbours(testNow) {
			j := slices.IndexFunc(all, func(other *Peers) bool { return other.self.Address == p.Address })
			chooser := testPeer(i)
			chooser.Chose = true
			all[j].Hear(testNow+1, chooser)
		}
	}
	for i, ps := range all {
		for _, p := range ps.Neighbours(testNow + 2) {
			j := slices.IndexFunc(all, func(other *Peers) bool { return other.self.Address == p.Address })
			told := slices.ContainsFunc(all[j].Concerned(testNow+2), func(q *Peer) bool { return q.Address == peerAddress(i) })
			if !told {
				t.Fatalf("balancer %d waits for %d, which does not tell it", i, j)
			}
		}
	}
}

// A balancer that was lost is forgotten after a minute, and one that was only
// named by others is not forgotten before it could answer.
func TestForget(t *testing.T) {
	ps := heard(1, 1)
	late := testNow + 50*clock.Second
	ps.Learn(late, peerAddress(9), Peer{Name: "b009", Domain: "d0"})
	if gone := ps.Forget(testNow + peerKnown + 1); len(gone) != 1 || gone[0].Name != "b000" {
		t.Errorf("forgotten: %v", gone)
	}
	if gone := ps.Forget(late + peerKnown + 1); len(gone) != 1 || gone[0].Name != "b009" {
		t.Errorf("forgotten later: %v", gone)
	}
}

// A neighbour tells of a new version and freezes. The call to it fails; the next
// one goes to another balancer that has the version, and not to the frozen one
// again for as long as it still counts as there.
func TestNewestAfterFailure(t *testing.T) {
	ps := heard(9, 0)
	for i := range 2 {
		p := testPeer(i)
		p.Version = 5
		ps.Hear(testNow, p)
	}
	first, ok := ps.Newest(testNow, 4)
	if !ok {
		t.Fatal("no peer has the version")
	}
	ps.Failed(testNow, first.Address)
	second, ok := ps.Newest(testNow+1, 4)
	if !ok || second.Address == first.Address {
		t.Errorf("asked %v again", first.Address)
	}
	ps.Failed(testNow+1, second.Address)
	if p, ok := ps.Newest(testNow+2, 4); ok {
		t.Errorf("asked %v although both calls have failed", p.Address)
	}
}

// Strangers send news from ever new addresses, and name others. The balancer knows as
// many balancers as there may be, and no more.
func TestPeersAreBounded(t *testing.T) {
	ps := NewPeers(0, Peer{Name: "self"}, nil)
	at := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	}
	for i := range 3 * mostPeers {
		ps.Hear(1, Peer{Address: at(2 * i), Name: "stranger"})
		ps.Learn(1, at(2*i+1), Peer{Name: "hearsay", Domain: "a"})
	}
	if got := len(ps.known); got != mostPeers {
		t.Errorf("%d balancers are known, want %d", got, mostPeers)
	}
}

// Two balancers start together while the others leave, and the same old agent has not
// reported to either yet: both must not agree that its flows are nobody's.
func TestStartersDoNotAgreeAlone(t *testing.T) {
	ps := NewPeers(testNow, testPeer(1), nil)
	starter := testPeer(0)
	starter.Digest = 9
	for at := testNow + 10; at < testNow+2*clock.Second; at += 50 {
		ps.Hear(at, starter)
		if ps.Settled(at, 9, everywhere) {
			t.Fatalf("settled %d ms after the start, on the word of a starter", at.Sub(testNow))
		}
	}
	late := testNow + aloneStart + 1
	ps.Hear(late, starter)
	if !ps.Settled(late, 9, everywhere) {
		t.Error("not settled after every agent has reported twice")
	}
}

// All balancers are replaced in turn: those that leave know all targets, and a starter
// that knows what they know need not wait for reports of every agent.
func TestLeavingBalancerVouches(t *testing.T) {
	for _, c := range []struct {
		name   string
		digest uint64
		want   bool
	}{
		{"knows the same", 9, true},
		{"knows more", 7, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ps := NewPeers(testNow, testPeer(1), nil)
			leaving := testPeer(0)
			leaving.Digest, leaving.Leaving, leaving.Settled = c.digest, true, true
			ps.Hear(testNow+10, leaving)
			ps.Settled(testNow+20, 9, everywhere)
			if got := ps.Settled(testNow+vouchedStart+30, 9, everywhere); got != c.want {
				t.Errorf("settled: %v, want %v", got, c.want)
			}
		})
	}
}
