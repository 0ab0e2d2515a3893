package checkpoint

import (
	"encoding/json"
	"errors"
	"net/netip"
	"reflect"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
)

func testFlow(i int) Flow {
	return Flow{
		ID: segment.Flow{
			Caller:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), uint16(1000+i)),
			Listener: netip.MustParseAddrPort("198.18.0.1:443"),
		},
		Ack: uint32(i) * 100,
	}
}

func testFlows(count int) Flows {
	var flows Flows
	for i := range count {
		flows = flows.Append(testFlow(i))
	}
	return flows
}

func testAgent(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
}

func testEntry(agent, flows int) Entry {
	return Entry{
		Agent: testAgent(agent), Service: "one", Born: 1000, Writer: 7, At: 5000, Flows: testFlows(flows),
	}
}

func TestShardRoundTrip(t *testing.T) {
	want := Shard{Count: 4, Index: 2, Entries: []Entry{testEntry(1, 0), testEntry(2, 1), testEntry(3, 300)}}
	want.Entries[0].Flows = nil
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got Shard
	if err := json.Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	for i := range want.Entries {
		g, w := got.Entries[i], want.Entries[i]
		if !sameFlows(g.Flows, w.Flows) {
			t.Errorf("entry %d has different flows", i)
		}
		g.Flows, w.Flows = nil, nil
		if !reflect.DeepEqual(g, w) {
			t.Errorf("got %+v, want %+v", g, w)
		}
	}
	if got.Count != 4 || got.Index != 2 {
		t.Errorf("got shard %d of %d", got.Index, got.Count)
	}
}

// sameFlows reports whether the flows are the same, in any order, with acknowledgements
// that differ by rounding only.
func sameFlows(got, want Flows) bool {
	acks := map[segment.Flow]uint32{}
	for f := range got.All() {
		acks[f.ID] = f.Ack
	}
	for f := range want.All() {
		ack, ok := acks[f.ID]
		if off := int32(ack - f.Ack); !ok || off > ackUnit/2 || off < -ackUnit/2 {
			return false
		}
	}
	return got.Len() == want.Len()
}

// A caller continues after the entry was stored. It must still accept a reset, which it
// does within 76,800 bytes of its last acknowledgement.
func TestResetStaysWithinTheWindow(t *testing.T) {
	for _, ack := range []uint32{0, 1, ackUnit - 1, ackUnit, 1<<32 - 1} {
		e := Entry{Agent: testAgent(1), Born: 1, Flows: Flows{}.Append(Flow{ID: testFlow(1).ID, Ack: ack})}
		data, err := json.Marshal(Shard{Count: 1, Entries: []Entry{e}})
		if err != nil {
			t.Fatal(err)
		}
		var s Shard
		if err := json.Unmarshal(data, &s); err != nil {
			t.Fatal(err)
		}
		for f := range s.Entries[0].Flows.All() {
			for _, later := range []uint32{ack, ack + maxAckLag} {
				if off := int32(f.Ack - later); off > 76_800 || off < -76_800 {
					t.Errorf("acknowledged %d, stored %d, then acknowledged %d", ack, f.Ack, later)
				}
			}
		}
	}
}

// Calls to the store are paid for by their bytes: callers from a few networks take some
// seven bytes each.
func TestEntriesAreSmall(t *testing.T) {
	const flows = 1000
	e := testEntry(1, flows)
	data, err := json.Marshal(Shard{Count: 1, Entries: []Entry{e}})
	if err != nil {
		t.Fatal(err)
	}
	if each := float64(len(data)) / flows; each > 8 {
		t.Errorf("a flow takes %.1f bytes in the store", each)
	}
	if len(data) > e.maxStoredSize()+128 {
		t.Errorf("an entry takes %d bytes, with a bound of %d", len(data), e.maxStoredSize())
	}
}

// An object of another writer has the domain's name. It must be distinguished from a
// shard, and a shard of a later version of the product from malformed data.
func TestInvalidShard(t *testing.T) {
	for _, c := range []struct {
		text string
		want error
	}{
		{`{"format":2,"shards":"many"}`, ErrFormat},
		{`{"format":2}`, ErrFormat},
		{`{"format":0,"shards":1}`, ErrUnreadable},
		{`{"format":1,"shards":0}`, ErrUnreadable},
		{`{"format":1,"shards":2,"shard":2}`, ErrUnreadable},
		{`{"format":1,"shards":1000000}`, ErrUnreadable},
		{`{"format":1,"shards":1,"entries":1}`, ErrUnreadable},
		{`{"format":1,"shards":1,"entries":1,"data":"AAAA"}`, ErrUnreadable},
		{`{"format":1,"shards":1,"entries":1,"data":"?"}`, ErrUnreadable},
		{`{"format":1,"shards":1,"entries":1,"data":"CgAAARtYAAAAAAAA"}`, ErrUnreadable},
		{`{"format":1,"shards":1,"entries":1,"data":"CgAAARtY/////////////w=="}`, ErrUnreadable},
		{`[]`, ErrUnreadable},
		{`{}`, ErrUnreadable},
	} {
		var s Shard
		if err := s.UnmarshalJSON([]byte(c.text)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.text, err, c.want)
		}
		if !reflect.DeepEqual(s, Shard{}) {
			t.Errorf("%s: the shard was changed to %+v", c.text, s)
		}
	}
}

func FuzzSheet(f *testing.F) {
	data, err := json.Marshal(Shard{Count: 1, Entries: []Entry{testEntry(1, 3)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"format":1,"shards":1,"entries":1,"data":"CgAAARtY/////////////w=="}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Shard
		if json.Unmarshal(data, &s) != nil {
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var second Shard
		if err := json.Unmarshal(again, &second); err != nil || len(second.Entries) != len(s.Entries) {
			t.Errorf("%s became %s: %v", data, again, err)
		}
		for i := range s.Entries {
			for range s.Entries[i].Flows.All() {
				continue
			}
		}
	})
}
