package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Send is a parcel for another process.
type Send struct {
	To     netip.AddrPort
	Parcel *wire.Parcel
}

// Reset ends a flow at its caller.
type Reset struct {
	Flow segment.Flow
	Seq  uint32
}

// Delivery is a packet for the target, marked with an echo.
type Delivery struct {
	Packet []byte
	Echo   uint32
}

// Kind names a decision in logs and counters.
type EventKind string

// Decisions about requests, and changes of beliefs.
const (
	Opened          EventKind = "open"
	Reopened        EventKind = "reopen"
	OwnerConfirmed  EventKind = "took"
	Declined        EventKind = "declined"
	Refused         EventKind = "refused"
	NoTarget        EventKind = "untargeted"
	Unrouted        EventKind = "unrouted"
	SearchStarted   EventKind = "search"
	OwnerFound      EventKind = "found"
	SearchFailed    EventKind = "unowned"
	OwnerDenied     EventKind = "disowned"
	FlowReset       EventKind = "ended"
	TargetNew       EventKind = "target"
	TargetSuspected EventKind = "suspected"
	TargetRecovered EventKind = "recovered"
	TargetGone      EventKind = "gone"
	Upstream        EventKind = "upstream"
	Accepted        EventKind = "accepted"
	Returned        EventKind = "returned"
	Failed          EventKind = "failed"
	Restored        EventKind = "restored"
	Queued          EventKind = "waits"
	Evacuation      EventKind = "evacuation"
)

// Event is one decision with what decided it.
type Event struct {
	Kind    EventKind
	Flow    segment.Flow
	Target  netip.AddrPort
	Name    string
	Service string
	Reason  string
	// Age is how old the deciding input is: a target's report, or a search.
	Age clock.Millis
	// Count is what the decision counted: answers, flows or attempts.
	Count int
	// Version is the routing table in force.
	Version uint64
}

// Outcome is what decisions want done, in order.
type Outcome struct {
	Sends      []Send
	Resets     []Reset
	Deliveries []Delivery
	// Answers are packets of the target for callers.
	Answers [][]byte
	// Served are the times from a request's first packet to its answer's.
	Latencies []clock.Millis
	Events    []Event
}

func (o *Outcome) send(to netip.AddrPort, p *wire.Parcel) {
	o.Sends = append(o.Sends, Send{To: to, Parcel: p})
}

func (o *Outcome) record(e Event) {
	o.Events = append(o.Events, e)
}
