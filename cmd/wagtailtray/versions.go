package main

import (
	"os"

	"github.com/wagtailtray/wagtailtray/internal/process/decisions"
)

type versionsCommand struct {
	Logs []string `arg:"" help:"Logs of balancers; - for standard input." default:"-"`
}

// Run prints which version is in force at which balancer, and why some of them lag.
func (c *versionsCommand) Run() error {
	all, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	return decisions.WriteVersions(os.Stdout, decisions.SummarizeVersions(all))
}
