// Package stream decides where the packets of connections go: Steerer makes the
// decisions of a balancer, Tracker those of the agent beside a target.
//
// # The model
//
// A flow is owned by the target that accepted its opening packet. Any packet may
// reach any balancer, and balancers do not coordinate ownership; each looks it up:
//
//   - An opening packet goes to the target of the service with the lowest cost. An
//     agent that cannot take it returns it, and the balancer chooses again. An agent
//     that takes it confirms this, and the balancer records the owner.
//   - Any other packet goes to the recorded owner. If there is none, or the agent
//     returns the packet, the balancer starts a search: it asks agents whether their
//     targets hold the flow, and buffers the packet until one confirms.
//
// An agent sees all packets of its target, in both directions, so it knows which
// flows the target holds. The exception is an agent that started later than its
// target: it is unsure of flows that it has never seen, and forwards such a packet
// to the target, which takes it or returns it.
//
// # Two targets with one opening packet
//
// A retransmitted opening packet may reach a second target. This is harmless: both
// accept, the caller acknowledges one of them, and the acknowledged sequence number
// identifies it. The agent of the other target sees that the number is not its
// target's and denies the flow.
//
// For example, T1 is slow and the second copy of an opening packet goes to T2. The
// caller receives T1's answer first and acknowledges it. The balancer sends that packet
// to T2, whose agent returns it; a search finds T1.
//
// # Load
//
// While targets have free slots, the cost of a target is the fraction of its slots in use
// and flows stay in their failure domain. Once a target has none, the cost is the time until
// the target has answered what it has got, and a failure domain that is short sends a share
// of its flows to others that have room.
//
// For example, T1 takes three times as long as T2 and T3 and all have four requests in
// progress. The next flows go to T2 and T3.
//
// # Suspicion
//
// A target whose agent does not answer probes is suspected. It gets no opening
// packets while another target is available; packets of its flows still go to it.
// Silence removes no target.
//
// # Outliers
//
// A target may be reachable and still fail: it accepts flows and resets them when a
// request arrives. Its agent detects that and reports the target as failing. It then
// gets no new flows, unless most targets of the service fail, and is tried with two
// flows from time to time.
//
// For example, T1 resets three requests in a row. Balancers choose T2 and T3 for a
// second. Then two flows go to T1: one is reset, and T1 is ejected for two seconds.
//
// # Usage
//
//	s := stream.NewSteerer(now, stream.Settings{...})
//	s.HandlePacket(now, &seg, packet)
//	s.HandleParcel(now, from, parcel, &seg)
//	s.Tick(now)
//	for _, send := range s.TakeOutcome().Sends { ... }
//
// Decisions do no I/O: time and randomness are arguments, and what is to be sent
// is collected until TakeOutcome returns it.
package stream
