// Package quic extracts the fields of a caller's datagram that routing needs. It
// reads only the version-independent properties of RFC 8999, so it works with every
// version of QUIC and reads nothing that is encrypted.
//
// # Usage
//
//	if quic.MayOpenFlow(datagram) { ... }
//	id, ok := quic.SourceID(answer)
package quic

const (
	// longHeader is the header form bit (RFC 8999, section 5).
	longHeader = 0x80
	// fixedHeaderSize is the size of the first byte and the version.
	fixedHeaderSize = 5
	// maxIDLength is the maximum length of a connection ID in the versions in
	// use (RFC 9000, section 17.2).
	maxIDLength = 20
)

// MayOpenFlow reports whether a datagram may open a flow. A datagram with a short
// header never does; one with a long header belongs to a handshake, and a target that
// already owns the flow treats it like any other.
func MayOpenFlow(datagram []byte) bool {
	return len(datagram) > 0 && datagram[0]&longHeader != 0
}

// SourceID returns the source connection ID of a datagram with a long header, which
// its receiver uses as the destination ID from then on.
func SourceID(datagram []byte) ([]byte, bool) {
	if !MayOpenFlow(datagram) || len(datagram) <= fixedHeaderSize {
		return nil, false
	}
	destination := int(datagram[fixedHeaderSize])
	at := fixedHeaderSize + 1 + destination
	if destination > maxIDLength || len(datagram) <= at {
		return nil, false
	}
	size := int(datagram[at])
	if size == 0 || size > maxIDLength || len(datagram) < at+1+size {
		return nil, false
	}
	return datagram[at+1 : at+1+size], true
}

// DestinationID returns the first size bytes of the destination connection ID of a
// datagram with a short header. Only the endpoint that chose the ID knows its length.
func DestinationID(datagram []byte, size int) ([]byte, bool) {
	if MayOpenFlow(datagram) || len(datagram) < 1+size {
		return nil, false
	}
	return datagram[1 : 1+size], true
}
