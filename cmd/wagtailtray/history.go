package main

import (
	"context"
	"fmt"

	"github.com/wagtailtray/wagtailtray/internal/version/approval"
)

type historyCommand struct {
	platformFlags
	JSON bool `name:"json" help:"Print one JSON object."`
}

// Run lists the changes in the history of the configuration.
func (c *historyCommand) Run(ctx context.Context) error {
	client := c.newClient()
	defer client.Close()
	state, err := approval.Load(ctx, client)
	if err != nil {
		return err
	}
	return printResult(c.JSON, state.Root.Changes, func() {
		for _, change := range state.Root.Changes {
			fmt.Printf("version %d  %s  %s\n", change.Version, change.Time, change.Author)
			for _, line := range change.Summary {
				fmt.Println("  " + line)
			}
		}
	})
}
