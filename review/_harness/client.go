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

// request opens a flow from a port through a balancer, sends one request and closes the flow.
func (c *client) request(port uint16, listener, balancer netip.AddrPort, text string) outcome {
	id := segment.Flow{Caller: netip.AddrPortFrom(c.ip, port), Listener: listener}
	ch := make(chan received, 64)
	c.mu.Lock()
	c.flows[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, id)
		c.mu.Unlock()
	}()
	f := &clientFlow{client: c, id: id, balancer: balancer, packets: ch}
	o := outcome{sentAt: time.Now()}
	c.record.add("client: opens %s through %s for %q", id, balancer.Addr(), text)
	f.run(text, &o)
	c.record.add("client: %q ended: opened %v, reset %v, answer %q", text, o.opened, o.reset, o.answer)
	return o
}

type clientFlow struct {
	client   *client
	id       segment.Flow
	balancer netip.AddrPort
	packets  chan received
	ack      uint32
}

func (f *clientFlow) send(s segment.Segment, payload string) {
	s.Source, s.Destination = f.id.Caller, f.id.Listener
	_, _ = f.client.conn.WriteToUDPAddrPort(encode(s, []byte(payload)), f.balancer)
}

// wait waits for a packet that matches, or a reset.
func (f *clientFlow) wait(until time.Time, match func(received) bool) (ok, reset bool) {
	timeout := time.After(time.Until(until))
	for {
		select {
		case <-timeout:
			return false, false
		case p := <-f.packets:
			if p.segment.Flags.Has(segment.Resets) {
				return false, true
			}
			if match(p) {
				return true, false
			}
		}
	}
}

func (f *clientFlow) run(text string, o *outcome) {
	if o.opened, o.reset = f.open(o.sentAt); !o.opened {
		return
	}
	seq := uint32(1)
	deadline := time.Now().Add(requestDeadline)
	for pause := retransmitTimeout; time.Now().Before(deadline) && o.answer == ""; pause *= 2 {
		f.send(segment.Segment{Flags: segment.Acks, Seq: seq, Ack: f.ack}, text)
		_, o.reset = f.wait(time.Now().Add(min(pause, time.Until(deadline))), func(p received) bool {
			if p.segment.Size > 0 {
				o.answer = p.payload
				f.ack = p.segment.Seq + uint32(p.segment.Size)
			}
			return p.segment.Size > 0
		})
		if o.reset {
			return
		}
	}
	if o.answer == "" {
		return
	}
	f.end(seq + uint32(len(text)))
}

func (f *clientFlow) open(start time.Time) (ok, reset bool) {
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
		})
		if ok || reset {
			return ok, reset
		}
	}
	return false, false
}

// end closes the flow from both ends.
func (f *clientFlow) end(seq uint32) {
	for range 4 {
		f.send(segment.Segment{Flags: segment.Acks | segment.Ends, Seq: seq, Ack: f.ack}, "")
		ok, reset := f.wait(time.Now().Add(retransmitTimeout), func(p received) bool { return p.segment.Flags.Has(segment.Ends) })
		if ok || reset {
			f.send(segment.Segment{Flags: segment.Acks, Seq: seq + 1, Ack: f.ack + 1}, "")
			return
		}
	}
}
