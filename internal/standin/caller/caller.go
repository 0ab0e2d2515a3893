// Package caller is a test caller: it runs QUIC sessions that send revisions, read
// feeds and downloads, and report the outcomes.
//
// # Usage
//
//	err := caller.RunSession(ctx, caller.Plan{...}, oracle)
package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/standin/exchange"
)

const (
	// handshakeTimeout is how long a caller tries to open a session.
	handshakeTimeout  = 10 * time.Second
	idleTimeout       = 20 * time.Second
	keepAliveInterval = 2 * time.Second
	// answerTimeout is how long a caller waits for an answer, in addition to the
	// duration of a feed.
	answerTimeout = 15 * time.Second
)

// ErrRefused is returned for a session that was refused before any request ran.
var ErrRefused = errs.New("caller: session refused")

// SessionError is the error of a session that ended early. Caller is the session's
// local address, which the network may translate.
type SessionError struct {
	Session uint64
	Caller  netip.AddrPort
	Err     error
}

// Error returns a message that names the session.
func (e *SessionError) Error() string {
	return fmt.Sprintf("caller: session %d from %s: %v", e.Session, e.Caller, e.Err)
}

// Unwrap returns the cause.
func (e *SessionError) Unwrap() error {
	return e.Err
}

// Plan configures a session.
type Plan struct {
	Service string
	Address netip.AddrPort
	// Local is the address that the caller sends from.
	Local netip.Addr
	// Duration is how long the session stays open, RevisionDelay the time
	// from the answer to a revision to the next one.
	Duration      time.Duration
	RevisionDelay time.Duration
	// FeedTicks is the number of ticks of a feed that is read concurrently with
	// the revisions; 0 for none. DownloadBytes is the size of a download that
	// precedes the feed; 0 for none.
	FeedTicks, FeedIntervalMillis int
	DownloadBytes                 int
}

// RunSession runs a session to its end. The error is for the log only: the outcome
// is already recorded in the oracle.
func RunSession(ctx context.Context, p Plan, o *exchange.Oracle) error {
	id := o.StartSession()
	packet, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.Local, 0)))
	if err != nil {
		return errs.Wrap(err)
	}
	defer func() { _ = packet.Close() }()
	transport := &quic.Transport{Conn: packet}
	defer func() { _ = transport.Close() }()
	c, err := dial(ctx, transport, p)
	if errors.Is(err, ErrRefused) {
		o.RecordRefused(id)
	}
	sessionErr := &SessionError{Session: id, Caller: packet.LocalAddr().(*net.UDPAddr).AddrPort(), Err: err}
	if err != nil {
		return sessionErr
	}
	o.RecordOpened()
	s := &session{id: id, conn: c, plan: p, oracle: o}
	err = s.run(ctx)
	_ = c.CloseWithError(0, "done")
	if err != nil && ctx.Err() == nil {
		o.RecordBroken(id)
	}
	if err == nil {
		return nil
	}
	sessionErr.Err = err
	return sessionErr
}

func dial(ctx context.Context, t *quic.Transport, p Plan) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	config := &quic.Config{
		HandshakeIdleTimeout: handshakeTimeout, MaxIdleTimeout: idleTimeout, KeepAlivePeriod: keepAliveInterval,
	}
	c, err := t.Dial(ctx, net.UDPAddrFromAddrPort(p.Address), exchange.ClientTLS(), config)
	var refused *quic.TransportError
	if errors.As(err, &refused) && refused.ErrorCode == quic.ConnectionRefused {
		return nil, ErrRefused
	}
	return c, errs.Wrap(err)
}

type session struct {
	id     uint64
	conn   *quic.Conn
	plan   Plan
	oracle *exchange.Oracle
}

// run sends revisions until the session's duration has passed, concurrently with
// the download and the feed.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background := make(chan error, 1)
	go func() { background <- s.runBackground(ctx) }()
	end := time.Now().Add(s.plan.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		if err := s.doRequest(ctx, exchange.Request{Op: exchange.Revision}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.plan.RevisionDelay):
		}
	}
	return <-background
}

func (s *session) runBackground(ctx context.Context) error {
	if s.plan.DownloadBytes > 0 {
		if err := s.doRequest(ctx, exchange.Request{Op: exchange.Download, Size: s.plan.DownloadBytes}); err != nil {
			return err
		}
	}
	if s.plan.FeedTicks > 0 {
		return s.doRequest(ctx, exchange.Request{Op: exchange.Feed, Size: s.plan.FeedTicks, IntervalMillis: s.plan.FeedIntervalMillis})
	}
	return nil
}

// doRequest sends a request and records the outcome. A request that is canceled by
// the end of the run is not recorded.
func (s *session) doRequest(ctx context.Context, r exchange.Request) error {
	r.ID = s.oracle.StartRequest(s.id)
	r.Service = s.plan.Service
	limit := answerTimeout + time.Duration(r.Size*r.IntervalMillis)*time.Millisecond
	answer, err := s.roundTrip(ctx, &r, limit)
	if ctx.Err() == nil {
		s.oracle.RecordOutcome(classify(&r, answer, err))
		return err
	}
	return nil
}

func (s *session) roundTrip(ctx context.Context, r *exchange.Request, limit time.Duration) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	stream, err := s.conn.OpenStreamSync(ctx)
	if err != nil {
		return &response{}, errs.Wrap(err)
	}
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(1) })
	defer stop()
	line, err := json.Marshal(r)
	if err != nil {
		return &response{}, errs.Wrap(err)
	}
	if _, err := stream.Write(append(line, '\n')); err != nil {
		return &response{}, errs.Wrap(err)
	}
	_ = stream.Close()
	return readResponse(stream)
}

// response is the received part of an answer.
type response struct {
	bytes   int
	ticks   int
	trailer *exchange.Trailer
}

func readResponse(from io.Reader) (*response, error) {
	r := &response{}
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return r, nil
		}
		if err != nil {
			return r, errs.Wrap(err)
		}
		if line[0] == '{' {
			var t exchange.Trailer
			if err := json.Unmarshal(line, &t); err != nil {
				return r, errs.Wrap(err)
			}
			r.trailer = &t
			continue
		}
		r.ticks++
		r.bytes += len(line)
	}
}

func classify(r *exchange.Request, a *response, err error) exchange.Outcome {
	if a.trailer == nil {
		if err != nil && a.bytes == 0 {
			return exchange.Lost
		}
		return exchange.Partial
	}
	if a.trailer.ID != r.ID {
		return exchange.Crossed
	}
	if r.Op == exchange.Feed && a.ticks != r.Size || r.Op == exchange.Download && a.bytes < r.Size {
		return exchange.Partial
	}
	return exchange.Complete
}
