package model

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
	"github.com/wagtailtray/wagtailtray/internal/request/retain"
	"github.com/wagtailtray/wagtailtray/internal/request/target"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// hop is an envelope on its way to a target.
type hop struct {
	from     netip.AddrPort
	envelope *wire.Envelope
	via      netip.AddrPort
	datagram *datagram
}

// retainer keeps copies of what a process sends to leaving targets.
type retainer struct {
	*retain.Buffer[hop]
}

func newRetainer() retainer {
	return retainer{retain.NewBuffer[hop](retain.DefaultLimits())}
}

// sendOrRetain sends an envelope, and keeps a copy if the target is leaving.
func (w *World) sendOrRetain(r retainer, to *target.Candidate, caller netip.AddrPort, h hop) {
	w.sendEnvelope(h.from, to.Tunnel, h.envelope, h.via, h.datagram)
	if !to.Leaving {
		return
	}
	h.envelope = copyEnvelope(h.envelope)
	if owner.PrepareRetained(h.envelope) {
		r.Add(w.Now(), service, to, caller, h)
	}
}

// release sends the copies to the successors in a process's view.
func (w *World) release(r retainer, set *target.Set) {
	for _, released := range r.ReleaseSet(w.Now(), set) {
		for _, c := range released.Copies {
			h := c.Data
			h.envelope.Age += uint32(c.Age)
			w.sendEnvelope(h.from, released.To.Tunnel, h.envelope, h.via, h.datagram)
		}
	}
}
