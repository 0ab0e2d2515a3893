// Package directory registers the balancers in the platform's store, where other
// processes discover them.
//
// # The model
//
// Each balancer has one object with its address. It is written when the balancer
// starts and read by processes that know no balancer yet. Entries may be stale,
// since a lost balancer cannot remove its own: readers treat them as unverified,
// and a balancer that has seen another one silent for long removes its entry, on
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

// Entry is the entry of one balancer.
type Entry struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Domain  string         `json:"domain"`
	// CPUShare is its share of a core, in thousandths; zero if unknown.
	CPUShare uint32 `json:"share,omitempty"`
}

// currentLister is implemented by stores whose lists may be stale.
type currentLister interface {
	// ListCurrent returns all objects of a kind as they are now.
	ListCurrent(ctx context.Context, kind platform.Kind) (platform.List, error)
}

// Directory reads and writes the entries.
type Directory struct {
	store platform.Store
}

// New returns a directory that uses a store.
func New(store platform.Store) *Directory {
	return &Directory{store: store}
}

// Register writes a balancer's entry. It may be called again after an error: an
// entry that exists already, because a reply was lost or the balancer restarted,
// is replaced only if it differs.
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

// Entries lists the balancers. Malformed entries are skipped.
func (d *Directory) Entries(ctx context.Context) ([]Entry, error) {
	list, err := d.store.List(ctx, platform.Processes)
	return decodeEntries(list, err)
}

// CurrentEntries lists the balancers as they are now. It costs more than Entries, and is
// for processes that no balancer of an earlier list answers.
func (d *Directory) CurrentEntries(ctx context.Context) ([]Entry, error) {
	store, ok := d.store.(currentLister)
	if !ok {
		return d.Entries(ctx)
	}
	list, err := store.ListCurrent(ctx, platform.Processes)
	return decodeEntries(list, err)
}

func decodeEntries(list platform.List, err error) ([]Entry, error) {
	if err != nil {
		return nil, err
	}
	var all []Entry
	for _, o := range list.Items {
		if e, ok := parseEntry(o); ok {
			all = append(all, e)
		}
	}
	return all, nil
}

// parseEntry decodes an entry, and reports whether a balancer may have written it: others
// may write objects of this kind too.
func parseEntry(o platform.Object) (Entry, bool) {
	var e Entry
	if json.Unmarshal(o.Spec, &e) != nil || e.Name == "" || e.Name != o.Metadata.Name || e.Domain == "" {
		return Entry{}, false
	}
	return e, e.Address.Addr().Is4() && e.Address.Port() != 0
}

// Balancers lists the addresses of the balancers of a failure domain, and of all
// balancers.
func (d *Directory) Balancers(ctx context.Context, domain string) (local, all []netip.AddrPort, err error) {
	entries, err := d.Entries(ctx)
	if err != nil {
		return nil, nil, err
	}
	local, all = split(entries, domain)
	return local, all, nil
}

// CurrentBalancers is like Balancers, from CurrentEntries.
func (d *Directory) CurrentBalancers(ctx context.Context, domain string) (local, all []netip.AddrPort, err error) {
	entries, err := d.CurrentEntries(ctx)
	if err != nil {
		return nil, nil, err
	}
	local, all = split(entries, domain)
	return local, all, nil
}

// split returns the addresses of the entries of a failure domain, and those of all.
func split(entries []Entry, domain string) (local, all []netip.AddrPort) {
	for _, e := range entries {
		all = append(all, e.Address)
		if e.Domain == domain {
			local = append(local, e.Address)
		}
	}
	return local, all
}

// Remove deletes the entry of a lost balancer, unless another process has written
// it meanwhile or it has another address.
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
