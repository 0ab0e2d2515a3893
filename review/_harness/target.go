package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/request/segment"
	"github.com/wagtailtray/wagtailtray/platform"
	"github.com/wagtailtray/wagtailtray/platform/standin"
)

const (
	headerSize = 31
	offFlags   = 14
	bitBounced = 32
)

var codec platform.PacketCodec

var flagBits = map[segment.Flags]byte{segment.Opens: 16, segment.Acks: 1, segment.Ends: 2, segment.Resets: 128}

// encode encodes a packet as PROTOCOL.md lays it out.
func encode(s segment.Segment, payload []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(b[0:], s.Seq)
	binary.LittleEndian.PutUint32(b[4:], s.Ack)
	binary.LittleEndian.PutUint16(b[12:], uint16(len(payload)))
	for flag, bit := range flagBits {
		if s.Flags.Has(flag) {
			b[offFlags] |= bit
		}
	}
	to, from := s.Destination.Addr().As4(), s.Source.Addr().As4()
	for i := range 4 {
		b[15+i], b[23+i] = to[3-i], from[3-i]
	}
	binary.LittleEndian.PutUint16(b[19:], s.Destination.Port())
	binary.LittleEndian.PutUint16(b[21:], s.Source.Port())
	// The key of the sum is not disclosed to the system; a constant serves here.
	binary.LittleEndian.PutUint32(b[8:], 0x5eed)
	return append(b, payload...)
}

// workTime is how long a target works on a request.
const workTime = 20 * time.Millisecond

type targetSettings struct {
	id, service, zone      string
	app, outbound, control netip.AddrPort
}

// target is one incarnation of a target.
type target struct {
	targetSettings
	record *record
	conn   *net.UDPConn
	health *http.Server
	cancel context.CancelFunc
	client *http.Client
	born   int64

	mu       sync.Mutex
	sequence int
	flows    map[segment.Flow]*targetFlow
}

type targetFlow struct {
	seq   uint32
	open  bool
	ended bool
	// sent counts the bytes answered, and answers has them by the sequence number of the
	// request, for requests that are sent again. An answer is nil while its request runs.
	sent    uint32
	answers map[uint32]*answer
}

type answer struct {
	seq  uint32
	text []byte
}

func startTarget(r *record, s targetSettings) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.app))
	if err != nil {
		return nil, err
	}
	l, err := standin.ListenTCP(s.app)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &target{
		targetSettings: s, record: r, conn: conn, cancel: cancel, born: time.Now().UnixMilli(), flows: map[segment.Flow]*targetFlow{},
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	t.health = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = t.health.Serve(l) }()
	go t.receive()
	go t.beat(ctx)
	return t, nil
}

// crash ends the target without a word.
func (t *target) crash() {
	t.cancel()
	_ = t.conn.Close()
	_ = t.health.Close()
}

func (t *target) beat(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeat
		if t.post(ctx, t.id, t.nextBeat()) != nil {
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// nextBeat returns the body of the next heartbeat.
func (t *target) nextBeat() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": t.service, "address": t.app.String(), "zone": t.zone, "version": "v1", "slots": 4, "state": "ready",
		"coldRemainingMs": 0, "sequence": t.sequence, "born": t.born,
	})
	return body
}

// post sends a heartbeat of an id to the agent beside the target.
func (t *target) post(ctx context.Context, id string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.control.String()+"/api/Instances.Heartbeat/"+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := t.client.Do(req)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("heartbeat: status %d", res.StatusCode)
	}
	return nil
}

func (t *target) receive() {
	b := make([]byte, segment.MaxPacket)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		packet := bytes.Clone(b[:n])
		if s, err := codec.Decode(packet); err == nil {
			t.handle(&s, packet)
		}
	}
}

// handle handles one packet as PROTOCOL.md tells of targets.
func (t *target) handle(s *segment.Segment, packet []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := s.FromCaller()
	f := t.flows[id]
	if s.Opening() {
		if f == nil || f.ended {
			f = &targetFlow{seq: rand.Uint32(), answers: map[uint32]*answer{}}
			t.flows[id] = f
			t.record.add("target %s (%s): takes the opening packet of %s", t.id, t.service, id)
		}
		t.reply(id, segment.Segment{Flags: segment.Opens | segment.Acks, Seq: f.seq}, nil)
		return
	}
	if f == nil || s.Ack-f.seq > 1<<20 {
		t.record.add("target %s: returns a packet of %s", t.id, id)
		packet[offFlags] |= bitBounced
		_, _ = t.conn.WriteToUDPAddrPort(packet, t.outbound)
		return
	}
	if !f.open {
		f.open = true
		t.record.add("target %s: %s is open", t.id, id)
	}
	switch {
	case s.Flags.Has(segment.Ends):
		f.ended = true
		t.reply(id, segment.Segment{Flags: segment.Acks | segment.Ends, Seq: f.seq + 1 + f.sent, Ack: s.Seq + 1}, nil)
	case s.Size > 0:
		t.request(id, f, s, packet[headerSize:])
	}
}

// request runs a request of a flow once, however often it is sent.
func (t *target) request(id segment.Flow, f *targetFlow, s *segment.Segment, payload []byte) {
	ack := s.Seq + uint32(s.Size)
	a, known := f.answers[s.Seq]
	if a != nil {
		t.reply(id, segment.Segment{Flags: segment.Acks, Seq: a.seq, Ack: ack}, a.text)
	}
	if known {
		return
	}
	f.answers[s.Seq] = nil
	t.record.add("target %s (%s): runs %q", t.id, t.service, payload)
	text := fmt.Sprintf("answer of %s (%s) to %s", t.id, t.service, payload)
	at := s.Seq
	time.AfterFunc(workTime, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		a := &answer{seq: f.seq + 1 + f.sent, text: []byte(text)}
		f.answers[at] = a
		f.sent += uint32(len(a.text))
		t.reply(id, segment.Segment{Flags: segment.Acks, Seq: a.seq, Ack: ack}, a.text)
	})
}

func (t *target) reply(id segment.Flow, s segment.Segment, payload []byte) {
	s.Source, s.Destination = id.Listener, id.Caller
	_, _ = t.conn.WriteToUDPAddrPort(encode(s, payload), t.outbound)
}
