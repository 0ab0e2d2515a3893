package streambalancer

import (
	"fmt"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// member is a balancer of one of three failure domains; the last of each has most of a
// core.
func member(i int) Peer {
	p := testPeer(i)
	p.Share = 60
	if i >= 27 {
		p.Share = 800
	}
	return p
}

// fleet returns the peers of each of thirty balancers that hear each other until a time,
// but for some.
func fleet(until clock.Millis, silent ...int) []*Peers {
	const count = 30
	gone := map[int]bool{}
	for _, i := range silent {
		gone[i] = true
	}
	var all []*Peers
	for i := range count {
		ps := NewPeers(testNow-clock.Minute, member(i), nil)
		for j := range count {
			ps.Hear(testNow, member(j))
		}
		for at := testNow; at <= until; at += 100 {
			for j := range count {
				if !gone[j] {
					ps.Hear(at, member(j))
				}
			}
			ps.Neighbours(at)
		}
		all = append(all, ps)
	}
	return all
}

// All balancers of a failure domain agree on its two relays, those with the largest part
// of a core first, and each relay tells another one of each other failure domain.
func TestRelaysAgree(t *testing.T) {
	all := fleet(testNow)
	relays, told := 0, map[string]int{}
	for i, ps := range all {
		place, ok := ps.Relay(testNow)
		if !ok {
			continue
		}
		relays++
		if place == 0 && i < 27 {
			t.Errorf("balancer %d, with a small part of a core, is the first relay", i)
		}
		for _, p := range ps.Receivers(testNow, place) {
			told[p.Name]++
		}
	}
	if relays != 6 || len(told) != 6 {
		t.Errorf("%d relays tell %v, want six that tell each other", relays, told)
	}
	for name, n := range told {
		if n != 2 {
			t.Errorf("%s is told by %d relays, want one of each other failure domain", name, n)
		}
	}
}

// The first relay of a failure domain falls silent, or leaves: another one takes its
// place, here and in the eyes of the others, and stays.
func TestRelayIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers func() []*Peers
		until clock.Millis
	}{
		{"silent", func() []*Peers { return fleet(testNow+9*clock.Second, 27) }, testNow + 9*clock.Second},
		{"leaving", func() []*Peers {
			all := fleet(testNow)
			for _, ps := range all {
				leaving := member(27)
				leaving.Leaving = true
				ps.Hear(testNow, leaving)
			}
			return all
		}, testNow},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := c.peers()
			relays := 0
			for i, ps := range all {
				_, relay := ps.Relay(c.until)
				if i == 27 || !relay && i%3 != 0 {
					continue
				}
				if relay && i%3 == 0 {
					relays++
				}
				if ps.relays["d0"][0].Address == peerAddress(27) {
					t.Errorf("balancer %d takes the lost one for a relay", i)
				}
			}
			if relays != relayCount {
				t.Errorf("%d balancers are relays in its place", relays)
			}
		})
	}
}

// A failure domain has one balancer: it relays alone, and is told by both relays of
// others.
func TestSingleRelay(t *testing.T) {
	ps := NewPeers(testNow-clock.Minute, Peer{Address: peerAddress(0), Name: "b0", Domain: "a"}, nil)
	for i := 1; i < 4; i++ {
		ps.Hear(testNow, Peer{Address: peerAddress(i), Name: fmt.Sprint("b", i), Domain: "b", Epoch: 1})
	}
	if place, ok := ps.Relay(testNow); !ok || place != 0 {
		t.Errorf("relay %v at place %d", ok, place)
	}
	if got := ps.Receivers(testNow, 0); len(got) != 1 || got[0].Name != "b1" {
		t.Errorf("tells %v", got)
	}
	other := NewPeers(testNow-clock.Minute, Peer{Address: peerAddress(2), Name: "b2", Domain: "b"}, nil)
	other.Hear(testNow, Peer{Address: peerAddress(0), Name: "b0", Domain: "a", Epoch: 1})
	if got := other.Receivers(testNow, 1); len(got) != 1 || got[0].Name != "b0" {
		t.Errorf("the second relay tells %v", got)
	}
}

