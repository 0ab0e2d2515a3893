// Package segment describes the packets of flows that are connections: what a
// decision needs of one packet, and nothing of how the packet is encoded.
//
// # The model
//
// A flow lies between a caller's address and a listener's. Its packets carry
// sequence numbers, like TCP segments, and say themselves when they open, end
// or reset the flow. An upstream returns a packet that it does not take.
//
// Who knows the encoding implements Codec; decisions and processes work with
// Segments. Packets themselves are passed on as they are.
//
// # Usage
//
//	s, err := codec.Decode(packet)
//	flow := s.FromCaller()
//	codec.Mark(packet, echo)
package segment

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/errs"
)

// ErrMalformed means that a datagram is no packet of a flow.
var ErrMalformed = errs.New("segment: malformed packet")

// MaxPacket bounds a datagram with a packet, in bytes: the largest that an
// Ethernet frame carries, with room for what balancers add.
const MaxPacket = 1500

// Flow identifies one connection.
type Flow struct {
	Caller   netip.AddrPort
	Listener netip.AddrPort
}

// String returns the flow as logs show it: caller>listener.
func (f Flow) String() string {
	return f.Caller.String() + ">" + f.Listener.String()
}

// flowSize is the length of a flow on the wire: two IPv4 addresses with ports.
const flowSize = 12

// AppendFlow appends the flow's encoding to b.
func AppendFlow(b []byte, f Flow) []byte {
	return AppendAddress(AppendAddress(b, f.Caller), f.Listener)
}

// ParseFlow decodes what AppendFlow has made.
func ParseFlow(b []byte) (Flow, error) {
	if len(b) != flowSize {
		return Flow{}, ErrMalformed
	}
	caller, _ := ParseAddress(b[:addressSize])
	listener, _ := ParseAddress(b[addressSize:])
	return Flow{Caller: caller, Listener: listener}, nil
}

const addressSize = 6

// AppendAddress appends an IPv4 address and port, big endian.
func AppendAddress(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As4()
	return binary.BigEndian.AppendUint16(append(b, ip[:]...), a.Port())
}

// ParseAddress decodes what AppendAddress has made.
func ParseAddress(b []byte) (netip.AddrPort, error) {
	if len(b) != addressSize {
		return netip.AddrPort{}, ErrMalformed
	}
	ip := netip.AddrFrom4([4]byte(b[:4]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[4:])), nil
}

// Flags tell what a packet does to its flow.
type Flags uint8

// Flags.
const (
	// Opens asks for a new flow, or accepts one where Acks is set as well.
	Opens Flags = 1 << iota
	Acks
	// Ends tells that its sender sends nothing more.
	Ends
	// Resets ends the flow at once.
	Resets
	// Returned marks a packet that the upstream did not take.
	Returned
)

// Has reports whether all the wanted flags are set.
func (f Flags) Has(wanted Flags) bool {
	return f&wanted == wanted
}

// Segment is what decisions know of one packet.
type Segment struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Flags       Flags
	Seq         uint32
	Ack         uint32
	// Size of the payload, in bytes.
	Size int
	// Echo is the mark that the packet was handed to the upstream with. An
	// upstream returns a packet with its mark.
	Echo uint32
}

// Opening reports a caller's request for a new flow.
func (s *Segment) Opening() bool {
	return s.Flags.Has(Opens) && !s.Flags.Has(Acks)
}

// FromCaller returns the flow of a packet that its caller sent.
func (s *Segment) FromCaller() Flow {
	return Flow{Caller: s.Source, Listener: s.Destination}
}

// FromUpstream returns the flow of a packet that its upstream sent.
func (s *Segment) FromUpstream() Flow {
	return Flow{Caller: s.Destination, Listener: s.Source}
}

// Codec knows how packets are encoded.
type Codec interface {
	// Decode reads a packet. It returns ErrMalformed for anything else.
	Decode(packet []byte) (Segment, error)
	// Mark sets the echo of a packet and takes Returned off.
	Mark(packet []byte, echo uint32)
	// Reset makes a packet that ends the flow at its caller.
	Reset(f Flow, seq uint32) []byte
}
