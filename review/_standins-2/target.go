package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// ackTimeout is within which an answer acknowledges a heartbeat, and heartbeatRetry the
	// pause before one that was not acknowledged is sent again.
	ackTimeout     = time.Second
	heartbeatRetry = 100 * time.Millisecond
)

// target is one incarnation of a target.
type target struct {
	id        string
	service   string
	zone      string
	app       netip.AddrPort
	outbound  netip.AddrPort
	control   netip.AddrPort
	heartbeat time.Duration
	born      int64
	bornAt    time.Time
	rec       *record
	conn      *net.UDPConn
	health    net.Listener
	client    *http.Client
	cancel    context.CancelFunc
	// acked receives a value after each acknowledged heartbeat.
	acked chan struct{}

	mu       sync.Mutex
	alive    bool
	draining bool
	sequence int
	flows    map[flowID]*targetFlow
	runs     map[string]int
}

// targetFlow is a flow at a target.
type targetFlow struct {
	seq    uint32
	open   bool
	openAt time.Time
	closed bool
	// answers are the answers by the sequence number of the request; nil while it runs.
	answers map[uint32][]byte
	next    uint32
}

// start opens the target's sockets and sends its first heartbeat at once.
func (t *target) start() error {
	var err error
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.app)); err != nil {
		return err
	}
	if t.health, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(t.app)); err != nil {
		return err
	}
	t.born, t.bornAt, t.alive = time.Now().UnixMilli(), time.Now(), true
	t.flows, t.runs = map[flowID]*targetFlow{}, map[string]int{}
	t.acked = make(chan struct{}, 64)
	t.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(t.serveHealth), ReadHeaderTimeout: time.Second}).Serve(t.health)
	}()
	go t.receive()
	go t.beat(ctx)
	t.rec.printf("target %s starts, born %d", t.id, t.born)
	return nil
}

// crash ends the target as a process that is killed. Calls that are under way are not taken back.
func (t *target) crash() {
	t.mu.Lock()
	t.alive = false
	t.mu.Unlock()
	t.cancel()
	_ = t.conn.Close()
	_ = t.health.Close()
	t.rec.printf("target %s crashes", t.id)
}

func (t *target) isAlive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.alive
}

func (t *target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// body returns the next heartbeat.
func (t *target) body() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	data, _ := json.Marshal(map[string]any{
		"service": t.service, "address": t.app.String(), "zone": t.zone, "version": "v1", "slots": 4, "state": state,
		"coldRemainingMs": 0, "sequence": t.sequence, "born": t.born,
	})
	return data
}

// beat sends heartbeats until the target ends.
func (t *target) beat(ctx context.Context) {
	for ctx.Err() == nil {
		pause := t.heartbeat
		if t.sendHeartbeat(ctx) {
			select {
			case t.acked <- struct{}{}:
			default:
			}
		} else {
			pause = heartbeatRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (t *target) sendHeartbeat(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	body := t.body()
	status, err := post(ctx, t.client, t.control, "/api/Instances.Heartbeat/"+t.id, body)
	ok := err == nil && status/100 == 2
	t.rec.printf("heartbeat of %s: %s acknowledged %v", t.id, body, ok)
	return ok
}

func post(ctx context.Context, client *http.Client, to netip.AddrPort, path string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode, nil
}

func (t *target) receive() {
	in := make([]byte, maxDatagram)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(in)
		if err != nil {
			return
		}
		b := append([]byte(nil), in[:n]...)
		p, ok := decode(b)
		if !ok || !intact(b) {
			t.rec.say("BROKEN UNASKED: target %s got a packet that its sender did not write so", t.id)
			continue
		}
		t.handle(&p, b)
	}
}

func (t *target) handle(p *packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := flowID{client: p.src, route: p.dst}
	f := t.flows[id]
	switch {
	case p.flags&(flagSyn|flagAck) == flagSyn:
		if f == nil {
			f = &targetFlow{seq: rand.Uint32(), answers: map[uint32][]byte{}}
			f.next = f.seq + 1
			t.flows[id] = f
		}
		t.reply(id, &packet{flags: flagSyn | flagAck, seq: f.seq, ack: p.seq + 1})
	case f == nil || !f.open && p.ack != f.seq+1:
		raw[offsetFlags] |= flagBounced
		_, _ = t.conn.WriteToUDPAddrPort(raw, t.outbound)
	case p.flags&flagRst != 0:
		delete(t.flows, id)
	case p.flags&flagFin != 0:
		f.closed = true
		t.reply(id, &packet{flags: flagAck | flagFin, seq: f.next, ack: p.seq + 1})
	default:
		if !f.open {
			f.open, f.openAt = true, time.Now()
			t.rec.printf("flow %s is open at %s", id.client, t.id)
		}
		if len(p.data) > 0 {
			t.run(id, f, p)
		}
	}
}

// run runs a request once, however often its packet arrives.
func (t *target) run(id flowID, f *targetFlow, p *packet) {
	if answer, known := f.answers[p.seq]; known {
		if answer != nil {
			_, _ = t.conn.WriteToUDPAddrPort(answer, t.outbound)
		}
		return
	}
	f.answers[p.seq] = nil
	seq, ack, name := p.seq, p.seq+uint32(len(p.data)), string(p.data)
	t.runs[name]++
	t.rec.printf("request %q runs at %s", name, t.id)
	time.AfterFunc(30*time.Millisecond, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.alive {
			return
		}
		data := fmt.Appendf(nil, "answer to %s", name)
		answer := &packet{flags: flagAck, seq: f.next, ack: ack, data: data}
		f.next += uint32(len(data))
		f.answers[seq] = t.reply(id, answer)
	})
}

// reply sends a packet of the target and returns it.
func (t *target) reply(id flowID, p *packet) []byte {
	p.src, p.dst = id.route, id.client
	b := p.encode()
	_, _ = t.conn.WriteToUDPAddrPort(b, t.outbound)
	return b
}

// holds reports whether the flow is open at the target, and since when.
func (t *target) holds(id flowID) (bool, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[id]
	if !t.alive || f == nil || !f.open || f.closed {
		return false, time.Time{}
	}
	return true, f.openAt
}
