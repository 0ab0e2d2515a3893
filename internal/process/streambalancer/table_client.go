package streambalancer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/replication"
	"github.com/wagtailtray/wagtailtray/internal/version/routing"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

const (
	// maxTransferTime bounds a transfer that makes progress, so that a balancer tries another
	// peer at some time.
	maxTransferTime = 12 * time.Second
	// maxCompares bounds how often a transfer begins again because the peer has activated
	// another version meanwhile.
	maxCompares = 16
)

// errUnsettled means that the peer has activated further versions all the while.
var errUnsettled = errs.New("streambalancer: the peer's version kept changing")

// fetchFromPeerConn gets a version later than the given one from a peer. The call is given up
// if no answer begins in time, and later after callTimeout without progress; what has arrived
// is kept for the next one.
func (b *Balancer) fetchFromPeerConn(ctx context.Context, from netip.AddrPort, above uint64, begin time.Duration) (*routing.Table, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTransferTime)
	defer cancel()
	conn, err := (&net.Dialer{Timeout: begin}).DialContext(ctx, "tcp4", from.String())
	if err != nil {
		return nil, errs.Wrap(err)
	}
	progress := newProgressConn(conn, begin, callTimeout)
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(progress), jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil },
	), silentLogger)
	defer func() { _ = rpc.Close() }()
	t, err := b.readTableFrom(ctx, rpc, above)
	if err != nil {
		return nil, fmt.Errorf("from %s, %s: %w", from, progress, err)
	}
	return t, nil
}

// readTableFrom reads what a peer's table has and this balancer's does not, or the whole table
// where that is not possible.
func (b *Balancer) readTableFrom(ctx context.Context, rpc *jsonrpc2.Conn, above uint64) (*routing.Table, error) {
	t, err := b.transferTable(ctx, rpc, b.currentTable(), above)
	if needsWhole(err) {
		return fetchWhole(ctx, rpc, above)
	}
	return t, err
}

// needsWhole reports whether the table has to be read whole: the peer does not know
// transfers, or their result is not its table.
func needsWhole(err error) bool {
	var answer *jsonrpc2.Error
	return errors.Is(err, replication.ErrMismatch) || errors.Is(err, replication.ErrMalformed) ||
		errors.As(err, &answer) && answer.Code == jsonrpc2.CodeMethodNotFound
}

func fetchWhole(ctx context.Context, rpc *jsonrpc2.Conn, above uint64) (*routing.Table, error) {
	t := &routing.Table{}
	if err := rpc.Call(ctx, methodTable, tableRequest{Above: above}, t); err != nil {
		return nil, errs.Wrap(err)
	}
	return t, t.Check()
}

// transferTable reads what differs between a peer's table and the base.
func (b *Balancer) transferTable(ctx context.Context, rpc *jsonrpc2.Conn, base *routing.Table, above uint64) (*routing.Table, error) {
	x := &b.transfer
	for range maxCompares {
		compared := &wire.TableCompared{}
		if err := rpc.Call(ctx, methodCompare, x.Question(base, above), compared); err != nil {
			return nil, errs.Wrap(err)
		}
		if err := x.Begin(base, compared); err != nil {
			return nil, err
		}
		if err := transferListeners(ctx, rpc, x); err != nil {
			return nil, err
		}
		if x.Complete() {
			return x.Finish(base)
		}
	}
	return nil, errUnsettled
}

// transferListeners reads listeners until the transfer is complete or the peer has another
// version.
func transferListeners(ctx context.Context, rpc *jsonrpc2.Conn, x *replication.Transfer) error {
	for !x.Complete() {
		answer := &wire.TableListened{}
		if err := rpc.Call(ctx, methodListeners, x.Next(), answer); err != nil {
			return errs.Wrap(err)
		}
		added, err := x.Add(answer)
		if added == 0 || err != nil {
			return err
		}
	}
	return nil
}
