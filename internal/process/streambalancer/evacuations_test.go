package streambalancer

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// fakeEvacuationSource returns fixed answers and records its calls.
type fakeEvacuationSource struct {
	read, wait               evacuation.Snapshot
	readErr, waitErr         error
	readCalls, waitRevisions []uint64
}

func (o *fakeEvacuationSource) Read(context.Context) (evacuation.Snapshot, error) {
	o.readCalls = append(o.readCalls, o.read.Revision)
	return o.read, o.readErr
}

func (o *fakeEvacuationSource) Wait(_ context.Context, after evacuation.Snapshot, _ time.Duration) (evacuation.Snapshot, error) {
	o.waitRevisions = append(o.waitRevisions, after.Revision)
	return o.wait, o.waitErr
}

// newEvacuationReader returns a balancer with a large share of a core that has run for a
// while.
func newEvacuationReader(t *testing.T, o *fakeEvacuationSource) (*Balancer, *clock.Manual) {
	t.Helper()
	c := &clock.Manual{}
	c.Advance(testNow)
	b := newBalancer(Settings{Name: "b", Domain: "d", CPUShare: 100, Parcels: peerAddress(0)}, Deps{
		Codec: fakeCodec{}, Evacuations: o, Clock: c, Log: zerolog.Nop(), Scope: tally.NoopScope,
	}, 1)
	b.parcelSender, b.callerWriter = discardSender{t}, discardSender{t}
	return b, c
}

func (b *Balancer) receiveNews(n *wire.News) {
	a := peerAddress(1)
	n.Self = &wire.Contact{Address: nil, Name: "a", Domain: "d", Share: 800}
	b.handleParcel(a, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: n}, nil)
}

// Operators evacuate a domain while the store does not answer this balancer. It learns of
// the evacuation from a peer, and makes no more calls for it.
func TestEvacuationsFromPeers(t *testing.T) {
	o := &fakeEvacuationSource{readErr: platform.ErrUnavailable}
	b, _ := newEvacuationReader(t, o)
	if _, err := b.updateEvacuations(t.Context()); err == nil {
		t.Fatal("the store is unavailable, but no error was returned")
	}
	b.receiveNews(&wire.News{Watching: true, Evacuations: &wire.Evacuations{Revision: 7, Domains: []string{"d1"}}})
	if s := b.steerer.Evacuations(); !s.Has("d1") || s.Revision != 7 {
		t.Fatalf("after news from a peer: %+v", s)
	}
	b.receiveNews(&wire.News{Watching: true, Evacuations: &wire.Evacuations{Revision: 6}})
	b.receiveNews(&wire.News{Watching: true})
	if s := b.steerer.Evacuations(); !s.Has("d1") {
		t.Error("outdated news, or news without evacuations, have reverted the evacuation")
	}
	calls := len(o.readCalls)
	if _, err := b.updateEvacuations(t.Context()); err != nil || len(o.readCalls) != calls {
		t.Errorf("%v, %d more calls", err, len(o.readCalls)-calls)
	}
}

