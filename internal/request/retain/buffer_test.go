package retain_test

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/retain"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

const service = 7

var (
	alice = netip.MustParseAddrPort("203.0.113.1:1")
	bob   = netip.MustParseAddrPort("203.0.113.2:1")
)

func process(incarnation uint32, leaving bool) *target.Candidate {
	return &target.Candidate{ID: 3, Name: "t3", Incarnation: incarnation, Leaving: leaving}
}

func data[T any](r retain.Released[T]) []T {
	var all []T
	for _, c := range r.Copies {
		all = append(all, c.Data)
	}
	return all
}

// The copies for a restarting target must go to its successor, in order, and neither to
// the leaving process again nor to the target of the same name of another service.
func TestCopiesGoToSuccessor(t *testing.T) {
	b := retain.NewBuffer[string](retain.DefaultLimits())
	b.Add(0, service, process(4, true), alice, "a1")
	b.Add(10, service, process(4, true), bob, "b1")
	b.Add(20, service, process(4, true), alice, "a2")
	for _, set := range []*target.Set{
		target.NewSet(service, []target.Candidate{*process(4, true)}),
		target.NewSet(service, []target.Candidate{*process(4, false)}),
		target.NewSet(service, []target.Candidate{*process(5, true)}),
		target.NewSet(service+1, []target.Candidate{*process(5, false)}),
	} {
		if all := b.ReleaseSet(30, set); len(all) != 0 {
			t.Errorf("released %v to %+v of service %d", all, set.Targets, set.Service)
		}
	}
	all := b.ReleaseSet(40, target.NewSet(service, []target.Candidate{*process(5, false)}))
	if len(all) != 1 || !slices.Equal(data(all[0]), []string{"a1", "b1", "a2"}) || all[0].Oldest() != 40 {
		t.Errorf("released %+v", all)
	}
	if b.Len() != 0 {
		t.Errorf("%d copies are left", b.Len())
	}
}

// A successor that takes too long must not receive openings that callers have given up.
func TestOldCopiesAreNotReleased(t *testing.T) {
	b := retain.NewBuffer[string](retain.Limits{MaxDatagrams: 9, MaxPerFlow: 9, MaxAge: clock.Second})
	b.Add(0, service, process(4, true), alice, "old")
	b.Add(clock.Second, service, process(4, true), bob, "new")
	r, ok := b.Release(clock.Second+1, service, process(5, false))
	if !ok || !slices.Equal(data(r), []string{"new"}) || r.Expired != 1 {
		t.Errorf("released %+v, %t", r, ok)
	}
	b.Add(0, service, process(5, true), alice, "old")
	b.ReleaseSet(2*clock.Second, target.NewSet(service, nil))
	if b.Len() != 0 {
		t.Error("copies for a target without a successor are kept forever")
	}
}

// One flow that sends much must not take the room of the others, and nothing may grow
// without bound.
func TestBufferIsBounded(t *testing.T) {
	b := retain.NewBuffer[int](retain.Limits{MaxDatagrams: 5, MaxPerFlow: 3, MaxAge: clock.Second})
	for n := range 9 {
		b.Add(0, service, process(4, true), alice, n)
	}
	for n := range 9 {
		b.Add(0, service, process(4, true), bob, 100+n)
	}
	if b.Add(0, service, process(4, true), netip.MustParseAddrPort("203.0.113.3:1"), 200) {
		t.Error("a copy beyond the bound was kept")
	}
	r, _ := b.Release(0, service, process(5, false))
	if !slices.Equal(data(r), []int{6, 7, 8, 107, 108}) {
		t.Errorf("kept %+v", r)
	}
}
