// Package upstream is a test upstream of a service: a QUIC server with a limited
// number of slots, a load endpoint that can be delayed or report false numbers, a
// cold start, and load shedding.
//
// # Usage
//
//	u, err := upstream.Start(upstream.Settings{...}, oracle)
//	defer u.Close()
//	u.Shed(true)
package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/standin/exchange"
)

const (
	// idleTimeout closes a connection whose caller is gone.
	idleTimeout = 20 * time.Second
	// revisionTime is how long a revision holds a slot.
	revisionTime = 2 * time.Millisecond
	fullWarmth   = 1000
	chunkSize    = 16 << 10
	maxTicks     = 1 << 20
)

// Settings configure an upstream.
type Settings struct {
	Name    string
	Service string
	Address netip.AddrPort
	// LoadAddress is where the load endpoint listens; port 0 selects a free
	// port.
	LoadAddress netip.AddrPort
	Slots       int
	// ColdStart is how long the upstream takes to warm up.
	ColdStart time.Duration
	// LoadDelay delays the responses of the load endpoint.
	LoadDelay time.Duration
	// FalseReports makes the load endpoint always report that all slots are
	// free.
	FalseReports bool
}

// Upstream is a running upstream.
type Upstream struct {
	settings     Settings
	oracle       *exchange.Oracle
	slots        chan struct{}
	conns        atomic.Int64
	shedding     atomic.Bool
	startedAt    time.Time
	packetConn   *net.UDPConn
	transport    *quic.Transport
	listener     *quic.Listener
	loadListener net.Listener
	server       *http.Server
	cancel       context.CancelFunc
	// drainingSince is when the drain began, in nanoseconds since startedAt; 0
	// if there is none.
	drainingSince atomic.Int64
}

// Start starts an upstream that reports to an oracle.
func Start(s Settings, o *exchange.Oracle) (*Upstream, error) {
	config, err := exchange.ServerTLS()
	if err != nil {
		return nil, err
	}
	packet, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.Address))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	u := &Upstream{
		settings: s, oracle: o, slots: make(chan struct{}, max(s.Slots, 1)), startedAt: time.Now(),
		packetConn: packet, transport: &quic.Transport{Conn: packet},
	}
	u.listener, err = u.transport.Listen(config, &quic.Config{MaxIdleTimeout: idleTimeout, MaxIncomingStreams: 1000})
	if err != nil {
		return nil, errs.Wrap(err)
	}
	u.loadListener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.LoadAddress))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serveLoad), ReadHeaderTimeout: time.Second}
	go func() { _ = u.server.Serve(u.loadListener) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	go u.accept(ctx)
	return u, nil
}

// Address returns the address at which the upstream accepts connections.
func (u *Upstream) Address() netip.AddrPort {
	return u.packetConn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// LoadAddress returns the address of the load endpoint.
func (u *Upstream) LoadAddress() string {
	return u.loadListener.Addr().String()
}

// Conns returns the number of open connections.
func (u *Upstream) Conns() int {
	return int(u.conns.Load())
}

// Shed makes the upstream report whether it is shedding load.
func (u *Upstream) Shed(on bool) {
	u.shedding.Store(on)
}

// Drain records that the upstream's drain has begun. A new connection more than
// drainGrace later is reported as a late opening.
func (u *Upstream) Drain() {
	u.drainingSince.Store(int64(time.Since(u.startedAt)))
}

// Undrain records that the drain has ended.
func (u *Upstream) Undrain() {
	u.drainingSince.Store(0)
}

// Close stops the upstream without waiting for its connections.
func (u *Upstream) Close() {
	u.cancel()
	_ = u.listener.Close()
	_ = u.transport.Close()
	_ = u.packetConn.Close()
	_ = u.server.Close()
}

func (u *Upstream) accept(ctx context.Context) {
	for {
		c, err := u.listener.Accept(ctx)
		if err != nil {
			return
		}
		u.checkDrain()
		go u.serve(ctx, c)
	}
}

// drainGrace is how long after the start of a drain openings may still arrive.
const drainGrace = 3 * time.Second

func (u *Upstream) checkDrain() {
	since := u.drainingSince.Load()
	if since != 0 && time.Since(u.startedAt)-time.Duration(since) > drainGrace {
		u.oracle.RecordLateOpening()
	}
}

func (u *Upstream) serve(ctx context.Context, c *quic.Conn) {
	u.conns.Add(1)
	defer u.conns.Add(-1)
	for {
		s, err := c.AcceptStream(ctx)
		if err != nil {
			return
		}
		go u.handleStream(ctx, s)
	}
}

func (u *Upstream) handleStream(ctx context.Context, s *quic.Stream) {
	defer func() { _ = s.Close() }()
	line, err := bufio.NewReader(s).ReadBytes('\n')
	if err != nil {
		return
	}
	var r exchange.Request
	if json.Unmarshal(line, &r) != nil {
		s.CancelWrite(1)
		return
	}
	u.oracle.RecordRun(&r, u.settings.Service, u.settings.Name)
	switch r.Op {
	case exchange.Revision:
		u.useSlot()
	case exchange.Feed:
		if !sendFeed(ctx, s, &r) {
			return
		}
	case exchange.Download:
		if !sendDownload(s, &r) {
			return
		}
	}
	trailer, _ := json.Marshal(exchange.Trailer{ID: r.ID, Size: r.Size})
	_, _ = s.Write(append(trailer, '\n'))
}

// useSlot holds a slot for revisionTime.
func (u *Upstream) useSlot() {
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	time.Sleep(revisionTime)
}

func sendFeed(ctx context.Context, s *quic.Stream, r *exchange.Request) bool {
	ticker := time.NewTicker(time.Duration(max(r.IntervalMillis, 1)) * time.Millisecond)
	defer ticker.Stop()
	for range min(r.Size, maxTicks) {
		select {
		case <-ctx.Done():
			return false
		case <-s.Context().Done():
			return false
		case <-ticker.C:
		}
		if _, err := s.Write([]byte("tick\n")); err != nil {
			return false
		}
	}
	return true
}

func sendDownload(s *quic.Stream, r *exchange.Request) bool {
	chunk := make([]byte, chunkSize)
	for i := range chunk {
		chunk[i] = '.'
	}
	chunk[len(chunk)-1] = '\n'
	for left := r.Size; left > 0; left -= len(chunk) {
		if _, err := s.Write(chunk); err != nil {
			return false
		}
	}
	return true
}

// loadReport is the response of the load endpoint, in the format that agents read.
type loadReport struct {
	Slots    int    `json:"slots"`
	Busy     int    `json:"busy"`
	Shedding bool   `json:"shedding"`
	Warmth   uint32 `json:"warmth"`
	// Connections is the number of open connections.
	Connections int `json:"connections"`
}

func (u *Upstream) serveLoad(w http.ResponseWriter, _ *http.Request) {
	l := loadReport{Slots: u.settings.Slots, Busy: len(u.slots), Shedding: u.shedding.Load(), Warmth: u.warmth()}
	l.Connections = u.Conns()
	time.Sleep(u.settings.LoadDelay)
	if u.settings.FalseReports {
		l.Busy, l.Shedding, l.Warmth, l.Connections = 0, false, fullWarmth, 0
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

func (u *Upstream) warmth() uint32 {
	age := time.Since(u.startedAt)
	if u.settings.ColdStart <= 0 || age >= u.settings.ColdStart {
		return fullWarmth
	}
	return uint32(age * fullWarmth / u.settings.ColdStart)
}
