package main

import (
	"encoding/json"
	"io"
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
	return parseNamed(arg, capacity.ParseSweep)
}

// parseNamed parses the file of an argument NAME=FILE.
func parseNamed[T any](arg string, parse func(name string, r io.Reader) (T, error)) (T, error) {
	var none T
	name, file, ok := strings.Cut(arg, "=")
	if !ok {
		return none, errs.New("want NAME=FILE, not %q", arg)
	}
	f, err := os.Open(file)
	if err != nil {
		return none, errs.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return parse(name, f)
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
