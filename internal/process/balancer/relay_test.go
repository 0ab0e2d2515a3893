//go:build !race

package balancer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/standin/treatment"
	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/key"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

const (
	// inForceBound is the time within which a version must be in force everywhere.
	inForceBound = 4 * time.Second
	// testDelay is the delay of a call to a peer.
	testDelay = 4 * time.Millisecond
)

// relayStore is the store of a relayFleet. It has one configuration without services.
type relayStore struct {
	mu         sync.Mutex
	root       config.Root
	changed    chan struct{}
	treatments map[string]treatment.Treatment
	processes  []platform.Object
	calls      int
	// revision is that of the store, and oldest the first one from which a watch can start.
	revision, oldest uint64
	rootRevision     uint64
	// connections counts how often all open connections have gone silent.
	connections int
}

// write changes other objects of the store, whose history then reaches back to these changes
// only.
func (s *relayStore) write(count uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += count
	s.oldest = s.revision
}

// silenceConnections makes all open connections silent, while new ones work.
func (s *relayStore) silenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections++
	s.wake()
}

// watchState returns what a watch depends on.
func (s *relayStore) watchState() (rootRevision, oldest uint64, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rootRevision, s.oldest, s.connections
}

func (s *relayStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *relayStore) treat(treatments map[string]treatment.Treatment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.treatments = treatments
	s.wake()
}

// change puts the next version into the store and returns it.
func (s *relayStore) change() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := s.root
	s.root.SetNextVersion(&base, config.Change{ID: fmt.Sprint(base.Version)})
	s.revision++
	s.rootRevision = s.revision
	s.wake()
	return s.root.Version
}

func (s *relayStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *relayStore) state(name string) (config.Root, <-chan struct{}, treatment.Treatment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.root, s.changed, s.treatments[name]
}

// relayClient is the store as a balancer sees it.
type relayClient struct {
	*relayStore
	name string
}

// answer waits until the store answers.
func (c relayClient) answer(ctx context.Context) (config.Root, error) {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.mu.Lock()
	c.calls++
	c.mu.Unlock()
	root, _, t := c.state(c.name)
	return root, t.Answer(ctx, treatment.Current)
}

func (c relayClient) Get(ctx context.Context, _ platform.Kind, name string) (platform.Object, error) {
	root, err := c.answer(ctx)
	if err != nil {
		return platform.Object{}, err
	}
	if name != approval.RootName {
		return platform.Object{}, platform.ErrNotFound
	}
	return c.rootObject(root)
}

func (c relayClient) rootObject(root config.Root) (platform.Object, error) {
	data, err := json.Marshal(root)
	revision, _, _ := c.watchState()
	return platform.Object{Metadata: platform.Metadata{Name: approval.RootName, ResourceVersion: revision}, Spec: data}, err
}

func (c relayClient) List(ctx context.Context, kind platform.Kind) (platform.List, error) {
	root, err := c.answer(ctx)
	if err != nil {
		return platform.List{}, err
	}
	o, err := c.rootObject(root)
	c.mu.Lock()
	defer c.mu.Unlock()
	list := platform.List{Metadata: platform.Metadata{ResourceVersion: c.revision}, Items: c.processes}
	if kind == platform.Configurations {
		list.Items = []platform.Object{o}
	}
	return list, err
}

func (c relayClient) Create(ctx context.Context, _ platform.Kind, name string, spec any) (platform.Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return platform.Object{}, err
	}
	o := platform.Object{Metadata: platform.Metadata{Name: name}, Spec: data}
	_, err = c.answer(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, o)
	return o, err
}

func (c relayClient) Update(_ context.Context, _ platform.Kind, o platform.Object) (platform.Object, error) {
	return o, nil
}

func (c relayClient) Delete(context.Context, platform.Kind, platform.Object) error { return nil }

func (c relayClient) Watch(ctx context.Context, _ platform.Kind, after uint64, each func(platform.Event) error) error {
	_, oldest, connection := c.watchState()
	if _, err := c.answer(ctx); err != nil {
		return err
	}
	if after < oldest {
		return platform.ErrGone
	}
	for {
		_, changed, t := c.state(c.name)
		rootRevision, _, connections := c.watchState()
		switch {
		case t == treatment.Refused:
			return platform.ErrUnavailable
		case t == treatment.Silent, connection != connections:
			<-ctx.Done()
			return platform.ErrUnavailable
		case rootRevision > after:
			return each(platform.Event{Type: platform.Modified})
		}
		select {
		case <-ctx.Done():
			return platform.ErrUnavailable
		case <-changed:
		}
	}
}

