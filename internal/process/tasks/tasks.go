// Package tasks runs the parts of a process and waits for their ends.
//
// A panic in a part ends the process, with one line that tells its cause.
//
// # Usage
//
//	var g tasks.Group
//	g.Go(func() { ... })
//	g.Wait() // no part starts after this
package tasks

import (
	"io"
	"os"
	"sync"
)

// Group is a set of running parts. The zero value is ready for use.
//
// A call that arrives while a process stops may want to start a part. A plain
// WaitGroup must not grow while it is waited for, so a group that is waited
// for starts nothing more.
type Group struct {
	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
	// out and exit stand in for standard error and the process's end in tests.
	out  io.Writer
	exit func(code int)
}

// Go runs a part, unless the group is waited for, and reports that.
func (g *Group) Go(part func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		defer exitOnPanic(g.output(), g.exitFunc())
		part()
	}()
	return true
}

func (g *Group) output() io.Writer {
	if g.out == nil {
		return os.Stderr
	}
	return g.out
}

func (g *Group) exitFunc() func(code int) {
	if g.exit == nil {
		return os.Exit
	}
	return g.exit
}

// Wait closes the group and waits until all parts have ended.
func (g *Group) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
}
