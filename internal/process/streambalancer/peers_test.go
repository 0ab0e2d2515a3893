package streambalancer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const testNow = 24 * clock.Hour

// allDomainsComplete reports that relays of all failure domains have sent complete
// summaries.
func allDomainsComplete(string) bool { return true }

func peerAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i + 1)}), 7000)
}

func testPeer(i int) Peer {
	return Peer{Address: peerAddress(i), Name: fmt.Sprintf("b%03d", i), Domain: fmt.Sprint("d", i%3), Epoch: 1}
}

// newPeersWithNews returns the Peers of balancer self after news from balancers 0 to
// count-1.
func newPeersWithNews(self, count int) *Peers {
	ps := NewPeers(testNow-clock.Minute, testPeer(self), nil)
	for i := range count {
		ps.Update(testNow, testPeer(i))
	}
	return ps
}

// The balancer that watches the platform is partitioned from it and announces that it does
// not watch. The next one must watch after the grace period, or the failure domain would
// keep an old version.
func TestNextBalancerWatchesWithoutPlatformAccess(t *testing.T) {
	first := testPeer(0)
	ps := newPeersWithNews(3, 1)
	watching := first
	watching.Watching = true
	ps.Update(testNow, watching)
	if ps.Watches(testNow) {
		t.Error("watches although another balancer does")
	}
	ps.Update(testNow+100, first)
	if ps.Watches(testNow + 200) {
		t.Error("watches before the grace period has passed")
	}
	later := testNow + 200 + watchGracePeriod
	ps.Update(later, first)
	if !ps.Watches(later) {
		t.Error("does not watch although the first balancer cannot")
	}
}

// The first of seven balancers of a failure domain stops after it has long been the only
// watcher. One of the others replaces it, not all six at once.
func TestOneBalancerTakesOverWatch(t *testing.T) {
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
				ps.Update(at, p)
			}
			ps.Watches(at)
		}
		all = append(all, ps)
	}
	stopped := testNow + 10*clock.Second + 10
	watchers := 0
	for _, ps := range all {
		leaving := member(0)
		leaving.Leaving = true
		ps.Update(stopped, leaving)
		if ps.Watches(stopped + 10) {
			watchers++
		}
	}
	if watchers != 1 || !all[0].Watches(stopped+20) {
		t.Errorf("%d balancers watch after the first one stopped, want one", watchers)
	}
	late := stopped + watchGracePeriod + 20
	for j := 1; j < count; j++ {
		all[1].Update(late, member(j))
	}
	if !all[1].Watches(late) {
		t.Error("the second balancer does not watch although the first one cannot")
	}
}

// The watcher of a failure domain crashes. The next balancer watches.
func TestNextBalancerWatchesAfterCrash(t *testing.T) {
	watching := testPeer(0)
	watching.Watching = true
	ps := newPeersWithNews(3, 0)
	ps.Update(testNow, watching)
	if ps.Watches(testNow + watcherTimeout) {
		t.Error("watches although the first balancer may be live")
	}
	if !ps.Watches(testNow + watcherTimeout + 1) {
		t.Error("does not watch although the first balancer is silent")
	}
}

