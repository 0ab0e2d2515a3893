package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/wagtailtray/wagtailtray/internal/measures"
)

type measuresCommand struct {
	Seeds     int    `help:"Number of seeds, starting at 1." default:"3"`
	PerTarget int    `help:"Mean number of open flows per target." default:"2000"`
	Workers   int    `help:"Number of cases to run in parallel." default:"6"`
	Write     string `help:"Directory to write the page to; printed if empty."`
}

// Run compares the algorithms and writes the page.
func (c *measuresCommand) Run() error {
	var seeds []uint64
	for s := range c.Seeds {
		seeds = append(seeds, uint64(s+1))
	}
	rows := measures.Run(measures.Cases(c.PerTarget), seeds, c.Workers, progress)
	weights := measures.RunWeights(c.PerTarget, seeds, c.Workers)
	return writePage(c.Write, "MEASURES.md", measures.Page(rows, weights, seeds, c.PerTarget))
}

// writePage writes a page to a file in dir, or prints it if dir is empty.
func writePage(dir, name, page string) error {
	if dir == "" {
		_, err := fmt.Print(page)
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), []byte(page), pageMode)
}
