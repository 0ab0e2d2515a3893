// Package fabric emulates the network in front of the balancers: it receives
// callers' datagrams at a service's address and forwards each to a random balancer,
// with delay, loss, duplication and reordering.
//
// # The model
//
// Each caller gets its own socket towards the balancers, so that a balancer sees
// distinct callers and any balancer can answer them. The fabric thus also acts as a
// NAT: Rebind gives every caller a new socket, as a NAT does that lost its
// mappings.
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
	maxDatagramSize = 2048
	// maxCallers bounds the sockets of a service. When it is reached, the
	// datagrams of new callers are dropped.
	maxCallers     = 16384
	readBufferSize = 4 << 20
)

// Faults are the faults that the network injects, in each direction.
type Faults struct {
	Delay time.Duration
	// Jitter is the upper bound of a uniformly distributed additional delay,
	// which reorders datagrams.
	Jitter time.Duration
	// Loss and Duplicate are fractions of all datagrams.
	Loss      float64
	Duplicate float64
}

// Fabric is the emulated network of one deployment.
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

// SetBalancers replaces the addresses of the balancers.
func (f *Fabric) SetBalancers(edges []netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancers = edges
}

// SetFaults replaces the injected faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Listen receives datagrams at a service's address.
func (f *Fabric) Listen(address netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return errs.Wrap(err)
	}
	_ = conn.SetReadBuffer(readBufferSize)
	s := &service{fabric: f, conn: conn, port: address.Port(), callers: map[netip.AddrPort]*net.UDPConn{}}
	f.mu.Lock()
	f.services = append(f.services, s)
	f.mu.Unlock()
	go s.inbound()
	return nil
}

// Rebind closes the sockets of all callers: the next datagram of each is sent from a
// new address.
func (f *Fabric) Rebind() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.closeCallers()
	}
}

// MappedAddress returns the address that balancers see for a caller of the service
// at the given port.
func (f *Fabric) MappedAddress(port uint16, caller netip.AddrPort) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		if s.port != port {
			continue
		}
		if mapped, ok := s.mappedAddress(caller); ok {
			return mapped, true
		}
	}
	return netip.AddrPort{}, false
}

func (s *service) mappedAddress(caller netip.AddrPort) (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.callers[caller]
	if !ok {
		return netip.AddrPort{}, false
	}
	return c.LocalAddr().(*net.UDPAddr).AddrPort(), true
}

// Close closes all sockets.
func (f *Fabric) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, s := range f.services {
		_ = s.conn.Close()
		s.closeCallers()
	}
}

func (s *service) closeCallers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for caller, c := range s.callers {
		_ = c.Close()
		delete(s.callers, caller)
	}
}

// copyDelays returns a delay for each copy of a datagram that is delivered, and none
// for a lost datagram.
func (f *Fabric) copyDelays() []time.Duration {
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

// pickBalancer returns a random balancer.
func (f *Fabric) pickBalancer() (netip.Addr, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.balancers) == 0 {
		return netip.Addr{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))], true
}

// transmit delivers the copies of a datagram after their delays.
func (f *Fabric) transmit(datagram []byte, deliver func([]byte)) {
	for _, delay := range f.copyDelays() {
		copied := append([]byte(nil), datagram...)
		if delay == 0 {
			deliver(copied)
			continue
		}
		time.AfterFunc(delay, func() { deliver(copied) })
	}
}

func (s *service) inbound() {
	b := make([]byte, maxDatagramSize)
	for {
		n, caller, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		out, err := s.callerSocket(caller)
		if err != nil {
			continue
		}
		s.fabric.transmit(b[:n], func(datagram []byte) {
			if to, ok := s.fabric.pickBalancer(); ok {
				_, _ = out.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(to, s.port))
			}
		})
	}
}

// errTooManyCallers is returned when a service has maxCallers callers.
var errTooManyCallers = errs.New("fabric: too many callers")

func (s *service) callerSocket(caller netip.AddrPort) (*net.UDPConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.callers[caller]; ok {
		return c, nil
	}
	if len(s.callers) >= maxCallers {
		return nil, errTooManyCallers
	}
	local := s.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(local, 0)))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	s.callers[caller] = c
	go s.outbound(c, caller)
	return c, nil
}

func (s *service) outbound(c *net.UDPConn, caller netip.AddrPort) {
	b := make([]byte, maxDatagramSize)
	for {
		n, err := c.Read(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		s.fabric.transmit(b[:n], func(datagram []byte) {
			_, _ = s.conn.WriteToUDPAddrPort(datagram, caller)
		})
	}
}
