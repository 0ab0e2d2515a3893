package checkpoint

import (
	"encoding/binary"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// acked returns flows of which the i-th has another acknowledgement.
func acked(flows Flows, i int, ack uint32) Flows {
	out := append(Flows{}, flows...)
	binary.BigEndian.PutUint32(out[(i+1)*flowSize-4:], ack)
	return out
}

// A board's viewers keep their flows for minutes: nothing is sent until a new flow
// comes, or until a caller is so far on that it would ignore a reset.
func TestWriterSendsWhatIsNew(t *testing.T) {
	w := NewWriter()
	e := testEntry(1, 5)
	if !w.Changed(&e) {
		t.Fatal("the first flows are not sent")
	}
	w.Parts(&e)
	if !w.Changed(&e) {
		t.Fatal("not sent again although nobody has said that they are kept")
	}
	w.Kept(1, 0)
	for _, c := range []struct {
		name  string
		entry Entry
		want  bool
	}{
		{"the same flows", e, false},
		{"flows have ended", Entry{Born: e.Born, Flows: testFlows(3)}, false},
		{"a packet was overtaken", Entry{Born: e.Born, Flows: acked(e.Flows, 2, 190)}, false},
		{"a reset would be ignored", Entry{Born: e.Born, Flows: acked(e.Flows, 2, 201+staleAck)}, true},
		{"a new flow", Entry{Born: e.Born, Flows: testFlows(6)}, true},
		{"another target", Entry{Born: e.Born + 1, Flows: e.Flows}, true},
		{"another target without flows", Entry{Born: e.Born + 1}, false},
	} {
		if got := w.Changed(&c.entry); got != c.want {
			t.Errorf("%s: sent %v, want %v", c.name, got, c.want)
		}
	}
}

// The word that an entry is kept comes late, after a later one was sent: what is new in
// that one must not count as kept.
func TestLateWordOfTheKeeper(t *testing.T) {
	w := NewWriter()
	first, second := testEntry(1, 2), testEntry(1, 4)
	w.Parts(&first)
	w.Parts(&second)
	if w.Kept(1, 0) || !w.Changed(&second) {
		t.Error("the word about the first entry counts for the second")
	}
	if !w.Kept(2, 0) || w.Changed(&second) {
		t.Error("the word about the second entry does not count")
	}
}

// Agents pause as their keeper does, which has to write for hundreds of targets.
func TestWriterPausesWithTheKeeper(t *testing.T) {
	w := NewWriter()
	e := testEntry(1, 1)
	w.Parts(&e)
	for _, c := range []struct{ keeper, want clock.Millis }{
		{0, leastSend}, {2 * clock.Second, leastSend}, {20 * clock.Second, 10 * clock.Second}, {clock.Hour, mostSend},
	} {
		w.Kept(1, c.keeper)
		w.next = 0
		if !w.Due(testNow) || w.Due(testNow+c.want-1) || !w.Due(testNow+c.want) {
			t.Errorf("keeper pauses %d: the next look is not %d later", c.keeper, c.want)
		}
	}
}

// A target holds more flows than an entry: those that were used last are in it, in
// parts that fit a frame.
func TestParts(t *testing.T) {
	w := NewWriter()
	e := testEntry(1, mostFlows+50)
	parts := w.Parts(&e)
	total := 0
	for i, p := range parts {
		if int(p.Part) != i || int(p.Parts) != len(parts) || p.SizeVT() > 1400 {
			t.Errorf("part %d of %d says %d of %d and has %d bytes", i, len(parts), p.Part, p.Parts, p.SizeVT())
		}
		total += Flows(p.Flows).Len()
	}
	if total != mostFlows || len(parts) > mostParts {
		t.Errorf("%d flows in %d parts", total, len(parts))
	}
	for f := range Flows(parts[0].Flows).All() {
		if f != testFlow(50) {
			t.Errorf("the first flow is %v, want the 51st", f)
		}
		break
	}
}
