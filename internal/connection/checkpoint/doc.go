// Package checkpoint decides what is kept of targets' open flows in the platform's
// store, when it is written, and what a later process may conclude from it.
//
// # The model
//
// A loss of power takes a target, its agent and the balancers at once. Nobody but the
// callers knows then which flows were open, and each caller finds out by waiting. So
// agents have an Entry kept: the target's start, and its open flows with what their
// callers acknowledged last.
//
// The agent that starts next at the same address reads the entry and compares the start
// in it with what its target says of itself. Starts are compared for equality, for
// clocks jump:
//
//   - The same start: the target lives, and its flows with it.
//   - Another start: the target of the entry is gone, and its callers are told at once.
//
// For example, T started at 100 and the entry names F1 and F2. All VMs lose power. The
// next target at the address says that it started at 900: F1 and F2 are reset. Had only
// the agent ended, the target would say 100, and nothing would follow.
//
// An entry is a hint that may be late, old or another writer's. That is safe: a flow is
// in an entry only if a heartbeat with the same start came after its opening, so it is
// that process's flow or nobody's. What is missing is found as without entries.
//
// # Who writes
//
// Each call to the store is paid for, so agents do not call it. Each failure domain has
// one balancer that reads the platform's changes; it keeps the entries as well. A Writer
// lets an agent send its entry to that balancer when flows have come that the last one
// lacks, in parts that fit a frame. A Keeper collects the entries of the domain's
// targets in a Sheet, one object of the store, and tells the agents once it is written.
// What an agent was not told of it sends again, be it to the next keeper.
//
// A sheet that would be too large for a value is split by the targets' addresses. The
// pause between two writes grows with what is to be written.
//
// # Usage
//
//	w := checkpoint.NewWriter()                  // an agent
//	if w.Due(now) && w.Changed(&entry) { send(w.Parts(now, &entry)) }
//	w.Kept(number, pause)
//
//	k := checkpoint.NewKeeper(settings)          // a balancer
//	k.Load(now, wall, sheet)
//	k.Hear(now, wall, from, part)
//	for _, s := range k.Due(now) { store(s) }
//	acknowledgements := k.Wrote(shard)
package checkpoint
