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

// fakeBackend is an in-memory store. With loseResponses writes return ErrUnknown and are
// queued in delayed; with unavailable all calls fail.
type fakeBackend struct {
	objects       map[string]platform.Object
	version       uint64
	loseResponses bool
	delayed       []func()
	unavailable   bool
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{objects: map[string]platform.Object{}, version: 5}
}

func (b *fakeBackend) Get(_ context.Context, _ platform.Kind, name string) (platform.Object, error) {
	if b.unavailable {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, ok := b.objects[name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return o, nil
}

func (b *fakeBackend) Peek(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	return b.Get(ctx, kind, name)
}

func (b *fakeBackend) Create(_ context.Context, _ platform.Kind, name string, spec any) (platform.Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return platform.Object{}, err
	}
	return b.write(platform.Object{Metadata: platform.Metadata{Name: name}, Spec: data})
}

func (b *fakeBackend) Update(_ context.Context, _ platform.Kind, o platform.Object) (platform.Object, error) {
	return b.write(o)
}

func (b *fakeBackend) write(o platform.Object) (platform.Object, error) {
	if b.unavailable {
		return platform.Object{}, platform.ErrUnavailable
	}
	if b.loseResponses {
		b.delayed = append(b.delayed, func() { _, _ = b.put(o) })
		return platform.Object{}, platform.ErrUnknown
	}
	return b.put(o)
}

func (b *fakeBackend) put(o platform.Object) (platform.Object, error) {
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

var testAgent = netip.MustParseAddrPort("10.0.0.1:7000")

func newShard(born uint64) *checkpoint.Shard {
	return &checkpoint.Shard{Count: 1, Entries: []checkpoint.Entry{{Agent: testAgent, Service: "one", Born: born, Writer: 1}}}
}

func checkBorn(t *testing.T, s *Store, want uint64) {
	t.Helper()
	e, err := s.Entry(t.Context(), testAgent)
	if err != nil || e.Born != want {
		t.Errorf("got entry %+v, %v, want born %d", e, err, want)
	}
}

func TestWriteAndRead(t *testing.T) {
	b := newFakeBackend()
	s := New(b, "d")
	if _, err := s.Entry(t.Context(), testAgent); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("Entry without a shard: %v", err)
	}
	for born := uint64(1); born < 4; born++ {
		if err := s.Write(t.Context(), newShard(born)); err != nil {
			t.Fatal(err)
		}
		checkBorn(t, New(b, "d"), born)
	}
	if _, err := New(b, "other").Entry(t.Context(), testAgent); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("Entry of another domain: %v", err)
	}
}

// A keeper loses power, and its last write is applied only after another keeper has
// written. It must not overwrite the newer shard.
func TestDelayedWriteIsRejected(t *testing.T) {
	b := newFakeBackend()
	first := New(b, "d")
	if err := first.Write(t.Context(), newShard(1)); err != nil {
		t.Fatal(err)
	}
	b.loseResponses = true
	if err := first.Write(t.Context(), newShard(2)); !errors.Is(err, platform.ErrUnknown) {
		t.Fatalf("write with a lost response: %v", err)
	}
	b.loseResponses = false
	second := New(b, "d")
	if _, err := second.Load(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	if err := second.Write(t.Context(), newShard(3)); err != nil {
		t.Fatal(err)
	}
	b.delayed[0]()
	checkBorn(t, second, 3)
}

// The response to a write is lost although it was applied, also if it created the shard.
// The next write returns a conflict, and the one after a load succeeds.
func TestLostResponse(t *testing.T) {
	for _, exists := range []bool{false, true} {
		b := newFakeBackend()
		s := New(b, "d")
		if exists {
			if err := s.Write(t.Context(), newShard(1)); err != nil {
				t.Fatal(err)
			}
		}
		b.loseResponses = true
		if err := s.Write(t.Context(), newShard(2)); !errors.Is(err, platform.ErrUnknown) {
			t.Fatalf("write with a lost response: %v", err)
		}
		b.loseResponses = false
		b.delayed[0]()
		if err := s.Write(t.Context(), newShard(3)); !errors.Is(err, platform.ErrConflict) {
			t.Errorf("shard existed before %v: %v, want a conflict", exists, err)
		}
		if got, err := s.Load(t.Context(), 0); err != nil || got.Entries[0].Born != 2 {
			t.Errorf("loaded %+v, %v, want born 2", got, err)
		}
		if err := s.Write(t.Context(), newShard(3)); err != nil {
			t.Error(err)
		}
		checkBorn(t, s, 3)
	}
}

// The shard was removed from the store. The write returns a conflict, and the one after a
// load creates the shard again.
func TestRemovedShardIsCreatedAgain(t *testing.T) {
	b := newFakeBackend()
	s := New(b, "d")
	if err := s.Write(t.Context(), newShard(1)); err != nil {
		t.Fatal(err)
	}
	delete(b.objects, "d")
	if err := s.Write(t.Context(), newShard(2)); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("write after removal: %v", err)
	}
	if _, err := s.Load(t.Context(), 0); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("load after removal: %v", err)
	}
	if err := s.Write(t.Context(), newShard(2)); err != nil {
		t.Error(err)
	}
}

// The stored object is not a shard, or has the format of a later version. Entry and Load
// return the matching error, and a write replaces the object. A keeper does so only with
// the former.
func TestUnreadableShard(t *testing.T) {
	for _, c := range []struct {
		text string
		want error
	}{{`{"x":1}`, checkpoint.ErrUnreadable}, {`{"format":99}`, checkpoint.ErrFormat}} {
		b := newFakeBackend()
		b.objects["d"] = platform.Object{Metadata: platform.Metadata{Name: "d", ResourceVersion: 3}, Spec: []byte(c.text)}
		s := New(b, "d")
		if _, err := s.Entry(t.Context(), testAgent); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
		if _, err := s.Load(t.Context(), 0); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.text, err)
		}
		if err := s.Write(t.Context(), newShard(2)); err != nil {
			t.Errorf("%s: %v", c.text, err)
		}
	}
}

// The entries of a domain are spread over several objects, and each agent finds its own.
func TestShards(t *testing.T) {
	b := newFakeBackend()
	s := New(b, "d")
	const shards = 4
	for i := range 40 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		index := checkpoint.ShardOf(a, shards)
		shard, err := s.Load(t.Context(), index)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			t.Fatal(err)
		}
		shard.Count, shard.Index = shards, index
		shard.Entries = append(shard.Entries, checkpoint.Entry{Agent: a, Born: uint64(i + 1)})
		if err := s.Write(t.Context(), &shard); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 40 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
		if e, err := New(b, "d").Entry(t.Context(), a); err != nil || e.Born != uint64(i+1) {
			t.Errorf("agent %d: %+v, %v", i, e, err)
		}
	}
	if all, err := New(b, "other").List(t.Context(), "d"); err != nil || len(all) != 40 {
		t.Errorf("listed %d entries, %v", len(all), err)
	}
}

// A balancer may take a list for the targets that there are only if the store has answered.
func TestListNeedsAnswer(t *testing.T) {
	b := newFakeBackend()
	s := New(b, "d")
	if all, err := s.List(t.Context(), "d"); err != nil || len(all) != 0 {
		t.Errorf("without a shard: %v, %v", all, err)
	}
	b.unavailable = true
	if _, err := s.List(t.Context(), "d"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("without the store: %v", err)
	}
}
