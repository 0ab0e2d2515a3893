// Package checkpoint decides what is stored of targets' open flows in the platform's
// store, when it is written, and what a later process may conclude from it.
//
// # The model
//
// A power failure takes down a target, its agent and the balancers at once. Then only
// the callers know which flows were open, and each of them finds out by a timeout. To
// prevent this, agents have an Entry stored: the start time of the target, and its open
// flows with the last acknowledgements of their callers.
//
// The agent that starts next at the same address reads the entry and compares its start
// time with the one that its target reports. Start times are compared for equality,
// because clocks may be set:
//
//   - The same start time: the target is alive, and so are its flows.
//   - Another start time: the target of the entry is gone, and its callers are reset at
//     once.
//
// For example, T started at 100 and the entry names F1 and F2. All VMs lose power. The
// next target at the address reports that it started at 900: F1 and F2 are reset. If
// only the agent had ended, the target would report 100, and nothing would be done.
//
// An entry is a hint that may be late, outdated or from another writer. This is safe: a
// flow is in an entry only if a heartbeat with the same start time came after its
// opening, so the flow belongs to that process or to none. Flows that are missing from
// an entry are handled as without entries.
//
// # Who writes
//
// Each call to the store is paid for, so agents do not call it. In each failure domain
// one balancer reads the platform's changes; it also stores the entries. With a Sender
// an agent sends its entry to that balancer when there are flows that the last one
// lacks, in parts that fit a frame. A Keeper collects the entries of the domain's
// targets in a Shard, one object of the store, and acknowledges them to the agents once
// it is written. An agent resends what was not acknowledged, also to the next keeper.
//
// A shard that would exceed the size of a value is split by the targets' addresses. The
// interval between two writes grows with the amount that is to be written.
//
// # Usage
//
//	s := checkpoint.NewSender()                  // an agent
//	if s.Due(now) && s.NeedsSend(&entry) { send(s.Parts(&entry)) }
//	s.Acknowledge(number, interval)
//
//	k := checkpoint.NewKeeper(settings)          // a balancer
//	k.Load(now, wall, shard)
//	k.Receive(now, wall, from, part)
//	for _, s := range k.Due(now) { store(s) }
//	acknowledgements := k.WriteSucceeded(index)
//	k.ScheduleNext(now, jitter)
package checkpoint
