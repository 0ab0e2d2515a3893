package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// resetsPerTick bounds the callers that are told in one tick of lost flows.
	maxResetsPerTick = 200
	// keeperFor is the silence after which the keeper no longer counts as there: it
	// probes targets of its failure domain every 200 ms.
	keeperTimeout = 2 * clock.Second
)

// keeping is what an agent does for its flows to outlive a loss of power.
type checkpointState struct {
	// on tells that flows are kept at all, and read that what an earlier process has
	// left was read, or that there was nothing.
	enabled bool
	loaded  bool
	// past is the entry of an earlier process that was not judged yet, at is the
	// clock of the VM in Unix milliseconds less the process's own when it was read,
	// and lost are flows of an earlier target whose callers are still to be told.
	previous    *checkpoint.Entry
	clockOffset int64
	lostFlows   checkpoint.Flows
	// keeper is the balancer that keeps the entries of this failure domain.
	keeper        netip.AddrPort
	keeperHeardAt clock.Millis
	writer        *checkpoint.Writer
}

// entry returns the target's open flows, the longest unused first.
//
// A flow is the present target's only if a heartbeat came after its opening: the
// target may have started anew since the heartbeat before.
func (tr *Tracker) checkpointEntry() checkpoint.Entry {
	u := &tr.upstream
	e := checkpoint.Entry{Service: tr.settings.Service, Born: u.born, Writer: tr.settings.Epoch}
	for _, id := range tr.flows.Keys() {
		f, ok := tr.flows.Peek(id)
		if ok && f.open && !f.unverified && f.endedAt == 0 && f.openedAt < u.lastHeartbeat {
			e.Flows = e.Flows.Add(checkpoint.Flow{ID: id, Ack: f.ack})
		}
	}
	return e
}

// keep sends the open flows to the keeper if there is news of them. What an earlier
// process has left is replaced by that, so it must have been judged.
func (tr *Tracker) sendCheckpoint(now clock.Millis) {
	c, u := &tr.checkpoints, &tr.upstream
	judged := c.loaded && c.previous == nil && len(c.lostFlows) == 0
	if !c.enabled || !judged || !u.known || u.born == 0 || u.gone || now.Sub(c.keeperHeardAt) > keeperTimeout || !c.writer.Due(now) {
		return
	}
	e := tr.checkpointEntry()
	if !c.writer.Changed(&e) {
		return
	}
	for _, part := range c.writer.Parts(&e) {
		tr.out.send(c.keeper, &wire.Parcel{Verb: wire.Verb_VERB_KEEP, Checkpoint: part})
	}
}

// kept takes the keeper's word that an entry is in the store.
func (tr *Tracker) handleKept(p *wire.Parcel) {
	if p.Checkpoint != nil {
		tr.checkpoints.writer.Kept(p.Checkpoint.Number, clock.Millis(p.Checkpoint.Pause))
	}
}

// Restore takes the entry that an earlier process has left, or nil if there is none.
// wall is the clock of the VM in Unix milliseconds.
func (tr *Tracker) Restore(now clock.Millis, wall int64, e *checkpoint.Entry) {
	tr.checkpoints.loaded = true
	tr.checkpoints.previous = e
	tr.checkpoints.clockOffset = wall - int64(now)
	tr.judgePrevious(now)
}

// judgePast concludes from the entry of an earlier process as soon as it can.
func (tr *Tracker) judgePrevious(now clock.Millis) {
	c, u := &tr.checkpoints, &tr.upstream
	if c.previous == nil {
		return
	}
	v := c.previous.Judge(int64(now)+c.clockOffset, tr.settings.FlowTTL, checkpoint.Target{
		Service: tr.settings.Service, Born: u.born, Sequence: u.sequence, Beats: u.heartbeats, Absent: tr.noTarget(now),
	})
	switch v {
	case checkpoint.Wait:
		return
	case checkpoint.Alive:
		tr.recordRestore("the target lives on", c.previous.Flows.Len())
	case checkpoint.Gone:
		tr.recordRestore("the earlier target is gone", c.previous.Flows.Len())
		c.lostFlows = c.previous.Flows
		tr.resetLostFlows(now)
	case checkpoint.Ignore:
		tr.recordRestore("too old, or another service's", 0)
	}
	c.previous = nil
}

// resetLost tells the callers of flows that were lost with an earlier target, some at
// a time. A flow that this process knows was opened since.
func (tr *Tracker) resetLostFlows(now clock.Millis) {
	due, rest := tr.checkpoints.lostFlows.Cut(maxResetsPerTick)
	tr.checkpoints.lostFlows = rest
	for l := range due.All() {
		if f, ok := tr.flows.Peek(l.ID); ok && !f.unverified {
			continue
		}
		tr.flows.Remove(l.ID)
		tr.denied.Add(l.ID, struct{}{})
		tr.out.Resets = append(tr.out.Resets, Reset{Flow: l.ID, Seq: l.Ack})
		tr.out.note(Event{
			Kind: Ended, Flow: l.ID, Service: tr.settings.Service, Reason: "its target was lost with the earlier agent",
			Age: now.Sub(tr.startedAt),
		})
	}
}

func (tr *Tracker) recordRestore(reason string, count int) {
	tr.out.note(Event{Kind: Restored, Service: tr.settings.Service, Reason: reason, Count: count})
}
