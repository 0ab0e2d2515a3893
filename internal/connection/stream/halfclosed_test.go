package stream

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// A half-closed flow was forgotten by its agent ten seconds after the target had ended it, so
// that the caller's last packets were returned and the flow reset.
func TestHalfClosedFlowIsKept(t *testing.T) {
	for _, c := range []struct {
		name           string
		caller, target segment.Flags
		after          clock.Millis
		want           wire.Holding
	}{
		{"ended by the target", 0, segment.Ends, testFlowTTL / 2, wire.Holding_HOLDING_OWNED},
		{"ended by the caller", segment.Ends, 0, testFlowTTL / 2, wire.Holding_HOLDING_OWNED},
		{"ended by the target, long ago", 0, segment.Ends, testFlowTTL + 2000, wire.Holding_HOLDING_NOT},
		{"ended by both", segment.Ends, segment.Ends, endedFlowRetention + 2000, wire.Holding_HOLDING_NOT},
		{"reset by the target", 0, segment.Resets, endedFlowRetention + 2000, wire.Holding_HOLDING_NOT},
	} {
		tr := newAgentWithoutTarget()
		sendHeartbeat(tr, testNow, 500, 1)
		openFlow(tr, testNow+100, 1)
		id := callerFlow(1)
		fromCaller := segment.Segment{Source: id.Caller, Destination: id.Listener, Flags: segment.Acks | c.caller, Ack: 1000}
		tr.HandleParcel(testNow+200, testAddress(1, 0), &wire.Parcel{
			Verb: wire.Verb_VERB_CARRY, Service: "one", Packet: encode(fromCaller),
		}, &fromCaller)
		fromTarget := segment.Segment{Source: id.Listener, Destination: id.Caller, Flags: segment.Acks | c.target, Seq: 1000}
		tr.HandleTargetPacket(testNow+201, &fromTarget, encode(fromTarget))
		tr.Tick(testNow + 201 + c.after)
		if got := tr.holding(testNow+201+c.after, id, 1000); got != c.want {
			t.Errorf("%s, after %d ms: holding %v, want %v", c.name, c.after, got, c.want)
		}
	}
}
