package stream

import "github.com/wagtailtray/wagtailtray/pkg/clock"

// retransmissionTimeout is how long after a flow's first opening packet another one may be a
// retransmission. A caller sends the last one after 600 ms and gives up after 1.4 s.
const retransmissionTimeout = 2 * clock.Second

// opening is what a process knows of a flow's opening packet.
type opening struct {
	// seq is the sequence number that all copies carry; seen is set if one arrived here.
	seq  uint32
	seen bool
	// at is when the first copy arrived. If none did, it is when the flow became known
	// here, which is later than its opening.
	at clock.Millis
}

func seenOpening(now clock.Millis, seq uint32) opening {
	return opening{seq: seq, seen: true, at: now}
}

func unseenOpening(now clock.Millis) opening {
	return opening{at: now}
}

// mayResend reports whether an opening packet may be a retransmission of this one, and not
// that of a new flow from a port that its caller uses again. ended is whether the flow has
// ended.
//
// A caller may use the same sequence number for all its flows, so an equal number proves
// nothing once the caller has given up. Without a number, the end of the flow decides: a
// flow that has ended is not opened any more.
func (o opening) mayResend(now clock.Millis, seq uint32, ended bool) bool {
	if now.Sub(o.at) > retransmissionTimeout {
		return false
	}
	if o.seen {
		return seq == o.seq
	}
	return !ended
}
