package streambalancer

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// relayTestPeer returns a balancer of one of three failure domains. The last one of each
// domain has most of a core.
func relayTestPeer(i int) Peer {
	p := testPeer(i)
	p.CPUShare = 60
	if i >= 27 {
		p.CPUShare = 800
	}
	return p
}

// relayTestFleet returns the Peers of thirty balancers that exchange news until the given
// time, except for the silent ones.
func relayTestFleet(until clock.Millis, silent ...int) []*Peers {
	const count = 30
	isSilent := map[int]bool{}
	for _, i := range silent {
		isSilent[i] = true
	}
	var all []*Peers
	for i := range count {
		ps := NewPeers(testNow-clock.Minute, relayTestPeer(i), nil)
		for j := range count {
			ps.Update(testNow, relayTestPeer(j))
		}
		for at := testNow; at <= until; at += 100 {
			for j := range count {
				if !isSilent[j] {
					ps.Update(at, relayTestPeer(j))
				}
			}
			ps.Neighbours(at)
		}
		all = append(all, ps)
	}
	return all
}

// All balancers of a failure domain agree on its two relays, those with the largest share
// of a core first. The relays of a domain send to different relays of each other domain.
func TestRelaysAgree(t *testing.T) {
	all := relayTestFleet(testNow)
	relays, received := 0, map[string]int{}
	for i, ps := range all {
		index, ok := ps.RelayIndex(testNow)
		if !ok {
			continue
		}
		relays++
		if index == 0 && i < 27 {
			t.Errorf("balancer %d, with a small part of a core, is the first relay", i)
		}
		for _, p := range ps.SummaryRecipients(testNow, index) {
			received[p.Name]++
		}
	}
	if relays != 6 || len(received) != 6 {
		t.Errorf("%d relays send to %v, want six that send to each other", relays, received)
	}
	for name, n := range received {
		if n != 2 {
			t.Errorf("%s receives from %d relays, want one of each other failure domain", name, n)
		}
	}
}

// The first relay of a failure domain becomes silent or leaves. All balancers replace it,
// and the replacement stays a relay.
func TestRelayIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers func() []*Peers
		until clock.Millis
	}{
		{"silent", func() []*Peers { return relayTestFleet(testNow+9*clock.Second, 27) }, testNow + 9*clock.Second},
		{"leaving", func() []*Peers {
			all := relayTestFleet(testNow)
			for _, ps := range all {
				leaving := relayTestPeer(27)
				leaving.Leaving = true
				ps.Update(testNow, leaving)
			}
			return all
		}, testNow},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := c.peers()
			relays := 0
			for i, ps := range all {
				_, relay := ps.RelayIndex(c.until)
				if i == 27 || !relay && i%3 != 0 {
					continue
				}
				if relay && i%3 == 0 {
					relays++
				}
				if ps.relays["d0"][0].Address == peerAddress(27) {
					t.Errorf("balancer %d considers the lost one a relay", i)
				}
			}
			if relays != relaysPerDomain {
				t.Errorf("%d balancers are relays after it was lost", relays)
			}
		})
	}
}

// A failure domain has a single balancer. It is the only relay, and both relays of other
// failure domains send to it.
func TestSingleRelay(t *testing.T) {
	ps := NewPeers(testNow-clock.Minute, Peer{Address: peerAddress(0), Name: "b0", Domain: "a"}, nil)
	for i := 1; i < 4; i++ {
		ps.Update(testNow, Peer{Address: peerAddress(i), Name: fmt.Sprint("b", i), Domain: "b", Epoch: 1})
	}
	if index, ok := ps.RelayIndex(testNow); !ok || index != 0 {
		t.Errorf("relay %v at index %d", ok, index)
	}
	if got := ps.SummaryRecipients(testNow, 0); len(got) != 1 || got[0].Name != "b1" {
		t.Errorf("sends to %v", got)
	}
	other := NewPeers(testNow-clock.Minute, Peer{Address: peerAddress(2), Name: "b2", Domain: "b"}, nil)
	other.Update(testNow, Peer{Address: peerAddress(0), Name: "b0", Domain: "a", Epoch: 1})
	if got := other.SummaryRecipients(testNow, 1); len(got) != 1 || got[0].Name != "b0" {
		t.Errorf("the second relay sends to %v", got)
	}
}

// Three hundred balancers restart together and know each other from the directory. Each
// contacts those of its failure domain and a few others. News to all of them would keep the
// smallest ones busy while callers wait.
func TestStartupNewsVolume(t *testing.T) {
	for _, count := range []int{15, 91, 490} {
		ps := NewPeers(testNow, relayTestPeer(0), nil)
		local := 0
		for i := 1; i < count; i++ {
			ps.Learn(testNow, peerAddress(i), relayTestPeer(i))
			if relayTestPeer(i).Domain == ps.self.Domain {
				local++
			}
		}
		sent := 0
		for now := testNow; now < testNow+clock.Second; now += 50 {
			sent += len(ps.DueForNews(now))
		}
		if limit := 5 * (local + 2*relaysPerDomain); sent > limit {
			t.Errorf("%d balancers: %d datagrams in the first second, want %d", count, sent, limit)
		}
	}
}

