// Package parcels sends and receives the datagrams between balancers and agents
// of services whose flows are connections.
//
// # The model
//
// A parcel is one datagram. It may be lost, duplicated or delayed; a sender that needs
// an answer retries. Parcels are not authenticated: the network between the VMs of the
// system has to block other senders, as the pages for operators say.
//
// # Usage
//
//	s, err := parcels.Listen(address, codec, malformed)
//	go s.Serve(func(from netip.AddrPort, p *wire.Parcel, seg *segment.Segment) { ... })
//	err = s.Send(to, p)
package parcels

import (
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// maxDatagram is the largest UDP payload.
	maxDatagram = 65507
	// receiveBufferBytes is the size of the kernel's buffer for unread datagrams: a
	// hundred milliseconds at 100 Mbit/s.
	receiveBufferBytes = 1 << 20
)

// Socket is a UDP socket for parcels.
type Socket struct {
	conn      *net.UDPConn
	codec     segment.Codec
	malformed func(from netip.AddrPort, err error)
	pool      sync.Pool
}

// Listen opens a socket. malformed is called for each datagram that is not a valid
// parcel, or whose packet cannot be decoded.
func Listen(address netip.AddrPort, codec segment.Codec, malformed func(from netip.AddrPort, err error)) (*Socket, error) {
	conn, err := ListenUDP(address)
	if err != nil {
		return nil, err
	}
	s := &Socket{conn: conn, codec: codec, malformed: malformed}
	s.pool.New = func() any { return new([]byte) }
	return s, nil
}

// ListenUDP opens a UDP socket with a receive buffer for bursts.
func ListenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if err := conn.SetReadBuffer(receiveBufferBytes); err != nil {
		return nil, errs.Combine(errs.Wrap(err), conn.Close())
	}
	return conn, nil
}

// Address returns the socket's address.
func (s *Socket) Address() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Send sends one parcel and returns its size.
func (s *Socket) Send(to netip.AddrPort, p *wire.Parcel) (int, error) {
	buffer := s.pool.Get().(*[]byte)
	defer s.pool.Put(buffer)
	size := p.SizeVT()
	if cap(*buffer) < size {
		*buffer = make([]byte, size)
	}
	b := (*buffer)[:size]
	if _, err := p.MarshalToSizedBufferVT(b); err != nil {
		return size, errs.Wrap(err)
	}
	_, err := s.conn.WriteToUDPAddrPort(b, to)
	return size, errs.Wrap(err)
}

// Serve calls the handler with each parcel, and the segment of its packet if it has
// one, until the socket is closed. The handler may retain both.
func (s *Socket) Serve(handle func(from netip.AddrPort, p *wire.Parcel, seg *segment.Segment)) {
	buffer := make([]byte, maxDatagram)
	Receive(s.conn, buffer, func(from netip.AddrPort, datagram []byte) {
		p := &wire.Parcel{}
		if err := p.UnmarshalVT(datagram); err != nil {
			s.malformed(from, err)
			return
		}
		if len(p.Packet) == 0 {
			handle(from, p, nil)
			return
		}
		seg, err := s.codec.Decode(p.Packet)
		if err != nil {
			s.malformed(from, err)
			return
		}
		handle(from, p, &seg)
	})
}

// ServePackets calls the handler with each packet of a flow that arrives at a socket,
// and its segment, until the socket is closed. The handler must not retain the packet.
func ServePackets(
	conn *net.UDPConn, codec segment.Codec, malformed func(from netip.AddrPort, err error),
	handle func(seg *segment.Segment, packet []byte),
) {
	buffer := make([]byte, segment.MaxPacket)
	Receive(conn, buffer, func(from netip.AddrPort, packet []byte) {
		seg, err := codec.Decode(packet)
		if err != nil {
			malformed(from, err)
			return
		}
		handle(&seg, packet)
	})
}

// Receive calls the handler with each datagram until the socket is closed. Errors of a
// single datagram, such as a destination port that is not open, are ignored.
func Receive(conn *net.UDPConn, buffer []byte, handle func(from netip.AddrPort, datagram []byte)) {
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
	}
}

// Close closes the socket, which makes Serve return.
func (s *Socket) Close() error {
	return errs.Wrap(s.conn.Close())
}
