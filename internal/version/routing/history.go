package routing

import (
	"iter"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// Changes are what a table replaces of the one before.
type Changes struct {
	From, To *Table
	// Replaced are the listeners of From that To does not have as they were.
	Replaced []*Listener
	replaced []*entry
}

// ReplacedEncodings iterates over the hashes and encodings of the replaced listeners.
func (c *Changes) ReplacedEncodings() iter.Seq2[uint64, []byte] {
	return func(yield func(uint64, []byte) bool) {
		for _, e := range c.replaced {
			if !yield(e.hash, e.encoded) {
				return
			}
		}
	}
}

// Compare returns the changes from a table, nil for none, to a later one.
func Compare(from, to *Table) Changes {
	c := Changes{From: from, To: to}
	if from == nil {
		return c
	}
	rest := to.entries
	for i := range from.entries {
		e := &from.entries[i]
		for len(rest) > 0 && rest[0].hash < e.hash {
			rest = rest[1:]
		}
		if len(rest) == 0 || rest[0].hash != e.hash {
			c.Replaced = append(c.Replaced, e.listener)
			c.replaced = append(c.replaced, e)
		}
	}
	return c
}

// Routes reports whether any listener of the table routes to a service.
func (t *Table) Routes(service string) bool {
	return t.services[service]
}

// History records the services to which each listener has routed, for as long as a
// flow may stay open. It is local to one process.
//
// A new version may change a listener's service while flows are open. If the owner of
// such a flow is unknown, it is searched for in the listener's former services as well.
// Only what versions have replaced is stored, so that the cost of a version grows with its
// changes.
type History struct {
	// FlowTTL is how long a flow may stay open.
	FlowTTL clock.Millis
	current *Table
	// replacedAt holds, by listener and service, until when replaced listeners routed there.
	replacedAt map[netip.AddrPort]map[string]clock.Millis
}

// NewHistory returns an empty history.
func NewHistory(flowTTL time.Duration) *History {
	return &History{FlowTTL: clock.FromDuration(flowTTL), replacedAt: map[netip.AddrPort]map[string]clock.Millis{}}
}

// Activate records that changes take effect now. What they replace was in effect until this
// moment.
func (h *History) Activate(now clock.Millis, c Changes) {
	h.removeExpired(now)
	h.current = c.To
	for _, l := range c.Replaced {
		services := h.replacedAt[l.Address]
		if services == nil {
			services = map[string]clock.Millis{}
			h.replacedAt[l.Address] = services
		}
		for _, s := range l.Shares {
			if s.Weight > 0 {
				services[s.Service] = now
			}
		}
	}
}

// removeExpired removes the services at which no open flow can have been opened.
func (h *History) removeExpired(now clock.Millis) {
	for a, services := range h.replacedAt {
		for name, last := range services {
			if now.Sub(last) > h.FlowTTL {
				delete(services, name)
			}
		}
		if len(services) == 0 {
			delete(h.replacedAt, a)
		}
	}
}

// Allows reports whether an open flow of the listener may belong to the service.
func (h *History) Allows(a netip.AddrPort, service string) bool {
	if _, ok := h.replacedAt[a][service]; ok {
		return true
	}
	if h.current == nil {
		return false
	}
	l, ok := h.current.Listener(a)
	return ok && l.routesTo(service)
}

func (l *Listener) routesTo(service string) bool {
	for _, s := range l.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
