package decisions

import (
	"bytes"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/wagtailtray/wagtailtray/internal/connection/stream"
	"github.com/wagtailtray/wagtailtray/internal/request/segment"
)

var testFlow = segment.Flow{
	Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Listener: netip.MustParseAddrPort("198.18.0.1:443"),
}

// Nobody reads standard output any more, while decisions go on. No packet may wait for
// their lines: recording thousands of events takes no longer than counting them. When a
// reader returns, a line reports how many lines were lost.
func TestBlockedReaderDoesNotDelayDecisions(t *testing.T) {
	read, write := io.Pipe()
	out, closeLog := Writer(write)
	log := zerolog.New(out)
	r := NewRecorder(log, tally.NoopScope)
	began := time.Now()
	for range 20 {
		// Lines of other packages are not rate limited; these alone would fill a pipe.
		for range 5 * maxBufferedLines {
			log.Info().Str("event", "filler").Send()
		}
		r.Record([]stream.Event{{Kind: stream.Opened, Flow: testFlow}})
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("recording took %s while nobody read the log", took)
	}
	lost := make(chan bool)
	go func() {
		data, err := io.ReadAll(read)
		lost <- err == nil && bytes.Contains(data, []byte(`"loglost"`))
	}()
	closeLog()
	if err := write.Close(); err != nil {
		t.Error(err)
	}
	if !<-lost {
		t.Error("no line reports the lost lines")
	}
}

// Nobody reads standard output any more and the process is asked to stop. It must exit
// without being killed.
func TestBlockedReaderDoesNotDelayStop(t *testing.T) {
	read, write := io.Pipe()
	out, closeLog := Writer(write)
	log := zerolog.New(out)
	for range 10 {
		log.Info().Str("event", "filler").Send()
	}
	closed := make(chan struct{})
	go func() {
		closeLog()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * closeTimeout):
		t.Error("closing the log still waits for its reader")
	}
	if err := read.Close(); err != nil {
		t.Error(err)
	}
}

// A burst of decisions exceeds the rate limit of lines. Each decision is counted, and the
// next line reports how many were omitted.
func TestLinesAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	r := NewRecorder(zerolog.New(&out), scope)
	const events = 5 * maxLineBurst
	for range events {
		r.Record([]stream.Event{{Kind: stream.Opened, Flow: testFlow}})
	}
	lines := strings.Count(out.String(), "\n")
	if lines < maxLineBurst || lines > 2*maxLineBurst {
		t.Errorf("%d events have %d lines, want about %d", events, lines, maxLineBurst)
	}
	if got := scope.Snapshot().Counters()["decisions_open+"].Value(); got != events {
		t.Errorf("%d events were counted as %d", events, got)
	}
	time.Sleep(3 * time.Second / maxLinesPerSecond)
	out.Reset()
	r.Record([]stream.Event{{Kind: stream.Opened, Flow: testFlow}})
	if !strings.Contains(out.String(), `"left":`) {
		t.Errorf("the next line does not report the omitted lines: %s", out.String())
	}
}

// A sender sends garbage. All datagrams are counted, and a few lines name the sender.
func TestMalformedIsCounted(t *testing.T) {
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	m := NewMalformedRecorder(zerolog.New(&out), scope)
	for range 1000 {
		m.Record("edge", testFlow.Caller, errors.New("too short"))
	}
	if got := scope.Snapshot().Counters()["malformed+"].Value(); got != 1000 {
		t.Errorf("1000 datagrams were counted as %d", got)
	}
	if lines := strings.Count(out.String(), "\n"); lines != maxMalformedLineBurst {
		t.Errorf("1000 datagrams have %d lines, want %d", lines, maxMalformedLineBurst)
	}
	if !strings.Contains(out.String(), testFlow.Caller.String()) {
		t.Errorf("the lines do not name the sender: %s", out.String())
	}
}
