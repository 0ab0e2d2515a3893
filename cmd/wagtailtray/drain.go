package main

import (
	"context"
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
)

// errService is returned for a target of a service that is not configured.
var errService = errs.New("no such service in the configuration")

type drainCommand struct {
	store
	Service string `arg:"" help:"Service of the target."`
	Target  string `arg:"" help:"Name of the target."`
	Author  string `help:"Who drains, for the history." env:"USER" default:"operator"`
	JSON    bool   `name:"json" help:"Print one JSON object."`
}

// Run lets the target finish its flows.
func (c *drainCommand) Run(ctx context.Context) error {
	return c.word(ctx, true)
}

type undrainCommand struct {
	drainCommand
}

// Run takes a drain back.
func (c *undrainCommand) Run(ctx context.Context) error {
	return c.word(ctx, false)
}

// word puts the operator's word about a target into the configuration, where
// it outlives every process.
func (c *drainCommand) word(ctx context.Context, on bool) error {
	client := c.open()
	defer client.Close()
	base, err := approval.Load(ctx, client)
	if err != nil {
		return err
	}
	if _, ok := base.Service(c.Service); !ok {
		return fmt.Errorf("%w: %q", errService, c.Service)
	}
	d := config.Drain{Service: c.Service, Target: c.Target}
	if base.Draining(c.Service, c.Target) == on {
		return show(c.JSON, approved{Version: base.Root.Version}, func() {
			fmt.Printf("nothing to change in version %d\n", base.Root.Version)
		})
	}
	p := approval.NewPlan(base, config.WithDrain(base, d, on), c.Author, time.Now().UTC().Format(time.RFC3339))
	state, err := approval.Commit(ctx, client, p)
	if err != nil {
		return err
	}
	return showApproved(c.JSON, p, state.Root.FindChange)
}

// showApproved prints the version that a plan became.
func showApproved(asJSON bool, p *approval.Plan, find func(string) (config.Change, bool)) error {
	change, _ := find(p.ID)
	return show(asJSON, approved{ID: p.ID, Version: change.Version}, func() {
		fmt.Printf("approved: version %d\n", change.Version)
	})
}