// No balancer of a failure domain sends summaries of its targets. A balancer that starts
// together with others must not count as settled while agents there may not have looked for
// other balancers yet.
func TestSettledWithoutRelays(t *testing.T) {
	for _, summariesSent := range []bool{true, false} {
		ps := NewPeers(testNow, testPeer(1), nil)
		complete := func(string) bool { return summariesSent }
		other := testPeer(0)
		other.Digest = 9
		late := testNow + soloStartDelay + settleTime + 100
		for at := testNow + 10; at < late; at += 50 {
			ps.Update(at, other)
			ps.Settled(at, 9, complete)
		}
		if got := ps.Settled(late, 9, complete); got != summariesSent {
			t.Errorf("complete %v: settled %v", summariesSent, got)
		}
	}
}

// A hundred balancers know a target that was lost long ago and that a starting balancer
// never hears from. It requests contacts from one of them, and the answer covers all that
// have the same view.
func TestOneAnswerCoversAll(t *testing.T) {
	ps := newPeersWithNews(1, 0)
	queried := 0
	for i := range 100 {
		p := testPeer(2 + i)
		p.Digest = 7
		ps.Update(testNow, p)
		if ps.StartContactRequest(testNow, p.Address, p.View) {
			queried++
			ps.MarkCovered(p.View)
		}
	}
	if queried != 1 {
		t.Errorf("%d balancers were queried, want 1", queried)
	}
}

// One balancer is partitioned from a target, considers it lost and sends only the other
// contacts. Another one has heard from the same targets and still hears from that one. The
// first one's answer must not cover the second one's view, or flows of the target would
// count as unowned.
func TestAnswerWithoutLostTarget(t *testing.T) {
	ps := NewPeers(testNow-clock.Minute, testPeer(1), nil)
	partitioned, connected := testPeer(0), testPeer(2)
	partitioned.View, connected.View = View{Digest: 7, Lost: 3}, View{Digest: 7}
	ps.Update(testNow, partitioned)
	ps.MarkCovered(partitioned.View)
	ps.Update(testNow, connected)
	if !ps.StartContactRequest(testNow+requestInterval, connected.Address, connected.View) {
		t.Error("the balancer that hears from the target is not queried")
	}
	ps.Settled(testNow+requestInterval, 5, allDomainsComplete)
	later := testNow + requestInterval + settleTime + 1
	ps.Update(later, partitioned)
	ps.Update(later, connected)
	if ps.Settled(later, 5, allDomainsComplete) {
		t.Error("settled without the target")
	}
}

// A failure domain has no targets of its own, as it is evacuated or down. All VMs restart
// at once, except for the first relay of each failure domain. The balancers there must
// learn of remote targets before the wait of an opening ends.
func TestRemoteTargetsAreKnownSoon(t *testing.T) {
	const from, until = 0, 600_000
	for _, size := range []fleetSize{{7, 10, 3}, {16, 44, 3}, {91, 204, 5}} {
		order := 0
		f := newSimFleet(t, size, from, func(_ int, fraction float64) float64 {
			order++
			if order <= size.domains {
				return 2e6
			}
			return 300_000 * fraction
		})
		f.run(until)
		for _, s := range f.processes[size.domains:size.balancers] {
			remote := 0
			s.balancer.steerer.Targets.Each(func(target *stream.Target) {
				if target.Domain != s.domain && target.AcceptsFlows(s.clock.Now()) {
					remote++
				}
			})
			if remote == 0 {
				t.Errorf("%+v: %s of %s knows no remote target", size, s.address, s.domain)
			}
		}
	}
}

// A balancer is a relay again, in the same process. Parts of its first summaries must not count
// as parts of the next ones, or others would believe that they know all targets.
func TestRelayContinuesNumbers(t *testing.T) {
	manual := &clock.Manual{}
	b := newBalancer(Settings{Name: "b000", Domain: "d0", Parcels: peerAddress(0), FlowTTL: clock.Minute},
		Deps{Codec: fakeCodec{}, Clock: manual, Log: zerolog.Nop(), Scope: tally.NoopScope}, 1)
	b.setRelay(true)
	b.relay.summaryNumber = 7
	b.setRelay(false)
	b.setRelay(true)
	if got := b.relay.summaryNumber; got != 7 {
		t.Errorf("continues with number %d, want 7", got)
	}
}

// A relay of another failure domain announces that it leaves: questions must no longer go
// through it, although its last summary is young.
func TestLeavingRelayIsForgotten(t *testing.T) {
	size := fleetSize{2, 2, 2}
	f := newSimFleet(t, size, 0, func(_ int, fraction float64) float64 { return 300_000 * fraction })
	f.run(4e6)
	b, relay := f.processes[0], f.processes[1]
	isRelay := func() bool {
		_, ok := b.balancer.steerer.Targets.Relay(f.syncClock(b), relay.domain)
		return ok
	}
	if !isRelay() {
		t.Fatal("no relay is known")
	}
	relay.balancer.leaving = true
	relay.balancer.peers.SetLeaving()
	relay.balancer.sendLeave(f.syncClock(relay))
	f.run(f.now + 100_000)
	if isRelay() {
		t.Error("the leaving relay would be asked")
	}
}
