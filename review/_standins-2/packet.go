package main

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// Bits of the flags and the size of the header, as PROTOCOL.md gives them.
const (
	flagAck     = 1
	flagFin     = 2
	flagSyn     = 16
	flagBounced = 32
	flagRst     = 128

	headerSize   = 31
	offsetSum    = 8
	offsetFlags  = 14
	offsetEcho   = 27
	maxDatagram  = 1500
	checksumSeed = 0x77a9
)

// packet is one packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	sum      uint32
	data     []byte
}

// flowID identifies a flow by its two ends.
type flowID struct {
	client, route netip.AddrPort
}

func readAddress(b []byte, ip, port int) netip.AddrPort {
	a := netip.AddrFrom4([4]byte{b[ip+3], b[ip+2], b[ip+1], b[ip]})
	return netip.AddrPortFrom(a, binary.LittleEndian.Uint16(b[port:]))
}

func writeAddress(b []byte, ip, port int, a netip.AddrPort) {
	octets := a.Addr().As4()
	for i := range octets {
		b[ip+i] = octets[3-i]
	}
	binary.LittleEndian.PutUint16(b[port:], a.Port())
}

// encode returns the packet with the sum of its sender.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.LittleEndian.PutUint32(b, p.seq)
	binary.LittleEndian.PutUint32(b[4:], p.ack)
	binary.LittleEndian.PutUint16(b[12:], uint16(len(p.data)))
	b[offsetFlags] = p.flags
	writeAddress(b, 15, 19, p.dst)
	writeAddress(b, 23, 21, p.src)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[offsetSum:], checksum(b))
	return b
}

// decode returns the packet in a datagram, and whether it is well-formed.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || headerSize+int(binary.LittleEndian.Uint16(b[12:])) != len(b) {
		return packet{}, false
	}
	return packet{
		src: readAddress(b, 23, 21), dst: readAddress(b, 15, 19), flags: b[offsetFlags],
		seq: binary.LittleEndian.Uint32(b), ack: binary.LittleEndian.Uint32(b[4:]),
		sum: binary.LittleEndian.Uint32(b[offsetSum:]), data: b[headerSize:],
	}, true
}

// checksum is the keyed sum over all that the system must not change.
func checksum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	clear(c[offsetSum : offsetSum+4])
	c[offsetFlags] &^= flagBounced
	clear(c[offsetEcho : offsetEcho+4])
	return uint32(xxh3.HashSeed(c, checksumSeed))
}

// intact reports whether a datagram is as its sender wrote it.
func intact(b []byte) bool {
	return len(b) >= headerSize && binary.LittleEndian.Uint32(b[offsetSum:]) == checksum(b)
}
