package checkpoint

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	testNow          = 24 * clock.Hour
	testWall         = int64(1_000_000)
	testFlowTTL      = clock.Minute
	testMaxValueSize = 1 << 20
)

func testKeeper() *Keeper {
	return NewKeeper(KeeperSettings{MaxValueSize: testMaxValueSize, FlowTTL: testFlowTTL, WritesPerSecond: 40})
}

// receiveParts gives the parts of an agent's entry to a keeper.
func receiveParts(t *testing.T, k *Keeper, now clock.Millis, agent int, parts []*wire.Checkpoint) {
	t.Helper()
	for _, p := range parts {
		if err := k.Receive(now, testWall, testAgent(agent), p); err != nil {
			t.Fatal(err)
		}
	}
}

func receiveFlows(t *testing.T, k *Keeper, now clock.Millis, agent, flows int) *Sender {
	t.Helper()
	sender := NewSender()
	e := testEntry(agent, flows)
	receiveParts(t, k, now, agent, sender.Parts(&e))
	return sender
}

func flowsByAgent(s *Shard) map[int]int {
	found := map[int]int{}
	for i := range s.Entries {
		ip := s.Entries[i].Agent.Addr().As4()
		found[int(ip[2])<<8|int(ip[3])] = s.Entries[i].Flows.Len()
	}
	return found
}

// Twenty agents send entries at once: they are written in one call, and each agent gets an
// acknowledgement after the call.
func TestKeeperWritesOnceForAll(t *testing.T) {
	k := testKeeper()
	for i := range 20 {
		receiveFlows(t, k, testNow, i, 10)
	}
	due := k.Due(testNow)
	if len(due) != 1 || len(due[0].Entries) != 20 {
		t.Fatalf("%d shards are due", len(due))
	}
	k.ScheduleNext(testNow, 0)
	acks := k.WriteSucceeded(0)
	if len(acks) != 20 || acks[0].Number != 1 || acks[0].WriteInterval != minWriteInterval {
		t.Errorf("acknowledgements: %+v", acks)
	}
	if len(k.WriteSucceeded(0)) != 0 {
		t.Error("acknowledged again")
	}
	receiveFlows(t, k, testNow+100, 3, 11)
	if len(k.Due(testNow+minWriteInterval/2)) != 0 {
		t.Error("written again within the write interval")
	}
	if len(k.Due(testNow+minWriteInterval)) != 1 {
		t.Error("not written after the write interval")
	}
}

// An agent sends a new entry while its last one is being written. The new entry must not
// be acknowledged yet.
func TestUpdateDuringWrite(t *testing.T) {
	k := testKeeper()
	sender := receiveFlows(t, k, testNow, 1, 3)
	k.Due(testNow)
	later := testEntry(1, 5)
	receiveParts(t, k, testNow+10, 1, sender.Parts(&later))
	if acks := k.WriteSucceeded(0); len(acks) != 0 {
		t.Errorf("acknowledged an entry that is not in the store: %+v", acks)
	}
	k.ScheduleNext(testNow, 0)
	k.Due(testNow + minWriteInterval)
	if acks := k.WriteSucceeded(0); len(acks) != 1 || acks[0].Number != 2 {
		t.Errorf("acknowledgements: %+v", acks)
	}
}

// The response to a write is lost, or another keeper has written the shard first: the
// write is retried with a growing delay, and no agent gets an acknowledgement before.
func TestKeeperRetries(t *testing.T) {
	k := testKeeper()
	receiveFlows(t, k, testNow, 1, 3)
	now, before := testNow, clock.Millis(0)
	for i := range 5 {
		if len(k.Due(now)) != 1 {
			t.Fatalf("attempt %d is not due", i)
		}
		k.WriteFailed(0)
		k.ScheduleNext(now, 0.5)
		delay := k.nextWrite - now
		if delay < before || delay > maxRetryInterval {
			t.Fatalf("attempt %d: delay %d after %d", i, delay, before)
		}
		now, before = k.nextWrite, delay
	}
	k.Due(now)
	if acks := k.WriteSucceeded(0); len(acks) != 1 || k.WriteInterval() != minWriteInterval {
		t.Errorf("acknowledgements: %+v, write interval %d", acks, k.WriteInterval())
	}
}

