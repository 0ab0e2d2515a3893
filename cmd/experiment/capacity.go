package main

import (
	"context"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/capacity"
)

type capacityCommand struct {
	Balancers int           `help:"Number of balancers in the fleet that checks the extrapolation." default:"490"`
	Targets   int           `help:"Number of records of targets in the fleet." default:"3300"`
	Services  int           `help:"Number of services in the fleet." default:"1200"`
	Window    time.Duration `help:"Duration of the fleet measurement." default:"20s"`
	Idle      float64       `help:"Resident memory of an idle daemon in bytes, as ps shows it." default:"24805376"`
	Daemons   string        `help:"File with the output of bench/daemons, for the page."`
	Only      []string      `help:"Slopes to measure; the other inputs stay as they were."`
	Write     string        `help:"Directory to write the pages to; printed if empty."`
}

const (
	approvalCount = 8
	pageMode      = 0o644
)

// Run measures capacity and writes the page.
func (c *capacityCommand) Run() error {
	if len(c.Only) > 0 {
		return c.measureSome()
	}
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
		Balancers: c.Balancers, Targets: c.Targets, Services: c.Services, Window: c.Window, Approvals: approvalCount,
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
	in.Sweeps, in.Days = before.Sweeps, before.Days
	return writeCapacity(c.Write, in)
}

// measureSome measures some slopes and makes the page from these and the other inputs.
func (c *capacityCommand) measureSome() error {
	in, err := capacity.Measure(progress, c.Only...)
	if err != nil {
		return err
	}
	if c.Write == "" {
		return nil
	}
	var all capacity.Inputs
	if err := readJSON(filepath.Join(c.Write, "capacity.json"), &all); err != nil {
		return err
	}
	maps.Copy(all.Slopes, in.Slopes)
	return writeCapacity(c.Write, &all)
}

func readJSON(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}
