package streambalancer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// inForceBound is the time within which a version must be in force everywhere.
const inForceBound = 4 * time.Second

// slowListener accepts connections whose writes leave at a limited rate, in bytes per second.
type slowListener struct {
	net.Listener
	rate int
	// cutAfter cuts a connection after so many bytes; never if zero.
	cutAfter int
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{Conn: conn, link: l}, err
}

type slowConn struct {
	net.Conn
	link slowListener
	sent int
}

func (c *slowConn) Write(data []byte) (int, error) {
	const frame = 1200
	written := 0
	for written < len(data) {
		if c.link.cutAfter > 0 && c.sent >= c.link.cutAfter {
			_ = c.Close()
		}
		n, err := c.Conn.Write(data[written:min(written+frame, len(data))])
		written += n
		c.sent += n
		if err != nil {
			return written, err
		}
		time.Sleep(time.Second * time.Duration(n) / time.Duration(c.link.rate))
	}
	return written, nil
}

// discard is a parcel sender without a network.
type discard struct{}

func (discard) Send(netip.AddrPort, *wire.Parcel) (int, error) { return 0, nil }

// absentSource is a platform that answers nobody.
type absentSource struct{}

func (absentSource) Read(context.Context) (*routing.Table, error) {
	return nil, platform.ErrUnavailable
}

func (absentSource) Wait(context.Context, uint64, time.Duration, func()) (Change, error) {
	return Change{}, platform.ErrUnavailable
}

func (absentSource) Ping(context.Context) error { return platform.ErrUnavailable }

// largeTable returns a table with a number of listeners, of which the first ones have changed
// since a base version.
func largeTable(t testing.TB, version uint64, listeners, changed int) *routing.Table {
	t.Helper()
	table := &routing.Table{Version: version, Revision: version, IdleTimeout: clock.Minute}
	for i := range listeners {
		limit := clock.Second
		if i < changed {
			limit += clock.Millis(version)
		}
		table.Listeners = append(table.Listeners, &routing.Listener{
			Name:    fmt.Sprintf("route-%05d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares:  []routing.Share{{Service: fmt.Sprintf("service-%02d", i%12), Weight: 1}},
			Class:   &routing.Class{Priority: i % 3, Objective: 200, Limit: limit},
		})
	}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	return table
}

// linkedPair is a balancer that reads its versions from another one over a slow link.
type linkedPair struct {
	source, reader *Balancer
}

// newLinkedPair starts the exchange between two balancers without sockets for packets.
func newLinkedPair(t *testing.T, link slowListener) *linkedPair {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	link.Listener = l
	newTestBalancer := func(name string) *Balancer {
		b := newBalancer(Settings{Name: name, Domain: "d", FlowTTL: clock.Minute, Parcels: peerAddress(0)},
			Deps{Source: absentSource{}, Clock: clock.System(), Log: zerolog.New(zerolog.NewTestWriter(t)), Scope: tally.NoopScope}, 1)
		b.parcelSender = discard{}
		return b
	}
	x := &linkedPair{source: newTestBalancer("source"), reader: newTestBalancer("reader")}
	x.source.tableListener = link
	ctx, cancel := context.WithCancel(context.Background())
	x.source.background.Go(func() { x.source.serveTables(ctx) })
	x.reader.background.Go(func() { x.reader.syncConfig(ctx) })
	x.reader.background.Go(func() { x.announce(ctx, l.Addr().(*net.TCPAddr).AddrPort()) })
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
		x.source.background.Wait()
		x.reader.background.Wait()
	})
	return x
}

