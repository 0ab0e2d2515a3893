package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// platformFlags holds the flags of the commands that connect to the platform.
type platformFlags struct {
	Platform string `help:"Address of the platform's object service." required:"" env:"WAGTAILTRAY_PLATFORM" placeholder:"IP:PORT"`
}

func (s *platformFlags) newClient() *platform.Client {
	return platform.NewClient(s.Platform)
}

type planCommand struct {
	platformFlags
	File   string `arg:"" help:"Answers file."`
	Out    string `help:"File to write the plan to." default:"plan.json"`
	Author string `help:"Author recorded in the history." env:"USER" default:"operator"`
	JSON   bool   `name:"json" help:"Print one JSON object."`
}

// planOutput is the output of plan with --json.
type planOutput struct {
	ID      string          `json:"id"`
	Base    uint64          `json:"base"`
	Version uint64          `json:"version"`
	Changes []string        `json:"changes"`
	Reasons []config.Reason `json:"reasons"`
}

// Run creates a plan, prints it and writes it to a file.
func (c *planCommand) Run(ctx context.Context) error {
	a, err := readAnswers(c.File)
	if err != nil {
		return err
	}
	client := c.newClient()
	defer client.Close()
	base, err := approval.Load(ctx, client)
	if err != nil {
		return err
	}
	g := config.Generate(a, base)
	changes := config.Compare(base, &g.State)
	if len(changes) == 0 {
		return printResult(c.JSON, planOutput{Base: base.Root.Version, Version: base.Root.Version, Changes: []string{}}, func() {
			fmt.Printf("nothing to change: version %d is what the answers give\n", base.Root.Version)
		})
	}
	p := approval.NewPlan(base, &g.State, c.Author, time.Now().UTC().Format(time.RFC3339))
	if err := writePlan(c.Out, p); err != nil {
		return err
	}
	out := planOutput{ID: p.ID, Base: p.Base, Version: p.To.Root.Version, Changes: changes, Reasons: g.Reasons}
	return printResult(c.JSON, out, func() { printPlan(&out, c.Out) })
}

func printPlan(p *planOutput, file string) {
	fmt.Printf("version %d -> %d\n", p.Base, p.Version)
	for _, line := range p.Changes {
		fmt.Println("  " + line)
	}
	fmt.Println("derived values:")
	for _, r := range p.Reasons {
		fmt.Printf("  %s = %s: %s\n", r.Field, r.Value, r.Why)
	}
	fmt.Printf("written to %s; approve it to bring it into force\n", file)
}

// planMode makes the plan readable only by its owner.
const planMode = 0o600

func writePlan(file string, p *approval.Plan) error {
	data, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), planMode)
}

// printResult prints v as JSON, or calls text to print it for people.
func printResult(asJSON bool, v any, text func()) error {
	if !asJSON {
		text()
		return nil
	}
	return json.NewEncoder(os.Stdout).Encode(v)
}
