package checkpoints

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// backend is a store in memory. Answers are lost, and writes done late, on demand.
type backend struct {
	objects map[string]platform.Object
	version uint64
	lose    bool
	late    []func()
	away    bool
}

func newBackend() *backend {
	return &backend{objects: map[string]platform.Object{}, version: 5}
}

func (b *backend) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	if b.away {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, ok := b.objects[name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

func (b *backend) Peek(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	return b.Get(ctx, kind, name)
}

func (b *backend) Create(_ context.Context, _ platform.Kind, name string, spec any) (platform.Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return platform.Object{}, err
	}
	return b.write(platform.Object{Metadata: platform.Metadata{Name: name}, Spec: data})
}

func (b *backend) Update(_ context.Context, _ platform.Kind, o platform.Object) (platform.Object, error) {
	return b.write(o)
}

func (b *backend) write(o platform.Object) (platform.Object, error) {
	if b.away {
		return platform.Object{}, platform.ErrUnavailable
	}
	if b.lose {
		b.late = append(b.late, func() { _, _ = b.put(o) })
		return platform.Object{}, platform.ErrUnknown
	}
	return b.put(o)
}

func (b *backend) put(o platform.Object) (platform.Object, error) {
	old, ok := b.objects[o.Metadata.Name]
	switch {
	case o.Metadata.ResourceVersion == 0 && ok:
		return platform.Object{}, platform.ErrExists
	case o.Metadata.ResourceVersion != 0 && !ok:
		return platform.Object{}, platform.ErrNotFound
	case o.Metadata.ResourceVersion != old.Metadata.ResourceVersion:
		return platform.Object{}, platform.ErrConflict
	}
	b.version++
	o.Metadata.ResourceVersion = b.version
	b.objects[o.Metadata.Name] = o
	return o, nil
}

var agent = netip.MustParseAddrPort("10.0.0.1:7000")

func sheet(born uint64) *checkpoint.Shard {
	return &checkpoint.Shard{Count: 1, Entries: []checkpoint.Entry{{Agent: agent, Service: "one", Born: born, Writer: 1}}}
}

func wantBorn(t *testing.T, s *Store, want uint64) {
	t.Helper()
	e, err := s.Entry(t.Context(), agent)
	if err != nil || e.Born != want {
		t.Errorf("the entry is %+v, %v, want born %d", e, err, want)
	}
}

func TestWriteAndRead(t *testing.T) {
	b := newBackend()
	s := New(b, "d")
	if _, err := s.Entry(t.Context(), agent); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("no sheet: %v", err)
	}
	for born := uint64(1); born < 4; born++ {
		if err := s.Write(t.Context(), sheet(born)); err != nil {
			t.Fatal(err)
		}
		wantBorn(t, New(b, "d"), born)
	}
	if _, err := New(b, "other").Entry(t.Context(), agent); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("another domain: %v", err)
	}
}

// A keeper's write is carried out after it has lost power and another one has written:
// what that one wrote stays.
func TestLateWriteChangesNothing(t *testing.T) {
	b := newBackend()
	first := New(b, "d")
	if err := first.Write(t.Context(), sheet(1)); err != nil {
		t.Fatal(err)
	}
	b.lose = true
	if err := first.Write(t.Context(), sheet(2)); !errors.Is(err, platform.ErrUnknown) {
		t.Fatalf("lost: %v", err)
	}
	b.lose = false
	second := New(b, "d")
	if _, err := second.Load(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if err := second.Write(t.Context(), sheet(3)); err != nil {
		t.Fatal(err)
	}
	b.late[0]()
	wantBorn(t, second, 3)
}

// The answer to a write is lost, but it was carried out, also where it created the
// sheet: the next write finds a conflict, and the one after a load succeeds.
func TestLostAnswer(t *testing.T) {
	for _, there := range []bool{false, true} {
		b := newBackend()
		s := New(b, "d")
		if there {
			if err := s.Write(t.Context(), sheet(1)); err != nil {
				t.Fatal(err)
			}
		}
		b.lose = true
		if err := s.Write(t.Context(), sheet(2)); !errors.Is(err, platform.ErrUnknown) {
			t.Fatalf("lost: %v", err)
		}
		b.lose = false
		b.late[0]()
		if err := s.Write(t.Context(), sheet(3)); !errors.Is(err, platform.ErrConflict) {
			t.Errorf("there before %v: %v", there, err)
		}
		if got, err := s.Load(t.Context(), 0); err != nil || got.Entries[0].Born != 2 {
			t.Errorf("loaded %+v, %v", got, err)
		}
		if err := s.Write(t.Context(), sheet(3)); err != nil {
			t.Error(err)
		}
		wantBorn(t, s, 3)
	}
}

// Somebody has removed the sheet: it is created anew after a load.
func TestSheetRemoved(t *testing.T) {
	b := newBackend()
	s := New(b, "d")
	if err := s.Write(t.Context(), sheet(1)); err != nil {
		t.Fatal(err)
	}
	delete(b.objects, "d")
	if err := s.Write(t.Context(), sheet(2)); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("removed: %v", err)
	}
	if _, err := s.Load(t.Context(), 0); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("load: %v", err)
	}
	if err := s.Write(t.Context(), sheet(2)); err != nil {
		t.Error(err)
	}
}

// Another writer's object, or a later version's, lies there: an agent is told so. A
// keeper replaces the first and leaves the second alone.
func TestSheetsOfOthers(t *testing.T) {
	for _, c := range []struct {
		text string
		want error
	}{{`{"x":1}`, checkpoint.ErrUnreadable}, {`{"format":99}`, checkpoint.ErrFormat}} {
		b := newBackend()
		b.objects["d"] = platform.Object{Metadata: platform.Metadata{Name: "d", ResourceVersion: 3}, Spec: []byte(c.text)}
		s := New(b, "d")
		if _, err := s.Entry(t.Context(), agent); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
		if _, err := s.Load(t.Context(), 0); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
		if err := s.Write(t.Context(), sheet(2)); err != nil {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}

// A domain's entries are spread over several objects: each agent finds its own.
func TestShards(t *testing.T) {
	b := newBackend()
	s := New(b, "d")
	const shards = 4
	for i := range 40 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		shard := checkpoint.ShardOf(a, shards)
		sheet, err := s.Load(t.Context(), shard)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			t.Fatal(err)
		}
		sheet.Count, sheet.Index = shards, shard
		sheet.Entries = append(sheet.Entries, checkpoint.Entry{Agent: a, Born: uint64(i + 1)})
		if err := s.Write(t.Context(), &sheet); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 40 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		if e, err := New(b, "d").Entry(t.Context(), a); err != nil || e.Born != uint64(i+1) {
			t.Errorf("agent %d: %+v, %v", i, e, err)
		}
	}
}
