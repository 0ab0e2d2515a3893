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
// The entries of each failure domain have a kind of their own. When all processes of
// a fleet start at once they all read entries, and most of them need only those of
// their own domain: if each read all, the bytes would grow with the square of the
// fleet and keep the platform busy while callers wait.
//
// # Usage
//
//	d := directory.New(store, domains...)
//	err := d.Register(ctx, directory.Entry{Name: name, Address: address, Domain: domain})
//	local, all, err := d.Balancers(ctx, domain)
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
	store   platform.Store
	domains []string
}

// New returns a directory that uses a store. domains are the failure domains of the
// deployment.
func New(store platform.Store, domains ...string) *Directory {
	return &Directory{store: store, domains: domains}
}

// kind returns the kind of the entries of a failure domain.
func kind(domain string) platform.Kind {
	return platform.Processes + "-" + platform.Kind(domain)
}

// Register writes a balancer's entry. It may be called again after an error: an
// entry that exists already, because a reply was lost or the balancer restarted,
// is replaced only if it differs.
func (d *Directory) Register(ctx context.Context, e Entry) error {
	_, err := d.store.Create(ctx, kind(e.Domain), e.Name, e)
	if !errors.Is(err, platform.ErrExists) {
		return err
	}
	o, err := d.store.Get(ctx, kind(e.Domain), e.Name)
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
	_, err = d.store.Update(ctx, kind(e.Domain), o)
	return err
}

// Entries lists the balancers of a failure domain. Malformed entries are skipped.
func (d *Directory) Entries(ctx context.Context, domain string) ([]Entry, error) {
	list, err := d.store.List(ctx, kind(domain))
	return decodeEntries(domain, list, err)
}

// CurrentEntries lists the balancers of a failure domain as they are now. It costs more than
// Entries, and is for processes that no balancer of an earlier list answers.
func (d *Directory) CurrentEntries(ctx context.Context, domain string) ([]Entry, error) {
	store, ok := d.store.(currentLister)
	if !ok {
		return d.Entries(ctx, domain)
	}
	list, err := store.ListCurrent(ctx, kind(domain))
	return decodeEntries(domain, list, err)
}

func decodeEntries(domain string, list platform.List, err error) ([]Entry, error) {
	if err != nil {
		return nil, err
	}
	var all []Entry
	for _, o := range list.Items {
		if e, ok := parseEntry(o); ok && e.Domain == domain {
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

// Balancers lists the addresses of the balancers of a failure domain; if there are none, all
// has those of the other ones.
func (d *Directory) Balancers(ctx context.Context, domain string) (local, all []netip.AddrPort, err error) {
	entries, err := d.Entries(ctx, domain)
	if err != nil || len(entries) > 0 {
		return addresses(entries), addresses(entries), err
	}
	all, err = d.remote(ctx, domain, d.Entries)
	return nil, all, err
}

// CurrentBalancers lists the addresses of the balancers of a failure domain and of all
// balancers, from CurrentEntries.
func (d *Directory) CurrentBalancers(ctx context.Context, domain string) (local, all []netip.AddrPort, err error) {
	entries, err := d.CurrentEntries(ctx, domain)
	if err != nil {
		return nil, nil, err
	}
	local = addresses(entries)
	all, err = d.remote(ctx, domain, d.CurrentEntries)
	return local, append(all, local...), err
}

// remote lists the addresses of the balancers of all failure domains but one.
func (d *Directory) remote(
	ctx context.Context, domain string, list func(context.Context, string) ([]Entry, error),
) ([]netip.AddrPort, error) {
	var all []netip.AddrPort
	for _, other := range d.domains {
		if other == domain {
			continue
		}
		entries, err := list(ctx, other)
		if err != nil {
			return nil, err
		}
		all = append(all, addresses(entries)...)
	}
	return all, nil
}

func addresses(entries []Entry) []netip.AddrPort {
	var all []netip.AddrPort
	for _, e := range entries {
		all = append(all, e.Address)
	}
	return all
}

// Remove deletes the entry of a lost balancer of a failure domain, unless another process
// has written it meanwhile or it has another address.
func (d *Directory) Remove(ctx context.Context, domain, name string, address netip.AddrPort) error {
	o, err := d.store.Get(ctx, kind(domain), name)
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
	err = d.store.Delete(ctx, kind(domain), o)
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}
