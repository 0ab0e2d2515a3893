// Package owner holds the flows that one target serves, and decides what its
// agent does with each envelope.
//
// # The model
//
// A flow is owned by the one target of its service that adopted it. Targets do
// not agree on the owner, they search for it: a datagram that opens no flow is
// forwarded from target to target until the owner accepts it, and is dropped if
// none does.
//
// Only an opening datagram makes a placement decision. It goes to the flow's
// home, the first target in rendezvous order that opens flows. The home places
// the flow on the least loaded target and records the placement, so that a
// resent opening datagram reaches the same target.
//
// # The invariant
//
// One flow is adopted by one target. Two targets could decide about one flow if
// a target has joined, left or been suspected, and two copies of an opening
// datagram are handled under two views. Three rules prevent this:
//
//   - An agent that is not the home in its own view passes an opening datagram
//     to the home. The views of balancers, which are the stalest, decide nothing.
//   - While the order of homes has changed within the resend window, the home
//     asks every target for an earlier owner (a search) before it decides.
//   - A search leaves a search record at each target it passes, so that a later
//     copy that arrives there is sent to the searching home. If two searches
//     meet, the searcher with the higher score continues.
//
// For example, T joins and outranks H for flow f. One balancer sends the first
// copy of f's opening datagram to H, another sends the second copy to T. If
// the copy reaches H first, H adopts or places f, and T's search finds it. If
// T's search passes H first, H has a search record and sends its copy to T.
//
// # Usage
//
//	t := owner.NewTable(limits, loads)
//	d := t.Take(arrival, view, local, dialer)
//	switch d.Action { ... }
//
// Apart from calls to the dialer, Take has no side effects outside the table:
// time and randomness are arguments, and the envelope is rewritten in place for
// its next hop.
package owner
