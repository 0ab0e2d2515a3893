package main

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailtray/wagtailtray/internal/measures"
)

type openingsCommand struct {
	Flows   int           `help:"Total number of flows to open." default:"1000000"`
	Every   time.Duration `help:"Interval between changes of the targets." default:"5s"`
	Spread  time.Duration `help:"Maximum propagation delay of a change." default:"1s"`
	Workers int           `help:"Number of simulations to run in parallel." default:"7"`
}

// flowsPerSimulation is the number of flows that one simulation opens.
const flowsPerSimulation = 20000

// Run opens flows, with resends, while targets drain, restart and are suspected,
// and prints how many were opened at two targets.
func (c *openingsCommand) Run() error {
	simulations := max(c.Flows/flowsPerSimulation, 1)
	results := make([]measures.OpeningsResult, simulations)
	var group errgroup.Group
	group.SetLimit(c.Workers)
	for i := range simulations {
		group.Go(func() error {
			results[i] = measures.RunOpenings(uint64(i+1), flowsPerSimulation, c.Every, c.Spread)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	var sum measures.OpeningsResult
	for _, r := range results {
		sum.Add(r)
	}
	_, err := fmt.Printf("%d openings with %d resends over %d changes: %d opened at two targets, %d refused though handed on, %d broken, %d not opened\n",
		sum.Flows, sum.Resends, sum.Changes, sum.Doubled, sum.RanRefused, sum.Broken, sum.Unopened)
	return err
}
