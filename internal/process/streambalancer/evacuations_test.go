package streambalancer

import (
	"context"
	"slices"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// orders stands in for the store: what each call answers, and how many there were.
type orders struct {
	read, wait         evacuation.Snapshot
	readErr, waitErr   error
	readCalls, waitFor []uint64
}

func (o *orders) Read(context.Context) (evacuation.Snapshot, error) {
	o.readCalls = append(o.readCalls, o.read.Revision)
	return o.read, o.readErr
}

func (o *orders) Wait(_ context.Context, after evacuation.Snapshot) (evacuation.Snapshot, error) {
	o.waitFor = append(o.waitFor, after.Revision)
	return o.wait, o.waitErr
}

// reader returns a balancer with a large part of a core that has run for a while.
func reader(t *testing.T, o *orders) (*Balancer, *clock.Manual) {
	t.Helper()
	c := &clock.Manual{}
	c.Advance(testNow)
	b := newBalancer(Settings{Name: "b", Domain: "d", Share: 100, Parcels: peerAddress(0)}, Deps{
		Codec: plain{}, Orders: o, Clock: c, Log: zerolog.Nop(), Scope: tally.NoopScope,
	}, 1)
	b.link, b.callers = nowhere{t}, nowhere{t}
	return b, c
}

func (b *Balancer) hearPeer(n *wire.News) {
	a := peerAddress(1)
	n.Self = &wire.Contact{Address: nil, Name: "a", Domain: "d", Share: 800}
	b.hear(a, &wire.Parcel{Verb: wire.Verb_VERB_NEWS, News: n}, nil)
}

// An order is given while the store does not answer this balancer: a peer tells it, and no
// more calls are made for it.
func TestEvacuationsFromPeers(t *testing.T) {
	o := &orders{readErr: platform.ErrUnavailable}
	b, _ := reader(t, o)
	if _, err := b.updateEvacuations(t.Context()); err == nil {
		t.Fatal("the store is away, and no error was told")
	}
	b.hearPeer(&wire.News{Watching: true, Evacuations: &wire.Evacuations{Revision: 7, Domains: []string{"d1"}}})
	if s := b.steerer.Evacuations(); !s.Has("d1") || s.Revision != 7 {
		t.Fatalf("after a peer's news: %+v", s)
	}
	b.hearPeer(&wire.News{Watching: true, Evacuations: &wire.Evacuations{Revision: 6}})
	b.hearPeer(&wire.News{Watching: true})
	if s := b.steerer.Evacuations(); !s.Has("d1") {
		t.Error("late news, or none, have undone the order")
	}
	calls := len(o.readCalls)
	if _, err := b.updateEvacuations(t.Context()); err != nil || len(o.readCalls) != calls {
		t.Errorf("%v, %d calls more", err, len(o.readCalls)-calls)
	}
}

// The only reader is killed at the order: the next balancer of the failure domain goes on
// from what it knows, within the time that an order may take.
func TestNextReaderTakesOver(t *testing.T) {
	o := &orders{wait: evacuation.New(9, []string{"d1"})}
	b, c := reader(t, o)
	b.hearPeer(&wire.News{Watching: true, Evacuations: &wire.Evacuations{Revision: 5}})
	b.watching = true
	took := clock.Millis(0)
	for ; took < 5*clock.Second && !b.steerer.Evacuations().Has("d1"); took += idleWaitMillis {
		if _, err := b.updateEvacuations(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.Advance(idleWaitMillis)
	}
	if took > 4200 || !slices.Equal(o.waitFor, []uint64{5}) {
		t.Errorf("known after %d ms, waited from %v", took, o.waitFor)
	}
}

const idleWaitMillis = 500 * clock.Millis(1)

// Of five failure domains two have a balancer that reads the evacuations. One of them is
// lost: the next one reads as soon as it is missed, and one that hears of nobody reads.
func TestTwoFailureDomainsRead(t *testing.T) {
	var all []*Peers
	self := func(i int) Peer {
		return Peer{Address: peerAddress(i), Name: "b", Domain: string(rune('a' + i)), Watching: true}
	}
	for i := range 5 {
		all = append(all, NewPeers(testNow-clock.Minute, self(i), nil))
	}
	reads := func(at clock.Millis) string {
		who := ""
		for i, ps := range all {
			if ps.WatchesEvacuations(at) {
				who += self(i).Domain
			}
		}
		return who
	}
	if got := reads(testNow); got != "abcde" {
		t.Errorf("%q read while nobody has heard of another one", got)
	}
	for at := testNow; at < testNow+2*peerLive; at += 500 {
		for i, ps := range all {
			for j := range all {
				if j != i && (j != 0 || at == testNow) {
					ps.Hear(at, self(j))
				}
			}
		}
		want := "ab"
		if at.Sub(testNow) > peerLive {
			want = "abc"
		}
		if got := reads(at); got != want {
			t.Errorf("after %d ms %q read, want %q", at.Sub(testNow), got, want)
		}
	}
}

// The platform is away for long, which the watch of the configuration finds out again and
// again: nothing else is asked meanwhile, for callers gain nothing by it.
func TestNoCallsWhileThePlatformIsAway(t *testing.T) {
	o := &orders{read: evacuation.New(5, nil)}
	b, _ := reader(t, o)
	for range 3 {
		if _, err := b.updateEvacuations(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if len(o.readCalls) != 1 || len(o.waitFor) != 0 {
		t.Errorf("%d reads and %d waits", len(o.readCalls), len(o.waitFor))
	}
}

// The store has dropped the history since the last word: what is in force is read anew.
func TestForgottenHistoryIsReadAnew(t *testing.T) {
	o := &orders{read: evacuation.New(5, []string{"d1"}), waitErr: platform.ErrGone}
	b, _ := reader(t, o)
	b.watching = true
	for range 2 {
		if _, err := b.updateEvacuations(t.Context()); err != nil {
			t.Fatal(err)
		}
		o.read = evacuation.New(30, nil)
	}
	if s := b.steerer.Evacuations(); s.Revision != 30 || s.Has("d1") {
		t.Errorf("known: %+v", s)
	}
}

// unreadable is a platform that answers with a configuration that cannot be read.
type unreadable struct{}

func (unreadable) Read(context.Context) (*routing.Table, error) { return nil, routing.ErrInvalid }
func (unreadable) Wait(context.Context, uint64) (Change, error) {
	return Change{}, routing.ErrInvalid
}

// The configuration in the platform cannot be read, which may last: evacuations are read all
// the same.
func TestUnreadableConfigurationLeavesEvacuations(t *testing.T) {
	o := &orders{read: evacuation.New(5, nil), wait: evacuation.New(7, []string{"d1"})}
	b, _ := reader(t, o)
	b.deps.Source = unreadable{}
	table := &routing.Table{Version: 1}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	b.steerer.SetTable(testNow, table)
	if _, ok := b.update(t.Context()); ok {
		t.Error("an unreadable version was taken")
	}
	for range 2 {
		if _, err := b.updateEvacuations(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if !b.steerer.Evacuations().Has("d1") {
		t.Error("the order is not known")
	}
}
