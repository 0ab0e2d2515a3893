package envelope

import (
	"encoding/binary"
	"net/netip"
)

// maxCallerSize is the size of an IPv6 address and a port.
const maxCallerSize = 18

// AppendCaller appends the wire encoding of a caller's address.
func AppendCaller(dst []byte, a netip.AddrPort) []byte {
	ip := a.Addr().Unmap()
	if ip.Is4() {
		b := ip.As4()
		dst = append(dst, b[:]...)
	} else {
		b := ip.As16()
		dst = append(dst, b[:]...)
	}
	return binary.BigEndian.AppendUint16(dst, a.Port())
}

// ParseCaller decodes the wire encoding of a caller's address, as found in an envelope
// that Open has accepted. It returns an invalid address for any other input.
func ParseCaller(b []byte) netip.AddrPort {
	if len(b) < 2 || len(b) > maxCallerSize {
		return netip.AddrPort{}
	}
	ip, ok := netip.AddrFromSlice(b[:len(b)-2])
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[len(b)-2:]))
}
