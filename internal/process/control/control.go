// Package control implements the calls between the processes of a deployment:
// JSON-RPC over TCP, with TLS identities derived from the deployment key.
//
// # Usage
//
//	s, err := control.Serve(ctx, address, ring, handler)
//	defer s.Close()
//
//	c, err := control.NewClient(ring)
//	err = c.Call(ctx, address, control.Sync, &request, &reply)
//
// A client caches one connection per address, up to a bound. A call that fails
// closes its connection; whether it ran is not known then, so every call of the
// system can be repeated safely.
package control

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"
	"golang.org/x/net/netutil"

	"github.com/wagtailtray/wagtailtray/pkg/key"
)

// Errors of this package.
var (
	ErrUnknownKey    = errs.New("control: peer does not hold a key of this deployment")
	ErrUnknownMethod = errs.New("control: no such method")
	ErrRefused       = errs.New("control: the peer refused the call")
)

// Method names a call.
type Method string

// Methods.
const (
	Announce Method = "announce"
	Push     Method = "push"
	Sync     Method = "sync"
	Exchange Method = "exchange"
	Status   Method = "status"
	Ping     Method = "ping"
	Keep     Method = "keep"
	Take     Method = "take"
)

const (
	// dialTimeout bounds the connection setup and the handshake.
	dialTimeout = 2 * time.Second
	// maxInbound bounds the connections that a process serves. At the
	// bound new ones wait; clients time out and call another process.
	maxInbound = 2048
	// idleTimeout is how long a connection may be silent before its server
	// closes it, so that dead peers do not count towards maxInbound.
	idleTimeout = time.Minute
	// maxConcurrentCalls bounds the calls of one connection that run at once.
	maxConcurrentCalls = 4
)

// Handler handles calls. The reply is encoded as JSON.
type Handler interface {
	Handle(ctx context.Context, method Method, params json.RawMessage) (any, error)
}

// Server serves calls.
type Server struct {
	listener net.Listener
	handler  Handler
	cancel   context.CancelFunc
	mu       sync.Mutex
	conns    map[*jsonrpc2.Conn]bool
	wait     sync.WaitGroup
}

// Serve listens on an address until Close.
func Serve(ctx context.Context, address netip.AddrPort, ring key.Ring, h Handler) (*Server, error) {
	config, err := tlsConfig(ring)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Server{
		listener: tls.NewListener(netutil.LimitListener(listener, maxInbound), config),
		handler:  h, cancel: cancel, conns: map[*jsonrpc2.Conn]bool{},
	}
	s.wait.Add(1)
	go s.accept(ctx)
	return s, nil
}

// Address returns where the server listens.
func (s *Server) Address() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close closes all connections and waits until they have ended.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

func (s *Server) accept(ctx context.Context) {
	defer s.wait.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.wait.Add(1)
		go s.serve(ctx, conn)
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer s.wait.Done()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if err := conn.(*tls.Conn).HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	c := jsonrpc2.NewConn(ctx, newObjectStream(&idleConn{Conn: conn}), limitConcurrency(jsonrpc2.HandlerWithError(s.handle)), silentLogger)
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	if ctx.Err() != nil {
		// Close may have run before this connection was in conns.
		_ = c.Close()
	}
	<-c.DisconnectNotify()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	return s.handler.Handle(ctx, Method(r.Method), params)
}

func newObjectStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewPlainObjectStream(conn)
}

// limitConcurrency runs up to maxConcurrentCalls calls of a connection at once;
// further ones wait unread in the connection.
func limitConcurrency(h jsonrpc2.Handler) jsonrpc2.Handler {
	return &concurrencyLimiter{next: h, slots: make(chan struct{}, maxConcurrentCalls)}
}

type concurrencyLimiter struct {
	next  jsonrpc2.Handler
	slots chan struct{}
}

func (b *concurrencyLimiter) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	b.slots <- struct{}{}
	go func() {
		defer func() { <-b.slots }()
		b.next.Handle(ctx, c, r)
	}()
}

// idleConn fails reads after idleTimeout without data, which closes the connection.
type idleConn struct {
	net.Conn
}

func (c *idleConn) Read(p []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	return c.Conn.Read(p)
}

// silentLogger keeps the library from writing to standard error: a failed reply to
// a closed connection is nothing that an operator could act on.
var silentLogger = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
