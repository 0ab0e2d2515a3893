package control

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/pkg/key"
)

// maxCachedConns bounds the connections that a client keeps open. A process calls a
// few contacts all the time and a random peer now and then.
const maxCachedConns = 16

// cachedConn is a connection with the number of calls that use it.
//
// An evicted connection is closed when its last call ends, so that no call fails
// because a connection to another peer replaced it. Client.mu guards it.
type cachedConn struct {
	conn    *jsonrpc2.Conn
	raw     *receivingConn
	calls   int
	evicted bool
}

// closeIfUnused closes an evicted connection that no call uses.
func (k *cachedConn) closeIfUnused() {
	if k.evicted && k.calls == 0 {
		_ = k.conn.Close()
	}
}

// Client makes calls. It is safe for concurrent use.
type Client struct {
	config *tls.Config
	mu     sync.Mutex
	conns  *simplelru.LRU[netip.AddrPort, *cachedConn]
}

// NewClient returns a client without connections.
func NewClient(ring key.Ring) (*Client, error) {
	config, err := tlsConfig(ring)
	if err != nil {
		return nil, err
	}
	conns, err := simplelru.NewLRU(maxCachedConns, func(_ netip.AddrPort, k *cachedConn) {
		k.evicted = true
		k.closeIfUnused()
	})
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return &Client{config: config, conns: conns}, nil
}

// Call makes one call and waits for its reply. A large answer that is arriving when the
// context's deadline passes is awaited as long as it makes progress. An error that is ErrRefused came
// from the peer; with any other it is unknown whether the call ran.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, m Method, params, reply any) error {
	k, err := c.acquire(ctx, address)
	if err != nil {
		return err
	}
	if m.large() {
		extended, cancel := k.raw.extend(ctx)
		defer cancel()
		ctx = extended
	}
	err = k.conn.Call(ctx, string(m), params, reply)
	var refused *jsonrpc2.Error
	answered := errors.As(err, &refused)
	c.release(address, k, err != nil && !answered)
	if answered {
		return errs.Combine(ErrRefused, errs.New("%s", refused.Message))
	}
	return errs.Wrap(err)
}

// acquire returns a connection for one call.
func (c *Client) acquire(ctx context.Context, address netip.AddrPort) (*cachedConn, error) {
	c.mu.Lock()
	if k, ok := c.conns.Get(address); ok {
		k.calls++
		c.mu.Unlock()
		return k, nil
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &tls.Dialer{NetDialer: &net.Dialer{}, Config: c.config}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errs.Wrap(err)
	}
	raw := &receivingConn{Conn: conn}
	// The connection outlives the call that made it.
	rpc := jsonrpc2.NewConn(context.Background(), newObjectStream(raw), jsonrpc2.HandlerWithError(rejectCall), silentLogger)
	k := &cachedConn{conn: rpc, raw: raw, calls: 1}
	c.cache(address, k)
	return k, nil
}

// Drop evicts the connection to an address that will not be called again soon, so
// that it does not count towards the peer's limit: all processes that join call
// the same few peers once.
func (c *Client) Drop(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns.Remove(address)
}

// release ends the use by a call. A connection on which a call failed is evicted.
func (c *Client) release(address netip.AddrPort, k *cachedConn, failed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.calls--
	if failed {
		c.evict(address, k)
	}
	k.closeIfUnused()
}

// evict removes a connection from the cache. It is called with mu held.
func (c *Client) evict(address netip.AddrPort, k *cachedConn) {
	if current, ok := c.conns.Peek(address); ok && current == k {
		c.conns.Remove(address)
	}
	k.evicted = true
}

// rejectCall rejects calls from a server to its client.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, ErrUnknownMethod
}

func (c *Client) cache(address netip.AddrPort, k *cachedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Two calls may have dialled at once; the later connection is kept.
	c.conns.Remove(address)
	c.conns.Add(address, k)
	go func() {
		<-k.conn.DisconnectNotify()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.evict(address, k)
		_ = k.conn.Close()
	}()
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns.Purge()
}

// DecodeParams decodes the parameters of a call.
func DecodeParams[T any](params json.RawMessage) (*T, error) {
	var v T
	if len(params) == 0 {
		return &v, nil
	}
	if err := json.Unmarshal(params, &v); err != nil {
		return nil, errs.Wrap(err)
	}
	return &v, nil
}
