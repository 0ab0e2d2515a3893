// Package fabric stands in for the network before the balancers: it takes
// callers' datagrams at a service's address and hands each to a balancer drawn
// at random, with delay, loss, duplication and reordering.
//
// # The model
//
// A caller is given a socket of its own towards the balancers, so that each
// balancer sees a distinct caller and any of them can answer it. This also is
// the address translator in front of the system: Rebind gives every caller a
// new socket, as a translator does that forgot its flows.
//
// # Usage
//
//	f := fabric.New(fabric.Faults{Delay: 3 * time.Millisecond}, seed)
//	err := f.Listen(serviceAddress)
//	f.SetBalancers(edges)
package fabric

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

const (
	maxDatagram = 2048
	// maxCallers bounds the sockets of one service. Beyond it a new
	// caller's datagrams are dropped.
	maxCallers = 16384
	buffer     = 4 << 20
)

// Faults are what the network does to datagrams, in each direction.
type Faults struct {
	Delay time.Duration
	// Jitter is added to the delay, evenly from zero; it reorders.
	Jitter time.Duration
	// Loss and Duplicate are shares of all datagrams.
	Loss      float64
	Duplicate float64
}

// Fabric is the network of one deployment.
type Fabric struct {
	mu        sync.Mutex
	faults    Faults
	balancers []netip.Addr
	random    *rand.Rand
	services  []*service
	closed    bool
}

type service struct {
	fabric  *Fabric
	conn    *net.UDPConn
	port    uint16
	mu      sync.Mutex
	callers map[netip.AddrPort]*net.UDPConn
}

// New returns a fabric without services.
func New(f Faults, seed uint64) *Fabric {
	return &Fabric{faults: f, random: rand.New(rand.NewPCG(seed, 1))}
}

// SetBalancers replaces the addresses that datagrams are sprayed over.
func (f *Fabric) SetBalancers(edges []netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = edges
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Listen takes the datagrams of one service's address.
func (f *Fabric) Listen(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errs.Wrap(err)
	}
	_ = conn.SetReadBuffer(buffer)
	s := &service{fabric: f, conn: conn, port: address.Port(), callers: map[netip.AddrPort]*net.UDPConn{}}
	f.mu.Lock()
	f.services = append(f.services, s)
	f.mu.Unlock()
	go s.inbound()
	return nil
}

// Rebind forgets every caller: its next datagram comes from a new address.
func (f *Fabric) Rebind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.forget()
	}
}

// Seen returns the address that balancers see for a caller of a service's port.
func (f *Fabric) Seen(port uint16, caller netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		if s.port != port {
			continue
		}
		if seen, ok := s.seen(caller); ok {
			return seen, true
		}
	}
	return netip.AddrPort{}, false
}

func (s *service) seen(caller netip.AddrPort) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.callers[caller]
	if !ok {
		return netip.AddrPort{}, false
	}
	return c.LocalAddr().(*net.UDPAddr).AddrPort(), true
}

// Close ends the fabric.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, s := range f.services {
		_ = s.conn.Close()
		s.forget()
	}
}

func (s *service) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, c := range s.callers {
		_ = c.Close()
		delete(s.callers, caller)
	}
}

// fate is what becomes of one datagram: a delay for each copy that arrives.
func (f *Fabric) fate() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.faults.Loss {
		return nil
	}
	copies := []time.Duration{f.delay()}
	if f.random.Float64() < f.faults.Duplicate {
		copies = append(copies, f.delay())
	}
	return copies
}

func (f *Fabric) delay() time.Duration {
	return f.faults.Delay + time.Duration(f.random.Float64()*float64(f.faults.Jitter))
}

// draw returns a balancer.
func (f *Fabric) draw() (netip.Addr, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 {
		return netip.Addr{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))], true
}

// carry delivers a datagram as often and as late as the faults say.
func (f *Fabric) carry(datagram []byte, deliver func([]byte)) {
	for _, after := range f.fate() {
		kept := append([]byte(nil), datagram...)
		if after == 0 {
			deliver(kept)
			continue
		}
		time.AfterFunc(after, func() { deliver(kept) })
	}
}

func (s *service) inbound() {
	b := make([]byte, maxDatagram)
	for {
		n, caller, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		out, err := s.socket(caller)
		if err != nil {
			continue
		}
		s.fabric.carry(b[:n], func(datagram []byte) {
			if to, ok := s.fabric.draw(); ok {
				_, _ = out.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(to, s.port))
			}
		})
	}
}

// errCallers is returned at the bound of callers.
var errCallers = errs.New("fabric: too many callers")

func (s *service) socket(caller netip.AddrPort) (*net.UDPConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[caller]; ok {
		return c, nil
	}
	if len(s.callers) >= maxCallers {
		return nil, errCallers
	}
	own := s.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(own, 0)))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	s.callers[caller] = c
	go s.outbound(c, caller)
	return c, nil
}

func (s *service) outbound(c *net.UDPConn, caller netip.AddrPort) {
	b := make([]byte, maxDatagram)
	for {
		n, err := c.Read(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		s.fabric.carry(b[:n], func(datagram []byte) {
			_, _ = s.conn.WriteToUDPAddrPort(datagram, caller)
		})
	}
}
