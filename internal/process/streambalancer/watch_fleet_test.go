//go:build !race

package streambalancer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/internal/standin/treatment"
	"github.com/wagtailtray/wagtailtray/internal/version/evacuation"
	"github.com/wagtailtray/wagtailtray/internal/version/replication"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// configBound is the time within which balancers must have a new version.
	configBound = 3 * time.Second
	// testDelay is the delay of a datagram.
	testDelay = 4 * time.Millisecond
)

// watchedStore is the store of a watchFleet. Each change adds a version and an evacuation;
// there is no configuration at version 0.
type watchedStore struct {
	mu         sync.Mutex
	version    uint64
	changed    chan struct{}
	treatments map[int]treatment.Treatment
	// evacuationTreatments replaces treatments for the calls about evacuations, if not nil,
	// loadTreatments for loads of checkpoints, and writeTreatments for their writes.
	evacuationTreatments, loadTreatments, writeTreatments map[int]treatment.Treatment
	// calls counts all calls, and waits those that wait for a change, by kind.
	calls int
	waits map[callKind]int
	reads map[callKind]int
}

func (s *watchedStore) treat(treatments map[int]treatment.Treatment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.treatments = treatments
	s.wake()
}

// treatCheckpoints treats the loads of checkpoints, their writes or both.
func (s *watchedStore) treatCheckpoints(loads, writes map[int]treatment.Treatment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadTreatments, s.writeTreatments = loads, writes
}

func (s *watchedStore) treatEvacuations(treatments map[int]treatment.Treatment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuationTreatments = treatments
	s.wake()
}

func (s *watchedStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.wake()
}

func (s *watchedStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *watchedStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// counts returns how many reads and waits of a kind there were.
func (s *watchedStore) counts(kind callKind) (reads, waits int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads[kind], s.waits[kind]
}

func (s *watchedStore) count(counts map[callKind]int, kind callKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts[kind]++
}

func (s *watchedStore) state(c storeClient) (uint64, <-chan struct{}, treatment.Treatment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	treatments := s.treatments
	special := map[callKind]map[int]treatment.Treatment{
		evacuationCall: s.evacuationTreatments, loadCall: s.loadTreatments, writeCall: s.writeTreatments,
	}[c.kind]
	if special != nil {
		treatments = special
	}
	return s.version, s.changed, treatments[c.balancer]
}

// answer waits until the store answers, and returns its version.
func (c storeClient) answer(ctx context.Context, call treatment.Call) (uint64, error) {
	c.store.mu.Lock()
	c.store.calls++
	c.store.mu.Unlock()
	version, _, t := c.store.state(c)
	return version, t.Answer(ctx, call)
}

// wait returns the version after the given one, or 0 if there was none for a while.
func (c storeClient) wait(ctx context.Context, after uint64, slack time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, WaitHold+slack)
	defer cancel()
	hold := time.After(WaitHold)
	c.store.count(c.store.waits, c.kind)
	if _, err := c.answer(ctx, treatment.Current); err != nil {
		return 0, err
	}
	for {
		version, changed, t := c.store.state(c)
		if t.Swallows() {
			<-ctx.Done()
			return 0, platform.ErrUnavailable
		}
		if version > after {
			return version, nil
		}
		select {
		case <-ctx.Done():
			return 0, platform.ErrUnavailable
		case <-hold:
			return 0, nil
		case <-changed:
		}
	}
}

// storeClient is the store as a balancer sees it.
type storeClient struct {
	store    *watchedStore
	balancer int
	kind     callKind
}

// callKind says which calls of a client the store may treat differently.
type callKind int

const (
	configurationCall callKind = iota
	evacuationCall
	loadCall
	writeCall
)

func (c storeClient) Ping(ctx context.Context) error {
	_, err := c.answer(ctx, treatment.Any)
	return err
}

