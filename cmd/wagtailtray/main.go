// Command wagtailtray is the operators' client.
//
// # Usage
//
//	wagtailtray answers check answers.yaml
//	wagtailtray plan answers.yaml --platform 192.0.2.10:8001 --out plan.json
//	wagtailtray approve plan.json --platform 192.0.2.10:8001
//	wagtailtray status --peers 192.0.2.21:7000 --key ...
//	wagtailtray story --flow 192.0.2.7:40001 *.log
//	wagtailtray load *.log
//	wagtailtray versions *.log
//	wagtailtray try
//
// See docs/operate for what each command does and its exit codes.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/pkg/answers"
	"github.com/wagtailtray/wagtailtray/pkg/platform"
)

// Exit codes. They are documented in docs/operate/commands.md.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitAnswers        = 3
	exitStale          = 4
	exitOutcomeUnknown = 5
	exitUnavailable    = 6
	exitViolation      = 7
)

// errViolation is returned by a trial in which a guarantee did not hold.
var errViolation = errs.New("a guarantee was violated")

type cli struct {
	Answers  answersCommand  `cmd:"" help:"Write or check a questionnaire."`
	Plan     planCommand     `cmd:"" help:"Generate the configuration and show what would change."`
	Approve  approveCommand  `cmd:"" help:"Apply a plan."`
	Status   statusCommand   `cmd:"" help:"Show the version in force and the state of each failure domain."`
	Drain    drainCommand    `cmd:"" help:"Let a target finish its flows and take no new ones."`
	Undrain  undrainCommand  `cmd:"" help:"Let a target take new flows again."`
	History  historyCommand  `cmd:"" help:"List the approved changes."`
	Key      keyCommand      `cmd:"" help:"Print a new deployment key."`
	Story    storyCommand    `cmd:"" help:"Show what the logs record about one flow."`
	Load     loadCommand     `cmd:"" help:"Show from the logs who was refused or had to wait, and why."`
	Versions versionsCommand `cmd:"" help:"Show from the logs which version is in force at which balancer, and who lags why."`
	Try      tryCommand      `cmd:"" help:"Run a whole deployment on loopback and change it under load."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c cli
	parser, err := kong.New(&c, kong.Name("wagtailtray"), kong.UsageOnError(),
		kong.Description("The operators' client of wagtailtray, a layer-4 load balancer."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "wagtailtray: %v\n", err)
		return exitUsage
	}
	return reportError(parsed.Run())
}

// reportError prints err and returns its exit code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "wagtailtray: %v\n", err)
	codes := []struct {
		err  error
		code int
	}{
		{answers.ErrAnswers, exitAnswers},
		{approval.ErrStale, exitStale},
		{approval.ErrOutcomeUnknown, exitOutcomeUnknown},
		{platform.ErrUnknown, exitOutcomeUnknown},
		{platform.ErrUnavailable, exitUnavailable},
		{errViolation, exitViolation},
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return exitFailed
}
