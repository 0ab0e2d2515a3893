package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// maxClasses bounds the listeners whose class an agent stores, since anyone can send an
// opening.
const maxClasses = 2400

// encodeClass encodes a class with the more urgent priorities that are present, a set of bits.
func encodeClass(c *routing.Class, urgent uint32) *wire.Class {
	if c == nil {
		return nil
	}
	return &wire.Class{
		Priority: uint32(c.Priority), Repeatable: c.Repeatable, Objective: uint32(c.Objective), Limit: uint32(c.Limit),
		Urgent: urgent,
	}
}

func decodeClass(w *wire.Class) routing.Class {
	return routing.Class{
		Priority: int(min(w.Priority, routing.MaxPriority)), Repeatable: w.Repeatable,
		Objective: clock.Millis(w.Objective), Limit: clock.Millis(w.Limit),
	}
}

// classes holds the class of each listener's requests, as learned from openings. An agent
// that has restarted learns it from the next opening; until then a flow has none.
type classes map[netip.AddrPort]routing.Class

func (cs classes) learn(listener netip.AddrPort, w *wire.Class) {
	if w == nil {
		delete(cs, listener)
		return
	}
	if _, known := cs[listener]; known || len(cs) < maxClasses {
		cs[listener] = decodeClass(w)
	}
}
