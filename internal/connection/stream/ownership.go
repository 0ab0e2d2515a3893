package stream

import "net/netip"

// ownership is how sure a balancer is who holds a flow.
type ownership int

const (
	// unowned: no agent is known to hold it.
	unowned ownership = iota
	// offered: the opening was sent to an agent that has not said that it took it.
	offered
	// taken: an agent has said that it took it.
	confirmed
)

// owner is who holds a flow, as far as a balancer knows. An unowned flow has no agent;
// only Agent tells one, so that nobody uses an address that is not there.
type owner struct {
	state ownership
	agent netip.AddrPort
}

func offeredTo(agent netip.AddrPort) owner {
	return owner{state: offered, agent: agent}
}

func confirmedBy(agent netip.AddrPort) owner {
	return owner{state: confirmed, agent: agent}
}

// Agent returns the agent that took the flow or was offered it.
func (o owner) Agent() (netip.AddrPort, bool) {
	return o.agent, o.state != unowned
}

// Taker returns the agent that has said that it took the flow.
func (o owner) Confirmed() (netip.AddrPort, bool) {
	return o.agent, o.state == confirmed
}

// is reports that the flow was taken by the agent or offered to it.
func (o owner) isAgent(agent netip.AddrPort) bool {
	return o.state != unowned && o.agent == agent
}
