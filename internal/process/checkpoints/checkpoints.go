// Package checkpoints stores the shards of package checkpoint in the platform's store.
//
// # The model
//
// The shards of a failure domain are objects named DOMAIN, DOMAIN.1, DOMAIN.2 and so
// on. Each write names the resource version that it replaces: a write whose response was
// lost may be applied seconds later and must not overwrite what another keeper has
// written since. After a conflict the keeper loads the stored shard.
//
// # Usage
//
//	s := checkpoints.New(store, domain)
//	entry, err := s.Entry(ctx, agent)   // a starting agent
//	shard, err := s.Load(ctx, 0)        // a keeper, before it writes
//	err = s.Write(ctx, &shard)
//	entries, err := s.List(ctx, domain) // a balancer that replaces all others
package checkpoints

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// Backend is the part of the platform's store that Store uses.
type Backend interface {
	// Peek reads one object from a copy that may be some seconds stale.
	Peek(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind platform.Kind, name string, spec any) (platform.Object, error)
	Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error)
}

// Store reads and writes the shards of a failure domain. It is not safe for concurrent
// use.
type Store struct {
	backend Backend
	domain  string
	// resourceVersions are the last seen versions of the objects, by shard index.
	resourceVersions map[int]uint64
}

// New returns a store for the shards of a failure domain.
func New(backend Backend, domain string) *Store {
	return &Store{backend: backend, domain: domain, resourceVersions: map[int]uint64{}}
}

func objectName(domain string, index int) string {
	if index == 0 {
		return domain
	}
	return fmt.Sprint(domain, ".", index)
}

// reader reads one object.
type reader func(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)

// Entry returns the entry of an agent's target, or platform.ErrNotFound. It may be some
// seconds stale; one without flows is read again as it is now, since the target's first
// flows may have been stored since.
func (s *Store) Entry(ctx context.Context, agent netip.AddrPort) (checkpoint.Entry, error) {
	e, err := s.entry(ctx, s.backend.Peek, agent)
	if err == nil && e.Flows.Len() == 0 {
		return s.entry(ctx, s.backend.Get, agent)
	}
	return e, err
}

func (s *Store) entry(ctx context.Context, read reader, agent netip.AddrPort) (checkpoint.Entry, error) {
	shard, err := s.shard(ctx, read, 0)
	if err != nil {
		return checkpoint.Entry{}, err
	}
	if index := checkpoint.ShardOf(agent, shard.Count); index > 0 {
		if shard, err = s.shard(ctx, read, index); err != nil {
			return checkpoint.Entry{}, err
		}
	}
	e, ok := shard.Find(agent)
	if !ok {
		return checkpoint.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

func (s *Store) shard(ctx context.Context, read reader, index int) (checkpoint.Shard, error) {
	o, err := read(ctx, platform.Checkpoints, objectName(s.domain, index))
	if err != nil {
		return checkpoint.Shard{}, err
	}
	return decode(o)
}

// decode decodes a shard. An invalid one gives checkpoint.ErrUnreadable or
// checkpoint.ErrFormat, which no call to the store returns.
func decode(o platform.Object) (checkpoint.Shard, error) {
	var shard checkpoint.Shard
	err := shard.UnmarshalJSON(o.Spec)
	return shard, err
}

// List reads the current entries of all shards of a failure domain; there are none if
// nothing was ever stored. It is safe for concurrent use.
func (s *Store) List(ctx context.Context, domain string) ([]checkpoint.Entry, error) {
	var all []checkpoint.Entry
	for index, count := 0, 1; index < count; index++ {
		o, err := s.backend.Get(ctx, platform.Checkpoints, objectName(domain, index))
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		shard, err := decode(o)
		if err != nil {
			return nil, err
		}
		count = max(count, shard.Count)
		all = append(all, shard.Entries...)
	}
	return all, nil
}

// Load reads the current version of one shard, which the next write replaces. It returns
// platform.ErrNotFound if there is none. The next write also replaces a shard that cannot
// be decoded.
func (s *Store) Load(ctx context.Context, index int) (checkpoint.Shard, error) {
	o, err := s.backend.Get(ctx, platform.Checkpoints, objectName(s.domain, index))
	if errors.Is(err, platform.ErrNotFound) {
		s.resourceVersions[index] = 0
	}
	if err != nil {
		return checkpoint.Shard{}, err
	}
	s.resourceVersions[index] = o.Metadata.ResourceVersion
	return decode(o)
}

// Write replaces the last seen version of a shard. It returns platform.ErrConflict if the
// stored version is a different one, which must be loaded first.
func (s *Store) Write(ctx context.Context, shard *checkpoint.Shard) error {
	o, err := s.write(ctx, shard)
	if errors.Is(err, platform.ErrExists) || errors.Is(err, platform.ErrNotFound) {
		return errs.Combine(platform.ErrConflict, err)
	}
	if err != nil {
		return err
	}
	s.resourceVersions[shard.Index] = o.Metadata.ResourceVersion
	return nil
}

func (s *Store) write(ctx context.Context, shard *checkpoint.Shard) (platform.Object, error) {
	name, version := objectName(s.domain, shard.Index), s.resourceVersions[shard.Index]
	if version == 0 {
		return s.backend.Create(ctx, platform.Checkpoints, name, shard)
	}
	data, err := json.Marshal(shard)
	if err != nil {
		return platform.Object{}, errs.Wrap(err)
	}
	return s.backend.Update(ctx, platform.Checkpoints, platform.Object{
		Metadata: platform.Metadata{Name: name, ResourceVersion: version}, Spec: data,
	})
}
