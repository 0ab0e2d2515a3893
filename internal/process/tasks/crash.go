package tasks

import (
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/rs/zerolog"
)

// panicExitCode is the exit code after a panic, the same as the runtime's.
const panicExitCode = 2

// maxStackLines bounds the logged stack to the frames around the cause.
const maxStackLines = 40

// exitOnPanic ends the process after a panic in a task, with one log line that gives the
// cause. It must itself be deferred: called by another deferred function it would recover
// nothing.
//
// A panic may leave inconsistent state behind, so continuing could misroute packets. The
// process holds only soft state, which its successor rebuilds. The line bypasses the log's
// buffer, which would be lost, and is short enough to survive where only the end of the
// output is retained.
func exitOnPanic(out io.Writer, exit func(code int)) {
	reason := recover()
	if reason == nil {
		return
	}
	lines := strings.Split(string(debug.Stack()), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic(") {
			lines = lines[i:]
			break
		}
	}
	log := zerolog.New(out)
	log.Error().Str("event", "panic").Str("reason", fmt.Sprint(reason)).
		Strs("stack", lines[:min(len(lines), maxStackLines)]).Msg("panic in a task; exiting")
	exit(panicExitCode)
}
