// Package upstream stands in for a service's upstream: a QUIC server with a
// few slots, a load endpoint that can lag or lie, a cold start, and shedding.
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
	// idle ends a connection whose caller has gone.
	idle = 20 * time.Second
	// workTime is how long a revision holds a slot.
	workTime  = 2 * time.Millisecond
	fullWarm  = 1000
	chunkSize = 16 << 10
	maxTicks  = 1 << 20
)

// Settings of one upstream.
type Settings struct {
	Name    string
	Service string
	Address netip.AddrPort
	// Load is where the load endpoint listens; port 0 takes any.
	Load  netip.AddrPort
	Slots int
	// ColdStart is how long it takes to become warm.
	ColdStart time.Duration
	// LoadLag delays what the load endpoint tells.
	LoadLag time.Duration
	// Lie makes the load endpoint always say that all slots are free.
	Lie bool
}

// Upstream is one running upstream.
type Upstream struct {
	settings Settings
	oracle   *exchange.Oracle
	slots    chan struct{}
	conns    atomic.Int64
	shedding atomic.Bool
	started  time.Time
	packet   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	load     net.Listener
	server   *http.Server
	cancel   context.CancelFunc
	// drained is when its drain began, in nanoseconds of its own clock.
	drained atomic.Int64
}

// Start listens and serves.
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
		settings: s, oracle: o, slots: make(chan struct{}, max(s.Slots, 1)), started: time.Now(),
		packet: packet, quic: &quic.Transport{Conn: packet},
	}
	u.listener, err = u.quic.Listen(config, &quic.Config{MaxIdleTimeout: idle, MaxIncomingStreams: 1000})
	if err != nil {
		return nil, errs.Wrap(err)
	}
	u.load, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(s.Load))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.tell), ReadHeaderTimeout: time.Second}
	go func() { _ = u.server.Serve(u.load) }()
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	go u.accept(ctx)
	return u, nil
}

// Address returns where flows are taken.
func (u *Upstream) Address() netip.AddrPort {
	return u.packet.LocalAddr().(*net.UDPAddr).AddrPort()
}

// LoadAddress returns where the load endpoint listens.
func (u *Upstream) LoadAddress() string {
	return u.load.Addr().String()
}

// Conns returns the number of open connections.
func (u *Upstream) Conns() int {
	return int(u.conns.Load())
}

// Shed makes the upstream say that it takes no new flows.
func (u *Upstream) Shed(on bool) {
	u.shedding.Store(on)
}

// Drain notes that the upstream's drain has begun: from a few seconds later on
// a new connection is a broken promise.
func (u *Upstream) Drain() {
	u.drained.Store(int64(time.Since(u.started)))
}

// Undrain ends that.
func (u *Upstream) Undrain() {
	u.drained.Store(0)
}

// Close ends everything at once.
func (u *Upstream) Close() {
	u.cancel()
	_ = u.listener.Close()
	_ = u.quic.Close()
	_ = u.packet.Close()
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

// drainGrace is how long after the start of a drain new work may still come.
const drainGrace = 3 * time.Second

func (u *Upstream) checkDrain() {
	at := u.drained.Load()
	if at != 0 && time.Since(u.started)-time.Duration(at) > drainGrace {
		u.oracle.Late()
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
		go u.answer(ctx, s)
	}
}

func (u *Upstream) answer(ctx context.Context, s *quic.Stream) {
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
	u.oracle.Ran(&r, u.settings.Service, u.settings.Name)
	switch r.Op {
	case exchange.Revision:
		u.work()
	case exchange.Feed:
		if !feed(ctx, s, &r) {
			return
		}
	case exchange.Download:
		if !download(s, &r) {
			return
		}
	}
	trailer, _ := json.Marshal(exchange.Trailer{ID: r.ID, Size: r.Size})
	_, _ = s.Write(append(trailer, '\n'))
}

// work holds a slot for a moment.
func (u *Upstream) work() {
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	time.Sleep(workTime)
}

func feed(ctx context.Context, s *quic.Stream, r *exchange.Request) bool {
	ticker := time.NewTicker(time.Duration(max(r.Every, 1)) * time.Millisecond)
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

func download(s *quic.Stream, r *exchange.Request) bool {
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

// load is the load endpoint's answer, in the form that agents read.
type load struct {
	Slots    int    `json:"slots"`
	Busy     int    `json:"busy"`
	Shedding bool   `json:"shedding"`
	Warmth   uint32 `json:"warmth"`
	// Connections is the number of open ones.
	Connections int `json:"connections"`
}

func (u *Upstream) tell(w http.ResponseWriter, _ *http.Request) {
	l := load{Slots: u.settings.Slots, Busy: len(u.slots), Shedding: u.shedding.Load(), Warmth: u.warmth()}
	l.Connections = u.Conns()
	time.Sleep(u.settings.LoadLag)
	if u.settings.Lie {
		l.Busy, l.Shedding, l.Warmth, l.Connections = 0, false, fullWarm, 0
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

func (u *Upstream) warmth() uint32 {
	age := time.Since(u.started)
	if u.settings.ColdStart <= 0 || age >= u.settings.ColdStart {
		return fullWarm
	}
	return uint32(age * fullWarm / u.settings.ColdStart)
}