// relayFleet is a number of balancers whose control paths run without a network, in the time
// of a synctest bubble.
type relayFleet struct {
	t         *testing.T
	store     *relayStore
	balancers []*Balancer
	// partitioned has the balancers that reach each other only.
	partitioned sync.Map
}

// relayCaller makes the calls of one balancer.
type relayCaller struct {
	*relayFleet
	from netip.AddrPort
}

// Call calls the balancer at an address.
func (f relayCaller) Call(ctx context.Context, to netip.AddrPort, m control.Method, request, reply any) error {
	_, apart := f.partitioned.Load(f.from)
	_, other := f.partitioned.Load(to)
	delay := time.After(testDelay)
	if apart != other {
		delay = nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-delay:
	}
	params, err := json.Marshal(request)
	if err != nil {
		return err
	}
	for _, b := range f.balancers {
		if b.self.Control != to {
			continue
		}
		answer, err := b.Handle(ctx, m, params)
		if err != nil {
			return err
		}
		data, err := json.Marshal(answer)
		if err != nil {
			return err
		}
		return json.Unmarshal(data, reply)
	}
	return control.ErrRefused
}

func (f *relayFleet) Drop(netip.AddrPort) {}

func (f *relayFleet) Close() {}

// runRelayFleet starts balancers in two failure domains, runs do after a while, and stops
// them.
func runRelayFleet(t *testing.T, count int, do func(f *relayFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ring, err := key.Parse(key.Generate())
		if err != nil {
			t.Fatal(err)
		}
		f := &relayFleet{t: t, store: &relayStore{changed: make(chan struct{})}}
		f.store.change()
		var peers []netip.AddrPort
		for i := range count {
			peers = append(peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000))
		}
		ctx, cancel := context.WithCancel(t.Context())
		for i := range count {
			name, domain := fmt.Sprintf("b%02d", i), fmt.Sprint("d", i%2)
			b, err := New(Settings{Name: name, Domain: domain, Peers: peers, Tunnel: local, MTU: 1500}, Deps{
				Ring: ring, Store: relayClient{f.store, name}, Clock: clock.System(), Log: zerolog.Nop(), Scope: tally.NoopScope,
				ControlClient: relayCaller{f, peers[i]},
			})
			if err != nil {
				t.Fatal(err)
			}
			b.self = member.Member{
				Key: member.Key{Kind: member.Balancer, Name: name}, Domain: domain, Control: peers[i], Incarnation: 1, Sequence: 1, State: member.Alive,
			}
			f.balancers = append(f.balancers, b)
		}
		for _, b := range f.balancers {
			b.run(ctx, func(ctx context.Context) {
				b.join(ctx)
				b.startControl(ctx)
			})
		}
		time.Sleep(10 * time.Second)
		do(f)
		cancel()
		for _, b := range f.balancers {
			b.Kill()
		}
	})
}

// relays returns the names of the balancers that watch the platform.
func (f *relayFleet) relays() []string {
	var all []string
	for _, b := range f.balancers {
		if b.IsRelay() {
			all = append(all, b.settings.Name)
		}
	}
	return all
}

// checkChange changes the configuration, which all balancers must have within inForceBound.
func (f *relayFleet) checkChange(when string) {
	f.t.Helper()
	version := f.store.change()
	time.Sleep(inForceBound)
	for _, b := range f.balancers {
		if got := b.Version(); got < version {
			f.t.Errorf("%s: %s has version %d %v after version %d", when, b.settings.Name, got, inForceBound, version)
		}
	}
}

// The store fails for all balancers that watch it and serves the others; nobody reads the
// configuration.
func TestServedBalancersBecomeRelays(t *testing.T) {
	for name, how := range map[string]treatment.Treatment{"silent": treatment.Silent, "refused": treatment.Refused} {
		for phase := range 5 {
			t.Run(fmt.Sprint(name, phase), func(t *testing.T) {
				runRelayFleet(t, 12, func(f *relayFleet) {
					time.Sleep(time.Duration(phase) * 290 * time.Millisecond)
					f.store.treat(f.treatRelays(how))
					time.Sleep(10 * time.Millisecond)
					f.checkChange("partial outage")
					time.Sleep(5 * time.Second)
					f.checkChange("for a while")
					f.store.treat(f.treatRelays(how))
					f.checkChange("those that took over")
					f.store.treat(nil)
					time.Sleep(10 * time.Second)
					f.checkChange("at the end")
					if relays := f.relays(); len(relays) != 4 {
						t.Errorf("relays at the end: %v", relays)
					}
				})
			})
		}
	}
}

