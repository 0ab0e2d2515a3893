package streamagent

import (
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// newUnlistedBalancers returns the state of an agent whose target is not listed by the store.
// A balancer of its failure domain has probed it until now.
func newUnlistedBalancers() *Balancers {
	bs := NewBalancers(testNow-clock.Minute, "a")
	bs.SetUnlisted(true)
	bs.RecordHeard(testNow, testBalancer(0))
	for _, at := range []clock.Millis{testNow - 200, testNow} {
		bs.RecordProbe(at, testBalancer(0), "a")
	}
	return bs
}

// All balancers of a failure domain end, and the store does not list a target there: one that
// its agent does not know must get a report before it counts as knowing all targets.
func TestUnlistedAgentReportsInTime(t *testing.T) {
	for phase := clock.Millis(0); phase < unlistedCheckInterval; phase += 50 {
		for _, random := range []float64{0, 0.5, 1} {
			bs, lookups := newUnlistedBalancers(), NewLookups()
			nextLookup, learnAt, reportedAt := testNow+phase, clock.Millis(0), clock.Millis(0)
			for now := testNow; reportedAt == 0 && now < testNow+clock.Minute; now += 50 {
				if learnAt != 0 && now >= learnAt {
					bs.Learn(now, []netip.AddrPort{testBalancer(7)}, "b")
					learnAt = 0
				}
				if now >= nextLookup {
					due, answeredAt := lookups.Due(now, bs), now
					if due == CurrentLookup {
						answeredAt += lookupTime
						learnAt = answeredAt
					}
					nextLookup = answeredAt + lookups.Delay(answeredAt, bs, due, true, random)
				}
				for _, at := range bs.DueForReport(now, false) {
					if at == testBalancer(7) {
						reportedAt = now
					}
				}
			}
			if late := reportedAt.Sub(testNow); late > stream.DiscoveryTime {
				t.Errorf("lookups from %d ms, random %.1f: reported %d ms after the last probe", phase, random, late)
			}
		}
	}
}

// Nobody probes the target for longer, and balancers come only then: its agent must go on
// looking for them at short intervals, and report to each soon after it is in the directory.
func TestUnlistedAgentKeepsLookingUp(t *testing.T) {
	bs, lookups := newUnlistedBalancers(), NewLookups()
	for now := testNow + 2*clock.Second; now < testNow+30*clock.Second; {
		due := lookups.Due(now, bs)
		if due != CurrentLookup {
			t.Fatalf("lookup %d after %d ms", due, now.Sub(testNow))
		}
		pause := lookups.Delay(now, bs, due, true, 1)
		if pause+lookupTime/2 > stream.DiscoveryTime {
			t.Fatalf("a pause of %d ms after %d ms", pause, now.Sub(testNow))
		}
		now += pause
	}
}

// The store lists the target: its agent must not look balancers up, which is billed, as soon
// as some probes are missing.
func TestListedAgentWaitsForProbes(t *testing.T) {
	bs := newUnlistedBalancers()
	if !bs.SetUnlisted(false) {
		t.Error("no change")
	}
	now := testNow + unlistedPatience + 500
	if due := NewLookups().Due(now, bs); due != NoLookup {
		t.Errorf("lookup %d", due)
	}
	if bs.NoLocalBalancer(now) {
		t.Error("counts as without a balancer of its failure domain")
	}
}

// Balancers do not use the service of a target that is not listed, and probe it each five
// seconds. Its agent must not look balancers up between two probes.
func TestRarelyProbedUnlistedAgentDoesNotLookUp(t *testing.T) {
	bs := newUnlistedBalancers()
	const interval = 5 * clock.Second
	bs.RecordProbe(testNow+interval, testBalancer(0), "a")
	lookups := NewLookups()
	if due := lookups.Due(testNow+2*interval, bs); due != NoLookup {
		t.Errorf("lookup %d between two probes", due)
	}
	if left := bs.UntilAbandoned(testNow + 2*interval); left <= 0 {
		t.Error("counts as abandoned between two probes")
	}
}

// A whole fleet starts, and balancers probe their targets a little later than these start.
// Agents that were never probed must read the cheap list, not the dear one of all failure
// domains.
func TestNewUnlistedAgentReadsCheapList(t *testing.T) {
	bs := NewBalancers(testNow, "a")
	bs.SetUnlisted(true)
	lookups := NewLookups()
	for now := testNow; now < testNow+localBalancerTimeout; now += 500 {
		if due := lookups.Due(now, bs); due != CheapLookup {
			t.Errorf("lookup %d after %d ms", due, now.Sub(testNow))
		}
	}
	if due := lookups.Due(testNow+localBalancerTimeout, bs); due != CurrentLookup {
		t.Errorf("lookup %d of an abandoned agent", due)
	}
}

// A failure domain of a large fleet has lost all its balancers, and its targets are busy. Each
// agent must not send hundreds of balancers elsewhere the many reports that a few local ones
// get.
func TestReportsWithoutLocalBalancersAreBounded(t *testing.T) {
	const remote = 300
	for _, unlisted := range []bool{false, true} {
		bs := newUnlistedBalancers()
		bs.SetUnlisted(unlisted)
		var others []netip.AddrPort
		for i := range remote {
			others = append(others, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(1 + i>>8), byte(i)}), 7000))
		}
		bs.Learn(testNow, others, "b")
		reports := 0
		from := testNow + localBalancerTimeout + 2*clock.Second
		for now := testNow + localBalancerTimeout + 1; now < from+clock.Second; now += 50 {
			if n := len(bs.DueForReport(now, true)); now >= from {
				reports += n
			}
		}
		if reports < remote || reports > remote*3/2 {
			t.Errorf("unlisted %v: %d reports in a second to %d balancers", unlisted, reports, remote)
		}
	}
}
