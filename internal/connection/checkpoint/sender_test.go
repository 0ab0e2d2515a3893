package checkpoint

import (
	"encoding/binary"
	"testing"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// withAck returns a copy of flows in which the i-th has another acknowledgement.
func withAck(flows Flows, i int, ack uint32) Flows {
	out := append(Flows{}, flows...)
	binary.BigEndian.PutUint32(out[(i+1)*flowSize-4:], ack)
	return out
}

// Callers keep their flows for minutes. Nothing is sent until there is a new flow, or until
// a caller has acknowledged so much more that it would ignore a reset.
func TestSenderSendsChanges(t *testing.T) {
	s := NewSender()
	e := testEntry(1, 5)
	if !s.NeedsSend(&e) {
		t.Fatal("the first flows are not sent")
	}
	s.Parts(&e)
	if !s.NeedsSend(&e) {
		t.Fatal("not sent again although it was not acknowledged")
	}
	s.Acknowledge(1, 0)
	for _, c := range []struct {
		name  string
		entry Entry
		want  bool
	}{
		{"the same flows", e, false},
		{"flows have ended", Entry{Born: e.Born, Flows: testFlows(3)}, false},
		{"a packet was overtaken", Entry{Born: e.Born, Flows: withAck(e.Flows, 2, 190)}, false},
		{"a reset would be ignored", Entry{Born: e.Born, Flows: withAck(e.Flows, 2, 201+maxAckLag)}, true},
		{"a new flow", Entry{Born: e.Born, Flows: testFlows(6)}, true},
		{"another target", Entry{Born: e.Born + 1, Flows: e.Flows}, true},
		{"another target without flows", Entry{Born: e.Born + 1}, false},
	} {
		if got := s.NeedsSend(&c.entry); got != c.want {
			t.Errorf("%s: sent %v, want %v", c.name, got, c.want)
		}
	}
}

// A target has no flows. Its entry must be in the store all the same, and again after it
// may have expired there: balancers that replace all others would not know the target.
func TestTargetWithoutFlowsIsListed(t *testing.T) {
	s, k := NewSender(), testKeeper()
	e := testEntry(1, 0)
	for i, at := range []clock.Millis{testNow, testNow + listedTTL + 1} {
		if !s.Due(at) || !s.NeedsSend(&e) {
			t.Fatalf("entry %d is not sent", i)
		}
		receiveParts(t, k, at, 1, s.Parts(&e))
		if due := k.Due(at); len(due) != 1 || len(due[0].Entries) != 1 {
			t.Fatalf("entry %d is not written: %v", i, due)
		}
		k.ScheduleNext(at, 0)
		s.Acknowledge(k.WriteSucceeded(0)[0].Number, 0)
		if s.NeedsSend(&e) {
			t.Errorf("entry %d is sent again", i)
		}
	}
	s.Forget()
	if !s.NeedsSend(&e) {
		t.Error("not sent after a target that has left")
	}
}

// The acknowledgement of an entry arrives after a later one was sent. The flows that are
// new in the later one must not count as stored.
func TestLateAcknowledgement(t *testing.T) {
	s := NewSender()
	first, second := testEntry(1, 2), testEntry(1, 4)
	s.Parts(&first)
	s.Parts(&second)
	if s.Acknowledge(1, 0) || !s.NeedsSend(&second) {
		t.Error("the acknowledgement of the first entry counts for the second")
	}
	if !s.Acknowledge(2, 0) || s.NeedsSend(&second) {
		t.Error("the acknowledgement of the second entry does not count")
	}
}

// An agent's send interval follows the write interval of its keeper, which has to write for
// hundreds of targets.
func TestSendIntervalFollowsKeeper(t *testing.T) {
	s := NewSender()
	e := testEntry(1, 1)
	s.Parts(&e)
	for _, c := range []struct{ keeper, want clock.Millis }{
		{0, minSendInterval}, {2 * clock.Second, minSendInterval}, {20 * clock.Second, 10 * clock.Second}, {clock.Hour, maxSendInterval},
	} {
		s.Acknowledge(1, c.keeper)
		s.nextDue = 0
		if !s.Due(testNow) || s.Due(testNow+c.want-1) || !s.Due(testNow+c.want) {
			t.Errorf("keeper writes every %d: the next check is not %d later", c.keeper, c.want)
		}
	}
}

// A target has more flows than fit an entry. The entry has those that were used last, in
// parts that fit a frame.
func TestParts(t *testing.T) {
	s := NewSender()
	e := testEntry(1, maxFlows+50)
	parts := s.Parts(&e)
	total := 0
	for i, p := range parts {
		if int(p.Part) != i || int(p.Parts) != len(parts) || p.SizeVT() > 1400 {
			t.Errorf("part %d of %d is numbered %d of %d and has %d bytes", i, len(parts), p.Part, p.Parts, p.SizeVT())
		}
		total += Flows(p.Flows).Len()
	}
	if total != maxFlows || len(parts) > maxParts {
		t.Errorf("%d flows in %d parts", total, len(parts))
	}
	for f := range Flows(parts[0].Flows).All() {
		if f != testFlow(50) {
			t.Errorf("the first flow is %v, want the 51st", f)
		}
		break
	}
}
