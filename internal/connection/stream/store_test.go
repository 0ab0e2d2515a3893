package stream

import (
	"encoding/json"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/connection/checkpoint"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// simObject is the shard of a failure domain in the platform's store, with its previous
// version, which a stale read may return.
type simObject struct {
	revision int
	data     []byte
	before   []byte
}

// write replaces the shard unless it has changed since the writer read it.
func (o *simObject) write(seen int, data []byte) bool {
	if o.revision != seen {
		return false
	}
	o.revision++
	o.before, o.data = o.data, data
	return true
}

func (sim *simulation) storedObject(domain string) *simObject {
	o := sim.objects[domain]
	if o == nil {
		o = &simObject{}
		sim.objects[domain] = o
	}
	return o
}

func (sim *simulation) decodeShard(data []byte) *checkpoint.Shard {
	if data == nil {
		return &checkpoint.Shard{Count: 1}
	}
	s := &checkpoint.Shard{}
	if err := json.Unmarshal(data, s); err != nil {
		sim.fail("cannot decode a shard: %v", err)
	}
	return s
}

// restoreCheckpoint lets an agent read its checkpoint, sometimes late or from a stale copy.
func (sim *simulation) restoreCheckpoint(a *simAgent) {
	tr := a.tracker
	delay := clock.Millis(2 + sim.random.IntN(60))
	if sim.random.IntN(5) == 0 {
		delay = clock.Millis(sim.random.IntN(4000))
	}
	sim.schedule(delay, func() {
		if a.tracker != tr || !a.up {
			return
		}
		o := sim.storedObject(a.domain)
		data := o.data
		if sim.random.IntN(5) == 0 {
			data = o.before
		}
		if e, ok := sim.decodeShard(data).Find(a.address); ok {
			tr.Restore(sim.now, int64(sim.now), &e)
		} else {
			tr.Restore(sim.now, int64(sim.now), nil)
		}
		sim.flushAgent(a)
	})
}

// runKeeper lets a balancer store the checkpoints of its failure domain while it is the
// first one there. Two balancers may do so for a moment.
func (sim *simulation) runKeeper(b *simBalancer) {
	s := b.steerer
	k := checkpoint.NewKeeper(checkpoint.KeeperSettings{MaxValueSize: 1 << 20, FlowTTL: testFlowTTL, WritesPerSecond: 10})
	b.keeper = k
	seen, loaded := 0, false
	var tick func()
	tick = func() {
		if b.steerer != s {
			return
		}
		switch first := sim.firstBalancer(b.domain) == b || sim.random.IntN(20) == 0; {
		case b.up && first && !loaded:
			o := sim.storedObject(b.domain)
			seen = o.revision
			k.Load(sim.now, int64(sim.now), sim.decodeShard(o.data))
			loaded = true
		case b.up && first:
			seen = sim.writeDueShards(b, k, seen)
		case b.up && loaded:
			k.Reset()
			loaded = false
		}
		s.SetKeeper(loaded)
		sim.schedule(100, tick)
	}
	sim.schedule(clock.Millis(1+sim.random.IntN(100)), tick)
}

func (sim *simulation) firstBalancer(domain string) *simBalancer {
	for _, b := range sim.balancers {
		if b.up && b.domain == domain {
			return b
		}
	}
	return nil
}

// writeDueShards writes the shards that are due and returns the revision then known to the
// balancer. A write may take effect seconds later, and its response may be lost.
func (sim *simulation) writeDueShards(b *simBalancer, k *checkpoint.Keeper, seen int) int {
	o := sim.storedObject(b.domain)
	for _, shard := range k.Due(sim.now) {
		data, err := json.Marshal(shard)
		if err != nil {
			sim.fail("cannot encode a shard: %v", err)
		}
		known := seen
		switch {
		case sim.random.IntN(8) == 0:
			sim.schedule(clock.Millis(sim.random.IntN(5000)), func() { o.write(known, data) })
			k.WriteFailed(shard.Index)
		case o.write(seen, data):
			seen = o.revision
			sim.acknowledge(b, k.WriteSucceeded(shard.Index))
		default:
			seen = o.revision
			k.Load(sim.now, int64(sim.now), sim.decodeShard(o.data))
			k.WriteFailed(shard.Index)
		}
		k.ScheduleNext(sim.now, sim.random.Float64())
	}
	return seen
}

func (sim *simulation) acknowledge(b *simBalancer, all []checkpoint.Acknowledgement) {
	for _, a := range all {
		sim.sendFromBalancer(b, Send{To: a.Agent, Parcel: &wire.Parcel{
			Verb: wire.Verb_VERB_KEPT, Checkpoint: &wire.Checkpoint{Number: a.Number, Pause: uint32(a.WriteInterval)},
		}})
	}
}

// handleCheckpoint passes a part of an agent's checkpoint to a balancer.
func (sim *simulation) handleCheckpoint(b *simBalancer, from netip.AddrPort, c *wire.Checkpoint) {
	if !b.steerer.Keeper() {
		return
	}
	if err := b.keeper.Receive(sim.now, int64(sim.now), from, c); err != nil {
		sim.fail("cannot handle a checkpoint: %v", err)
	}
}

// losePower kills all VMs at once; callers stay.
func (sim *simulation) losePower() {
	for _, b := range sim.balancers {
		sim.killBalancer(b)
	}
	for _, a := range sim.agents {
		sim.loseVM(a)
	}
}
