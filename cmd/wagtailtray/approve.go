package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/approval"
)

type approveCommand struct {
	store
	File string `arg:"" help:"Plan file, as plan wrote it."`
	JSON bool   `name:"json" help:"Print one JSON object."`
}

// approved is what approve prints with --json.
type approved struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Run commits the plan. It may be repeated: the plan takes effect once.
func (c *approveCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var p approval.Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return errs.Combine(approval.ErrInvalidPlan, err)
	}
	client := c.open()
	defer client.Close()
	state, err := approval.Commit(ctx, client, &p)
	if err != nil {
		return err
	}
	return showApproved(c.JSON, &p, state.Root.FindChange)
}
