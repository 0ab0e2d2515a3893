package main

import (
	"fmt"

	"github.com/wagtailtray/wagtailtray/pkg/key"
)

type keyCommand struct {
	JSON bool `name:"json" help:"Print one JSON object."`
}

// keyOutput is the output of key with --json.
type keyOutput struct {
	Key string `json:"key"`
}

// Run prints a new random key.
func (c *keyCommand) Run() error {
	k := keyOutput{Key: key.Generate()}
	return printResult(c.JSON, k, func() { fmt.Println(k.Key) })
}