// A balancer becomes the keeper: entries that agents have sent to the previous keeper
// stay in the store until they send others to this one.
func TestKeeperTakesOver(t *testing.T) {
	k := testKeeper()
	fresh, old := testEntry(1, 4), testEntry(2, 4)
	fresh.At, old.At = testWall-1000, testWall-int64(testFlowTTL+maxClockSkew)-1
	k.Load(testNow, testWall, &Shard{Count: 1, Entries: []Entry{fresh, old}})
	if len(k.Due(testNow)) != 0 {
		t.Error("unchanged entries are written again")
	}
	receiveFlows(t, k, testNow, 3, 2)
	due := k.Due(testNow)
	if got := flowsByAgent(&due[0]); len(got) != 2 || got[1] != 4 || got[3] != 2 {
		t.Errorf("the shard has %v", got)
	}
	receiveFlows(t, k, testNow, 1, 9)
	k.Load(testNow, testWall, &Shard{Count: 1, Entries: []Entry{fresh}})
	k.ScheduleNext(testNow, 0)
	due = k.Due(testNow + minWriteInterval)
	if got := flowsByAgent(&due[0]); got[1] != 9 {
		t.Errorf("an entry received from an agent was replaced: %v", got)
	}
}

// The store has four shards, and the balancer that becomes the keeper has already
// received an agent's entry: only the shard of that agent is written.
func TestKeeperTakesOverShards(t *testing.T) {
	const shards = 4
	k := testKeeper()
	receiveFlows(t, k, testNow, 3, 2)
	for i := range shards {
		s := &Shard{Count: shards, Index: i}
		for a := 10; a < 30; a++ {
			if e := testEntry(a, 1); ShardOf(e.Agent, shards) == i {
				e.At = testWall
				s.Entries = append(s.Entries, e)
			}
		}
		k.Load(testNow, testWall, s)
	}
	due := k.Due(testNow)
	if len(due) != 1 || due[0].Index != ShardOf(testAgent(3), shards) || due[0].Count != shards {
		t.Fatalf("due: %+v", due)
	}
	if flowsByAgent(&due[0])[3] != 2 {
		t.Error("the agent's entry is not in its shard")
	}
}

// A VM does not return, or its target has left: the entry is removed.
func TestEntriesAreRemoved(t *testing.T) {
	k := testKeeper()
	receiveFlows(t, k, testNow, 1, 2)
	receiveFlows(t, k, testNow, 2, 2)
	k.Remove(func(a netip.AddrPort) bool { return a == testAgent(2) })
	late := testNow + testFlowTTL + maxClockSkew + 1
	receiveFlows(t, k, late, 3, 2)
	due := k.Due(late)
	if got := flowsByAgent(&due[0]); len(got) != 1 || got[3] != 2 {
		t.Errorf("the shard has %v", got)
	}
}

// Parts are lost, duplicated and out of order, and those of two entries are mixed: only
// a complete entry is written.
func TestPartsOutOfOrder(t *testing.T) {
	k := testKeeper()
	sender := NewSender()
	first, second := testEntry(1, 200), testEntry(1, 170)
	a, b := sender.Parts(&first), sender.Parts(&second)
	receiveParts(t, k, testNow, 1, []*wire.Checkpoint{a[2], a[0], a[0], b[1], a[1], b[1]})
	if len(k.Due(testNow)) != 0 {
		t.Fatal("an incomplete entry is written")
	}
	receiveParts(t, k, testNow, 1, []*wire.Checkpoint{b[2], b[0], b[1]})
	due := k.Due(testNow)
	if len(due) != 1 || flowsByAgent(&due[0])[1] != 170 {
		t.Errorf("due: %v", due)
	}
	for _, p := range []*wire.Checkpoint{
		{},
		{Born: 1, Number: 1, Parts: 1, Flows: []byte{1}},
		{Born: 1, Number: 1, Parts: 1 << 30},
		{Born: 1, Number: 1, Parts: 1, Part: 1},
		{Number: 1, Parts: 1},
	} {
		if k.Receive(testNow, testWall, testAgent(1), p) == nil {
			t.Errorf("accepted: %v", p)
		}
	}
}

