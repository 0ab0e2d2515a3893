// Package segment describes the packets of connection-oriented flows, independent
// of their encoding.
//
// # The model
//
// A flow is a connection between a caller's address and a listener's. Its packets
// carry sequence numbers and flags that open, end or reset the flow, like TCP
// segments. An upstream returns a packet that it does not accept.
//
// A Codec implements the encoding; routing decisions use Segments. Packets themselves
// are forwarded unmodified, except for their mark.
//
// # Usage
//
//	s, err := codec.Decode(packet)
//	flow := s.FromCaller()
//	codec.Mark(packet, mark)
package segment

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/errs"
)

// ErrMalformed means that a datagram is not a valid packet.
var ErrMalformed = errs.New("segment: malformed packet")

// MaxPacket bounds a datagram with a packet, in bytes: the largest that fits an
// Ethernet frame, including what balancers add.
const MaxPacket = 1500

// Flow identifies one connection.
type Flow struct {
	Caller   netip.AddrPort
	Listener netip.AddrPort
}

// String returns the flow in the form used in logs: caller>listener.
func (f Flow) String() string {
	return f.Caller.String() + ">" + f.Listener.String()
}

// flowSize is the length of an encoded flow: two IPv4 addresses with ports.
const flowSize = 12

// AppendFlow appends the flow's encoding to b.
func AppendFlow(b []byte, f Flow) []byte {
	return AppendAddress(AppendAddress(b, f.Caller), f.Listener)
}

// ParseFlow decodes the encoding of AppendFlow.
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

// ParseAddress decodes the encoding of AppendAddress.
func ParseAddress(b []byte) (netip.AddrPort, error) {
	if len(b) != addressSize {
		return netip.AddrPort{}, ErrMalformed
	}
	ip := netip.AddrFrom4([4]byte(b[:4]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[4:])), nil
}

// Flags describe a packet's effect on its flow.
type Flags uint8

// Flags.
const (
	// Opens requests a new flow or, together with Acks, accepts one.
	Opens Flags = 1 << iota
	Acks
	// Ends means that the sender sends nothing more.
	Ends
	// Resets ends the flow at once.
	Resets
	// Returned means that the upstream did not accept the packet.
	Returned
)

// Has reports whether all wanted flags are set.
func (f Flags) Has(wanted Flags) bool {
	return f&wanted == wanted
}

// Segment holds the decoded fields of one packet.
type Segment struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	Flags       Flags
	Seq         uint32
	Ack         uint32
	// Size of the payload, in bytes.
	Size int
	// Mark is set when a packet is passed to the upstream, which keeps it in a
	// packet that it returns.
	Mark uint32
}

// Opening reports whether the segment is a caller's request for a new flow.
func (s *Segment) Opening() bool {
	return s.Flags.Has(Opens) && !s.Flags.Has(Acks)
}

// FromCaller returns the flow of a packet sent by the caller.
func (s *Segment) FromCaller() Flow {
	return Flow{Caller: s.Source, Listener: s.Destination}
}

// FromUpstream returns the flow of a packet sent by the upstream.
func (s *Segment) FromUpstream() Flow {
	return Flow{Caller: s.Destination, Listener: s.Source}
}

// Codec implements the encoding of packets.
type Codec interface {
	// Decode decodes a packet. It returns ErrMalformed for invalid input.
	Decode(packet []byte) (Segment, error)
	// Mark sets the mark of a packet and clears Returned.
	Mark(packet []byte, mark uint32)
	// Reset returns a packet that resets the flow at its caller.
	Reset(f Flow, seq uint32) []byte
}
