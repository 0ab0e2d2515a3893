package main

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/wagtailtray/wagtailtray/internal/standin/platform"
)

type platformCommand struct {
	Listen netip.AddrPort `help:"Address of the object service." required:""`
}

// Run serves until a signal. PUT /faults sets faults, GET /calls returns call counts.
func (c *platformCommand) Run(ctx context.Context) error {
	if err := requireLoopback(c.Listen.Addr()); err != nil {
		return err
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", c.Listen.String())
	if err != nil {
		return err
	}
	s := &http.Server{Handler: platform.NewServer(), ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	<-ctx.Done()
	return s.Close()
}
