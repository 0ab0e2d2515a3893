package control

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"
)

const (
	// receiveStall is how long a connection may be without a byte while a large answer is
	// arriving, and maxReceiveTime how much later than its deadline the answer may be.
	receiveStall   = time.Second
	maxReceiveTime = 10 * time.Second
)

// large reports whether the size of the method's answers grows with the deployment.
func (m Method) large() bool {
	return m == Sync || m == Exchange
}

// receivingConn records when bytes last arrived.
type receivingConn struct {
	net.Conn
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (c *receivingConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err //nolint:wrapcheck // readers compare with io.EOF
}

// receives reports whether bytes have arrived lately.
func (c *receivingConn) receives() bool {
	return time.Since(time.Unix(0, c.lastRead.Load())) < receiveStall
}

// extend returns a context that ends with the parent, except that the parent's deadline does
// not end it while bytes arrive. A whole configuration takes longer than other answers on a
// narrow or busy link, and a call that is given up and repeated would never end there.
func (c *receivingConn) extend(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	var endAt time.Time
	var check func()
	check = func() {
		now := time.Now()
		if endAt.IsZero() {
			endAt = now.Add(maxReceiveTime)
		}
		if ctx.Err() == nil && errors.Is(parent.Err(), context.DeadlineExceeded) && c.receives() && now.Before(endAt) {
			time.AfterFunc(receiveStall/4, check)
			return
		}
		cancel()
	}
	unlink := context.AfterFunc(parent, check)
	return ctx, func() {
		unlink()
		cancel()
	}
}
