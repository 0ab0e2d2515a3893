package streambalancer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
)

// methodTable is the method that returns the routing table.
const methodTable = "table"

// maxTableConns bounds concurrent connections of peers; each ends after one call or
// callTimeout.
const maxTableConns = 64

// errNoLaterVersion means that the queried balancer has no later version.
var errNoLaterVersion = errs.New("streambalancer: the peer has no later version")

// silentLogger suppresses the library's own log lines: a peer that disconnects during a
// call already shows up as the error of that call.
var silentLogger = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// tableRequest requests a version later than the client's.
type tableRequest struct {
	Above uint64 `json:"above"`
}

// serveTables serves the routing table to other balancers.
func (b *Balancer) serveTables(ctx context.Context) {
	slots := make(chan struct{}, maxTableConns)
	for {
		conn, err := b.tableListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.deps.Log.Warn().Str("event", "calls").Err(err).Msg("accepting a connection failed")
			time.Sleep(minRetryDelay)
			continue
		}
		select {
		case slots <- struct{}{}:
			b.background.Go(func() {
				defer func() { <-slots }()
				b.serveTableConn(ctx, conn)
			})
		default:
			_ = conn.Close()
		}
	}
}

func (b *Balancer) serveTableConn(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(b.handleTableRequest), silentLogger)
	defer func() { _ = rpc.Close() }()
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
}

func (b *Balancer) handleTableRequest(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodTable || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	var request tableRequest
	if err := json.Unmarshal(*r.Params, &request); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.steerer.Table()
	if t == nil || t.Version <= request.Above {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: errNoLaterVersion.Error()}
	}
	return t, nil
}

// fetchTable gets a version later than the given one from a peer. An error tells how far it
// got.
func fetchTable(ctx context.Context, from netip.AddrPort, above uint64, timeout time.Duration) (*routing.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", from.String())
	if err != nil {
		return nil, errs.Wrap(err)
	}
	counted := &countingConn{Conn: conn, openedAt: time.Now()}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(counted), jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil },
	), silentLogger)
	defer func() { _ = rpc.Close() }()
	t := &routing.Table{}
	if err := rpc.Call(ctx, methodTable, tableRequest{Above: above}, t); err != nil {
		return nil, fmt.Errorf("from %s, %s: %w", from, counted.progress(), err)
	}
	return t, t.Check()
}

// countingConn counts what it reads.
type countingConn struct {
	net.Conn
	openedAt time.Time
	// bytes is the number of bytes read, and firstByte how long after openedAt the first one
	// came, in nanoseconds.
	bytes     atomic.Int64
	firstByte atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.firstByte.CompareAndSwap(0, int64(time.Since(c.openedAt)))
		c.bytes.Add(int64(n))
	}
	return n, err
}

// progress tells how much has been read, for logs.
func (c *countingConn) progress() string {
	return fmt.Sprintf("%d bytes in %d ms, the first after %d ms", c.bytes.Load(),
		time.Since(c.openedAt).Milliseconds(), time.Duration(c.firstByte.Load()).Milliseconds())
}
