// Package checkpoints keeps the sheets of package checkpoint in the platform's store.
//
// # The model
//
// The sheets of a failure domain are objects named DOMAIN, DOMAIN.1, DOMAIN.2 and so
// on. Writes name the revision that they replace: a write whose answer was lost may be
// carried out seconds later, beside another keeper, and must not replace what that one
// has written. After a conflict the keeper loads the sheet that is there.
//
// # Usage
//
//	s := checkpoints.New(store, domain)
//	entry, err := s.Entry(ctx, agent)   // an agent that starts
//	sheet, err := s.Load(ctx, 0)        // a keeper, before it writes
//	err = s.Write(ctx, &sheet)
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

// Backend is what of the platform's store is used.
type Backend interface {
	// Peek reads one object from a copy that may be some seconds old.
	Peek(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind platform.Kind, name string, spec any) (platform.Object, error)
	Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error)
}

// Store reads and writes the sheets of a failure domain. It is not safe for concurrent
// use.
type Store struct {
	backend Backend
	domain  string
	// versions are those of the objects as they were seen last, by shard.
	versions map[int]uint64
}

// New returns the store of a failure domain's sheets.
func New(backend Backend, domain string) *Store {
	return &Store{backend: backend, domain: domain, versions: map[int]uint64{}}
}

func (s *Store) name(shard int) string {
	if shard == 0 {
		return s.domain
	}
	return fmt.Sprint(s.domain, ".", shard)
}

// Entry returns the entry of an agent's target, or platform.ErrNotFound. It may be some
// seconds old.
func (s *Store) Entry(ctx context.Context, agent netip.AddrPort) (checkpoint.Entry, error) {
	sheet, err := s.peek(ctx, 0)
	if err != nil {
		return checkpoint.Entry{}, err
	}
	if shard := checkpoint.ShardOf(agent, sheet.Count); shard > 0 {
		if sheet, err = s.peek(ctx, shard); err != nil {
			return checkpoint.Entry{}, err
		}
	}
	e, ok := sheet.Find(agent)
	if !ok {
		return checkpoint.Entry{}, platform.ErrNotFound
	}
	return e, nil
}

func (s *Store) peek(ctx context.Context, shard int) (checkpoint.Shard, error) {
	o, err := s.backend.Peek(ctx, platform.Checkpoints, s.name(shard))
	if err != nil {
		return checkpoint.Shard{}, err
	}
	return decode(o)
}

// decode reads a sheet. The store's errors are its own; what is not a sheet is
// checkpoint.ErrUnreadable or ErrFormat.
func decode(o platform.Object) (checkpoint.Shard, error) {
	var sheet checkpoint.Shard
	err := sheet.UnmarshalJSON(o.Spec)
	return sheet, err
}

// Load reads one sheet as it is, for the next write. A missing one is
// platform.ErrNotFound; one that cannot be read is replaced by that write.
func (s *Store) Load(ctx context.Context, shard int) (checkpoint.Shard, error) {
	o, err := s.backend.Get(ctx, platform.Checkpoints, s.name(shard))
	if errors.Is(err, platform.ErrNotFound) {
		s.versions[shard] = 0
	}
	if err != nil {
		return checkpoint.Shard{}, err
	}
	s.versions[shard] = o.Metadata.ResourceVersion
	return decode(o)
}

// Write replaces the sheet that was seen last. platform.ErrConflict means that another
// one is there; it must be loaded first.
func (s *Store) Write(ctx context.Context, sheet *checkpoint.Shard) error {
	o, err := s.write(ctx, sheet)
	if errors.Is(err, platform.ErrExists) || errors.Is(err, platform.ErrNotFound) {
		return errs.Combine(platform.ErrConflict, err)
	}
	if err != nil {
		return err
	}
	s.versions[sheet.Index] = o.Metadata.ResourceVersion
	return nil
}

func (s *Store) write(ctx context.Context, sheet *checkpoint.Shard) (platform.Object, error) {
	name, version := s.name(sheet.Index), s.versions[sheet.Index]
	if version == 0 {
		return s.backend.Create(ctx, platform.Checkpoints, name, sheet)
	}
	data, err := json.Marshal(sheet)
	if err != nil {
		return platform.Object{}, errs.Wrap(err)
	}
	return s.backend.Update(ctx, platform.Checkpoints, platform.Object{
		Metadata: platform.Metadata{Name: name, ResourceVersion: version}, Spec: data,
	})
}