// Each of hundreds of balancers has few neighbours, and news still reach all of them
// through the neighbours of neighbours.
func TestNeighboursReachAll(t *testing.T) {
	const count = 490
	links := make([][]int, count)
	index := map[netip.AddrPort]int{}
	for i := range count {
		index[peerAddress(i)] = i
	}
	for i := range count {
		neighbours := newPeersWithNews(i, count).Neighbours(testNow)
		if len(neighbours) > maxLocalNeighbours+maxRemoteNeighbours+3*relaysPerDomain {
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

// A balancer is settled only while its neighbours know no target that it does not know. It
// requests contacts from a neighbour that knows more; after a complete answer the
// difference between the digests no longer matters.
func TestSettled(t *testing.T) {
	ps := newPeersWithNews(1, 1)
	other := testPeer(0)
	other.Digest = 7
	sendNews := func(at clock.Millis) { ps.Update(at, other) }
	sendNews(testNow)
	if ps.Settled(testNow, 5, allDomainsComplete) {
		t.Error("settled although a neighbour knows other targets")
	}
	if !ps.StartContactRequest(testNow, other.Address, other.View) || ps.StartContactRequest(testNow+1, other.Address, other.View) {
		t.Error("want one request, and no second one at once")
	}
	ps.MarkCovered(other.View)
	ps.Settled(testNow+10, 5, allDomainsComplete)
	at := testNow + 10 + settleTime + 1
	sendNews(at)
	if !ps.Settled(at, 5, allDomainsComplete) {
		t.Error("not settled after the complete answer of the neighbour")
	}
	other.Digest = 8
	sendNews(at + 1)
	if ps.Settled(at+1, 5, allDomainsComplete) {
		t.Error("settled although the neighbour knows a new target")
	}
}

// A target leaves a fleet of hundreds, and balancers learn of it within a few ms. Each
// agrees with its neighbours again as soon as they have sent it the change, so the change
// must also go to balancers that a neighbour has not selected itself. Callers of lost flows
// wait for that.
func TestChangeRecipients(t *testing.T) {
	const count = 91
	all := make([]*Peers, count)
	for i := range all {
		all[i] = newPeersWithNews(i, count)
	}
	for i, ps := range all {
		for _, p := range ps.Neighbours(testNow) {
			j := slices.IndexFunc(all, func(other *Peers) bool { return other.self.Address == p.Address })
			chooser := testPeer(i)
			chooser.ChoseThis = true
			all[j].Update(testNow+1, chooser)
		}
	}
	for i, ps := range all {
		for _, p := range ps.Neighbours(testNow + 2) {
			j := slices.IndexFunc(all, func(other *Peers) bool { return other.self.Address == p.Address })
			notified := slices.ContainsFunc(all[j].ChangeRecipients(testNow+2), func(q *Peer) bool { return q.Address == peerAddress(i) })
			if !notified {
				t.Fatalf("balancer %d waits for %d, which does not notify it", i, j)
			}
		}
	}
}

// A lost balancer is removed after a minute. One that was only named by others is not
// removed before it had time to answer.
func TestRemoveSilent(t *testing.T) {
	ps := newPeersWithNews(1, 1)
	late := testNow + 50*clock.Second
	ps.Learn(late, peerAddress(9), Peer{Name: "b009", Domain: "d0"})
	if removed := ps.RemoveSilent(testNow + 3*nonNeighbourNewsInterval + 1); len(removed) != 1 || removed[0].Name != "b000" {
		t.Errorf("removed: %v", removed)
	}
	if removed := ps.RemoveSilent(late + 3*nonNeighbourNewsInterval + 1); len(removed) != 1 || removed[0].Name != "b009" {
		t.Errorf("removed later: %v", removed)
	}
}

// A neighbour announces a new version and freezes, so the call to it fails. The next call
// goes to another balancer with that version, and not to the frozen one while that still
// counts as live.
func TestNewestAfterFailure(t *testing.T) {
	ps := newPeersWithNews(9, 0)
	for i := range 2 {
		p := testPeer(i)
		p.Version = 5
		ps.Update(testNow, p)
	}
	first, ok := ps.Newest(testNow, 4)
	if !ok {
		t.Fatal("no peer has the version")
	}
	ps.Fetched(testNow, first.Address, false)
	second, ok := ps.Newest(testNow+1, 4)
	if !ok || second.Address == first.Address {
		t.Errorf("fetches from %v again", first.Address)
	}
	ps.Fetched(testNow+1, second.Address, false)
	if p, ok := ps.Newest(testNow+2, 4); ok {
		t.Errorf("fetches from %v although both calls have failed", p.Address)
	}
}

// Unknown senders send news from ever new addresses and name further ones. The number of
// known balancers stays within its bound.
func TestPeersAreBounded(t *testing.T) {
	ps := NewPeers(0, Peer{Name: "self"}, nil)
	at := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	}
	for i := range 3 * maxPeers {
		ps.Update(1, Peer{Address: at(2 * i), Name: "stranger"})
		ps.Learn(1, at(2*i+1), Peer{Name: "hearsay", Domain: "a"})
	}
	if got := len(ps.known); got != maxPeers {
		t.Errorf("%d balancers are known, want %d", got, maxPeers)
	}
}

// Two balancers start together while the others leave, and one long-running agent has
// reported to neither of them yet. They must not agree that nobody owns its flows.
func TestStartingBalancersAreNotSettledAlone(t *testing.T) {
	ps := NewPeers(testNow, testPeer(1), nil)
	starting := testPeer(0)
	starting.Digest = 9
	for at := testNow + 10; at < testNow+2*clock.Second; at += 50 {
		ps.Update(at, starting)
		if ps.Settled(at, 9, allDomainsComplete) {
			t.Fatalf("settled %d ms after the start, by agreement with a starting balancer", at.Sub(testNow))
		}
	}
	late := testNow + soloStartDelay + 1
	ps.Update(late, starting)
	if !ps.Settled(late, 9, allDomainsComplete) {
		t.Error("not settled after every agent has reported twice")
	}
}

// All balancers are replaced in turn. Those that leave know all targets, and a starting one
// that knows the same ones need not wait for reports of every agent.
func TestLeavingBalancerConfirmsTargets(t *testing.T) {
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
			ps.Update(testNow+10, leaving)
			ps.Settled(testNow+20, 9, allDomainsComplete)
			if got := ps.Settled(testNow+confirmedStartDelay+30, 9, allDomainsComplete); got != c.want {
				t.Errorf("settled: %v, want %v", got, c.want)
			}
		})
	}
}

