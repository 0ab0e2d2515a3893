// Package parcels sends and receives the datagrams between the balancers and
// agents of connections.
//
// # The model
//
// A parcel is one datagram. It may be lost, doubled or late; who needs an answer
// asks again. Parcels are not authenticated: the network between the VMs of the
// system has to keep strangers out, as the pages for operators say.
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
	// receiveBuffer is what the kernel keeps of datagrams that are not read
	// yet, in bytes: a hundred milliseconds at 100 Mbit/s.
	receiveBuffer = 1 << 20
)

// Socket is one UDP socket for parcels.
type Socket struct {
	conn      *net.UDPConn
	codec     segment.Codec
	malformed func(from netip.AddrPort, err error)
	pool      sync.Pool
}

// Listen opens the socket. malformed is called for a datagram that is no parcel,
// or whose packet cannot be read.
func Listen(address netip.AddrPort, codec segment.Codec, malformed func(from netip.AddrPort, err error)) (*Socket, error) {
	conn, err := ListenUDP(address)
	if err != nil {
		return nil, err
	}
	s := &Socket{conn: conn, codec: codec, malformed: malformed}
	s.pool.New = func() any { return new([]byte) }
	return s, nil
}

// ListenUDP opens a UDP socket with room for bursts.
func ListenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
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

// Serve hands each parcel, and the segment of its packet if it has one, to the
// handler until the socket is closed. The handler may keep them.
func (s *Socket) Serve(handle func(from netip.AddrPort, p *wire.Parcel, seg *segment.Segment)) {
	in := make([]byte, maxDatagram)
	Receive(s.conn, in, func(from netip.AddrPort, datagram []byte) {
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

// Packets hands each packet of a flow that arrives at a socket, with its segment, to
// the handler until the socket is closed. The handler must not keep the packet.
func Packets(
	conn *net.UDPConn, codec segment.Codec, malformed func(from netip.AddrPort, err error),
	handle func(seg *segment.Segment, packet []byte),
) {
	in := make([]byte, segment.MaxPacket)
	Receive(conn, in, func(from netip.AddrPort, packet []byte) {
		seg, err := codec.Decode(packet)
		if err != nil {
			malformed(from, err)
			return
		}
		handle(&seg, packet)
	})
}

// Receive reads datagrams until the socket is closed. An error of one datagram,
// such as a port that is not open, ends nothing.
func Receive(conn *net.UDPConn, in []byte, handle func(from netip.AddrPort, datagram []byte)) {
	for {
		n, from, err := conn.ReadFromUDPAddrPort(in)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), in[:n])
	}
}

// Close ends Serve.
func (s *Socket) Close() error {
	return errs.Wrap(s.conn.Close())
}
