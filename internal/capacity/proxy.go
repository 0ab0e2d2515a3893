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
	p := &countingProxy{listener: l, address: l.Addr().(*net.TCPAddr).AddrPort()}
	go p.accept(to)
	return p, nil
}

func (p *countingProxy) accept(to netip.AddrPort) {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(to))
		if err != nil {
			_ = in.Close()
			continue
		}
		go p.copyBytes(in, out)
		go p.copyBytes(out, in)
	}
}

func (p *countingProxy) copyBytes(from, to net.Conn) {
	_, _ = io.Copy(&countingWriter{Writer: to, bytes: &p.bytes}, from)
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

func (p *countingProxy) close() {
	_ = p.listener.Close()
}