// announce has the reader hear of the source's version, as from its news.
func (x *linkedPair) announce(ctx context.Context, source netip.AddrPort) {
	self := newContact(source, "source", "d", "")
	for ctx.Err() == nil {
		x.source.mu.Lock()
		version := x.source.tableVersion()
		x.source.mu.Unlock()
		x.reader.mu.Lock()
		x.reader.handleNews(x.reader.deps.Clock.Now(), source, &wire.News{Self: self, Epoch: 1, Version: version, Watching: true})
		x.reader.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

// activate puts a table in force at a balancer.
func activate(b *Balancer, table *routing.Table) {
	b.applyTable(table, nil, "platform")
}

// awaitVersion returns how long the reader takes for a version.
func (x *linkedPair) awaitVersion(t *testing.T, version uint64) {
	t.Helper()
	startedAt := time.Now()
	for {
		x.reader.mu.Lock()
		got := x.reader.tableVersion()
		x.reader.mu.Unlock()
		if got >= version {
			return
		}
		if time.Since(startedAt) > inForceBound {
			t.Fatalf("version %d is in force after %v, not %d", got, inForceBound, version)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A large table does not fit through a busy link within the time of one call, and a balancer
// that throws away what it has got keeps its old version for as long as the link is busy.
func TestLargeTableArrivesOverBusyLink(t *testing.T) {
	t.Parallel()
	x := newLinkedPair(t, slowListener{rate: 150_000})
	activate(x.reader, largeTable(t, 16, 2000, 0))
	activate(x.source, largeTable(t, 24, 3300, 0))
	x.awaitVersion(t, 24)
}

// One route changes in a large table. A balancer with little room on its link must not need
// the whole table for that.
func TestSmallChangeOfLargeTableArrivesOverFullLink(t *testing.T) {
	t.Parallel()
	x := newLinkedPair(t, slowListener{rate: 10_000})
	activate(x.reader, largeTable(t, 16, 3300, 0))
	activate(x.source, largeTable(t, 24, 3300, 1))
	x.awaitVersion(t, 24)
}

// Connections that are cut after a part of the table must still bring a version closer.
func TestCutTransfersMakeProgress(t *testing.T) {
	t.Parallel()
	x := newLinkedPair(t, slowListener{rate: 2_000_000, cutAfter: 100_000})
	activate(x.reader, largeTable(t, 16, 2000, 0))
	activate(x.source, largeTable(t, 30, 3300, 0))
	x.awaitVersion(t, 30)
}

// A balancer that has just started gives a peer little time to begin, as another one may
// answer sooner. That must not be the time for the whole table.
func TestStartingBalancerGetsLargeTableOverBusyLink(t *testing.T) {
	t.Parallel()
	x := newLinkedPair(t, slowListener{rate: 300_000})
	activate(x.source, largeTable(t, 24, 3300, 0))
	x.awaitVersion(t, 24)
}

// Versions come faster than a busy link carries a table. A reader that begins anew with each
// of them, or that takes them one by one, falls behind until the storm is over.
func TestStormOfVersionsArrivesOverBusyLink(t *testing.T) {
	t.Parallel()
	x := newLinkedPair(t, slowListener{rate: 100_000})
	activate(x.reader, largeTable(t, 100, 3300, 0))
	for version := uint64(101); version <= 130; version++ {
		activate(x.source, largeTable(t, version, 3300, int(version)))
		time.Sleep(100 * time.Millisecond)
		if latest, age := x.reader.behind(); age.Duration() > inForceBound/2 {
			t.Fatalf("version %d has been known for %d ms", latest, age)
		}
	}
	x.awaitVersion(t, 130)
}

// While a fleet is upgraded, balancers of the last build know only whole tables: they must get
// them from those of this build, and give them to those.
func TestTablesPassBetweenBuilds(t *testing.T) {
	t.Parallel()
	x := newLinkedPair(t, slowListener{rate: 10_000_000})
	activate(x.source, largeTable(t, 24, 400, 0))
	conn, err := net.Dial("tcp4", x.source.tableListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	old := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(x.source.handleTableRequest))
	defer func() { _ = old.Close() }()
	got, err := fetchWhole(ctx, old, 9)
	if err != nil || got.Version != 24 || len(got.Listeners) != 400 {
		t.Errorf("the last build gets %+v, %v", got, err)
	}
	near, far := net.Pipe()
	oldSource := jsonrpc2.HandlerWithError(func(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		if r.Method != methodTable {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
		}
		return x.source.handleTableRequest(ctx, c, r)
	})
	source := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(far), oldSource)
	defer func() { _ = source.Close() }()
	reader := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(near), oldSource)
	defer func() { _ = reader.Close() }()
	got, err = x.reader.readTableFrom(ctx, reader, 9)
	if err != nil || got.Version != 24 || len(got.Listeners) != 400 {
		t.Errorf("from the last build: %+v, %v", got, err)
	}
}

// arrivingSource is a platform whose answer to a wait fills the link: it arrives for a while,
// and pings are lost beside it.
type arrivingSource struct {
	absentSource
	table *routing.Table
}

func (s arrivingSource) Wait(ctx context.Context, _ uint64, _ time.Duration, receiving func()) (Change, error) {
	for range 30 {
		select {
		case <-ctx.Done():
			return Change{}, platform.ErrUnavailable
		case <-time.After(100 * time.Millisecond):
			receiving()
		}
	}
	return Change{Table: s.table, Revision: s.table.Revision}, nil
}

// The watcher's answer takes longer than its lease. Cut off by the watch that renews itself by
// pings only, the answer would be asked for again and again, by one watcher after the other.
func TestArrivingAnswerRenewsWatch(t *testing.T) {
	t.Parallel()
	b := newBalancer(Settings{Name: "b", Domain: "d", Parcels: peerAddress(0), FlowTTL: clock.Minute},
		Deps{Source: arrivingSource{table: largeTable(t, 9, 1, 0)}, Clock: clock.System(), Log: zerolog.Nop(), Scope: tally.NoopScope}, 1)
	b.parcelSender = discard{}
	first := largeTable(t, 4, 1, 0)
	activate(b, first)
	b.setWatching(true)
	if _, ok := b.watchTable(t.Context(), first); !ok || b.currentTable().Version != 9 || !b.watching {
		t.Errorf("version %d, watching %v", b.currentTable().Version, b.watching)
	}
}
