package main

import (
	"bytes"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
)

// openingCopies are the times after the first opening packet at which a client sends
// copies, and openingTimeout is when it gives up.
var openingCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

const (
	openingTimeout    = 1400 * time.Millisecond
	retransmitTimeout = 200 * time.Millisecond
	requestDeadline   = 1200 * time.Millisecond
	// resetWindow is how far the sequence number of a reset may be from a client's last
	// acknowledgement.
	resetWindow = 76_800
)

// client is one address from which flows are opened.
type client struct {
	ip     netip.Addr
	conn   *net.UDPConn
	record *record

	mu    sync.Mutex
	flows map[segment.Flow]chan received
}

type received struct {
	segment segment.Segment
	payload string
}

func newClient(r *record, address netip.AddrPort) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{ip: address.Addr(), conn: conn, record: r, flows: map[segment.Flow]chan received{}}
	go c.receive()
	return c, nil
}

// callers are clients, one in each zone: routers send a client's packets to balancers of its
// own zone.
type callers []*client

// newCallers returns a client for each zone of a world.
func newCallers(w *world) (callers, error) {
	var all callers
	for i := range uniq(w.zones) {
		c, err := newClient(w.record, w.address(kindCaller, i, portPackets))
		if err != nil {
			all.close()
			return nil, err
		}
		all = append(all, c)
	}
	return all, nil
}

// of returns the client in the zone of a balancer. Balancers go round the zones.
func (cs callers) of(balancer int) *client {
	return cs[balancer%len(cs)]
}

func (cs callers) close() {
	for _, c := range cs {
		c.close()
	}
}

func (c *client) close() {
	_ = c.conn.Close()
}

func (c *client) receive() {
	b := make([]byte, segment.MaxPacket)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s, err := codec.Decode(b[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		ch := c.flows[s.FromUpstream()]
		c.mu.Unlock()
		select {
		case ch <- received{segment: s, payload: string(bytes.Clone(b[headerSize:n]))}:
		default:
		}
	}
}

// outcome is how a request ended.
type outcome struct {
	sentAt time.Time
	// answer is what the target answered; empty if it did not.
	answer string
	// opened is set if the flow opened, reset if the client got a reset.
	opened, reset bool
}

// newFlow returns a flow from a port through a balancer, which is not open yet.
func (c *client) newFlow(port uint16, listener, balancer netip.AddrPort) *clientFlow {
	id := segment.Flow{Caller: netip.AddrPortFrom(c.ip, port), Listener: listener}
	f := &clientFlow{client: c, id: id, balancer: balancer, packets: make(chan received, 64), seq: 1}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flows[id] = f.packets
	return f
}

// request opens a flow from a port through a balancer, sends one request and closes the flow.
func (c *client) request(port uint16, listener, balancer netip.AddrPort, text string) outcome {
	f := c.newFlow(port, listener, balancer)
	defer f.forget()
	o := outcome{sentAt: time.Now()}
	c.record.add("client: opens %s through %s for %q", f.id, balancer.Addr(), text)
	if o.opened, o.reset = f.open(o.sentAt); o.opened {
		o.answer, o.reset = f.ask(text)
	}
	if o.answer != "" {
		f.end()
	}
	c.record.add("client: %q ended: opened %v, reset %v, answer %q", text, o.opened, o.reset, o.answer)
	return o
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	client   *client
	id       segment.Flow
	balancer netip.AddrPort
	packets  chan received
	// seq is the next sequence number, ack the next acknowledgement.
	seq, ack uint32
	isOpen   bool
}

func (f *clientFlow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.id)
}

func (f *clientFlow) send(s segment.Segment, payload string) {
	s.Source, s.Destination = f.id.Caller, f.id.Listener
	_, _ = f.client.conn.WriteToUDPAddrPort(encode(s, []byte(payload)), f.balancer)
}

// wait waits for a packet that matches, or a reset.
func (f *clientFlow) wait(until time.Time, match func(received) bool, payload *string) (ok, reset bool) {
	timeout := time.After(time.Until(until))
	for {
		select {
		case <-timeout:
			return false, false
		case p := <-f.packets:
			if p.segment.Flags.Has(segment.Resets) && f.accepts(p.segment.Seq) {
				return false, true
			}
			if match(p) {
				*payload = p.payload
				return true, false
			}
		}
	}
}

// accepts reports whether a reset with a sequence number ends the flow.
func (f *clientFlow) accepts(seq uint32) bool {
	return !f.isOpen || seq-f.ack <= resetWindow || f.ack-seq <= resetWindow
}

// ask sends a request and returns its answer, or whether the flow was reset.
func (f *clientFlow) ask(text string) (answer string, reset bool) {
	deadline := time.Now().Add(requestDeadline)
	for pause := retransmitTimeout; time.Now().Before(deadline); pause *= 2 {
		f.send(segment.Segment{Flags: segment.Acks, Seq: f.seq, Ack: f.ack}, text)
		ok, reset := f.wait(time.Now().Add(min(pause, time.Until(deadline))), func(p received) bool {
			return p.segment.Size > 0 && p.segment.Seq == f.ack
		}, &answer)
		if reset {
			return "", true
		}
		if ok {
			f.seq += uint32(len(text))
			f.ack += uint32(len(answer))
			return answer, false
		}
	}
	return "", false
}

func (f *clientFlow) open(start time.Time) (ok, reset bool) {
	var none string
	times := append([]time.Duration{0}, openingCopies...)
	for i := range times {
		f.send(segment.Segment{Flags: segment.Opens, Ack: uint32(i)}, "")
		next := openingTimeout
		if i+1 < len(times) {
			next = times[i+1]
		}
		ok, reset = f.wait(start.Add(next), func(p received) bool {
			f.ack = p.segment.Seq + 1
			return p.segment.Flags.Has(segment.Opens | segment.Acks)
		}, &none)
		if ok || reset {
			f.isOpen = ok
			return ok, reset
		}
	}
	return false, false
}

// end closes the flow from both ends.
func (f *clientFlow) end() {
	var none string
	for range 4 {
		f.send(segment.Segment{Flags: segment.Acks | segment.Ends, Seq: f.seq, Ack: f.ack}, "")
		ok, reset := f.wait(time.Now().Add(retransmitTimeout), func(p received) bool { return p.segment.Flags.Has(segment.Ends) }, &none)
		if ok || reset {
			f.send(segment.Segment{Flags: segment.Acks, Seq: f.seq + 1, Ack: f.ack + 1}, "")
			return
		}
	}
}
