package main

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
)

// errUnknownService is returned for a target of a service that is not configured.
var errUnknownService = errs.New("no such service in the configuration")

type drainCommand struct {
	platformFlags
	Service string `arg:"" help:"Service of the target."`
	Target  string `arg:"" help:"Name of the target."`
	Author  string `help:"Author recorded in the history." env:"USER" default:"operator"`
	JSON    bool   `name:"json" help:"Print one JSON object."`
}

// Run starts to drain the target: it finishes its flows and takes no new ones.
func (c *drainCommand) Run(ctx context.Context) error {
	return c.setDrain(ctx, true)
}

type undrainCommand struct {
	drainCommand
}

// Run cancels the drain of a target.
func (c *undrainCommand) Run(ctx context.Context) error {
	return c.setDrain(ctx, false)
}

// setDrain starts or cancels the drain of a target. The drain is part of the
// configuration, so it survives restarts of every process.
func (c *drainCommand) setDrain(ctx context.Context, on bool) error {
	client := c.newClient()
	defer client.Close()
	base, err := approval.Load(ctx, client)
	if err != nil {
		return err
	}
	if _, ok := base.Service(c.Service); !ok {
		return fmt.Errorf("%w: %q", errUnknownService, c.Service)
	}
	d := config.Drain{Service: c.Service, Target: c.Target}
	if base.Draining(c.Service, c.Target) == on {
		return printResult(c.JSON, approveOutput{Version: base.Root.Version}, func() {
			fmt.Printf("nothing to change in version %d\n", base.Root.Version)
		})
	}
	p := approval.NewPlan(base, config.WithDrain(base, d, on), c.Author, time.Now().UTC().Format(time.RFC3339))
	state, err := approval.Commit(ctx, client, p)
	if err != nil {
		return err
	}
	return printApproved(c.JSON, p, state.Root.FindChange)
}

// printApproved prints the configuration version that the plan created.
func printApproved(asJSON bool, p *approval.Plan, find func(string) (config.Change, bool)) error {
	change, _ := find(p.ID)
	return printResult(asJSON, approveOutput{ID: p.ID, Version: change.Version}, func() {
		fmt.Printf("approved: version %d\n", change.Version)
	})
}
