package stream

import (
	"encoding/json"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// simObject is the sheet of a failure domain in the platform's store, with its previous
// version, which a stale read may return.
type simObject struct {
	revision int
	data     []byte
	before   []byte
}

// write replaces the sheet unless it has changed since the writer read it.
func (o *simObject) write(seen int, data []byte) bool {
	if o.revision != seen {
		return false
	}
	o.revision++
	o.before, o.data = o.data, data
	return true
}

func (w *simulation) storedObject(domain string) *simObject {
	o := w.objects[domain]
	if o == nil {
		o = &simObject{}
		w.objects[domain] = o
	}
	return o
}

func (w *simulation) decodeSheet(data []byte) *checkpoint.Shard {
	if data == nil {
		return &checkpoint.Shard{Count: 1}
	}
	s := &checkpoint.Shard{}
	if err := json.Unmarshal(data, s); err != nil {
		w.fail("cannot decode a sheet: %v", err)
	}
	return s
}

// restoreCheckpoint lets an agent read its checkpoint, sometimes late or from a stale copy.
func (w *simulation) restoreCheckpoint(a *simAgent) {
	tr := a.tracker
	delay := clock.Millis(2 + w.random.IntN(60))
	if w.random.IntN(5) == 0 {
		delay = clock.Millis(w.random.IntN(4000))
	}
	w.schedule(delay, func() {
		if a.tracker != tr || !a.up {
			return
		}
		o := w.storedObject(a.domain)
		data := o.data
		if w.random.IntN(5) == 0 {
			data = o.before
		}
		if e, ok := w.decodeSheet(data).Find(a.address); ok {
			tr.Restore(w.now, int64(w.now), &e)
		} else {
			tr.Restore(w.now, int64(w.now), nil)
		}
		w.flushAgent(a)
	})
}

// runKeeper lets a balancer store the checkpoints of its failure domain while it is the
// first one there. Two balancers may do so for a moment.
func (w *simulation) runKeeper(b *simBalancer) {
	s := b.steerer
	k := checkpoint.NewKeeper(checkpoint.KeeperSettings{MaxValueSize: 1 << 20, FlowTTL: testFlowTTL, WritesPerSecond: 10})
	b.keeper = k
	seen, loaded := 0, false
	var tick func()
	tick = func() {
		if b.steerer != s {
			return
		}
		switch first := w.firstBalancer(b.domain) == b || w.random.IntN(20) == 0; {
		case b.up && first && !loaded:
			o := w.storedObject(b.domain)
			seen = o.revision
			k.Load(w.now, int64(w.now), w.decodeSheet(o.data))
			loaded = true
		case b.up && first:
			seen = w.writeDueSheets(b, k, seen)
		case b.up && loaded:
			k.Reset()
			loaded = false
		}
		s.SetKeeper(loaded)
		w.schedule(100, tick)
	}
	w.schedule(clock.Millis(1+w.random.IntN(100)), tick)
}

func (w *simulation) firstBalancer(domain string) *simBalancer {
	for _, b := range w.balancers {
		if b.up && b.domain == domain {
			return b
		}
	}
	return nil
}

// writeDueSheets writes the sheets that are due and returns the revision then known to the
// balancer. A write may take effect seconds later, and its response may be lost.
func (w *simulation) writeDueSheets(b *simBalancer, k *checkpoint.Keeper, seen int) int {
	o := w.storedObject(b.domain)
	for _, sheet := range k.Due(w.now) {
		data, err := json.Marshal(sheet)
		if err != nil {
			w.fail("cannot encode a sheet: %v", err)
		}
		known := seen
		switch {
		case w.random.IntN(8) == 0:
			w.schedule(clock.Millis(w.random.IntN(5000)), func() { o.write(known, data) })
			k.WriteFailed(sheet.Index)
		case o.write(seen, data):
			seen = o.revision
			w.acknowledge(b, k.WriteSucceeded(sheet.Index))
		default:
			seen = o.revision
			k.Load(w.now, int64(w.now), w.decodeSheet(o.data))
			k.WriteFailed(sheet.Index)
		}
		k.ScheduleNext(w.now, w.random.Float64())
	}
	return seen
}

func (w *simulation) acknowledge(b *simBalancer, all []checkpoint.Acknowledgement) {
	for _, a := range all {
		w.sendFromBalancer(b, Send{To: a.Agent, Parcel: &wire.Parcel{
			Verb: wire.Verb_VERB_KEPT, Checkpoint: &wire.Checkpoint{Number: a.Number, Pause: uint32(a.WriteInterval)},
		}})
	}
}

// handleCheckpoint passes a part of an agent's checkpoint to a balancer.
func (w *simulation) handleCheckpoint(b *simBalancer, from netip.AddrPort, c *wire.Checkpoint) {
	if !b.steerer.Keeper() {
		return
	}
	if err := b.keeper.Receive(w.now, int64(w.now), from, c); err != nil {
		w.fail("cannot handle a checkpoint: %v", err)
	}
}

// losePower kills all VMs at once; callers stay.
func (w *simulation) losePower() {
	for _, b := range w.balancers {
		w.killBalancer(b)
	}
	for _, a := range w.agents {
		w.loseVM(a)
	}
}
