package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/wagtailtray/wagtailtray/internal/try"
)

type tryCommand struct {
	Deployment string        `help:"Built-in deployment: valuvorm or porto." default:"valuvorm" enum:"valuvorm,porto"`
	Seed       uint64        `help:"Random seed of the sessions and the network faults." default:"1"`
	For        time.Duration `help:"Time during which sessions are opened; the run ends with the last session." default:"20s"`
	Sessions   int           `help:"Number of concurrent sessions." default:"300"`
	JSON       bool          `name:"json" help:"Print one JSON object on standard output."`
	Log        string        `help:"Log level of the processes, on standard error." default:"disabled" enum:"debug,info,warn,error,disabled"`
}

// minTryDuration leaves time for every configuration change of the trial.
const minTryDuration = 5 * time.Second

// Run runs the trial and prints its report.
func (c *tryCommand) Run(ctx context.Context) error {
	if c.For < minTryDuration {
		return fmt.Errorf("try: --for %s is too short for the changes of the trial; the minimum is %s", c.For, minTryDuration)
	}
	// The QUIC library warns on standard error where the system limits the
	// size of socket buffers; a trial does not need larger ones.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	level, err := zerolog.ParseLevel(c.Log)
	if err != nil {
		return err
	}
	start := time.Now()
	progress := func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, "%6.2fs  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
	}
	options := try.Options{
		Deployment: c.Deployment, Seed: c.Seed, Duration: c.For, Sessions: c.Sessions,
		Log: zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger(),
	}
	r, err := try.Run(ctx, options, progress)
	if err != nil {
		return err
	}
	c.printReport(r)
	if !r.Passed() {
		return errViolation
	}
	return nil
}

func (c *tryCommand) printReport(r *try.Report) {
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		_ = encoder.Encode(r)
		return
	}
	fmt.Printf("deployment %s, seed %d, %.1f s, version %d\n", r.Deployment, r.Seed, r.Seconds, r.Versions)
	fmt.Printf("  sessions   %d: %d opened, %d refused, %d broken (%d by planned changes)\n", r.Flows, r.Opened, r.Refused, r.Broken, r.BrokenPlanned)
	fmt.Printf("  requests   %d: %d crossed, %d doubled, %d lost, %d partial, %d ran though refused\n", r.Requests, r.Crossed, r.Doubled, r.Lost, r.Partial, r.RanRefused)
	fmt.Printf("  drains     %d late openings\n", r.Late)
	fmt.Printf("  versions   %d reverted; in force everywhere after %v ms\n", r.Reverted, r.Delays)
	for service, value := range r.Imbalance {
		fmt.Printf("  imbalance  %s %.3f (most over mean of open connections)\n", service, value)
	}
	for _, f := range r.Failed {
		fmt.Printf("  failed     %s\n", f)
	}
}
