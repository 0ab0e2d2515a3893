// Package failover decides how balancers take over from each other, for both edges.
//
// # The model
//
// A role has one holder among the balancers of a failure domain, the one of the highest rank
// that the platform answers. Each balancer sees for itself that there is none, and those of
// low rank wait a little longer than those of high rank (Delay), so that one takes over and
// not all of them.
//
// A balancer that is silent for long is removed from the tables of the others. It may be
// behind a network partition, with a table from which the others were removed as well. So
// the removed ones are contacted now and then (Former).
//
// # Usage
//
//	if now >= lackingSince+failover.Delay(higher) { ... } // try to take over
//
//	former.Add(now, address, epoch)                   // a balancer was removed
//	if to, ok := former.Next(now); ok { ... }         // contact this one
//	if former.TakeReturned(address, epoch) { ... }    // it has answered
//
// The package is pure: time is an argument.
package failover
