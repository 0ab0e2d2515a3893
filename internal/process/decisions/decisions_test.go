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

// Nobody reads standard output any more, and decisions go on. A packet waits for
// none of their lines: recording thousands of events takes no longer than counting
// them. Once the reader is back, it is told how many lines were lost.
func TestBlockedReaderCostsNoDecision(t *testing.T) {
	read, write := io.Pipe()
	out, closeLog := Writer(write)
	log := zerolog.New(out)
	r := NewRecorder(log, tally.NoopScope)
	began := time.Now()
	for range 20 {
		// Lines of other parts have no budget; these alone would fill a pipe.
		for range 5 * kept {
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
		t.Error("no line tells that lines were lost")
	}
}

// Nobody reads standard output any more and the process is told to stop: it must not be
// there until it is killed.
func TestBlockedReaderCostsNoStop(t *testing.T) {
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
	case <-time.After(10 * closeWait):
		t.Error("the process waits for a reader of its log")
	}
	if err := read.Close(); err != nil {
		t.Error(err)
	}
}

// A burst of decisions is over the budget of lines. Each is counted; the next line
// tells how many had none.
func TestLinesWithinBudget(t *testing.T) {
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	r := NewRecorder(zerolog.New(&out), scope)
	const events = 5 * burst
	for range events {
		r.Record([]stream.Event{{Kind: stream.Opened, Flow: testFlow}})
	}
	lines := strings.Count(out.String(), "\n")
	if lines < burst || lines > 2*burst {
		t.Errorf("%d events have %d lines, want about %d", events, lines, burst)
	}
	if got := scope.Snapshot().Counters()["decisions_open+"].Value(); got != events {
		t.Errorf("%d events were counted as %d", events, got)
	}
	time.Sleep(3 * time.Second / linesPerSecond)
	out.Reset()
	r.Record([]stream.Event{{Kind: stream.Opened, Flow: testFlow}})
	if !strings.Contains(out.String(), `"left":`) {
		t.Errorf("the next line does not tell what was left out: %s", out.String())
	}
}

// Somebody sends garbage. It is counted, and a few lines name the sender.
func TestMalformedIsCounted(t *testing.T) {
	var out bytes.Buffer
	scope := tally.NewTestScope("", nil)
	m := NewMalformed(zerolog.New(&out), scope)
	for range 1000 {
		m.Note("edge", testFlow.Caller, errors.New("too short"))
	}
	if got := scope.Snapshot().Counters()["malformed+"].Value(); got != 1000 {
		t.Errorf("1000 datagrams were counted as %d", got)
	}
	if lines := strings.Count(out.String(), "\n"); lines != malformedBurst {
		t.Errorf("1000 datagrams have %d lines, want %d", lines, malformedBurst)
	}
	if !strings.Contains(out.String(), testFlow.Caller.String()) {
		t.Errorf("the lines do not name the sender: %s", out.String())
	}
}
