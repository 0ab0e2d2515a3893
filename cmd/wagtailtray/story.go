package main

import (
	"fmt"
	"io"
	"os"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/process/decisions"
)

// errNoLogLines is returned if no log has a line about the flow.
var errNoLogLines = errs.New("no log line mentions this flow")

type storyCommand struct {
	Flow string   `help:"Caller address of the flow, or caller>listener." required:"" placeholder:"IP:PORT"`
	Logs []string `arg:"" help:"Logs of balancers and agents; - for standard input." default:"-"`
}

// Run prints the log lines about the flow.
func (c *storyCommand) Run() error {
	all, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	timeline := decisions.Timeline(all, c.Flow)
	if len(timeline) == 0 {
		return fmt.Errorf("%w: %s in %d lines", errNoLogLines, c.Flow, len(all))
	}
	return decisions.WriteTimeline(os.Stdout, timeline)
}

func readLogs(paths []string) ([]decisions.Line, error) {
	var all []decisions.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string) ([]decisions.Line, error) {
	var r io.Reader = os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	return decisions.ReadLines(r)
}
