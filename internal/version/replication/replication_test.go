package replication

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// newTable returns a table whose listeners have the given limits, in milliseconds; no listener
// where that is zero.
func newTable(t testing.TB, version uint64, limits []int) *routing.Table {
	t.Helper()
	table := &routing.Table{Version: version, Revision: 3 * version, IdleTimeout: clock.Minute}
	for i, limit := range limits {
		if limit == 0 {
			continue
		}
		table.Listeners = append(table.Listeners, &routing.Listener{
			Name: fmt.Sprint("route-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares: []routing.Share{{Service: fmt.Sprint("s", i%5), Weight: 1}},
			Class:  &routing.Class{Limit: clock.Millis(limit)},
		})
	}
	if err := table.Check(); err != nil {
		t.Fatal(err)
	}
	return table
}

func limits(count, limit int) []int {
	all := make([]int, count)
	for i := range all {
		all[i] = limit
	}
	return all
}

// link counts what goes over it, and may spoil answers.
type link struct {
	source           *routing.Table
	archive          Archive
	bytes, listeners int
	spoil            func([]byte) []byte
}

func (l *link) count(messages ...proto.Message) {
	for _, m := range messages {
		l.bytes += proto.Size(m)
	}
}

// read runs a transfer until it has a table or fails.
func (l *link) read(x *Transfer, base *routing.Table, above uint64) (*routing.Table, error) {
	question := x.Question(base, above)
	compared, err := Compare(l.source, question)
	if err != nil {
		return nil, err
	}
	l.count(question, compared)
	if err := x.Begin(base, compared); err != nil {
		return nil, err
	}
	for !x.Complete() {
		if err := l.readSome(x); err != nil {
			return nil, err
		}
	}
	return x.Finish(base)
}

var errNoProgress = errors.New("no progress")

func (l *link) readSome(x *Transfer) error {
	question := x.Next()
	answer, err := Collect(l.source, &l.archive, question)
	if err != nil {
		return err
	}
	l.count(question, answer)
	if l.spoil != nil {
		answer.Listeners = l.spoil(answer.Listeners)
	}
	added, err := x.Add(answer)
	l.listeners += added
	if err == nil && added == 0 {
		return errNoProgress
	}
	return err
}

func sameTable(t testing.TB, a, b *routing.Table) {
	t.Helper()
	first, err := a.Digest()
	if err != nil {
		t.Fatal(err)
	}
	second, err := b.Digest()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first, second) || len(a.Listeners) != len(b.Listeners) {
		t.Errorf("versions %d and %d differ", a.Version, b.Version)
	}
	for _, l := range a.Listeners {
		if other, ok := b.Listener(l.Address); !ok || fmt.Sprint(*l.Class, l.Shares, l.Name) != fmt.Sprint(*other.Class, other.Shares, other.Name) {
			t.Errorf("listener %s differs", l.Name)
		}
	}
}

// A change of one route must not cost more in a table of eight times the size: what it costs
// at all must stay below a bound, or small balancers fall behind as the table grows.
func TestCostOfChangeGrowsWithChange(t *testing.T) {
	const maxBytes = 4096
	for _, size := range []int{400, 3300} {
		all := limits(size, 1000)
		base := newTable(t, 1, all)
		all[size/2] = 2000
		l := link{source: newTable(t, 9, all)}
		got, err := l.read(&Transfer{}, base, 1)
		if err != nil {
			t.Fatal(err)
		}
		sameTable(t, got, l.source)
		t.Logf("%d listeners: %d bytes", size, l.bytes)
		if l.bytes > maxBytes || l.listeners != 1 {
			t.Errorf("%d listeners: a change took %d bytes and %d listeners", size, l.bytes, l.listeners)
		}
	}
}

// The source activates another version whenever a few listeners have arrived. What has arrived
// is not asked for again, or a reader on a slow link never ends.
func TestTransferEndsWhileVersionsChange(t *testing.T) {
	all := limits(3000, 1000)
	l, x := link{source: newTable(t, 1, all)}, Transfer{}
	var got *routing.Table
	for version := uint64(2); got == nil && version < 200; version++ {
		all[version] = 2000
		l.source = newTable(t, version, all)
		compared, err := Compare(l.source, x.Question(nil, 0))
		if err != nil {
			t.Fatal(err)
		}
		if err = errors.Join(x.Begin(nil, compared), l.readSome(&x)); err != nil {
			t.Fatal(err)
		}
		if x.Complete() {
			if got, err = x.Finish(nil); err != nil {
				t.Fatal(err)
			}
		}
	}
	if got == nil {
		t.Fatalf("no table although %d listeners came", l.listeners)
	}
	sameTable(t, got, l.source)
	if l.listeners > 3000+200 {
		t.Errorf("%d listeners for a table of 3000", l.listeners)
	}
}

// A damaged, repeated or truncated answer must never lead to a table that the source does not
// have, whatever the reader had before.
func FuzzTransfer(f *testing.F) {
	f.Add(uint64(1), []byte{})
	f.Add(uint64(2), []byte{7, 0, 255})
	f.Add(uint64(3), []byte("truncated"))
	f.Fuzz(func(t *testing.T, seed uint64, damage []byte) {
		random := rand.New(rand.NewPCG(seed, 1))
		states := limits(random.IntN(300), 1000)
		base, spoiled := newTable(t, 1, states), 0
		for i := range states {
			states[i] = []int{states[i], states[i], 0, 3000}[random.IntN(4)]
		}
		l := link{source: newTable(t, 2, states), spoil: func(data []byte) []byte {
			if spoiled >= len(damage) || len(data) == 0 {
				return data
			}
			at := random.IntN(len(data))
			data[at] ^= damage[spoiled]
			spoiled++
			return data[:max(at, len(data)/2)]
		}}
		x := &Transfer{}
		for range len(damage) + 1 {
			got, err := l.read(x, base, 1)
			if err != nil {
				continue
			}
			sameTable(t, got, l.source)
			return
		}
		if _, err := l.read(x, base, 1); err != nil {
			t.Errorf("no table over a link that is well again: %v", err)
		}
	})
}

// An answer that lies about the table as a whole ends in a mismatch, not in a table.
func TestMismatchIsFound(t *testing.T) {
	base, source := newTable(t, 1, limits(50, 1000)), newTable(t, 2, limits(60, 2000))
	x := &Transfer{}
	compared, err := Compare(source, x.Question(base, 1))
	if err != nil {
		t.Fatal(err)
	}
	compared.Parts = compared.Parts[1:]
	if err := x.Begin(base, compared); err != nil {
		t.Fatal(err)
	}
	for !x.Complete() {
		answer, err := Collect(source, &Archive{}, x.Next())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := x.Add(answer); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := x.Finish(base); !errors.Is(err, ErrMismatch) {
		t.Errorf("a table without a part: %v", err)
	}
	reordered := &wire.TablePart{Number: compared.Parts[0].Number, Hashes: slices.Concat(compared.Parts[0].Hashes, compared.Parts[0].Hashes)}
	if err := x.Begin(base, &wire.TableCompared{Parts: []*wire.TablePart{reordered}}); !errors.Is(err, ErrMalformed) {
		t.Errorf("a part with hashes out of order: %v", err)
	}
	if err := x.Begin(base, &wire.TableCompared{Parts: []*wire.TablePart{{Number: routing.PartCount}}}); !errors.Is(err, ErrMalformed) {
		t.Errorf("a part that there is not: %v", err)
	}
}
