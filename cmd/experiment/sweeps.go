package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/capacity"
)

type sweepsCommand struct {
	Write string   `help:"Directory of the pages." required:""`
	Logs  []string `arg:"" help:"Outputs of the users' bench, as NAME=LOG."`
}

// Run replaces the sweeps on the capacity page.
func (c *sweepsCommand) Run() error {
	var in capacity.Inputs
	if err := readJSON(filepath.Join(c.Write, "capacity.json"), &in); err != nil {
		return err
	}
	in.Sweeps = nil
	for _, arg := range c.Logs {
		s, err := readSweep(arg)
		if err != nil {
			return err
		}
		in.Sweeps = append(in.Sweeps, s)
	}
	return writeCapacity(c.Write, &in)
}

func readSweep(arg string) (capacity.Sweep, error) {
	name, file, ok := strings.Cut(arg, "=")
	if !ok {
		return capacity.Sweep{}, errs.New("want NAME=LOG, not %q", arg)
	}
	log, err := os.Open(file)
	if err != nil {
		return capacity.Sweep{}, errs.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	return capacity.ParseSweep(name, log)
}

// writeCapacity writes the capacity page and the inputs that it is made from.
func writeCapacity(dir string, in *capacity.Inputs) error {
	data, err := json.MarshalIndent(in, "", " ")
	if err != nil {
		return errs.Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "capacity.json"), append(data, '\n'), pageMode); err != nil {
		return errs.Wrap(err)
	}
	return writePage(dir, "CAPACITY.md", capacity.Page(in))
}
