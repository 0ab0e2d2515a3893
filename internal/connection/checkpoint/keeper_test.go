package checkpoint

import (
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	testNow   = 24 * clock.Hour
	testWall  = int64(1_000_000)
	testLife  = clock.Minute
	testValue = 1 << 20
)

func testKeeper() *Keeper {
	return NewKeeper(KeeperSettings{Value: testValue, Life: testLife, Writes: 40})
}

// tell sends the parts of an agent's entry to a keeper.
func tell(t *testing.T, k *Keeper, now clock.Millis, agent int, parts []*wire.Checkpoint) {
	t.Helper()
	for _, p := range parts {
		if err := k.Hear(now, testWall, testAgent(agent), p); err != nil {
			t.Fatal(err)
		}
	}
}

func tellFlows(t *testing.T, k *Keeper, now clock.Millis, agent, flows int) *Writer {
	t.Helper()
	w := NewWriter()
	e := testEntry(agent, flows)
	tell(t, k, now, agent, w.Parts(&e))
	return w
}

func names(s *Sheet) map[int]int {
	found := map[int]int{}
	for i := range s.Entries {
		ip := s.Entries[i].Agent.Addr().As4()
		found[int(ip[2])<<8|int(ip[3])] = s.Entries[i].Flows.Len()
	}
	return found
}

// Twenty agents have news at once: it is one call, and each is told once it is made.
func TestKeeperWritesOnceForAll(t *testing.T) {
	k := testKeeper()
	for i := range 20 {
		tellFlows(t, k, testNow, i, 10)
	}
	due := k.Due(testNow)
	if len(due) != 1 || len(due[0].Entries) != 20 {
		t.Fatalf("%d sheets are due", len(due))
	}
	k.Rest(testNow, 0)
	acks := k.Wrote(0)
	if len(acks) != 20 || acks[0].Number != 1 || acks[0].Pause != leastPause {
		t.Errorf("told: %+v", acks)
	}
	if len(k.Wrote(0)) != 0 {
		t.Error("told again")
	}
	tellFlows(t, k, testNow+100, 3, 11)
	if len(k.Due(testNow+leastPause/2)) != 0 {
		t.Error("written again within the pause")
	}
	if len(k.Due(testNow+leastPause)) != 1 {
		t.Error("not written after the pause")
	}
}

// An agent's news come while its entry is being written: it must not be told that they
// are kept.
func TestNewsDuringAWrite(t *testing.T) {
	k := testKeeper()
	w := tellFlows(t, k, testNow, 1, 3)
	k.Due(testNow)
	later := testEntry(1, 5)
	tell(t, k, testNow+10, 1, w.Parts(&later))
	if acks := k.Wrote(0); len(acks) != 0 {
		t.Errorf("told %+v of an entry that is not in the store", acks)
	}
	k.Rest(testNow, 0)
	k.Due(testNow + leastPause)
	if acks := k.Wrote(0); len(acks) != 1 || acks[0].Number != 2 {
		t.Errorf("told %+v", acks)
	}
}

// The answer to a write is lost, or another keeper was faster: the sheet is written
// again, later each time, and nobody is told before.
func TestKeeperTriesAgain(t *testing.T) {
	k := testKeeper()
	tellFlows(t, k, testNow, 1, 3)
	now, before := testNow, clock.Millis(0)
	for i := range 5 {
		if len(k.Due(now)) != 1 {
			t.Fatalf("try %d is not due", i)
		}
		k.Failed(0)
		k.Rest(now, 0.5)
		pause := k.next - now
		if pause < before || pause > mostPause {
			t.Fatalf("try %d after %d, before %d", i, pause, before)
		}
		now, before = k.next, pause
	}
	k.Due(now)
	if acks := k.Wrote(0); len(acks) != 1 || k.Pause() != leastPause {
		t.Errorf("told %+v, pause %d", acks, k.Pause())
	}
}

// A balancer becomes the keeper: what agents have told the one before stays in the
// store until they tell this one something else.
func TestKeeperTakesOver(t *testing.T) {
	k := testKeeper()
	fresh, old := testEntry(1, 4), testEntry(2, 4)
	fresh.At, old.At = testWall-1000, testWall-int64(testLife+clockSlack)-1
	k.Load(testNow, testWall, &Sheet{Shards: 1, Entries: []Entry{fresh, old}})
	if len(k.Due(testNow)) != 0 {
		t.Error("what is in the store is written again")
	}
	tellFlows(t, k, testNow, 3, 2)
	due := k.Due(testNow)
	if got := names(&due[0]); len(got) != 2 || got[1] != 4 || got[3] != 2 {
		t.Errorf("the sheet has %v", got)
	}
	tellFlows(t, k, testNow, 1, 9)
	k.Load(testNow, testWall, &Sheet{Shards: 1, Entries: []Entry{fresh}})
	k.Rest(testNow, 0)
	due = k.Due(testNow + leastPause)
	if got := names(&due[0]); got[1] != 9 {
		t.Errorf("what an agent has said itself was replaced: %v", got)
	}
}

