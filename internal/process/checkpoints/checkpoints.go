// Package checkpoints keeps the entries of package checkpoint in the platform's store.
//
// # The model
//
// Each target's address has one object. Writes name the revision that they replace: a
// write whose answer was lost may be carried out seconds later, beside another process,
// and must not replace what that one has written. A conflict shows the other entry.
//
// # Usage
//
//	s := checkpoints.New(store, address)
//	entry, err := s.Read(ctx)            // cheap, and may be some seconds old
//	other, err := s.Write(ctx, entry)    // ErrConflict: other is there
package checkpoints

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"

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
	Delete(ctx context.Context, kind platform.Kind, o platform.Object) error
}

// Store reads and writes the entry of one target's address. It is not safe for
// concurrent use.
type Store struct {
	backend Backend
	name    string
	// version is that of the object as it was seen last; zero if there was none.
	version uint64
}

// New returns the store of a target's entry.
func New(backend Backend, target netip.AddrPort) *Store {
	return &Store{backend: backend, name: Name(target)}
}

// Name is the object's name for a target's address.
func Name(target netip.AddrPort) string {
	return strings.ReplaceAll(target.String(), ":", "-")
}

// Read returns the entry that is there, platform.ErrNotFound if there is none, or
// checkpoint.ErrUnreadable or ErrFormat.
func (s *Store) Read(ctx context.Context) (checkpoint.Entry, error) {
	o, err := s.backend.Peek(ctx, platform.Checkpoints, s.name)
	if err != nil {
		return checkpoint.Entry{}, err
	}
	return s.took(o)
}

func (s *Store) took(o platform.Object) (checkpoint.Entry, error) {
	s.version = o.Metadata.ResourceVersion
	var e checkpoint.Entry
	err := json.Unmarshal(o.Spec, &e)
	return e, err
}

// Write replaces the entry that was seen last. Where another one is there, it returns
// that one with platform.ErrConflict, and the next write replaces it.
func (s *Store) Write(ctx context.Context, e *checkpoint.Entry) (checkpoint.Entry, error) {
	o, err := s.write(ctx, e)
	if err == nil {
		s.version = o.Metadata.ResourceVersion
		return checkpoint.Entry{}, nil
	}
	if !errors.Is(err, platform.ErrExists) && !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
		return checkpoint.Entry{}, err
	}
	o, err = s.backend.Get(ctx, platform.Checkpoints, s.name)
	if errors.Is(err, platform.ErrNotFound) {
		s.version = 0
		return checkpoint.Entry{}, err
	}
	if err != nil {
		return checkpoint.Entry{}, err
	}
	other, err := s.took(o)
	return other, errors.Join(platform.ErrConflict, err)
}

func (s *Store) write(ctx context.Context, e *checkpoint.Entry) (platform.Object, error) {
	if s.version == 0 {
		return s.backend.Create(ctx, platform.Checkpoints, s.name, e)
	}
	data, err := json.Marshal(e)
	if err != nil {
		return platform.Object{}, errs.Wrap(err)
	}
	return s.backend.Update(ctx, platform.Checkpoints, platform.Object{
		Metadata: platform.Metadata{Name: s.name, ResourceVersion: s.version}, Spec: data,
	})
}

// Remove takes away the entry that was seen last, unless another one is there.
func (s *Store) Remove(ctx context.Context) error {
	if s.version == 0 {
		return nil
	}
	err := s.backend.Delete(ctx, platform.Checkpoints, platform.Object{
		Metadata: platform.Metadata{Name: s.name, ResourceVersion: s.version},
	})
	s.version = 0
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}