// The only watcher of the evacuations is killed as a domain is evacuated. The next balancer
// of the failure domain continues from the revision that it knows, and learns of the
// evacuation within the permitted time.
func TestNextReaderTakesOver(t *testing.T) {
	o := &fakeEvacuationSource{wait: evacuation.New(9, []string{"d1"})}
	b, c := newEvacuationReader(t, o)
	b.receiveNews(&wire.News{Watching: true, Evacuations: &wire.Evacuations{Revision: 5}})
	b.watching = true
	elapsed := clock.Millis(0)
	for ; elapsed < 5*clock.Second && !b.steerer.Evacuations().Has("d1"); elapsed += idlePollMillis {
		if _, err := b.updateEvacuations(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.Advance(idlePollMillis)
	}
	if elapsed > 4200 || !slices.Equal(o.waitRevisions, []uint64{5}) {
		t.Errorf("known after %d ms, waited from revisions %v", elapsed, o.waitRevisions)
	}
}

const idlePollMillis = 500 * clock.Millis(1)

// Of five failure domains two have a balancer that watches the evacuations. When one of
// them is lost, the next one watches as soon as the loss is detected. A balancer that hears
// from no other one watches.
func TestTwoFailureDomainsRead(t *testing.T) {
	var all []*Peers
	self := func(i int) Peer {
		return Peer{Address: peerAddress(i), Name: "b", Domain: string(rune('a' + i)), Watching: true}
	}
	announce := func(at clock.Millis, i int) Peer {
		p := self(i)
		p.Duties = p.Duties.With(EvacuationDuty, all[i].readsEvacuations(at))
		return p
	}
	for i := range 5 {
		all = append(all, NewPeers(testNow-clock.Minute, self(i), nil))
	}
	watchers := func(at clock.Millis) string {
		who := ""
		for i, ps := range all {
			if ps.readsEvacuations(at) {
				who += self(i).Domain
			}
		}
		return who
	}
	if got := watchers(testNow); got != "abcde" {
		t.Errorf("%q watch while none has heard from another one", got)
	}
	for at := testNow; at < testNow+2*peerTimeout; at += 500 {
		for i, ps := range all {
			for j := range all {
				if j != i && (j != 0 || at == testNow) {
					ps.Update(at, announce(at, j))
				}
			}
		}
		want := "ab"
		if at.Sub(testNow) > peerTimeout {
			want = "abc"
		}
		if got := watchers(at); got != want {
			t.Errorf("after %d ms %q watch, want %q", at.Sub(testNow), got, want)
		}
	}
}

// The platform is unavailable for long, and the watch of the configuration keeps detecting
// that. The evacuations are not read meanwhile: callers would gain nothing by it.
func TestNoCallsWhilePlatformIsUnavailable(t *testing.T) {
	o := &fakeEvacuationSource{read: evacuation.New(5, nil)}
	b, _ := newEvacuationReader(t, o)
	for range 3 {
		if _, err := b.updateEvacuations(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if len(o.readCalls) != 1 || len(o.waitRevisions) != 0 {
		t.Errorf("%d reads and %d waits", len(o.readCalls), len(o.waitRevisions))
	}
}

// The store has dropped the history since the known revision. The evacuations in force are
// read again.
func TestEvacuationsAreReadAgainAfterHistoryLoss(t *testing.T) {
	o := &fakeEvacuationSource{read: evacuation.New(5, []string{"d1"}), waitErr: platform.ErrGone}
	b, _ := newEvacuationReader(t, o)
	b.watching = true
	for range 2 {
		if _, err := b.updateEvacuations(t.Context()); err != nil {
			t.Fatal(err)
		}
		o.read = evacuation.New(30, nil)
	}
	if s := b.steerer.Evacuations(); s.Revision != 30 || s.Has("d1") {
		t.Errorf("evacuations: %+v", s)
	}
}

// unreadableSource is a platform that answers with an invalid configuration.
type unreadableSource struct{}

func (unreadableSource) Read(context.Context) (*routing.Table, error) { return nil, routing.ErrInvalid }

func (unreadableSource) Ping(context.Context) error { return nil }

func (unreadableSource) Wait(context.Context, uint64, time.Duration, func()) (Change, error) {
	return Change{}, routing.ErrInvalid
}

// The configuration in the platform is invalid, which may last. Evacuations are still read.
func TestUnreadableConfigurationLeavesEvacuations(t *testing.T) {
	o := &fakeEvacuationSource{read: evacuation.New(5, nil), wait: evacuation.New(7, []string{"d1"})}
	b, c := newEvacuationReader(t, o)
	b.deps.Source = unreadableSource{}
	table := &routing.Table{Version: 1}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	b.steerer.SetTable(testNow, table)
	if _, ok := b.syncConfigOnce(t.Context()); ok {
		t.Error("an unreadable version was applied")
	}
	c.Advance(dutyStartDelay)
	for range 2 {
		if _, err := b.updateEvacuations(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if !b.steerer.Evacuations().Has("d1") {
		t.Error("the evacuation is not known")
	}
}
