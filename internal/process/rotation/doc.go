// Package rotation decides whether a balancer takes part in the fabric's rotation.
//
// # The model
//
// The fabric hands flows to all ready balancers alike. One that lacks processor time handles
// each packet late, and its callers wait or give up while other balancers have room. It
// notices this by its own timers, which fire late (Lateness), and rests: it reports that it
// is not ready, so that the fabric hands its flows to others, and goes on serving what still
// arrives.
//
// A balancer is active or resting, and late or in time. A late one rests only while more than
// half of the known balancers of its failure domain are heard from, active and in time: they
// can take over its flows, and the fabric ignores readiness once too few are ready. A
// balancer that hears from too few of them stays. Late balancers rest one after the other,
// and the next one waits until the fabric has followed and the others' load shows it.
//
// A resting balancer is idle and no longer late, so it returns after a while on trial. Each
// rest that follows soon after a return is twice as long as the one before. It returns early
// if too few others are active and in time.
//
// # Usage
//
//	r := rotation.New(now, name)
//	r.Lateness.Add(late, interval) // with each tick
//	switch r.Update(now, maxLateness, rotation.Domain{Known: 7, Peers: peers}) {
//	case rotation.BecameLate, rotation.Rested, rotation.Returned:
//		// tell the peers
//	}
package rotation
