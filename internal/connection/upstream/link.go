package upstream

import (
	"errors"
	"sync"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
)

// ErrClosed is returned for a link that has ended.
var ErrClosed = errs.New("upstream: link closed")

// Link is the socket of one flow.
//
// The system may give the descriptor's number to the next flow's socket. Every use
// therefore holds the link's lock, and Close takes it before the number is given back.
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

// Send hands one datagram to the upstream.
func (l *Link) Send(datagram []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	_, err := unix.Write(l.fd, datagram)
	l.note(err)
	return errs.Wrap(err)
}

// Close ends the link and frees its port.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	// Out of the table first: the number may be given again at once.
	l.poller.forget(l)
	_ = unix.Close(l.fd)
}

// drain reads what the upstream has sent.
func (l *Link) drain(buffer []byte) {
	for range maxReads {
		n, ok := l.read(buffer)
		if !ok {
			return
		}
		l.poller.pool.answer(l.flow, buffer[:n])
	}
}

func (l *Link) read(buffer []byte) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return 0, false
	}
	n, err := unix.Read(l.fd, buffer)
	l.note(err)
	return n, err == nil
}

// note counts an answer of the system that nobody listens at the upstream.
func (l *Link) note(err error) {
	if errors.Is(err, unix.ECONNREFUSED) {
		l.poller.pool.refused.Add(1)
	}
}
