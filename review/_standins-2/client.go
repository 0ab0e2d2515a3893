package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// A client sends copies of an opening packet after these times, and gives up after
	// openTimeout.
	firstCopy   = 200 * time.Millisecond
	secondCopy  = 600 * time.Millisecond
	openTimeout = 1400 * time.Millisecond
	// A client sends a packet again after retransmitAfter, doubled up to maxRetransmit, until
	// its deadline.
	retransmitAfter = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	clientDeadline  = 1200 * time.Millisecond
	// resetWindow is how far the seq of a reset may be from the client's last ack.
	resetWindow = 76_800
)

// clientHost is a client address that opens flows from many ports.
type clientHost struct {
	ip     netip.Addr
	zone   string
	route  netip.AddrPort
	conn   *net.UDPConn
	fabric *fabric
	rec    *record
	// onReset is called for a reset of the system on a flow.
	onReset func(f *clientFlow, p *packet)

	mu       sync.Mutex
	flows    map[flowID]*clientFlow
	nextPort uint16
	sent     int
	answered int
	resets   int
	failed   int
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	host *clientHost
	id   flowID
	in   chan packet
	seq  uint32
	ack  uint32

	mu      sync.Mutex
	lastAck uint32
	waiting string
}

func newClientHost(address, route netip.AddrPort, zone string, fabric *fabric, rec *record) (*clientHost, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &clientHost{
		ip: address.Addr(), zone: zone, route: route, conn: conn, fabric: fabric, rec: rec,
		flows: map[flowID]*clientFlow{}, nextPort: 20000,
	}
	go c.receive()
	return c, nil
}

func (c *clientHost) receive() {
	in := make([]byte, maxDatagram)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(in)
		if err != nil {
			return
		}
		b := append([]byte(nil), in[:n]...)
		p, ok := decode(b)
		systemReset := ok && p.flags == flagRst && len(p.data) == 0 && p.sum == 0
		if !ok || !systemReset && !intact(b) {
			c.rec.say("BROKEN MIXED: a client got a packet that its sender did not write so")
			continue
		}
		c.mu.Lock()
		f := c.flows[flowID{client: p.dst, route: p.src}]
		c.mu.Unlock()
		if f == nil {
			continue
		}
		if systemReset && c.onReset != nil {
			c.onReset(f, &p)
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// run opens one flow after the other until the context ends, and sends requests on each with
// pauses. A client keeps a flow for the given number of requests on average.
func (c *clientHost) run(ctx context.Context, requests int, pause time.Duration) {
	for ctx.Err() == nil {
		c.runFlow(ctx, 1+rand.N(2*requests), pause)
		sleep(ctx, pause/2+rand.N(pause))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *clientHost) count(n *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*n++
}

func (c *clientHost) runFlow(ctx context.Context, requests int, pause time.Duration) {
	c.mu.Lock()
	c.nextPort++
	f := &clientFlow{
		host: c, id: flowID{client: netip.AddrPortFrom(c.ip, c.nextPort), route: c.route}, in: make(chan packet, 64),
		seq: rand.Uint32(),
	}
	c.flows[f.id] = f
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, f.id)
		c.mu.Unlock()
	}()
	if !f.open(ctx) {
		return
	}
	for i := range requests {
		if ctx.Err() != nil || !f.request(ctx, fmt.Sprintf("%s-%d", f.id.client, i)) {
			return
		}
		if f.pause(ctx, pause/2+rand.N(pause)) {
			return
		}
	}
	f.send(&packet{flags: flagAck | flagFin, seq: f.seq, ack: f.ack})
}

func (f *clientFlow) send(p *packet) {
	to, ok := f.host.fabric.pick(f.host.zone, f.id)
	if !ok {
		return
	}
	p.src, p.dst = f.id.client, f.id.route
	f.mu.Lock()
	f.lastAck = p.ack
	f.mu.Unlock()
	_, _ = f.host.conn.WriteToUDPAddrPort(p.encode(), to)
}

// open opens the flow.
func (f *clientFlow) open(ctx context.Context) bool {
	seq := f.seq
	f.seq++
	started := time.Now()
	for i, until := range []time.Duration{firstCopy, secondCopy, openTimeout} {
		f.send(&packet{flags: flagSyn, seq: seq, ack: uint32(i)})
		p, ok := f.await(ctx, until-time.Since(started), func(p *packet) bool {
			return p.flags&flagRst != 0 || p.flags&(flagSyn|flagAck) == flagSyn|flagAck
		})
		switch {
		case !ok:
			continue
		case p.flags&flagRst != 0:
			f.host.count(&f.host.resets)
			return false
		}
		f.ack = p.seq + 1
		f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
		return true
	}
	if ctx.Err() == nil {
		f.host.count(&f.host.failed)
		f.host.rec.printf("flow %s is not opened", f.id.client)
	}
	return false
}

// await waits for a packet.
func (f *clientFlow) await(ctx context.Context, d time.Duration, matches func(*packet) bool) (packet, bool) {
	timeout := time.After(d)
	for {
		select {
		case <-ctx.Done():
			return packet{}, false
		case <-timeout:
			return packet{}, false
		case p := <-f.in:
			if matches(&p) {
				return p, true
			}
		}
	}
}

// request sends a request and reports whether the flow goes on.
func (f *clientFlow) request(ctx context.Context, name string) bool {
	f.host.count(&f.host.sent)
	f.host.rec.printf("request %q is sent", name)
	data, seq := []byte(name), f.seq
	f.seq += uint32(len(data))
	f.setWaiting(name)
	defer f.setWaiting("")
	deadline := time.Now().Add(clientDeadline)
	for delay := retransmitAfter; time.Now().Before(deadline) && ctx.Err() == nil; delay = min(2*delay, maxRetransmit) {
		f.send(&packet{flags: flagAck, seq: seq, ack: f.ack, data: data})
		p, ok := f.await(ctx, min(delay, time.Until(deadline)), func(p *packet) bool {
			return p.flags&flagRst != 0 || len(p.data) > 0 && p.ack == f.seq
		})
		switch {
		case !ok:
			continue
		case p.flags&flagRst != 0:
			f.host.rec.printf("request %q gets no answer: the flow is reset", name)
			f.host.count(&f.host.resets)
			return false
		}
		if string(p.data) != "answer to "+name {
			f.host.rec.say("BROKEN MIXED: request %q got %q", name, p.data)
		}
		f.ack = p.seq + uint32(len(p.data))
		f.send(&packet{flags: flagAck, seq: f.seq, ack: f.ack})
		f.host.count(&f.host.answered)
		f.host.rec.printf("request %q is answered", name)
		return true
	}
	if ctx.Err() == nil {
		f.host.count(&f.host.failed)
		f.host.rec.printf("request %q gets no answer by its deadline", name)
	}
	return false
}

// pause waits between two requests, and reports whether the flow has ended meanwhile.
func (f *clientFlow) pause(ctx context.Context, d time.Duration) bool {
	p, ok := f.await(ctx, d, func(p *packet) bool { return p.flags&(flagRst|flagFin) != 0 })
	if ok && p.flags&flagRst != 0 {
		f.host.rec.printf("flow %s is reset", f.id.client)
		f.host.count(&f.host.resets)
	}
	return ok
}

func (f *clientFlow) setWaiting(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = name
}

// accepts reports whether the client takes a reset of its open flow, and the request that waits.
func (f *clientFlow) accepts(p *packet) (waiting string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	distance := int64(int32(p.seq - f.lastAck))
	return f.waiting, distance >= -resetWindow && distance <= resetWindow
}
