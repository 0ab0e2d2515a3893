package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"os/signal"
	"regexp"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"

	"github.com/wagtailtray/wagtailtray/internal/process/agent"
	"github.com/wagtailtray/wagtailtray/internal/process/operations"
	"github.com/wagtailtray/wagtailtray/internal/process/trace"
	"github.com/wagtailtray/wagtailtray/pkg/key"
)

// errSettings is in the chain of every error about settings.
var errSettings = errs.New("settings")

// common holds the flags of both roles.
type common struct {
	Name       string                    `help:"Name of the balancer, unique in the deployment, or of the target of the agent, unique in its service." required:""`
	Domain     string                    `help:"Failure domain of this VM." required:""`
	Platform   flagValue[netip.AddrPort] `help:"Address of the platform's object service." required:"" placeholder:"IP:PORT"`
	Key        string                    `help:"Deployment key, or two separated by a comma during a rotation; the first one signs." required:""`
	Control    flagValue[netip.AddrPort] `help:"Address for control calls." required:"" placeholder:"IP:PORT"`
	Operations flagValue[netip.AddrPort] `help:"Address for /metrics, /live and /ready; none if not given." placeholder:"IP:PORT"`
	Workers    flagValue[int]            `help:"Workers per socket." default:"2"`
	MTU        flagValue[int]            `name:"mtu" help:"MTU of the path between balancers and agents, in bytes." default:"1500"`
	Log        string                    `help:"Minimum log level." default:"info" enum:"debug,info,warn,error"`
	Trace      string                    `help:"Exporter of spans: off, stdout, or IP:PORT of an OTLP/HTTP receiver." default:"off"`
	TraceShare flagValue[float64]        `help:"Sampling ratio of datagrams that do not open a flow." default:"0.0001"`
}

const (
	minMTU     = 576
	maxMTU     = 9000
	maxWorkers = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// validator collects the errors in settings, so that all are reported together.
type validator struct {
	problems []error
}

func (v *validator) require(ok bool, flag, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, errs.New("--%s: %s", flag, fmt.Sprintf(format, args...)))
	}
}

func (v *validator) err() error {
	if len(v.problems) == 0 {
		return nil
	}
	return errors.Join(append([]error{errSettings}, v.problems...)...)
}

func (c *common) validate(v *validator) key.Ring {
	v.require(namePattern.MatchString(c.Name), "name", "want lower-case letters, digits, dots and dashes, not %q", c.Name)
	v.require(namePattern.MatchString(c.Domain), "domain", "want lower-case letters, digits, dots and dashes, not %q", c.Domain)
	checkParsed(v, "platform", c.Platform, wantAddress)
	checkParsed(v, "operations", c.Operations, wantAddress)
	if checkParsed(v, "control", c.Control, wantAddress) {
		v.require(!c.Control.value.Addr().IsUnspecified(), "control", "want an address at which other processes reach this VM")
	}
	checkRange(v, "workers", c.Workers, 1, maxWorkers)
	checkRange(v, "mtu", c.MTU, minMTU, maxMTU)
	if checkParsed(v, "trace-share", c.TraceShare, wantNumber) {
		share := c.TraceShare.value
		v.require(share >= 0 && share <= 1 && !math.IsNaN(share), "trace-share", "want a ratio from 0 to 1, not %g", share)
	}
	if c.Trace != "off" && c.Trace != "stdout" {
		_, err := netip.ParseAddrPort(c.Trace)
		v.require(err == nil, "trace", "want off, stdout or IP:PORT, not %q", c.Trace)
	}
	ring, err := key.Parse(c.Key)
	v.require(err == nil, "key", "%v", err)
	return ring
}

func (c *common) logger(role string) zerolog.Logger {
	level, err := zerolog.ParseLevel(c.Log)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().
		Str("role", role).Str("name", c.Name).Str("domain", c.Domain).Logger()
}

// traceTimeout limits the export of the remaining spans at shutdown.
const traceTimeout = 2 * time.Second

// tracer returns the configured tracer, nil if tracing is off, and a function
// that shuts it down.
func (c *common) tracer(ctx context.Context) (*trace.Tracer, func(), error) {
	exporter, err := c.exporter(ctx)
	if err != nil || exporter == nil {
		return nil, func() {}, err
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter))
	stop := func() {
		ctx, cancel := context.WithTimeout(context.Background(), traceTimeout)
		defer cancel()
		_ = provider.Shutdown(ctx)
	}
	return trace.New(provider, c.TraceShare.value), stop, nil
}

func (c *common) exporter(ctx context.Context) (sdk.SpanExporter, error) {
	switch c.Trace {
	case "off":
		return nil, nil
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(io.Writer(os.Stdout)))
	default:
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(c.Trace), otlptracehttp.WithInsecure())
	}
}

// serveOperations serves metrics and health checks if an address is configured.
func (c *common) serveOperations(o *operations.Operations, ready func() string) error {
	if !c.Operations.value.IsValid() {
		return nil
	}
	return o.Serve(c.Operations.value, ready)
}

// notifySignals returns a channel that receives SIGTERM and SIGINT.
func notifySignals() chan os.Signal {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, os.Interrupt)
	return ch
}

// cancelOnSecondSignal returns a context that the next signal cancels, so that
// an operator can cut a graceful shutdown short.
func cancelOnSecondSignal(ch chan os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		select {
		case <-ch:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// reportError prints err and returns its exit code.
func reportError(err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(os.Stderr, "wagtailtrayd: %v\n", err)
	switch {
	case errors.Is(err, errSettings):
		return exitUsage
	case errors.Is(err, agent.ErrSuperseded):
		return exitSuperseded
	default:
		return exitFailed
	}
}
