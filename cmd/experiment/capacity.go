package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/capacity"
)

type capacityCommand struct {
	Balancers int           `help:"Balancers of the fleet that checks the extrapolation." default:"490"`
	Targets   int           `help:"Targets' records in the fleet." default:"3300"`
	Services  int           `help:"Services in the fleet." default:"1200"`
	Window    time.Duration `help:"How long the fleet is measured." default:"20s"`
	Idle      float64       `help:"Resident memory of an idle daemon in bytes, as ps shows it." default:"24805376"`
	Daemons   string        `help:"What bench/daemons printed, for the page."`
	Write     string        `help:"Folder of the pages; without it the page is printed."`
}

const (
	approvals = 8
	pageMode  = 0o644
)

// Run measures and writes.
func (c *capacityCommand) Run() error {
	in, err := capacity.Measure(progress)
	if err != nil {
		return err
	}
	in.IdleMemory = c.Idle
	if c.Daemons != "" {
		if err := readJSON(c.Daemons, &in.Daemons); err != nil {
			return err
		}
	}
	size := capacity.FleetSize{
		Balancers: c.Balancers, Targets: c.Targets, Services: c.Services, Window: c.Window, Approvals: approvals,
	}
	if in.Fleet, err = capacity.RunFleet(context.Background(), size, progress); err != nil {
		return err
	}
	if c.Write == "" {
		return writePage("", "", capacity.Page(in))
	}
	var before capacity.Inputs
	if err := readJSON(filepath.Join(c.Write, "capacity.json"), &before); err != nil {
		return err
	}
	in.Sweeps = before.Sweeps
	return writeCapacity(c.Write, in)
}

func readJSON(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}
