package main

import (
	"fmt"
	"os"

	"github.com/wagtailtray/wagtailtray/internal/standin/model"
)

type scenarioCommand struct {
	File string `arg:"" help:"Scenario file; see the documentation of Script in package model."`
}

// Run runs the scenario and prints its results.
func (c *scenarioCommand) Run() error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	out, err := model.RunScript(string(text))
	if err != nil {
		return err
	}
	_, err = fmt.Print(out)
	return err
}
