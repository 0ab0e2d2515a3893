package main

import (
	"os"

	"github.com/wagtailtray/wagtailtray/internal/process/decisions"
)

type loadCommand struct {
	Logs []string `arg:"" help:"Logs of balancers and agents; - for standard input." default:"-"`
}

// Run prints how many callers were refused or had to wait, by event, service, priority and reason.
func (c *loadCommand) Run() error {
	all, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	return decisions.WriteLoad(os.Stdout, decisions.SummarizeLoad(all))
}
