package streambalancer

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
)

const (
	// writeChunkBytes is how much is written before that counts as progress.
	writeChunkBytes = 16 << 10
	// maxConnBytes bounds what is read from a connection: many times the largest table.
	maxConnBytes = 64 << 20
)

// errConnBytes means that a peer has sent more than any table takes.
var errConnBytes = errs.New("streambalancer: too many bytes on one connection")

// progressConn is a connection that fails after a time without progress, however long a
// transfer takes in all. A time for the whole transfer would end it again and again where the
// link is narrow or busy.
type progressConn struct {
	net.Conn
	// begin is how long the first byte may take, and stall each further one.
	begin, stall time.Duration
	openedAt     time.Time
	// received is the number of bytes read, and firstByte how long after openedAt the first
	// one came, in nanoseconds.
	received  atomic.Int64
	firstByte atomic.Int64
}

func newProgressConn(conn net.Conn, begin, stall time.Duration) *progressConn {
	return &progressConn{Conn: conn, begin: begin, stall: stall, openedAt: time.Now()}
}

// extend allows for another stall.
func (c *progressConn) extend() error {
	wait := c.stall
	if c.received.Load() == 0 {
		wait = c.begin
	}
	return errs.Wrap(c.SetDeadline(time.Now().Add(wait)))
}

// Read implements net.Conn.
func (c *progressConn) Read(buf []byte) (int, error) {
	if c.received.Load() > maxConnBytes {
		return 0, errConnBytes
	}
	if err := c.extend(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.firstByte.CompareAndSwap(0, int64(time.Since(c.openedAt)))
		c.received.Add(int64(n))
	}
	return n, err //nolint:wrapcheck // readers compare with io.EOF
}

// Write implements net.Conn.
func (c *progressConn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		if err := c.extend(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:min(written+writeChunkBytes, len(data))])
		written += n
		if err != nil {
			return written, errs.Wrap(err)
		}
	}
	return written, nil
}

// String tells how much has been read, for logs.
func (c *progressConn) String() string {
	return fmt.Sprintf("%d bytes in %d ms, the first after %d ms", c.received.Load(),
		time.Since(c.openedAt).Milliseconds(), time.Duration(c.firstByte.Load()).Milliseconds())
}
