package capacity

import (
	"io"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// countingProxy is a TCP proxy that counts the bytes of its connections, both ways.
type countingProxy struct {
	listener net.Listener
	address  netip.AddrPort
	bytes    atomic.Int64
}

func newCountingProxy(to netip.AddrPort) (*countingProxy, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(loopbackAnyPort))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	m := &countingProxy{listener: l, address: l.Addr().(*net.TCPAddr).AddrPort()}
	go m.accept(to)
	return m, nil
}

func (m *countingProxy) accept(to netip.AddrPort) {
	for {
		in, err := m.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(to))
		if err != nil {
			_ = in.Close()
			continue
		}
		go m.copyBytes(in, out)
		go m.copyBytes(out, in)
	}
}

func (m *countingProxy) copyBytes(from, to net.Conn) {
	_, _ = io.Copy(&countingWriter{Writer: to, bytes: &m.bytes}, from)
	_ = from.Close()
	_ = to.Close()
}

type countingWriter struct {
	io.Writer
	bytes *atomic.Int64
}

func (c *countingWriter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Writer.Write(p)
}

func (m *countingProxy) close() {
	_ = m.listener.Close()
}
