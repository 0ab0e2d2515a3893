package stream

import "net/netip"

// ownership is how certain a balancer is of a flow's owner.
type ownership int

const (
	// unowned: no agent is known to hold the flow.
	unowned ownership = iota
	// offered: the opening packet was sent to an agent that has not confirmed it.
	offered
	// confirmed: an agent has confirmed that its target holds the flow.
	confirmed
)

// owner is the agent that holds a flow, as far as a balancer knows. An unowned flow has
// no agent; its address is read only through methods that report whether there is one.
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

// Agent returns the agent that confirmed the flow or was offered it.
func (o owner) Agent() (netip.AddrPort, bool) {
	return o.agent, o.state != unowned
}

// Confirmed returns the agent that confirmed the flow.
func (o owner) Confirmed() (netip.AddrPort, bool) {
	return o.agent, o.state == confirmed
}

// isAgent reports whether the agent confirmed the flow or was offered it.
func (o owner) isAgent(agent netip.AddrPort) bool {
	return o.state != unowned && o.agent == agent
}
