// Package checkpoint decides what an agent keeps of its target's open flows in the
// platform's store, when it is written, and what a later process may conclude.
//
// # The model
//
// A loss of power takes a target, its agent and the balancers at once. Nobody but the
// callers knows then which flows were open, and each caller finds out by waiting. So an
// agent keeps one Entry: the target's start, and its open flows with what their callers
// acknowledged last.
//
// The agent that starts next at the same address reads the entry and compares the start
// in it with what its target says of itself. Starts are compared for equality only, for
// clocks jump:
//
//   - The same start: the flows are the target's, and the agent claims them.
//   - Another start: the target of the entry is gone, and its callers are told at once.
//
// For example, T started at 100 and the entry names F1 and F2. All VMs lose power. The
// next target at the address says that it started at 900: F1 and F2 are reset. Had only
// the agent ended, the target would say 100, and the agent would take packets of F1 and
// F2 without asking the target first.
//
// An entry is a hint that may be late, old or another writer's. That is safe: a flow is
// in an entry only if a heartbeat with the same start came after its opening, so it is
// that process's flow or nobody's. What is missing is found as without entries.
//
// # What is written when
//
// A Writer lets an agent write when flows have come that the last entry lacks, or when
// callers have acknowledged so much since that a reset with the old number would be
// ignored. The pause between two writes grows with the number of targets, so all agents
// together stay within a share of the store's rates.
//
// # Usage
//
//	w := checkpoint.NewWriter(checkpoint.Settings{Writes: 4, Flows: 30000})
//	if w.Due(now, targets) {
//		if entry, ok := w.Write(now, present); ok { store(entry) }
//	}
package checkpoint
