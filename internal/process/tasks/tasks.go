// Package tasks runs the background tasks of a process and waits for their ends.
//
// A panic in a task ends the process, with one log line that gives its cause.
//
// # Usage
//
//	var g tasks.Group
//	g.Go(func() { ... })
//	g.Wait() // no task starts after this
package tasks

import (
	"io"
	"os"
	"sync"
)

// Group is a set of running tasks. The zero value is ready for use.
//
// A call that arrives while a process stops may try to start a task. A plain
// WaitGroup must not grow while it is waited for, so a group that is waited
// for starts no more tasks.
type Group struct {
	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
	// out and exit replace standard error and os.Exit in tests.
	out  io.Writer
	exit func(code int)
}

// Go runs a task, unless the group is waited for, and reports whether it does.
func (g *Group) Go(task func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		defer exitOnPanic(g.output(), g.exitFunc())
		task()
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

// Wait closes the group and waits until all tasks have ended.
func (g *Group) Wait() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
}
