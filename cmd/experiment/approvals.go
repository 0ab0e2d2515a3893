package main

import (
	"context"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/capacity"
)

type approvalsCommand struct {
	Balancers int    `help:"Balancers of each fleet." default:"490"`
	Targets   int    `help:"Targets' records." default:"300"`
	Services  int    `help:"Services." default:"100"`
	Approvals int    `help:"Approvals under each trouble." default:"8"`
	Write     string `help:"Folder of the page; without it the page is printed."`
}

// Run measures and writes.
func (c *approvalsCommand) Run() error {
	size := capacity.FleetSize{Balancers: c.Balancers, Targets: c.Targets, Services: c.Services, Approvals: c.Approvals, Window: time.Second}
	all, err := capacity.MeasureApprovals(context.Background(), size, progress)
	if err != nil {
		return err
	}
	return writePage(c.Write, "APPROVALS.md", capacity.ApprovalsPage(size, all))
}
