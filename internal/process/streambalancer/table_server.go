package streambalancer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/wagtailtray/wagtailtray/internal/version/replication"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// Methods between balancers. methodTable returns the routing table whole; only balancers
// without the other methods need it, and those whose transfer has ended in a mismatch.
const (
	methodTable     = "table"
	methodCompare   = "compare"
	methodListeners = "listeners"
)

const (
	// maxTableConns bounds concurrent connections of peers.
	maxTableConns = 64
	// serverStallTimeout ends a connection of a peer without progress: longer than a reader
	// waits, as the end of an answer may still be on its way.
	serverStallTimeout = 3 * callTimeout
)

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
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	stream := jsonrpc2.NewPlainObjectStream(newProgressConn(conn, serverStallTimeout, serverStallTimeout))
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(b.handleTableRequest), silentLogger)
	defer func() { _ = rpc.Close() }()
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
}

// handleTableRequest answers from the table in force, without the lock: a table is immutable.
func (b *Balancer) handleTableRequest(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	t := b.currentTable()
	var answer any
	err := error(&jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method})
	switch r.Method {
	case methodTable:
		answer, err = answerTable(r, t, wholeTable)
	case methodCompare:
		answer, err = answerTable(r, t, replication.Compare)
	case methodListeners:
		answer, err = answerTable(r, t, func(t *routing.Table, question *wire.TableListeners) (*wire.TableListened, error) {
			return replication.Collect(t, &b.archive, question)
		})
	}
	return answer, rpcError(err)
}

func wholeTable(t *routing.Table, question *tableRequest) (*routing.Table, error) {
	if t == nil || t.Version <= question.Above {
		return nil, replication.ErrNoLaterVersion
	}
	return t, nil
}

// answerTable decodes a question and answers it.
func answerTable[Q tableRequest | wire.TableCompare | wire.TableListeners, A any](
	r *jsonrpc2.Request, t *routing.Table, answer func(*routing.Table, *Q) (*A, error),
) (any, error) {
	var question Q
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*r.Params, &question); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	return answer(t, &question)
}

// rpcError returns an error that the library passes on with its code.
func rpcError(err error) error {
	var coded *jsonrpc2.Error
	if err == nil || errors.As(err, &coded) {
		return err
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}
