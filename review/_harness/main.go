// Command _harness runs the cases of the review that are scripts. It starts the programs of
// the deploy file as processes on loopback addresses, with stand-ins for the platform's
// store, the targets and the clients.
//
// # Usage
//
//	harness CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
// run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxRun bounds a run.
const maxRun = 110 * time.Second

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var cases = map[string]func(*record, bool) (broken []string, err error){
	"silent-store": silentStore,
	"old-port":     oldPort,
	"other-writer": otherWriter,
	"replaced":     replacedBalancers,
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &record{start: time.Now(), file: file}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, trouble %v", os.Args[1], trouble)
	go func() {
		stopped := make(chan os.Signal, 1)
		signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stopped:
		case <-time.After(maxRun):
		}
		r.add("the run was stopped or took too long")
		started.end()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case len(broken) > 0:
		for _, b := range broken {
			r.add("BROKEN %s", b)
			fmt.Println("broken:", b)
		}
		return 1
	}
	r.add("the rule held")
	fmt.Println("the rule held")
	return 0
}

func main() {
	os.Exit(run())
}
