package failover

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

func testAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
}

// Many balancers are gone for good and some are behind a partition; only some of them are ever
// contacted, or all for ever.
func TestFormerBalancersAreContactedInTurn(t *testing.T) {
	const count = 5
	var f Former
	now := 24 * clock.Hour
	for i := range count {
		f.Add(now, testAddress(i), uint64(i))
	}
	contacts := map[netip.AddrPort]int{}
	for end := now + 2*formerRetention; now < end; now += clock.Second {
		if a, ok := f.Next(now); ok {
			contacts[a]++
		}
		if now == 24*clock.Hour+10*clock.Minute && !f.TakeReturned(testAddress(2), 2) {
			t.Error("a process that returns was not removed")
		}
	}
	for i := range count {
		want := int(formerRetention / ContactInterval / count)
		if got := contacts[testAddress(i)]; i != 2 && (got < want || got > 2*want) {
			t.Errorf("balancer %d was contacted %d times, want about %d", i, got, want)
		}
	}
	if got := contacts[testAddress(2)]; got > int(10*clock.Minute/ContactInterval) {
		t.Errorf("a balancer that has returned was contacted %d times", got)
	}
}

// A VM gets the address of a removed balancer; its new process is not the one that returns.
func TestOtherProcessDoesNotReturn(t *testing.T) {
	var f Former
	f.Add(clock.Hour, testAddress(1), 1)
	if f.TakeReturned(testAddress(1), 2) || f.TakeReturned(testAddress(1), 1) {
		t.Error("another process at the address counts as the removed one")
	}
}
