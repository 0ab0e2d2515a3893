package owner

import (
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// PrepareRetained rewrites an envelope so that a copy of it may be decided about late, by the
// target that it was sent to or by its successor. It reports false if none may.
//
// A placement, or the end of a search, is a decision of its moment. By the time that the
// successor receives it, another home may have decided. So the successor of a home gets the
// datagram as an opening, about which it decides anew, and a search begins again.
func PrepareRetained(e *wire.Envelope) bool {
	switch e.Stage {
	case wire.Stage_STAGE_PLACED:
		return false
	case wire.Stage_STAGE_SEARCHED, wire.Stage_STAGE_DECLINED:
		e.Stage = wire.Stage_STAGE_OPEN
		e.Visited = e.Visited[:0]
	case wire.Stage_STAGE_SEARCH:
		e.Visited = append(e.Visited[:0], e.Home)
	}
	return true
}

// age returns how long the datagram has waited for a target or its successor.
func (p *packet) age() clock.Millis {
	return clock.Millis(p.e.Age)
}

// refusedSince reports whether this target has refused the flow after the datagram was sent.
// Its caller has been told that nothing of the flow has run.
func (p *packet) refusedSince(r record) bool {
	return r.refused && p.now.Sub(r.recordedAt) <= maxCopySkew+p.age()
}
