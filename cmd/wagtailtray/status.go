package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/status"
	"github.com/wagtailtray/wagtailtray/pkg/key"
)

type statusCommand struct {
	Peers []netip.AddrPort `help:"Control addresses of balancers to query first." required:"" env:"WAGTAILTRAY_PEERS" placeholder:"IP:PORT"`
	Key   string           `help:"Deployment key, or two during a rotation." required:"" env:"WAGTAILTRAY_KEY"`
	JSON  bool             `name:"json" help:"Print one JSON object."`
}

// Run queries the balancers and prints totals.
func (c *statusCommand) Run(ctx context.Context) error {
	ring, err := key.Parse(c.Key)
	if err != nil {
		return err
	}
	client, err := control.NewClient(ring)
	if err != nil {
		return err
	}
	defer client.Close()
	s, err := status.Collect(ctx, client, c.Peers)
	if err != nil {
		return err
	}
	return printResult(c.JSON, s, func() { printStatus(s) })
}

func printStatus(s *status.Status) {
	fmt.Printf("version %d\n", s.Version)
	for _, d := range s.Domains {
		fmt.Printf("%s: version %d to %d, %d balancers (%d suspected, %d silent), %d targets (%d draining, %d suspected), %d flows, imbalance %.3f\n",
			d.Name, d.OldestVersion, d.NewestVersion, d.Balancers, d.SuspectedBalancers, d.Silent,
			d.Targets, d.Draining, d.SuspectedTargets, d.Flows, d.Imbalance)
	}
	for _, v := range s.Services {
		fmt.Printf("%s: %d targets, %d flows, imbalance %.3f\n", v.Name, v.Targets, v.Flows, v.Imbalance)
	}
	for _, t := range s.Suspects {
		fmt.Printf("suspected: %s\n", t)
	}
}
