// Package directory keeps, in the platform's store, where balancers are reached
// first.
//
// # The model
//
// Each balancer has one object with its address. It is written when the balancer
// starts and read by processes that know nobody. Entries may be stale, for a
// balancer that is lost cannot take its own away: readers treat them as hearsay,
// and a balancer that saw another one silent for long removes its entry under
// the condition that it is unchanged.
//
// # Usage
//
//	d := directory.New(store)
//	err := d.Register(ctx, directory.Entry{Name: name, Address: address, Domain: domain})
//	balancers, err := d.Balancers(ctx)
package directory

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// Entry is one balancer.
type Entry struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	// Share is its part of a core, in thousandths; zero when not known.
	Share uint32 `json:"share,omitempty"`
}

// Directory reads and writes the entries.
type Directory struct {
	store platform.Store
}

// New returns a directory in a store.
func New(store platform.Store) *Directory {
	return &Directory{store: store}
}

// Register writes a balancer's entry. It may be called again after an error: an
// entry that is there already, because an answer was lost or the balancer was
// started again, is replaced only where it differs.
func (d *Directory) Register(ctx context.Context, e Entry) error {
	_, err := d.store.Create(ctx, platform.Processes, e.Name, e)
	if !errors.Is(err, platform.ErrExists) {
		return err
	}
	o, err := d.store.Get(ctx, platform.Processes, e.Name)
	if err != nil {
		return err
	}
	var old Entry
	if json.Unmarshal(o.Spec, &old) == nil && old == e {
		return nil
	}
	if o.Spec, err = json.Marshal(e); err != nil {
		return errs.Wrap(err)
	}
	_, err = d.store.Update(ctx, platform.Processes, o)
	return err
}

// Entries lists the balancers. An entry that cannot be read is left out.
func (d *Directory) Entries(ctx context.Context) ([]Entry, error) {
	list, err := d.store.List(ctx, platform.Processes)
	if err != nil {
		return nil, err
	}
	var all []Entry
	for _, o := range list.Items {
		var e Entry
		if json.Unmarshal(o.Spec, &e) == nil && e.Address.IsValid() && e.Address.Addr().Is4() {
			all = append(all, e)
		}
	}
	return all, nil
}

// Balancers lists the addresses of the balancers of a failure domain, and of all.
func (d *Directory) Balancers(ctx context.Context, domain string) (near, all []netip.AddrPort, err error) {
	entries, err := d.Entries(ctx)
	if err != nil {
		return nil, nil, err
	}
	for _, e := range entries {
		all = append(all, e.Address)
		if e.Domain == domain {
			near = append(near, e.Address)
		}
	}
	return near, all, nil
}

// Remove takes the entry of a lost balancer away, unless another process has
// written it meanwhile or it names another address.
func (d *Directory) Remove(ctx context.Context, name string, address netip.AddrPort) error {
	o, err := d.store.Get(ctx, platform.Processes, name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var e Entry
	if json.Unmarshal(o.Spec, &e) == nil && e.Address != address {
		return nil
	}
	err = d.store.Delete(ctx, platform.Processes, o)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}
