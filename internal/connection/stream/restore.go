package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// maxResetsPerTick bounds the lost flows that are reset in one tick.
	maxResetsPerTick = 200
	// keeperTimeout is the time without a probe after which the keeper counts as gone: it
	// probes the targets of its failure domain every 200 ms.
	keeperTimeout = 2 * clock.Second
)

// checkpointState is the agent's state for the checkpoints with which callers learn of
// flows lost in a power loss.
type checkpointState struct {
	// enabled is set if flows are checkpointed. loaded is set once the checkpoint of an
	// earlier process has been read or is known not to exist.
	enabled bool
	loaded  bool
	// previous is the checkpoint of an earlier process for which there is no verdict yet.
	// clockOffset is the VM's wall clock in Unix milliseconds minus the process clock at
	// the time when it was read. lostFlows are flows of an earlier target whose callers are
	// still to be reset.
	previous    *checkpoint.Entry
	clockOffset int64
	lostFlows   checkpoint.Flows
	// keeper is the balancer that stores the checkpoints of this failure domain.
	keeper        netip.AddrPort
	keeperHeardAt clock.Millis
	sender        *checkpoint.Sender
}

// checkpointEntry returns the target's open flows, least recently used first.
//
// A flow surely belongs to the current target only if a heartbeat has arrived since its
// opening: the target may have restarted after the last heartbeat.
func (tr *Tracker) checkpointEntry() checkpoint.Entry {
	u := &tr.upstream
	e := checkpoint.Entry{Service: tr.settings.Service, Born: u.born, Writer: tr.settings.Epoch}
	for _, id := range tr.flows.Keys() {
		f, ok := tr.flows.Peek(id)
		if ok && f.open && !f.unverified && f.endedAt == 0 && f.opening.at < u.lastHeartbeat {
			e.Flows = e.Flows.Append(checkpoint.Flow{ID: id, Ack: f.ack})
		}
	}
	return e
}

// sendCheckpoint sends the open flows to the keeper if they have changed. This overwrites
// the checkpoint of an earlier process, so there must be a verdict on that one first.
func (tr *Tracker) sendCheckpoint(now clock.Millis) {
	c, u := &tr.checkpoints, &tr.upstream
	if u.gone {
		c.sender.Forget()
	}
	judged := c.loaded && c.previous == nil && len(c.lostFlows) == 0
	if !c.enabled || !judged || !u.known || u.born == 0 || u.gone || now.Sub(c.keeperHeardAt) > keeperTimeout || !c.sender.Due(now) {
		return
	}
	e := tr.checkpointEntry()
	if !c.sender.NeedsSend(&e) {
		return
	}
	for _, part := range c.sender.Parts(&e) {
		tr.out.send(c.keeper, &wire.Parcel{Verb: wire.Verb_VERB_KEEP, Checkpoint: part})
	}
}

// handleKept handles the keeper's acknowledgement that a checkpoint is stored.
func (tr *Tracker) handleKept(p *wire.Parcel) {
	if p.Checkpoint != nil {
		tr.checkpoints.sender.Acknowledge(p.Checkpoint.Number, clock.Millis(p.Checkpoint.Pause))
	}
}

// Unlisted reports whether the target may hold flows although the store is not known to list
// it. Balancers that start then learn of it from this agent alone.
func (tr *Tracker) Unlisted(now clock.Millis) bool {
	c := &tr.checkpoints
	mayHold := tr.flows.Len() > 0 || !tr.knowsAllFlows(now)
	return c.enabled && !tr.upstream.gone && mayHold && !c.sender.Listed(now, tr.settings.FlowTTL)
}

// Restore sets the checkpoint that an earlier process stored, or nil if there is none. wall
// is the VM's clock in Unix milliseconds.
func (tr *Tracker) Restore(now clock.Millis, wall int64, e *checkpoint.Entry) {
	tr.checkpoints.loaded = true
	tr.checkpoints.previous = e
	tr.checkpoints.clockOffset = wall - int64(now)
	tr.judgePrevious(now)
}

// judgePrevious acts on the checkpoint of an earlier process as soon as there is a verdict.
func (tr *Tracker) judgePrevious(now clock.Millis) {
	c, u := &tr.checkpoints, &tr.upstream
	if c.previous == nil {
		return
	}
	v := c.previous.Evaluate(int64(now)+c.clockOffset, tr.settings.FlowTTL, checkpoint.Target{
		Service: tr.settings.Service, Born: u.born, Sequence: u.sequence, Heartbeats: u.heartbeats,
		Steady: u.lastHeartbeat.Sub(u.firstHeartbeat) >= tr.settings.HeartbeatTimeout, NotListening: tr.noTarget(now),
	})
	switch v {
	case checkpoint.Wait:
		return
	case checkpoint.Alive:
		tr.recordRestore("the target is still running", c.previous.Flows.Len())
	case checkpoint.Gone:
		tr.recordRestore("the earlier target is gone", c.previous.Flows.Len())
		c.lostFlows = c.previous.Flows
		tr.resetLostFlows(now)
	case checkpoint.Ignore:
		tr.recordRestore("too old or for another service", 0)
	}
	c.previous = nil
}

// resetLostFlows resets a bounded number of the flows that were lost with an earlier
// target. It skips flows that this process knows, since they were opened later.
func (tr *Tracker) resetLostFlows(now clock.Millis) {
	due, rest := tr.checkpoints.lostFlows.Split(maxResetsPerTick)
	tr.checkpoints.lostFlows = rest
	for l := range due.All() {
		if f, ok := tr.flows.Peek(l.ID); ok && !f.unverified {
			continue
		}
		tr.flows.Remove(l.ID)
		tr.denied.Add(l.ID, struct{}{})
		tr.out.Resets = append(tr.out.Resets, Reset{Flow: l.ID, Seq: l.Ack})
		tr.out.record(Event{
			Kind: FlowReset, Flow: l.ID, Service: tr.settings.Service, Reason: "its target was lost with the earlier agent",
			Age: now.Sub(tr.startedAt),
		})
	}
}

func (tr *Tracker) recordRestore(reason string, count int) {
	tr.out.record(Event{Kind: Restored, Service: tr.settings.Service, Reason: reason, Count: count})
}