// The platform answers so slowly that pings time out; versions must not stay out of force for
// as long as that lasts.
func TestRelaysOfSlowPlatform(t *testing.T) {
	runRelayFleet(t, 12, func(f *relayFleet) {
		f.store.treat(f.treatAll(treatment.VerySlow))
		time.Sleep(10 * time.Second)
		for range 5 {
			f.checkChange("slow")
		}
	})
}

// The platform stops answering all balancers; all of them crowd at it.
func TestNoCrowdAtPlatform(t *testing.T) {
	const count, period = 40, 20 * time.Second
	runRelayFleet(t, count, func(f *relayFleet) {
		f.store.treat(f.treatAll(treatment.Refused))
		time.Sleep(5 * time.Second)
		before := f.store.callCount()
		time.Sleep(period)
		// The first two of each failure domain try twice a second at most, the others every
		// two seconds.
		limit := (4*2 + (count-4)/2) * int(period/time.Second)
		if calls := f.store.callCount() - before; calls > limit {
			t.Errorf("%d calls in %v, want at most %d", calls, period, limit)
		}
	})
}

// Balancers are cut off from the others for so long that both sides remove the records of the
// other one. They must know each other again soon after.
func TestBalancersMeetAfterPartition(t *testing.T) {
	for name, isolated := range map[string]int{"one": 1, "half": 3} {
		for _, minutes := range []int{2, 10} {
			t.Run(fmt.Sprint(name, minutes), func(t *testing.T) {
				runRelayFleet(t, 6, func(f *relayFleet) {
					for _, b := range f.balancers[:isolated] {
						f.partitioned.Store(b.self.Control, true)
					}
					time.Sleep(time.Duration(minutes) * time.Minute)
					f.partitioned.Clear()
					time.Sleep(time.Minute)
					for _, b := range f.balancers {
						b.mu.Lock()
						known := b.table.Filter(func(m *member.Member) bool { return m.Live() })
						b.mu.Unlock()
						if len(known) != len(f.balancers) {
							t.Errorf("%s knows %d of %d balancers", b.settings.Name, len(known), len(f.balancers))
						}
					}
				})
			})
		}
	}
}

// All connections that are open go silent for good while new ones work, as when something
// between the two ends has lost track of them; a version that comes then must be read in time.
func TestSilentConnectionsAreRenewed(t *testing.T) {
	runRelayFleet(t, 12, func(f *relayFleet) {
		for i := range 5 {
			time.Sleep(time.Duration(i) * 370 * time.Millisecond)
			f.store.silenceConnections()
			time.Sleep(10 * time.Millisecond)
			f.checkChange("silent connections")
		}
	})
}

// The platform's history no longer reaches back to the last change of the root. Relays read
// the root and try to watch from there over and over.
func TestLostHistoryCausesNoCrowd(t *testing.T) {
	const period, relays = 30 * time.Second, 4
	runRelayFleet(t, 12, func(f *relayFleet) {
		f.store.write(1000)
		// Open watches end, and begin anew.
		f.store.treat(f.treatAll(treatment.Refused))
		time.Sleep(100 * time.Millisecond)
		f.store.treat(nil)
		time.Sleep(10 * time.Second)
		before := f.store.callCount()
		time.Sleep(period)
		if calls, limit := f.store.callCount()-before, relays*2*int(period/time.Second); calls > limit {
			t.Errorf("%d calls in %v, want at most %d", calls, period, limit)
		}
		f.checkChange("lost history")
	})
}

// treatAll treats all balancers in one way.
func (f *relayFleet) treatAll(how treatment.Treatment) map[string]treatment.Treatment {
	all := map[string]treatment.Treatment{}
	for _, b := range f.balancers {
		all[b.settings.Name] = how
	}
	return all
}

// treatRelays treats the balancers that watch the platform in one way and serves the others.
func (f *relayFleet) treatRelays(how treatment.Treatment) map[string]treatment.Treatment {
	all := map[string]treatment.Treatment{}
	for _, name := range f.relays() {
		all[name] = how
	}
	return all
}