// Three hundred balancers return together and know each other from the directory. Each
// greets those of its failure domain and a few others; a word to everybody would keep the
// smallest ones busy while callers wait.
func TestGreetingsAtReturn(t *testing.T) {
	for _, count := range []int{15, 91, 490} {
		ps := NewPeers(testNow, member(0), nil)
		near := 0
		for i := 1; i < count; i++ {
			ps.Learn(testNow, peerAddress(i), member(i))
			if member(i).Domain == ps.self.Domain {
				near++
			}
		}
		told := 0
		for now := testNow; now < testNow+clock.Second; now += 50 {
			told += len(ps.Due(now))
		}
		if most := 5 * (near + 2*relayCount); told > most {
			t.Errorf("%d balancers: %d datagrams in the first second, want %d", count, told, most)
		}
	}
}

// A failure domain has no balancer that tells of its targets. A balancer that starts
// beside others that start does not know all targets for as long as agents there may
// not have looked for other balancers.
func TestSettledWithoutRelays(t *testing.T) {
	for _, told := range []bool{true, false} {
		ps := NewPeers(testNow, testPeer(1), nil)
		complete := func(string) bool { return told }
		other := testPeer(0)
		other.Digest = 9
		late := testNow + aloneStart + settleTime + 100
		for at := testNow + 10; at < late; at += 50 {
			ps.Hear(at, other)
			ps.Settled(at, 9, complete)
		}
		if got := ps.Settled(late, 9, complete); got != told {
			t.Errorf("told %v: settled %v", told, got)
		}
	}
}

// A hundred balancers know a target that was lost long ago, which a starting one will
// never hear. It asks one of them, and what it was told holds for all that know the same.
func TestOneAnswerCoversAll(t *testing.T) {
	ps := heard(1, 0)
	asked := 0
	for i := range 100 {
		p := testPeer(2 + i)
		p.Digest = 7
		ps.Hear(testNow, p)
		if ps.Ask(testNow, p.Address, p.View) {
			asked++
			ps.Covered(p.View)
		}
	}
	if asked != 1 {
		t.Errorf("%d balancers were asked", asked)
	}
}

// A balancer is cut off from a target, takes it for lost and names all others. Another one
// has heard the same targets and still hears that one: what the first one has told does not
// stand for it, or flows of the target would be taken for nobody's.
func TestAnswerWithoutLostTarget(t *testing.T) {
	ps := NewPeers(testNow-clock.Minute, testPeer(1), nil)
	cut, well := testPeer(0), testPeer(2)
	cut.View, well.View = View{Digest: 7, Lost: 3}, View{Digest: 7}
	ps.Hear(testNow, cut)
	ps.Covered(cut.View)
	ps.Hear(testNow, well)
	if !ps.Ask(testNow+askPause, well.Address, well.View) {
		t.Error("the balancer that hears the target is not asked")
	}
	ps.Settled(testNow+askPause, 5, everywhere)
	later := testNow + askPause + settleTime + 1
	ps.Hear(later, cut)
	ps.Hear(later, well)
	if ps.Settled(later, 5, everywhere) {
		t.Error("settled without the target")
	}
}

// A failure domain has no target of its own, for it is evacuated or dark, and all VMs return
// at once, but for the one of each failure domain that is its first relay: its balancers must
// hear of targets elsewhere within what an opening waits.
func TestTargetsElsewhereAreKnownSoon(t *testing.T) {
	const from, until = 0, 600_000
	for _, size := range []fleetSize{{7, 10, 3}, {16, 44, 3}, {91, 204, 5}} {
		order := 0
		f := newReturn(t, size, from, func(_ int, part float64) float64 {
			order++
			if order <= size.domains {
				return 2e6
			}
			return 300_000 * part
		})
		f.run(until)
		for _, s := range f.all[size.domains:size.balancers] {
			far := 0
			s.balancer.steerer.Targets.Each(func(target *stream.Target) {
				if target.Domain != s.domain && target.AcceptsFlows(s.clock.Now()) {
					far++
				}
			})
			if far == 0 {
				t.Errorf("%+v: %s of %s knows no target elsewhere", size, s.address, s.domain)
			}
		}
	}
}
