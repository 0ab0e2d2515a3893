// Package stream decides where the packets of connections go: a Steerer for a
// balancer, a Holder for the agent beside a target.
//
// # The model
//
// A flow is owned by the target that accepted its opening. Any packet may reach
// any balancer, so ownership is found, not agreed upon:
//
//   - An opening goes to the target of the service that costs least. An agent
//     that cannot take it returns it, and the balancer chooses again. An agent
//     that takes it says so, and the balancer remembers the owner.
//   - Any other packet goes to the owner that the balancer remembers. If it
//     remembers none, or the agent returns the packet, the balancer searches: it
//     asks agents whether their targets hold the flow, and keeps the packet
//     until one says yes.
//
// An agent sees all packets of its target, in both directions, so it knows what
// the target holds. Only an agent that started later than its target does not.
// It is unsure of flows that it never saw, and hands such a packet to the
// target, which takes it or returns it.
//
// # Two targets with one opening
//
// An opening that is sent again may reach a second target. Nothing is lost: both
// accept, the caller acknowledges one of them, and the acknowledged sequence
// number names it. The other's agent sees that the number is not its target's
// and denies the flow.
//
// For example, T1 is slow and the second copy of an opening goes to T2. The
// caller hears T1 first and acknowledges it. The balancer sends that packet to
// T2, whose agent returns it; a search finds T1.
//
// # Suspicion
//
// A target whose agent does not answer probes is suspected. It gets no openings
// while another target can be had; packets of its flows still go to it. Silence
// removes nothing.
//
// # Outliers
//
// A target may be there and fail: it accepts flows and resets them when a request
// comes. Its agent sees that and reports it as failing. It gets no new flows then,
// unless most targets of the service fail, and is tried with two flows now and then.
//
// For example, T1 resets three requests in a row. Balancers choose T2 and T3 for a
// second. Then two flows go to T1: one is reset, and T1 is left out for two seconds.
//
// # Usage
//
//	s := stream.NewSteerer(now, stream.Settings{...})
//	s.Arrive(now, &seg, packet, table)
//	s.Hear(now, from, parcel)
//	s.Tick(now)
//	for _, send := range s.Take().Sends { ... }
//
// Decisions do no I/O: time and randomness are arguments, and what is to be sent
// is collected until it is taken.
package stream
