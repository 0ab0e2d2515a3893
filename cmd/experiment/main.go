// Command experiment measures the project on one machine and writes the results
// to pages. It sends a bounded load to loopback addresses only, and exits when done.
//
// # Usage
//
//	experiment capacity --write docs   # docs/CAPACITY.md and its inputs
//	experiment sweeps --write docs NAME=LOG...
//	experiment days --write docs NAME=REPORT...
//	experiment measures --write docs   # docs/MEASURES.md
//	experiment approvals --write docs  # docs/APPROVALS.md
//	experiment faults --write docs     # docs/FAULTS.md
//	experiment scenario file           # run a scenario of the model
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type cli struct {
	Capacity  capacityCommand  `cmd:"" help:"Measure resource use per unit of load and write the capacity page."`
	Sweeps    sweepsCommand    `cmd:"" help:"Add sweeps of the users' bench to the capacity page."`
	Days      daysCommand      `cmd:"" help:"Add whole days of the users' bench to the capacity page."`
	Measures  measuresCommand  `cmd:"" help:"Compare the project's decisions with baselines."`
	Openings  openingsCommand  `cmd:"" help:"Open many flows while targets change and count those opened at two targets."`
	Approvals approvalsCommand `cmd:"" help:"Measure how long approvals take during faults."`
	Faults    faultsCommand    `cmd:"" help:"Run the fault matrix and write its page."`
	Scenario  scenarioCommand  `cmd:"" help:"Run a scenario of the model and print the results of both ends."`
}

func main() {
	var c cli
	parsed := kong.Parse(&c, kong.Name("experiment"))
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "experiment: %v\n", err)
		os.Exit(1)
	}
}

func progress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}