// A failure domain has the size that is planned for in two years: each shard fits a value
// of the store, agents find all their entries, and bytes, calls and memory stay within
// their bounds.
func TestKeeperAtPlannedSize(t *testing.T) {
	const targets, flows = 471, 2364
	k := testKeeper()
	k.SetDomainCount(7)
	for i := range targets {
		receiveFlows(t, k, testNow, i, flows)
	}
	written, found, held := 0, 0, 0
	due := k.Due(testNow)
	for i := range due {
		data, err := json.Marshal(due[i])
		if err != nil || len(data) > testMaxValueSize {
			t.Fatalf("a shard of %d bytes: %v", len(data), err)
		}
		written += len(data)
		for j := range due[i].Entries {
			e := &due[i].Entries[j]
			if ShardOf(e.Agent, due[i].Count) == due[i].Index {
				found++
			}
			held += e.Flows.Len() * flowSize
		}
	}
	interval := float64(k.WriteInterval()) / float64(clock.Second)
	t.Logf("%d shards, %d bytes, %.0f%% of the flows, a write interval of %.0f s", len(due), written,
		100*float64(held)/(targets*flows*flowSize), interval)
	if found != targets {
		t.Errorf("%d of %d targets are found", found, targets)
	}
	if rate := float64(written) / interval; rate > targets*writeBytesPerTarget {
		t.Errorf("%.0f bytes a second", rate)
	}
	if calls := float64(len(due)*7) / interval; calls > 40 {
		t.Errorf("%.1f calls a second by all keepers", calls)
	}
	if held > maxFlowBytes {
		t.Errorf("%d bytes are held", held)
	}
}

// Two balancers replace each other as keepers every second. Each writes at once when it begins,
// more often than the store's limit allows.
func TestKeeperThatReturnsWritesNotSooner(t *testing.T) {
	k := testKeeper()
	receiveFlows(t, k, testNow, 1, 1)
	if len(k.Due(testNow)) != 1 {
		t.Fatal("the first entry is not due")
	}
	k.WriteSucceeded(0)
	k.ScheduleNext(testNow, 0)
	k.Reset()
	receiveFlows(t, k, testNow+clock.Second, 1, 2)
	if due := k.Due(testNow + clock.Second); len(due) != 0 {
		t.Errorf("%d shards are due a second after the last write", len(due))
	}
	if due := k.Due(testNow + 2*minWriteInterval); len(due) != 1 {
		t.Errorf("%d shards are due after the interval", len(due))
	}
}

// A keeper whose writes have failed for long is replaced, and begins again when the store
// answers. Its first write waits as if the failures went on.
func TestKeeperThatReturnsForgetsFailures(t *testing.T) {
	k := testKeeper()
	now := testNow
	receiveFlows(t, k, now, 1, 1)
	for range 6 {
		k.Due(now)
		k.WriteFailed(0)
		k.ScheduleNext(now, 1)
		now += maxRetryInterval * 2
	}
	k.ScheduleNext(now, 1)
	k.Reset()
	receiveFlows(t, k, now+minWriteInterval, 1, 2)
	if due := k.Due(now + 2*minWriteInterval); len(due) != 1 {
		t.Errorf("%d shards are due after the interval", len(due))
	}
}
