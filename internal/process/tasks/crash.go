package tasks

import (
	"fmt"
	"io"
	"runtime/debug"
	"strings"

	"github.com/rs/zerolog"
)

// crashCode is the exit code of a process that a panic ends, as the runtime's own.
const panicExitCode = 2

// stackLines is how much of the stack is told: the frames around the cause.
const maxStackLines = 40

// crash ends the process after a panic in a part, with one line that tells its cause. It
// must itself be deferred: called by another deferred function it would recover nothing.
//
// A decision that panics may leave half of its state behind, so going on could send
// packets wrongly. What a process knows is soft: the one that follows finds it anew. The
// line goes past the log's buffer, which would be lost, and is short enough to be kept
// where only the end of the output is.
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
		Strs("stack", lines[:min(len(lines), maxStackLines)]).Msg("the process ends")
	exit(panicExitCode)
}
