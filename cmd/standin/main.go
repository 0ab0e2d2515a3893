// Command standin runs the fakes of the project's tests as separate processes:
// the platform's object service, the fabric, upstreams and callers. They are for
// trials and accept only loopback addresses.
//
// # Usage
//
//	standin platform --listen 127.20.255.1:8001
//	standin fabric --service 127.20.0.1:4433 --balancers 127.20.1.1,127.20.1.2
//	standin upstream --name quote-1 --service quote-session --listen 127.20.10.1:5000 --load 127.20.10.1:5001
//	standin caller --service quote-session --address 127.20.0.1:4433 --sessions 50 --for 10s
package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"
)

const (
	exitFailed    = 1
	exitUsage     = 2
	exitViolation = 7
)

var (
	errViolation = errs.New("a guarantee was violated")
	errLoopback  = errs.New("only loopback addresses are allowed")
)

type cli struct {
	Platform platformCommand `cmd:"" help:"Run an in-memory object service of the platform."`
	Fabric   fabricCommand   `cmd:"" help:"Run the network in front of the balancers."`
	Upstream upstreamCommand `cmd:"" help:"Run a QUIC upstream with a load endpoint."`
	Caller   callerCommand   `cmd:"" help:"Open QUIC sessions and print their results."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parser, err := kong.New(&c, kong.Name("standin"), kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		return exitUsage
	}
	err = parsed.Run()
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "standin: %v\n", err)
	if errors.Is(err, errViolation) {
		return exitViolation
	}
	return exitFailed
}

// requireLoopback returns an error if an address is not a loopback address.
func requireLoopback(addresses ...netip.Addr) error {
	for _, a := range addresses {
		if !a.IsLoopback() {
			return errs.Combine(errLoopback, errs.New("%s is not a loopback address", a))
		}
	}
	return nil
}
