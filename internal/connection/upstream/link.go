package upstream

import (
	"errors"
	"sync"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
)

// ErrClosed is returned by Send after Close.
var ErrClosed = errs.New("upstream: link closed")

// Link is the socket of one flow.
//
// The system may reuse the descriptor for the next flow's socket. Every use therefore
// holds the link's lock, and Close holds it while it closes the descriptor.
type Link struct {
	mu     sync.Mutex
	fd     int
	port   uint16
	closed bool
	flow   *owner.Flow
	poller *poller
}

// Port returns the local port.
func (l *Link) Port() uint16 {
	return l.port
}

// Send sends one datagram to the upstream.
func (l *Link) Send(datagram []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	_, err := unix.Write(l.fd, datagram)
	l.countRefused(err)
	return errs.Wrap(err)
}

// Close closes the link and frees its port.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	// Remove the link first: the descriptor may be reused as soon as it is closed.
	l.poller.remove(l)
	_ = unix.Close(l.fd)
}

// readReady reads the datagrams that the upstream has sent.
func (l *Link) readReady(buffer []byte) {
	for range maxReadsPerEvent {
		n, ok := l.read(buffer)
		if !ok {
			return
		}
		l.poller.pool.onAnswer(l.flow, buffer[:n])
	}
}

func (l *Link) read(buffer []byte) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, false
	}
	n, err := unix.Read(l.fd, buffer)
	l.countRefused(err)
	return n, err == nil
}

// countRefused counts errors which report that no socket listens at the upstream's port.
func (l *Link) countRefused(err error) {
	if errors.Is(err, unix.ECONNREFUSED) {
		l.poller.pool.refused.Add(1)
	}
}
