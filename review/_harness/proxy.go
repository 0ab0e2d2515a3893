package main

import (
	"net"
	"net/netip"
	"sync"

	"github.com/wagtailtray/wagtailtray/platform/standin"
)

// proxy is a TCP proxy. While it is silent it drops all data in both directions and keeps
// the connections open; a connection that has lost data stays silent for good.
type proxy struct {
	address  netip.AddrPort
	backend  netip.AddrPort
	listener net.Listener

	mu     sync.Mutex
	silent bool
	conns  map[net.Conn]bool
	lost   map[net.Conn]bool
}

func newProxy(address, backend netip.AddrPort) (*proxy, error) {
	l, err := standin.ListenTCP(address)
	if err != nil {
		return nil, err
	}
	p := &proxy{address: address, backend: backend, listener: l, conns: map[net.Conn]bool{}, lost: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(p.backend))
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.copy(in, out)
		go p.copy(out, in)
	}
}

func (p *proxy) copy(from, to net.Conn) {
	defer func() {
		_, _ = from.Close(), to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		delete(p.lost, from)
		p.mu.Unlock()
	}()
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 && !p.drops(from, to) {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) drops(from, to net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		p.lost[from], p.lost[to] = true, true
	}
	return p.lost[from]
}

// setSilent makes the proxy silent, or not. Connections that were open while it was silent
// are reset when it ends, as by a store that serves the machine again.
func (p *proxy) setSilent(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = on
	if on {
		return
	}
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setSilent(false)
}