// The only balancer with a version stalls once. It must be tried again soon, but not before
// the platform and others had their turn, and after those that have not failed.
func TestOnlySourceIsTriedAgainAfterFailure(t *testing.T) {
	ps := newPeersWithNews(9, 0)
	only := testPeer(0)
	only.Version = 5
	ps.Update(testNow, only)
	now := testNow
	for _, pause := range []clock.Millis{minFetchRetry, 2 * minFetchRetry, 4 * minFetchRetry, failedFetchBackoff, failedFetchBackoff} {
		ps.Fetched(now, only.Address, false)
		if _, ok := ps.Newest(now+pause-1, 4); ok {
			t.Errorf("is tried again before %d ms", pause)
		}
		now += pause
		ps.Update(now, only)
		if _, ok := ps.Newest(now, 4); !ok {
			t.Errorf("is not tried again after %d ms", pause)
		}
	}
	ps.Fetched(now, only.Address, true)
	if !ps.known[only.Address].mayFetch(now) {
		t.Error("is avoided although a call has brought something")
	}
	ps.Fetched(now, only.Address, false)
	now += 2 * minFetchRetry
	ps.Update(now, only)
	other := testPeer(1)
	other.Version = 5
	ps.Update(now, other)
	if p, ok := ps.Newest(now, 4); !ok || p.Address != other.Address {
		t.Error("a balancer that has not failed does not go first")
	}
}

// A balancer hears from no other one: it may be cut off or have been paused, and must not
// remove the others from the directory.
func TestLonelyBalancerRemovesNoEntries(t *testing.T) {
	ps := newPeersWithNews(0, 0)
	ps.Update(testNow, testPeer(1))
	if !ps.removesEntries(testNow) {
		t.Error("the first by name among those that answer removes none")
	}
	if ps.removesEntries(testNow + peerTimeout + 1) {
		t.Error("removes entries although no other balancer answers")
	}
}
