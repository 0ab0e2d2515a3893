package main

import "github.com/wagtailtray/wagtailtray/internal/standin/model"

type faultsCommand struct {
	Write string `help:"Directory to write the page to; printed if empty."`
}

// Run runs the fault matrix and writes its page.
func (c *faultsCommand) Run() error {
	page, err := model.FaultPage()
	if err != nil {
		return err
	}
	return writePage(c.Write, "FAULTS.md", page)
}
