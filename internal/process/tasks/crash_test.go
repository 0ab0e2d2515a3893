package tasks

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"strings"
	"testing"
)

// After a panic, one log line gives the reason and the place, and the process ends.
func TestPanicIsLogged(t *testing.T) {
	var out bytes.Buffer
	code := 0
	func() {
		defer func() { exitOnPanic(&out, func(c int) { code = c }) }()
		defer func() { _ = recover() }()
		panicHere()
	}()
	if code != 0 || out.Len() != 0 {
		t.Fatalf("without a panic: code %d, %s", code, out.String())
	}
	func() {
		defer exitOnPanic(&out, func(c int) { code = c })
		panicHere()
	}()
	var line struct {
		Event, Reason string
		Stack         []string
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if code != panicExitCode || line.Event != "panic" || !strings.Contains(line.Reason, "As4 called on IP zero value") {
		t.Errorf("code %d, line %+v", code, line)
	}
	if !strings.Contains(strings.Join(line.Stack[:min(len(line.Stack), 6)], " "), "panicHere") {
		t.Errorf("the stack does not begin with the cause: %v", line.Stack)
	}
}

// After a panic in a task, the process ends with the log line, not with the runtime's
// report of all goroutines.
func TestPanicInTaskEndsProcess(t *testing.T) {
	var out bytes.Buffer
	code := 0
	g := Group{out: &out, exit: func(c int) { code = c }}
	g.Go(panicHere)
	g.Wait()
	if code != panicExitCode || !strings.Contains(out.String(), `"event":"panic"`) {
		t.Errorf("code %d, output %q", code, out.String())
	}
}

func panicHere() {
	var zero netip.Addr
	zero.As4()
}