func (c storeClient) Read(ctx context.Context) (*routing.Table, error) {
	c.store.count(c.store.reads, c.kind)
	v, err := c.answer(ctx, treatment.Current)
	if err == nil && v == 0 {
		return nil, platform.ErrNotFound
	}
	return &routing.Table{Version: v, Revision: v}, err
}

func (c storeClient) Wait(ctx context.Context, revision uint64, slack time.Duration, _ func()) (Change, error) {
	v, err := c.wait(ctx, revision, slack)
	if err != nil || v == 0 {
		return Change{Revision: revision}, err
	}
	return Change{Table: &routing.Table{Version: v, Revision: v}, Revision: v}, nil
}

// evacuationClient reads evacuations: the store's version is their revision.
type evacuationClient struct{ storeClient }

func (c evacuationClient) Read(ctx context.Context) (evacuation.Snapshot, error) {
	c.store.count(c.store.reads, c.kind)
	v, err := c.answer(ctx, treatment.Current)
	return evacuation.New(v, []string{fmt.Sprint(v)}), err
}

func (c evacuationClient) Wait(ctx context.Context, after evacuation.Snapshot, slack time.Duration) (evacuation.Snapshot, error) {
	v, err := c.wait(ctx, after.Revision, slack)
	if err != nil || v == 0 {
		return after, err
	}
	return evacuation.New(v, []string{fmt.Sprint(v)}), nil
}

// checkpointClient loads and writes checkpoints, of which the store has none.
type checkpointClient struct{ storeClient }

func (c checkpointClient) Load(ctx context.Context, _ int) (checkpoint.Shard, error) {
	c.kind = loadCall
	c.store.count(c.store.reads, c.kind)
	if _, err := c.answer(ctx, treatment.Current); err != nil {
		return checkpoint.Shard{}, err
	}
	return checkpoint.Shard{}, platform.ErrNotFound
}

func (c checkpointClient) Write(ctx context.Context, _ *checkpoint.Shard) error {
	c.kind = writeCall
	_, err := c.answer(ctx, treatment.Current)
	return err
}

func (c checkpointClient) List(context.Context, string) ([]checkpoint.Entry, error) { return nil, nil }

// watchFleet is a number of balancers whose loops run without a network, in the time of a
// synctest bubble.
type watchFleet struct {
	t         *testing.T
	store     *watchedStore
	balancers []*Balancer
	// isolated has the balancers that no parcel leaves or reaches, and partitioned those that
	// exchange parcels with each other only.
	isolated, partitioned sync.Map
}

// watchLink delivers a balancer's parcels.
type watchLink struct {
	fleet *watchFleet
	from  netip.AddrPort
}

func (l watchLink) Send(to netip.AddrPort, p *wire.Parcel) (int, error) {
	data, err := p.MarshalVT()
	time.AfterFunc(testDelay, func() {
		received := &wire.Parcel{}
		if err := received.UnmarshalVT(data); err != nil {
			l.fleet.t.Error(err)
		}
		for i, b := range l.fleet.balancers {
			if peerAddress(i) == to && l.fleet.connected(l.from, to) {
				b.handleParcel(l.from, received, nil)
			}
		}
	})
	return len(data), err
}

var testCheckpoints = checkpoint.KeeperSettings{MaxValueSize: 1 << 16, FlowTTL: clock.Minute, WritesPerSecond: 100}

// runWatchFleet starts balancers in three failure domains, those of the first ranks first,
// runs do after a while, and stops them.
func runWatchFleet(t *testing.T, count int, do func(f *watchFleet)) {
	runStaggeredWatchFleet(t, count, 0, do)
}

// runStaggeredWatchFleet starts the balancers with a delay after each, those of the last
// ranks first.
func runStaggeredWatchFleet(t *testing.T, count int, stagger time.Duration, do func(f *watchFleet)) {
	runWatchFleetAt(t, 1, count, stagger, do)
}

