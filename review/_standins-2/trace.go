package main

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"time"
)

// tracedEvents are the events of the processes' logs that show the order of a case.
var tracedEvents = []string{"start", "signal", "stop", "end", "settled", "listed", "target", "upstream", "restored", "ended"}

// traceLogs copies the decisions of some processes from their logs to the record, with the time
// since the start of the run.
func (d *deployment) traceLogs(all ...*process) {
	for _, p := range all {
		if p != nil {
			d.traceLog(p)
		}
	}
}

func (d *deployment) traceLog(p *process) {
	file, err := os.Open(p.log.Name())
	if err != nil {
		d.rec.printf("no log of %s: %v", p.name, err)
		return
	}
	defer func() { _ = file.Close() }()
	d.rec.printf("log of %s, with the seconds since the start of the run:", p.name)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Event string `json:"event"`
			Time  int64  `json:"time"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil || !slices.Contains(tracedEvents, line.Event) {
			continue
		}
		at := time.UnixMilli(line.Time).Sub(d.rec.started).Seconds()
		d.rec.printf("  %8.3f %s", at, lines.Text())
	}
}
