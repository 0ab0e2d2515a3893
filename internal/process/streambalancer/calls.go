package streambalancer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/routing"
)

// methodTable asks a balancer for its routing table.
const methodTable = "table"

// mostCalls bounds the connections of peers that are served at a time; each
// ends after one call or callTimeout.
const mostCalls = 64

// errBehind means that the asked balancer has no later version.
var errBehind = errs.New("streambalancer: the peer has no later version")

// quiet keeps the library from writing lines of its own: a peer that goes away in a call
// is told by the error of the call.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// tableRequest asks for a version above the one that the asker has.
type tableRequest struct {
	Above uint64 `json:"above"`
}

// serveCalls answers other balancers.
func (b *Balancer) serveCalls(ctx context.Context) {
	room := make(chan struct{}, mostCalls)
	for {
		conn, err := b.calls.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.deps.Log.Warn().Str("event", "calls").Err(err).Msg("a call was not accepted")
			time.Sleep(firstRetry)
			continue
		}
		select {
		case room <- struct{}{}:
			b.parts.Go(func() {
				defer func() { <-room }()
				b.serveCall(ctx, conn)
			})
		default:
			_ = conn.Close()
		}
	}
}

func (b *Balancer) serveCall(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(b.handle), quiet)
	defer func() { _ = rpc.Close() }()
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
}

func (b *Balancer) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
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
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: errBehind.Error()}
	}
	return t, nil
}

// fetch gets a version above the given one from a peer.
func fetch(ctx context.Context, from netip.AddrPort, above uint64, patience time.Duration) (*routing.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", from.String())
	if err != nil {
		return nil, errs.Wrap(err)
	}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(conn), jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil },
	), quiet)
	defer func() { _ = rpc.Close() }()
	t := &routing.Table{}
	if err := rpc.Call(ctx, methodTable, tableRequest{Above: above}, t); err != nil {
		return nil, errs.Wrap(err)
	}
	return t, t.Check()
}
