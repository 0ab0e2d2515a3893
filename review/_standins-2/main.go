// Command standins-2 runs the cases of the second review: the programs of the deploy file as
// separate processes, between stand-ins for the platform's store, its routers, targets and
// clients.
//
// # Usage
//
//	standins-2 CASE RECORD
//
// It ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 the disruption is left out. With KEEP=1 the logs of the processes stay.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime bounds a run.
const maxRunTime = 110 * time.Second

// Exit codes.
const (
	held = iota
	broken
	notRun
)

// cases are the cases by their names.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"unlisted-target": unlistedTarget,
	"late-heartbeat":  lateHeartbeat,
	"late-heartbeats": lateHeartbeats,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	go endEarly(rec)
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = notRun
	}
	rec.close()
	os.Exit(code)
}

// endEarly ends the processes of a run that takes too long or is told to end.
func endEarly(rec *record) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-ch:
	case <-time.After(maxRunTime):
	}
	rec.say("the run is ended early")
	if d := running.Load(); d != nil {
		d.close()
	}
	rec.close()
	os.Exit(notRun)
}