// The store has four objects, and the balancer that takes over has heard an agent
// already: only that agent's object is written.
func TestKeeperTakesOverShards(t *testing.T) {
	const shards = 4
	k := testKeeper()
	tellFlows(t, k, testNow, 3, 2)
	for i := range shards {
		s := &Sheet{Shards: shards, Shard: i}
		for a := 10; a < 30; a++ {
			if e := testEntry(a, 1); ShardOf(e.Agent, shards) == i {
				e.At = testWall
				s.Entries = append(s.Entries, e)
			}
		}
		k.Load(testNow, testWall, s)
	}
	due := k.Due(testNow)
	if len(due) != 1 || due[0].Shard != ShardOf(testAgent(3), shards) || due[0].Shards != shards {
		t.Fatalf("due: %+v", due)
	}
	if names(&due[0])[3] != 2 {
		t.Error("the agent's entry is not in its object")
	}
}

// A VM is gone for good, or its target has left: the entry goes.
func TestEntriesEnd(t *testing.T) {
	k := testKeeper()
	tellFlows(t, k, testNow, 1, 2)
	tellFlows(t, k, testNow, 2, 2)
	k.Drop(func(a netip.AddrPort) bool { return a == testAgent(2) })
	late := testNow + testLife + clockSlack + 1
	tellFlows(t, k, late, 3, 2)
	due := k.Due(late)
	if got := names(&due[0]); len(got) != 1 || got[3] != 2 {
		t.Errorf("the sheet has %v", got)
	}
}

// Parts are lost, doubled and out of order, and those of two entries are mixed: only
// a whole entry counts.
func TestPartsOutOfOrder(t *testing.T) {
	k := testKeeper()
	w := NewWriter()
	first, second := testEntry(1, 200), testEntry(1, 170)
	a, b := w.Parts(&first), w.Parts(&second)
	tell(t, k, testNow, 1, []*wire.Checkpoint{a[2], a[0], a[0], b[1], a[1], b[1]})
	if len(k.Due(testNow)) != 0 {
		t.Fatal("an entry of which parts are missing is written")
	}
	tell(t, k, testNow, 1, []*wire.Checkpoint{b[2], b[0], b[1]})
	due := k.Due(testNow)
	if len(due) != 1 || names(&due[0])[1] != 170 {
		t.Errorf("due: %v", due)
	}
	for _, p := range []*wire.Checkpoint{
		{},
		{Born: 1, Number: 1, Parts: 1, Flows: []byte{1}},
		{Born: 1, Number: 1, Parts: 1 << 30},
		{Born: 1, Number: 1, Parts: 1, Part: 1},
		{Number: 1, Parts: 1},
	} {
		if k.Hear(testNow, testWall, testAgent(1), p) == nil {
			t.Errorf("taken: %v", p)
		}
	}
}

// A failure domain at the size of two years: each object fits a value of the store, all
// flows are found by their agents, and bytes, calls and memory keep their bounds.
func TestKeeperAtTheSizeOfTwoYears(t *testing.T) {
	const targets, flows = 471, 2364
	k := testKeeper()
	k.SetDomains(7)
	for i := range targets {
		tellFlows(t, k, testNow, i, flows)
	}
	written, found, held := 0, 0, 0
	due := k.Due(testNow)
	for i := range due {
		data, err := json.Marshal(due[i])
		if err != nil || len(data) > testValue {
			t.Fatalf("a sheet of %d bytes: %v", len(data), err)
		}
		written += len(data)
		for j := range due[i].Entries {
			e := &due[i].Entries[j]
			if ShardOf(e.Agent, due[i].Shards) == due[i].Shard {
				found++
			}
			held += e.Flows.Len() * flowSize
		}
	}
	pause := float64(k.Pause()) / float64(clock.Second)
	t.Logf("%d objects, %d bytes, %.0f%% of the flows, a pause of %.0f s", len(due), written,
		100*float64(held)/(targets*flows*flowSize), pause)
	if found != targets {
		t.Errorf("%d of %d targets are found", found, targets)
	}
	if rate := float64(written) / pause; rate > targets*bytesPerTarget {
		t.Errorf("%.0f bytes a second", rate)
	}
	if calls := float64(len(due)*7) / pause; calls > 40 {
		t.Errorf("%.1f calls a second by all keepers", calls)
	}
	if held > mostBytes {
		t.Errorf("%d bytes are held", held)
	}
}
