package envelope

import "net/netip"

const (
	// MaxDatagram is the size of the buffers that datagrams are read into.
	MaxDatagram = 2048
	// SocketBuffer is asked of the kernel for each socket that datagrams
	// arrive on, in bytes, so that a burst waits instead of being lost.
	SocketBuffer = 4 << 20
	// WalkRoom is what a balancer leaves free in a datagram for what a walk
	// adds to it: the balancer's address, the home and seven visited targets.
	//
	// A caller's path MTU discovery may settle while its balancers know the owner, at
	// datagrams that fill one hop; with the room left at the first hop it settles below it.
	// Services with more than seven targets may lose full datagrams at the end of a long
	// walk; smaller ones find the owner.
	WalkRoom = 56
	// Sizes of the headers of IP and UDP around an envelope.
	headersV4 = 20 + 8
	headersV6 = 40 + 8
)

// Room returns what a path's MTU leaves for an envelope between two addresses
// of a family.
func Room(mtu int, family netip.Addr) int {
	if family.Is4() {
		return mtu - headersV4
	}
	return mtu - headersV6
}
