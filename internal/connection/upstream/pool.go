// Package upstream sends datagrams to the upstream of an agent: with one connected
// UDP socket for each flow, so that the upstream sees each flow as a peer of its
// own and its answers need no flow identifier.
//
// # The model
//
// A Pool has a few pollers. Each waits on one epoll descriptor, which the
// runtime's poller watches, so that no flow needs a thread or a goroutine: an idle
// flow costs a descriptor and some 200 bytes.
//
// # Usage
//
//	p, err := upstream.NewPool(local, upstreamAddress, workers, onAnswer)
//	link, err := p.Dial(flow, 0)
//	err = link.Send(datagram)
//
// A poller calls onAnswer for each datagram of the upstream. onAnswer must not
// retain the datagram.
package upstream

import (
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"github.com/wagtailtray/wagtailtray/internal/connection/owner"
)

const (
	maxDatagram = 2048
	// maxEvents is how many ready sockets a poller handles per epoll_wait.
	maxEvents = 64
	// maxReadsPerEvent is how many datagrams are read from one socket before
	// the others are served.
	maxReadsPerEvent = 16
)

// AnswerHandler handles one datagram of the upstream on a flow.
type AnswerHandler func(f *owner.Flow, datagram []byte)

// Pool opens links to one upstream.
type Pool struct {
	local      netip.Addr
	remote     netip.AddrPort
	family     int
	onAnswer   AnswerHandler
	pollers    []*poller
	nextPoller atomic.Uint32
	running    sync.WaitGroup
	// refused counts datagrams that no socket at the upstream's port accepted.
	refused atomic.Uint64
}

// poller polls the sockets of its links.
//
// Lock order: Link.mu, then poller.mu.
type poller struct {
	pool *Pool
	fd   int
	file *os.File
	conn syscall.RawConn
	mu   sync.Mutex
	// links has the links by descriptor.
	links map[int32]*Link
}

// NewPool returns a pool whose links connect a local address to the upstream.
// If the local address is invalid, the system chooses one.
func NewPool(local netip.Addr, upstream netip.AddrPort, workers int, onAnswer AnswerHandler) (*Pool, error) {
	p := &Pool{local: local, remote: upstream, family: unix.AF_INET6, onAnswer: onAnswer}
	if upstream.Addr().Is4() {
		p.family = unix.AF_INET
	}
	for range max(workers, 1) {
		poller, err := newPoller(p)
		if err != nil {
			p.Close()
			return nil, err
		}
		p.pollers = append(p.pollers, poller)
		p.running.Add(1)
		go func() {
			defer p.running.Done()
			poller.run()
		}()
	}
	return p, nil
}

// sockaddr returns a new Sockaddr for each call: the system call writes into it, so
// workers that dial concurrently must not share one.
func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

func newPoller(p *Pool) (*poller, error) {
	fd, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	// The runtime watches only non-blocking descriptors.
	if err := unix.SetNonblock(fd, true); err != nil {
		_ = unix.Close(fd)
		return nil, errs.Wrap(err)
	}
	file := os.NewFile(uintptr(fd), "links")
	raw, err := file.SyscallConn()
	if err != nil {
		_ = file.Close()
		return nil, errs.Wrap(err)
	}
	return &poller{pool: p, fd: fd, file: file, conn: raw, links: map[int32]*Link{}}, nil
}

// Refused returns how many datagrams no socket at the upstream's port accepted.
func (p *Pool) Refused() uint64 {
	return p.refused.Load()
}

// Close stops the pollers and closes all links.
func (p *Pool) Close() {
	for _, poller := range p.pollers {
		poller.mu.Lock()
		links := make([]*Link, 0, len(poller.links))
		for _, link := range poller.links {
			links = append(links, link)
		}
		poller.mu.Unlock()
		for _, link := range links {
			link.Close()
		}
		_ = poller.file.Close()
	}
	p.running.Wait()
}

// Dial opens the link of a flow from a local port; 0 selects any free port.
func (p *Pool) Dial(f *owner.Flow, port uint16) (owner.Link, error) {
	fd, err := p.socket(port)
	if err != nil {
		return nil, err
	}
	poller := p.pollers[int(p.nextPoller.Add(1))%len(p.pollers)]
	link := &Link{fd: fd, flow: f, poller: poller}
	link.port, err = localPort(fd)
	if err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	if err := poller.add(link); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return link, nil
}

func (p *Pool) socket(port uint16) (int, error) {
	fd, err := unix.Socket(p.family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	if p.local.IsValid() {
		if err := unix.Bind(fd, sockaddr(netip.AddrPortFrom(p.local, port))); err != nil {
			_ = unix.Close(fd)
			return 0, errs.Wrap(err)
		}
	}
	if err := unix.Connect(fd, sockaddr(p.remote)); err != nil {
		_ = unix.Close(fd)
		return 0, errs.Wrap(err)
	}
	return fd, nil
}

func localPort(fd int) (uint16, error) {
	name, err := unix.Getsockname(fd)
	if err != nil {
		return 0, errs.Wrap(err)
	}
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		return uint16(a.Port), nil
	case *unix.SockaddrInet6:
		return uint16(a.Port), nil
	default:
		return 0, errs.New("upstream: unknown socket address family")
	}
}

func (p *poller) add(link *Link) error {
	p.mu.Lock()
	p.links[int32(link.fd)] = link
	p.mu.Unlock()
	event := &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(link.fd)}
	if err := unix.EpollCtl(p.fd, unix.EPOLL_CTL_ADD, link.fd, event); err != nil {
		p.remove(link)
		return errs.Wrap(err)
	}
	return nil
}

func (p *poller) remove(link *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[int32(link.fd)] == link {
		delete(p.links, int32(link.fd))
	}
}

func (p *poller) find(fd int32) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[fd]
}

func (p *poller) run() {
	events := make([]unix.EpollEvent, maxEvents)
	buffer := make([]byte, maxDatagram)
	for {
		n := 0
		err := p.conn.Read(func(fd uintptr) bool {
			n, _ = unix.EpollWait(int(fd), events, 0)
			return n > 0
		})
		if err != nil {
			return
		}
		for _, e := range events[:n] {
			if link := p.find(e.Fd); link != nil {
				link.readReady(buffer)
			}
		}
	}
}
