// Package routing defines the rules that assign new flows to services.
//
// # The model
//
// A listener is an address to which callers open flows. It routes them to one
// service or splits them between several by weight. A Table is a version of all
// listeners; it is immutable and has a version number that only increases. Open
// flows stay with the service at which they were opened, whatever later versions say.
//
// For example, a listener with weight 90 for "quotes" and 10 for "drawings"
// sends a tenth of its new flows to "drawings". The choice depends only on the
// flow's addresses, so all copies of an opening packet go to the same service.
//
// # Usage
//
//	t := &routing.Table{Version: 7, Listeners: listeners}
//	service, err := t.PickService(flow)
package routing

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Errors of this package.
var (
	ErrNoListener = errs.New("routing: no listener at this address")
	ErrInvalid    = errs.New("routing: invalid table")
	ErrClass      = errs.New("routing: invalid class")
)

// Share is a service's share of a listener's new flows.
type Share struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// Listener is an address to which callers open flows.
type Listener struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Shares  []Share        `json:"shares"`
	// HomeRegions are the regions in which its flows may be opened; empty means any.
	HomeRegions []string `json:"homes,omitempty"`
	// Class describes the flows' requests; nil if it is not known.
	Class *Class `json:"class,omitempty"`
}

// Service holds a table's settings for a service.
type Service struct {
	Name string `json:"name"`
	// WarmingRate is how many openings per second a target accepts during its cold
	// start; zero means no limit.
	WarmingRate int `json:"warming,omitempty"`
}

// Table is one version of the routing rules.
type Table struct {
	Version uint64 `json:"version"`
	// Revision is the platform's revision of the object from which the table was
	// read; a watch resumes after it.
	Revision    uint64       `json:"revision"`
	Listeners   []*Listener  `json:"listeners"`
	IdleTimeout clock.Millis `json:"idle"`
	// Services lists the services that have settings besides their name.
	Services []Service `json:"services,omitempty"`
	// Ignored lists what was left out of the table because it is invalid.
	Ignored []string `json:"ignored,omitempty"`

	byAddress    map[netip.AddrPort]*Listener
	warmingRates map[string]int
	minObjective clock.Millis
	// services holds the services to which listeners route.
	services map[string]bool
	// entries are the listeners by the hash of their encoding.
	entries     []entry
	partDigests []byte
}

// MaxListeners bounds a table: forty times the addresses planned for in two years.
const MaxListeners = 50_000

// Check returns the first error in a table and builds its index. Of listeners with the same
// address the last one counts.
func (t *Table) Check() error {
	if err := t.checkRules(); err != nil {
		return err
	}
	return t.buildEntries()
}

func (t *Table) checkRules() error {
	if t.Version == 0 {
		return fmt.Errorf("%w: no version", ErrInvalid)
	}
	if len(t.Listeners) > MaxListeners {
		return fmt.Errorf("%w: %d listeners, more than %d", ErrInvalid, len(t.Listeners), MaxListeners)
	}
	if err := t.indexListeners(); err != nil {
		return err
	}
	t.warmingRates = make(map[string]int, len(t.Services))
	for _, s := range t.Services {
		if s.WarmingRate < 0 {
			return fmt.Errorf("%w: service %q accepts %d openings per second", ErrInvalid, s.Name, s.WarmingRate)
		}
		t.warmingRates[s.Name] = s.WarmingRate
	}
	return nil
}

func (t *Table) indexListeners() error {
	t.byAddress = make(map[netip.AddrPort]*Listener, len(t.Listeners))
	t.services = map[string]bool{}
	for _, l := range t.Listeners {
		if err := l.check(); err != nil {
			return err
		}
		t.byAddress[l.Address] = l
	}
	t.dropShadowed()
	for _, l := range t.Listeners {
		for _, s := range l.Shares {
			t.services[s.Service] = true
		}
		if c := l.Class; c != nil && c.Objective > 0 && (t.minObjective == 0 || c.Objective < t.minObjective) {
			t.minObjective = c.Objective
		}
	}
	return nil
}

// dropShadowed removes listeners that a later one with the same address replaces.
func (t *Table) dropShadowed() {
	if len(t.byAddress) == len(t.Listeners) {
		return
	}
	t.Listeners = slices.DeleteFunc(slices.Clone(t.Listeners), func(l *Listener) bool {
		shadowed := t.byAddress[l.Address] != l
		if shadowed {
			t.Ignore(fmt.Sprintf("listener %q: another one has the address %s", l.Name, l.Address))
		}
		return shadowed
	})
}

// maxIgnored bounds the mistakes that a table lists.
const maxIgnored = 50

// Ignore records that something was left out of the table because it is invalid.
func (t *Table) Ignore(mistake string) {
	switch {
	case len(t.Ignored) < maxIgnored:
		t.Ignored = append(t.Ignored, mistake)
	case len(t.Ignored) == maxIgnored:
		t.Ignored = append(t.Ignored, "and more")
	}
}

// WarmingRate returns how many openings per second a target of a service accepts during
// its cold start, or zero for no limit.
func (t *Table) WarmingRate(service string) int {
	return t.warmingRates[service]
}

// HomeRegions returns the regions in which a flow may be opened; empty means any.
func (t *Table) HomeRegions(f segment.Flow) []string {
	if l, ok := t.byAddress[f.Listener]; ok {
		return l.HomeRegions
	}
	return nil
}

func (l *Listener) check() error {
	if l == nil {
		return fmt.Errorf("%w: an empty listener", ErrInvalid)
	}
	if !l.Address.IsValid() {
		return fmt.Errorf("%w: listener %q has no address", ErrInvalid, l.Name)
	}
	total := uint32(0)
	for _, s := range l.Shares {
		if s.Service == "" {
			return fmt.Errorf("%w: listener %q names no service", ErrInvalid, l.Name)
		}
		total += s.Weight
	}
	if total == 0 {
		return fmt.Errorf("%w: listener %q goes to no service", ErrInvalid, l.Name)
	}
	if l.Class == nil {
		return nil
	}
	if err := l.Class.Check(); err != nil {
		return fmt.Errorf("%w: listener %q: %w", ErrInvalid, l.Name, err)
	}
	return nil
}

// Listener returns the listener at an address.
func (t *Table) Listener(a netip.AddrPort) (*Listener, bool) {
	l, ok := t.byAddress[a]
	return l, ok
}

// PickService returns the service for a new flow.
func (t *Table) PickService(f segment.Flow) (string, error) {
	l, ok := t.byAddress[f.Listener]
	if !ok {
		return "", ErrNoListener
	}
	return l.pickService(f), nil
}

func (l *Listener) pickService(f segment.Flow) string {
	if len(l.Shares) == 1 {
		return l.Shares[0].Service
	}
	total := uint64(0)
	for _, s := range l.Shares {
		total += uint64(s.Weight)
	}
	var buf [16]byte
	position := xxh3.Hash(segment.AppendFlow(buf[:0], f)) % total
	for _, s := range l.Shares {
		if position < uint64(s.Weight) {
			return s.Service
		}
		position -= uint64(s.Weight)
	}
	return l.Shares[0].Service
}
