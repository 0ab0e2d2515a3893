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
	"time"

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
	Listeners   []Listener   `json:"listeners"`
	IdleTimeout clock.Millis `json:"idle"`
	// Services lists the services that have settings besides their name.
	Services []Service `json:"services,omitempty"`
	// Ignored lists what was left out of the table because it is invalid.
	Ignored []string `json:"ignored,omitempty"`

	byAddress    map[netip.AddrPort]*Listener
	warmingRates map[string]int
	minObjective clock.Millis
}

// Check returns the first error in a table and builds its index.
func (t *Table) Check() error {
	if t.Version == 0 {
		return fmt.Errorf("%w: no version", ErrInvalid)
	}
	t.byAddress = make(map[netip.AddrPort]*Listener, len(t.Listeners))
	for i := range t.Listeners {
		l := &t.Listeners[i]
		if err := l.check(); err != nil {
			return err
		}
		t.byAddress[l.Address] = l
		if c := l.Class; c != nil && c.Objective > 0 && (t.minObjective == 0 || c.Objective < t.minObjective) {
			t.minObjective = c.Objective
		}
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

// History records the services to which each listener has routed, for as long as a
// flow may stay open. It is local to one process.
//
// A new version may change a listener's service while flows are open. If the owner of
// such a flow is unknown, it is searched for in the listener's former services as well.
type History struct {
	// FlowTTL is how long a flow may stay open.
	FlowTTL  clock.Millis
	current  *Table
	lastUsed map[netip.AddrPort]map[string]clock.Millis
}

// NewHistory returns an empty history.
func NewHistory(flowTTL time.Duration) *History {
	return &History{FlowTTL: clock.FromDuration(flowTTL), lastUsed: map[netip.AddrPort]map[string]clock.Millis{}}
}

// SetCurrent records that a version takes effect now. The previous version was in
// effect until this moment.
func (h *History) SetCurrent(now clock.Millis, t *Table) {
	if h.current != nil {
		h.markUsed(now, h.current)
	}
	h.current = t
	h.markUsed(now, t)
	h.removeExpired(now, t)
}

func (h *History) markUsed(now clock.Millis, t *Table) {
	for i := range t.Listeners {
		l := &t.Listeners[i]
		services := h.lastUsed[l.Address]
		if services == nil {
			services = map[string]clock.Millis{}
			h.lastUsed[l.Address] = services
		}
		for _, s := range l.Shares {
			if s.Weight > 0 {
				services[s.Service] = now
			}
		}
	}
}

// removeExpired removes the services at which no open flow can have been opened. Those
// of the current version were marked used just now and stay.
func (h *History) removeExpired(now clock.Millis, t *Table) {
	for a, services := range h.lastUsed {
		if _, present := t.byAddress[a]; present && len(services) == 1 {
			continue
		}
		for name, last := range services {
			if now.Sub(last) > h.FlowTTL {
				delete(services, name)
			}
		}
		if len(services) == 0 {
			delete(h.lastUsed, a)
		}
	}
}

// Allows reports whether an open flow of the listener may belong to the service.
func (h *History) Allows(a netip.AddrPort, service string) bool {
	_, ok := h.lastUsed[a][service]
	return ok
}
