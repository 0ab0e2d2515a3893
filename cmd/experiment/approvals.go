package main

import (
	"context"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/capacity"
)

type approvalsCommand struct {
	Balancers int    `help:"Number of balancers in each fleet." default:"490"`
	Targets   int    `help:"Number of records of targets." default:"300"`
	Services  int    `help:"Number of services." default:"100"`
	Approvals int    `help:"Number of approvals per fault." default:"8"`
	Write     string `help:"Directory to write the page to; printed if empty."`
}

// Run measures approvals and writes the page.
func (c *approvalsCommand) Run() error {
	size := capacity.FleetSize{Balancers: c.Balancers, Targets: c.Targets, Services: c.Services, Approvals: c.Approvals, Window: time.Second}
	all, err := capacity.MeasureApprovals(context.Background(), size, progress)
	if err != nil {
		return err
	}
	return writePage(c.Write, "APPROVALS.md", capacity.ApprovalsPage(size, all))
}
