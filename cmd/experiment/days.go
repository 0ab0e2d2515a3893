package main

import (
	"path/filepath"

	"github.com/wagtailtray/wagtailtray/internal/capacity"
)

type daysCommand struct {
	Write   string   `help:"Directory of the pages." required:""`
	Reports []string `arg:"" help:"Reports of the users' bench, as NAME=REPORT."`
}

// Run replaces the days of a fleet on the capacity page.
func (c *daysCommand) Run() error {
	var in capacity.Inputs
	if err := readJSON(filepath.Join(c.Write, "capacity.json"), &in); err != nil {
		return err
	}
	in.Days = nil
	for _, arg := range c.Reports {
		d, err := parseNamed(arg, capacity.ParseDay)
		if err != nil {
			return err
		}
		in.Days = append(in.Days, d)
	}
	return writeCapacity(c.Write, &in)
}
