package stream

import (
	"encoding/json"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// worldObject is the sheet of a failure domain in the platform's store: the present
// one, and the one before, which a stale read may still return.
type worldObject struct {
	revision int
	data     []byte
	before   []byte
}

// write replaces the sheet if it is still the one that the writer saw.
func (o *worldObject) write(seen int, data []byte) bool {
	if o.revision != seen {
		return false
	}
	o.revision++
	o.before, o.data = o.data, data
	return true
}

func (w *world) object(domain string) *worldObject {
	o := w.objects[domain]
	if o == nil {
		o = &worldObject{}
		w.objects[domain] = o
	}
	return o
}

func (w *world) sheet(data []byte) *checkpoint.Shard {
	if data == nil {
		return &checkpoint.Shard{Count: 1}
	}
	s := &checkpoint.Shard{}
	if err := json.Unmarshal(data, s); err != nil {
		w.fail("a sheet cannot be read: %v", err)
	}
	return s
}

// restores lets an agent read what is kept, now and then late or from an old copy.
func (w *world) restores(a *worldAgent) {
	h := a.holder
	delay := clock.Millis(2 + w.random.IntN(60))
	if w.random.IntN(5) == 0 {
		delay = clock.Millis(w.random.IntN(4000))
	}
	w.after(delay, func() {
		if a.holder != h || !a.up {
			return
		}
		o := w.object(a.domain)
		data := o.data
		if w.random.IntN(5) == 0 {
			data = o.before
		}
		if e, ok := w.sheet(data).Find(a.address); ok {
			h.Restore(w.now, int64(w.now), &e)
		} else {
			h.Restore(w.now, int64(w.now), nil)
		}
		w.flushAgent(a)
	})
}

// keeps lets a balancer keep the checkpoints of its failure domain while it is the
// first one there. Two may think so for a moment.
func (w *world) keeps(b *worldBalancer) {
	s := b.steerer
	k := checkpoint.NewKeeper(checkpoint.KeeperSettings{MaxValueSize: 1 << 20, FlowTTL: worldLife, WritesPerSecond: 10})
	b.keeper = k
	seen, loaded := 0, false
	var tick func()
	tick = func() {
		if b.steerer != s {
			return
		}
		switch first := w.first(b.domain) == b || w.random.IntN(20) == 0; {
		case b.up && first && !loaded:
			o := w.object(b.domain)
			seen = o.revision
			k.Load(w.now, int64(w.now), w.sheet(o.data))
			loaded = true
		case b.up && first:
			seen = w.writes(b, k, seen)
		case b.up && loaded:
			k.Reset()
			loaded = false
		}
		s.SetKeeper(loaded)
		w.after(100, tick)
	}
	w.after(clock.Millis(1+w.random.IntN(100)), tick)
}

func (w *world) first(domain string) *worldBalancer {
	for _, b := range w.balancers {
		if b.up && b.domain == domain {
			return b
		}
	}
	return nil
}

// writes writes what is due and returns the revision that the balancer knows then. A
// write may be carried out seconds later, and its answer may be lost.
func (w *world) writes(b *worldBalancer, k *checkpoint.Keeper, seen int) int {
	o := w.object(b.domain)
	for _, sheet := range k.Due(w.now) {
		data, err := json.Marshal(sheet)
		if err != nil {
			w.fail("a sheet cannot be written: %v", err)
		}
		known := seen
		switch {
		case w.random.IntN(8) == 0:
			w.after(clock.Millis(w.random.IntN(5000)), func() { o.write(known, data) })
			k.WriteFailed(sheet.Index)
		case o.write(seen, data):
			seen = o.revision
			w.acknowledge(b, k.WriteSucceeded(sheet.Index))
		default:
			seen = o.revision
			k.Load(w.now, int64(w.now), w.sheet(o.data))
			k.WriteFailed(sheet.Index)
		}
		k.ScheduleNext(w.now, w.random.Float64())
	}
	return seen
}

func (w *world) acknowledge(b *worldBalancer, all []checkpoint.Acknowledgement) {
	for _, a := range all {
		w.sendAgent(b, Send{To: a.Agent, Parcel: &wire.Parcel{
			Verb: wire.Verb_VERB_KEPT, Checkpoint: &wire.Checkpoint{Number: a.Number, Pause: uint32(a.WriteInterval)},
		}})
	}
}

// hearKeep gives a balancer a part of an agent's checkpoint.
func (w *world) hearKeep(b *worldBalancer, from netip.AddrPort, c *wire.Checkpoint) {
	if !b.steerer.Keeper() {
		return
	}
	if err := b.keeper.Receive(w.now, int64(w.now), from, c); err != nil {
		w.fail("a checkpoint cannot be read: %v", err)
	}
}

// power takes all VMs away at once; callers stay.
func (w *world) power() {
	for _, b := range w.balancers {
		w.killBalancer(b)
	}
	for _, a := range w.agents {
		w.loseVM(a)
	}
}
