// Command wagtailtrayd is the daemon: a balancer on an entry VM, or an agent
// on the VM of a target.
//
// # Usage
//
//	wagtailtrayd balancer --name tln-a-1 --domain tln-a ...
//	wagtailtrayd agent --name quote-1 --service quote-session ...
//
// Every flag can be given as an environment variable; see --help. SIGTERM starts
// a graceful shutdown, a second one ends the process at once.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// Exit codes. They are documented in docs/operate/commands.md.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitSuperseded = 3
)

type cli struct {
	Balancer balancerCommand `cmd:"" help:"Receive datagrams from callers and forward them to targets."`
	Agent    agentCommand    `cmd:"" help:"Own the flows of one target and relay them to its upstream."`
}

// gcPercent is the garbage collection target percentage, unless GOGC is set.
//
// With Go's default the heap may double: the 7 MB of live control state of the
// fleet planned in two years would take 14 MB, and the daemon more than its limit
// of 32 MB. The packet path does not allocate, so collections stay rare.
const gcPercent = 30

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	// The QUIC library only generates refusals, over a connection that is not
	// a socket; it would log a warning about that.
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	var c cli
	parser, err := kong.New(&c, kong.Name("wagtailtrayd"), kong.DefaultEnvars("WAGTAILTRAY"),
		kong.Description("The daemon of wagtailtray, a layer-4 load balancer."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "wagtailtrayd: %v\n", err)
		return exitUsage
	}
	return reportError(parsed.Run())
}
