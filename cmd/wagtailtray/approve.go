package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/approval"
)

type approveCommand struct {
	platformFlags
	File string `arg:"" help:"File written by the plan command."`
	JSON bool   `name:"json" help:"Print one JSON object."`
}

// approveOutput is the output of approve with --json.
type approveOutput struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Run commits the plan. It is idempotent: repeating it applies the plan once.
func (c *approveCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var p approval.Plan
	if err := json.Unmarshal(data, &p); err != nil {
		return errs.Combine(approval.ErrInvalidPlan, err)
	}
	client := c.newClient()
	defer client.Close()
	state, err := approval.Commit(ctx, client, &p)
	if err != nil {
		return err
	}
	return printApproved(c.JSON, &p, state.Root.FindChange)
}
