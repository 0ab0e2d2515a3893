package envelope

import "net/netip"

const (
	// MaxDatagramSize is the size of the buffers into which datagrams are read.
	MaxDatagramSize = 2048
	// SocketBufferSize is the receive buffer, in bytes, requested from the kernel
	// for each datagram socket, so that bursts are queued instead of dropped.
	SocketBufferSize = 4 << 20
	// WalkReserve is the space that a balancer leaves in a datagram for what a walk
	// adds to it: the balancer's address, the home, seven visited targets and an age.
	//
	// Without it a caller's path MTU discovery could settle, while its balancers know the
	// owner, at a size that fits one hop but not a walk. With more than seven targets,
	// full-size datagrams may be dropped at the end of a long walk; smaller ones reach
	// the owner.
	WalkReserve = 56 + AgeSize
	// AgeSize is the size of the age of a datagram that was kept for up to 16 s.
	AgeSize = 4
	// Sizes of the IP and UDP headers around an envelope.
	headerSizeV4 = 20 + 8
	headerSizeV6 = 40 + 8
)

// MaxSize returns the largest envelope that fits the path MTU between two addresses
// of a family.
func MaxSize(mtu int, family netip.Addr) int {
	if family.Is4() {
		return mtu - headerSizeV4
	}
	return mtu - headerSizeV6
}
