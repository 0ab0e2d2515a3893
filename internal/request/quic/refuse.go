package quic

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	quicgo "github.com/quic-go/quic-go"
	"github.com/zeebo/errs"
)

// errRefused makes the QUIC library refuse a connection.
var errRefused = errs.New("quic: refused")

// maxQueuedRefusals bounds the opening datagrams queued to be refused. Beyond it they
// are dropped: the caller resends its opening datagram and is refused later.
const maxQueuedRefusals = 256

// Refuser answers opening datagrams with CONNECTION_REFUSED. The QUIC library
// generates the answers; instead of a socket it uses a connection that reads from a
// queue and writes to a function.
//
// A Refuser passes no datagram to an upstream, so a refusal always means that no
// request was executed.
type Refuser struct {
	conn     *packetConn
	listener *quicgo.Listener
	cancel   context.CancelFunc
}

// SendFunc sends a datagram to a caller.
type SendFunc func(caller netip.AddrPort, datagram []byte)

// NewRefuser starts a refuser that sends its answers with send.
func NewRefuser(send SendFunc) (*Refuser, error) {
	conn := &packetConn{incoming: make(chan queuedDatagram, maxQueuedRefusals), closed: make(chan struct{}), send: send}
	config := &quicgo.Config{
		GetConfigForClient: func(*quicgo.ClientInfo) (*quicgo.Config, error) {
			return nil, errRefused
		},
	}
	// Every handshake is refused before a certificate is read.
	listener, err := quicgo.Listen(conn, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{{}}}, config)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	ctx, done := context.WithCancel(context.Background())
	r := &Refuser{conn: conn, listener: listener, cancel: done}
	go r.closeAccepted(ctx)
	return r, nil
}

func (r *Refuser) closeAccepted(ctx context.Context) {
	for {
		c, err := r.listener.Accept(ctx)
		if err != nil {
			return
		}
		_ = c.CloseWithError(0, "")
	}
}

// Refuse queues an opening datagram to be refused. It reports false if the queue is
// full.
func (r *Refuser) Refuse(caller netip.AddrPort, datagram []byte) bool {
	d := queuedDatagram{from: net.UDPAddrFromAddrPort(caller), data: append([]byte(nil), datagram...)}
	select {
	case r.conn.incoming <- d:
		return true
	default:
		return false
	}
}

// Close stops the refuser.
func (r *Refuser) Close() {
	r.cancel()
	_ = r.listener.Close()
	_ = r.conn.Close()
}

type queuedDatagram struct {
	from *net.UDPAddr
	data []byte
}

// packetConn is a net.PacketConn that reads from a queue and writes to a function.
type packetConn struct {
	incoming  chan queuedDatagram
	closed    chan struct{}
	closeOnce sync.Once
	send      SendFunc
}

func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.incoming:
		return copy(p, d.data), d.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if a, ok := to.(*net.UDPAddr); ok {
		c.send(a.AddrPort(), p)
	}
	return len(p), nil
}

func (c *packetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

func (c *packetConn) LocalAddr() net.Addr              { return &net.UDPAddr{IP: net.IPv4zero} }
func (c *packetConn) SetDeadline(time.Time) error      { return nil }
func (c *packetConn) SetReadDeadline(time.Time) error  { return nil }
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }
