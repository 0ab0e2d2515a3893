package main

import (
	"context"
	"testing"
)

// A signal comes together with the end of a start. The agent serves already, so its flows
// must be handed over.
func TestSignalAtTheEndOfStart(t *testing.T) {
	for _, c := range []struct {
		ended error
		want  bool
	}{{nil, false}, {context.Canceled, true}} {
		started := make(chan error, 1)
		started <- c.ended
		if got := stoppedBefore(func() {}, started); got != c.want {
			t.Errorf("a start that ended with %v was stopped before its end: %t", c.ended, got)
		}
	}
}
