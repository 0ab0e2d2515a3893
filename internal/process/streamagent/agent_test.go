package streamagent

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const testNow = 24 * clock.Hour

// testAgent is an agent of failure domain a that has run for long, with a target whose
// slots are in use or not.
func testAgent(t *testing.T, loaded bool) *Agent {
	t.Helper()
	h := stream.NewHolder(0, stream.HolderSettings{Domain: "a", Service: "one", Port: 7000, Flows: 100, FlowLife: clock.Minute})
	if loaded {
		load(t, h)
	}
	if h.Loaded() != loaded {
		t.Fatalf("loaded: %v", h.Loaded())
	}
	return &Agent{settings: Settings{Domain: "a"}, balancers: NewBalancers(0, "a"), holder: h}
}

// load gives the target requests that are under way for as long as its load is averaged.
func load(t *testing.T, h *stream.Holder) {
	t.Helper()
	h.Beat(testNow-2*clock.Second, stream.Beat{Service: "one", Slots: 1, Sequence: 1, Born: 1})
	for i := range 4 {
		caller := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), uint16(1000+i))
		seg := &segment.Segment{Source: caller, Destination: netip.MustParseAddrPort("198.18.0.1:443"), Size: 100}
		h.FromTarget(testNow-2*clock.Second, &segment.Segment{Source: seg.Destination, Destination: caller}, nil)
		h.Hear(testNow-2*clock.Second, testBalancer(0), &wire.Parcel{Verb: wire.Verb_VERB_CARRY, Service: "one", Packet: []byte{1}}, seg)
	}
	for at := testNow - 2*clock.Second; at < testNow; at += 50 {
		h.Tick(at)
	}
}

func testBalancer(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

// A target's slots are in use, or balancers of its failure domain start while callers wait:
// they must not go by a load of long ago for their next hundred openings.
func TestTellNear(t *testing.T) {
	for _, c := range []struct {
		unheard, loaded bool
		most            clock.Millis
	}{
		{false, true, 200},
		{true, false, 100},
		{true, true, 100},
		{false, false, clock.Second},
	} {
		bs := NewBalancers(testNow-clock.Second, "a")
		bs.near = testNow
		got, ok := bs.pause(testNow, &balancer{domain: "a", met: !c.unheard}, testAgent(t, c.loaded).holder.Loaded())
		if !ok || got > c.most {
			t.Errorf("unheard %v, loaded %v: told %v every %d ms, want %d", c.unheard, c.loaded, ok, got, c.most)
		}
	}
}

// Hundreds of balancers elsewhere know the target, and those of its failure domain ask
// it: only these are told unasked, or what is told grows with the product of both.
func TestTellElsewhere(t *testing.T) {
	bs := NewBalancers(0, "a")
	bs.near = testNow
	for _, b := range []*balancer{{met: true, domain: "b"}, {met: true}, {}} {
		if pause, ok := bs.pause(testNow, b, true); ok {
			t.Errorf("a balancer elsewhere (%+v) is told every %d ms", b, pause)
		}
	}
}

// All balancers of the failure domain are gone. Those elsewhere are told as those near by
// were, so that the target serves on and its flows are known.
func TestTellWhereAlone(t *testing.T) {
	bs := NewBalancers(0, "a")
	bs.near = testNow - nearFor - 1
	if pause, ok := bs.pause(testNow, &balancer{met: true, domain: "b"}, true); !ok || pause > 200 {
		t.Errorf("told %v every %d ms", ok, pause)
	}
}

// All VMs return at once, and the settings of all agents name the same three balancers.
// Until one of the own failure domain is there each agent tells them at growing pauses, or
// hundreds of agents would fill their sockets.
func TestTellSeedsAtReturn(t *testing.T) {
	bs := NewBalancers(testNow, "a")
	bs.Learn(testNow, []netip.AddrPort{testBalancer(0)}, "")
	told := 0
	for now := testNow; now < testNow+firstFor; now += 50 {
		told += len(bs.Due(now, false))
	}
	if told < 4 || told > 10 {
		t.Errorf("a balancer of the settings was told %d times in %d ms", told, firstFor)
	}
}

// away is a directory that is away for some calls, and then names a balancer.
type away struct {
	mu    sync.Mutex
	calls int
	until int
}

func (d *away) Balancers(context.Context, string) (near, all []netip.AddrPort, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.calls <= d.until {
		return nil, nil, errors.New("away")
	}
	return []netip.AddrPort{testBalancer(7)}, nil, nil
}

// All VMs lost power and the platform is away for another second. The agent knows no
// balancer; it must look again soon, not seconds after the platform is back.
func TestFindsAgainSoon(t *testing.T) {
	a := testAgent(t, false)
	d := &away{until: 2}
	a.deps = Deps{Finder: d, Clock: &clock.Manual{}, Log: zerolog.Nop()}
	a.deps.Clock.(*clock.Manual).Advance(testNow)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	go a.finds(ctx)
	for ctx.Err() == nil {
		a.mu.Lock()
		found := a.balancers.known[testBalancer(7)] != nil
		a.mu.Unlock()
		if found {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("no balancer is known although the platform is back")
}

// Strangers send parcels from ever new addresses. The agent remembers as many as
// there may be balancers, and no more.
func TestBalancersAreBounded(t *testing.T) {
	bs := NewBalancers(0, "a")
	for i := range 3 * mostBalancers {
		bs.Heard(testNow, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000))
	}
	if got := len(bs.known); got != mostBalancers {
		t.Errorf("%d balancers are remembered, want %d", got, mostBalancers)
	}
}

// All balancers of a failure domain start anew, some never come back, and none probes: those
// that are there must be told twice together before they may agree that they know all
// targets, however many the agent remembers.
func TestSilentBalancersAreToldInTurn(t *testing.T) {
	for known := 1; known <= 24; known++ {
		for there := 1; there <= known; there++ {
			bs := NewBalancers(0, "a")
			for i := range known {
				bs.Heard(testNow, testBalancer(i))
				bs.Probed(testNow, testBalancer(i), "a")
			}
			from := testNow + 317
			until := from + max(clock.Second, 3*clock.Second/clock.Millis(there)) + 100
			told, all := 0, 0
			for now := testNow; now < until; now += 50 {
				for _, at := range bs.Due(now, false) {
					if now < from {
						continue
					}
					all++
					if at.Compare(testBalancer(there)) < 0 {
						told++
					}
				}
			}
			if told < 2 {
				t.Errorf("%d of %d balancers were told %d times", there, known, told)
			}
			if seconds := int(until.Sub(from)/clock.Second) + 1; all > seconds*max(known, leastTurns)+known {
				t.Errorf("%d balancers were told %d times in %d s", known, all, seconds)
			}
		}
	}
}