// runWatchFleetAt is runStaggeredWatchFleet with the version that the store begins with.
func runWatchFleetAt(t *testing.T, version uint64, count int, stagger time.Duration, do func(f *watchFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &watchFleet{t: t, store: &watchedStore{
			version: version, changed: make(chan struct{}), waits: map[callKind]int{}, reads: map[callKind]int{},
		}}
		ctx, cancel := context.WithCancel(t.Context())
		var seeds []netip.AddrPort
		for i := range count {
			seeds = append(seeds, peerAddress(i))
		}
		system := clock.System()
		for i := range count {
			p, client := testPeer(i), storeClient{store: f.store, balancer: i}
			b := newBalancer(Settings{Name: p.Name, Domain: p.Domain, CPUShare: 100, Parcels: p.Address, Seeds: seeds, Checkpoint: testCheckpoints}, Deps{
				Codec: fakeCodec{}, Source: client, Evacuations: evacuationClient{storeClient{store: f.store, balancer: i, kind: evacuationCall}},
				Checkpoints: checkpointClient{client},
				Clock:       system, Log: zerolog.Nop(), Scope: tally.NoopScope,
			}, 1)
			b.parcelSender, b.callerWriter = watchLink{f, p.Address}, discardSender{t}
			b.fetchTable = f.fetchTable
			f.balancers = append(f.balancers, b)
		}
		var loops sync.WaitGroup
		for i := range f.balancers {
			f.isolated.Store(peerAddress(i), true)
		}
		for i, b := range slices.Backward(f.balancers) {
			f.isolated.Delete(peerAddress(i))
			loops.Go(func() { b.runTicker(ctx) })
			loops.Go(func() { b.syncConfig(ctx) })
			loops.Go(func() { b.syncEvacuations(ctx) })
			loops.Go(func() { b.runKeeper(ctx) })
			time.Sleep(stagger)
		}
		time.Sleep(10 * time.Second)
		do(f)
		cancel()
		loops.Wait()
	})
}

func (f *watchFleet) connected(a, b netip.AddrPort) bool {
	_, apart := f.partitioned.Load(a)
	_, other := f.partitioned.Load(b)
	return apart == other && !f.isIsolated(a) && !f.isIsolated(b)
}

func (f *watchFleet) isIsolated(at netip.AddrPort) bool {
	_, ok := f.isolated.Load(at)
	return ok
}

func (f *watchFleet) fetchTable(ctx context.Context, from netip.AddrPort, above uint64, _ time.Duration) (*routing.Table, error) {
	for i, b := range f.balancers {
		if peerAddress(i) != from {
			continue
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(2 * testDelay):
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		if t := b.steerer.Table(); t != nil && t.Version > above {
			return t, nil
		}
	}
	return nil, replication.ErrNoLaterVersion
}

// checkChange changes the configuration and the evacuations. All balancers that the store
// serves must know the configuration within configBound, and the evacuations soon after.
func (f *watchFleet) checkChange(when string) {
	f.t.Helper()
	f.store.change()
	version, _, _ := f.store.state(storeClient{})
	time.Sleep(configBound)
	for i, b := range f.balancers {
		if _, _, t := f.store.state(storeClient{balancer: i}); t != treatment.Served && t != treatment.Slow {
			continue
		}
		b.mu.Lock()
		if got := b.tableVersion(); got < version {
			f.t.Errorf("%s: balancer %d has version %d %v after version %d", when, i, got, configBound, version)
		}
		b.mu.Unlock()
	}
	time.Sleep(time.Second)
	for i, b := range f.balancers {
		if f.isIsolated(peerAddress(i)) {
			continue
		}
		b.mu.Lock()
		if got := b.steerer.Evacuations().Revision; got < version {
			f.t.Errorf("%s: balancer %d has evacuations %d, want %d", when, i, got, version)
		}
		b.mu.Unlock()
	}
}

// except treats all balancers in one way but serves the given ones.
func (f *watchFleet) except(t treatment.Treatment, serve ...int) map[int]treatment.Treatment {
	all := map[int]treatment.Treatment{}
	for i := range f.balancers {
		all[i] = t
	}
	for _, i := range serve {
		all[i] = treatment.Served
	}
	return all
}
