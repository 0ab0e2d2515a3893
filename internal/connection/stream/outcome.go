package stream

import (
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Send is a parcel to send to another process.
type Send struct {
	To     netip.AddrPort
	Parcel *wire.Parcel
}

// Reset is a reset packet to send to the caller of a flow.
type Reset struct {
	Flow segment.Flow
	Seq  uint32
}

// Delivery is a packet to deliver to the target, with the mark to set in it.
type Delivery struct {
	Packet     []byte
	PacketMark uint32
}

// EventKind is the name of a decision in logs and counters.
type EventKind string

// Decisions about flows, and changes in the known state of targets.
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
	Short           EventKind = "short"
	// Busy is an opening that an agent returned since its target is loaded, and Overload one
	// that a balancer refused since the targets are.
	Busy     EventKind = "busy"
	Overload EventKind = "overload"
	// HandedOn is an opening that a balancer left to one with a later version.
	HandedOn EventKind = "handed"
)

// Event is a decision with the inputs that led to it.
type Event struct {
	Kind    EventKind
	Flow    segment.Flow
	Target  netip.AddrPort
	Name    string
	Service string
	// Class is that of the flow's requests, where it has decided; nil if it has not.
	Class  *routing.Class
	Reason string
	// Age is the age of the deciding input: a target's report, or a search.
	Age clock.Millis
	// Count depends on the decision: answers, flows or attempts.
	Count int
	// Version is the version of the active routing table.
	Version uint64
}

// Outcome lists the actions that decisions require, in order.
type Outcome struct {
	Sends      []Send
	Resets     []Reset
	Deliveries []Delivery
	// Answers are packets from the target to callers.
	Answers [][]byte
	// Latencies are the times from a request's first packet to the first one of its answer.
	Latencies []clock.Millis
	Events    []Event
}

func (o *Outcome) send(to netip.AddrPort, p *wire.Parcel) {
	o.Sends = append(o.Sends, Send{To: to, Parcel: p})
}

func (o *Outcome) record(e Event) {
	o.Events = append(o.Events, e)
}
