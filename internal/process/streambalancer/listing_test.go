package streambalancer

import "testing"

// All balancers of a fleet start for the first time and do not know each other yet, so each
// takes itself for a relay and would read the list of targets, which is billed.
func TestNewBalancerReadsListOnceItKnowsOthers(t *testing.T) {
	none := func(string) bool { return false }
	ps := NewPeers(testNow, relayTestPeer(0), nil)
	ps.listing, ps.unlisted = newListing([]string{"d0"}), true
	early := testNow + localListDelay + newListDelay/2
	if due := ps.dueLists(early, none); len(due) > 0 {
		t.Errorf("reads %v at once", due)
	}
	if due := ps.dueLists(testNow+localListDelay+newListDelay, none); len(due) != 1 {
		t.Errorf("a single balancer reads %v", due)
	}
	for _, i := range []int{24, 27} {
		p := relayTestPeer(i)
		p.CPUShare = 800
		ps.Update(early, p)
	}
	if due := ps.dueLists(testNow+localListDelay+newListDelay, none); len(due) > 0 {
		t.Errorf("reads %v although others are the relays", due)
	}
	ps.unlisted = false
	if due := ps.dueLists(testNow+localListDelay+nonRelayListDelay, none); len(due) != 1 {
		t.Errorf("reads %v although no settled balancer has confirmed it", due)
	}
}

// The directory names balancers of another failure domain that have left. The only balancer
// that is left must not wait for their summary before it reads which targets there are: until
// then it can't find the owners of flows there.
func TestLoneBalancerReadsOtherListsSoon(t *testing.T) {
	none := func(string) bool { return false }
	for _, heard := range []bool{false, true} {
		ps := NewPeers(testNow, relayTestPeer(0), nil)
		ps.listing = newListing([]string{"d0", "d1"})
		other := relayTestPeer(1)
		ps.Learn(testNow, other.Address, other)
		if heard {
			ps.Update(testNow+100, other)
		}
		ps.recordList(testNow+localListDelay, "d0", listHeard)
		due := ps.dueLists(testNow+localListDelay+unknownListDelay, none)
		if got := len(due) == 1; got == heard {
			t.Errorf("another balancer is heard %v: reads %v", heard, due)
		}
	}
}

// A failure domain has no balancer. What its list names is not heard yet, or was not read: a
// balancer that counted as settled would reset flows of targets there.
func TestNotSettledBeforeOtherListsAreHeard(t *testing.T) {
	late := testNow + 2*noRelayStartDelay
	for _, c := range []struct {
		state listState
		want  bool
	}{{listMissing, false}, {listPending, false}, {listHeard, true}, {listUnreadable, true}} {
		ps := NewPeers(testNow, testPeer(0), nil)
		ps.listing = newListing([]string{"d0", "d1"})
		ps.recordList(testNow, "d0", listHeard)
		ps.recordList(testNow, "d1", c.state)
		none := func(string) bool { return false }
		ps.Settled(late, 5, none)
		if got := ps.Settled(late+settleTime+1, 5, none); got != c.want {
			t.Errorf("list state %d: settled %v", c.state, got)
		}
	}
}
