package streambalancer

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/process/directory"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

var errLostReply = errors.New("reply lost")

// lossyDirectory is a store whose first replies to writes are lost although the writes take
// effect.
type lossyDirectory struct {
	platform.Store
	items       []platform.Object
	lostReplies int
}

func (d *lossyDirectory) List(context.Context, platform.Kind) (platform.List, error) {
	return platform.List{Items: d.items}, nil
}

func (d *lossyDirectory) Create(_ context.Context, _ platform.Kind, name string, spec any) (platform.Object, error) {
	data, err := json.Marshal(spec)
	o := platform.Object{Metadata: platform.Metadata{Name: name}, Spec: data}
	d.items = append(d.items, o)
	if d.lostReplies > 0 {
		d.lostReplies--
		return o, errLostReply
	}
	return o, err
}

// newRegisteringBalancer returns a balancer that starts with a directory.
func newRegisteringBalancer(store platform.Store) *Balancer {
	now := &clock.Manual{}
	now.Advance(testNow)
	return newBalancer(Settings{
		Name: "b000", Domain: "d0", Parcels: peerAddress(0), FlowTTL: clock.Minute, Seeds: []netip.AddrPort{},
	}, Deps{Codec: fakeCodec{}, Clock: now, Log: zerolog.Nop(), Scope: tally.NoopScope, Directory: directory.New(store)}, 1)
}

// The reply to the registration of a new balancer is lost, and the next attempt finds the
// entry. The balancer must know that agents can find it, or it is never settled and callers
// of lost flows are not told.
func TestLostReplyOfRegistration(t *testing.T) {
	b := newRegisteringBalancer(&lossyDirectory{lostReplies: 1})
	if b.tryRegister(t.Context(), b.deps.Directory.Entries) {
		t.Fatal("the registration did not fail")
	}
	if !b.tryRegister(t.Context(), b.deps.Directory.Entries) {
		t.Fatal("the second attempt failed")
	}
	if got := b.peers.discoverableFor(testNow + soloStartDelay); got != soloStartDelay {
		t.Errorf("counts as discoverable for %d ms, want %d", got, soloStartDelay)
	}
}

// Balancers that have run for long, whether the directory listed them at their start or not,
// were removed from it during a partition, and the store does not answer the first write.
// They are known to the agents, and must stay settled.
func TestRemovedEntryLeavesBalancerSettled(t *testing.T) {
	for _, isNew := range []bool{false, true} {
		store := &lossyDirectory{}
		if !isNew {
			former := newRegisteringBalancer(store)
			former.tryRegister(t.Context(), former.deps.Directory.Entries)
		}
		b := newRegisteringBalancer(store)
		b.tryRegister(t.Context(), b.deps.Directory.Entries)
		store.items, store.lostReplies = nil, 1
		b.deps.Clock.(*clock.Manual).Advance(clock.Minute)
		for attempt, want := range []bool{false, true} {
			if got := b.tryRegister(t.Context(), b.deps.Directory.CurrentEntries); got != want {
				t.Fatalf("new %v, attempt %d: registered %v", isNew, attempt, got)
			}
			if got := b.peers.discoverableFor(testNow + clock.Minute); got != clock.Minute {
				t.Errorf("new %v, attempt %d: counts as discoverable for %d ms, want %d", isNew, attempt, got, clock.Minute)
			}
		}
	}
}

// A settled balancer has sent a new one all targets: that one must be settled soon, although
// the store does not answer its registration.
func TestConfirmedNewBalancerDoesNotWaitForDirectory(t *testing.T) {
	ps := NewPeers(testNow, testPeer(1), nil)
	ps.unlisted, ps.confirmed = true, true
	at := testNow + confirmedStartDelay
	ps.Settled(at-settleTime, 5, allDomainsComplete)
	if !ps.Settled(at+1, 5, allDomainsComplete) {
		t.Error("not settled")
	}
}
