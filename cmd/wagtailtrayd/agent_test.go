package main

import (
	"context"
	"testing"
)

// Guards against losing flows when a signal arrives just as Start completes: the agent
// already serves, so it must hand its flows over.
func TestSignalAtTheEndOfStart(t *testing.T) {
	for _, c := range []struct {
		ended error
		want  bool
	}{{nil, false}, {context.Canceled, true}} {
		started := make(chan error, 1)
		started <- c.ended
		if got := cancelStart(func() {}, started); got != c.want {
			t.Errorf("after Start returned %v, cancelStart = %t", c.ended, got)
		}
	}
}
