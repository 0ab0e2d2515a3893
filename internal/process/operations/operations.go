// Package operations serves the metrics, liveness and readiness of a process over
// HTTP.
//
// # Usage
//
//	o := operations.New("balancer")
//	counter := o.Scope().Counter("forwarded")
//	err := o.Serve(address, ready)
//	defer o.Close()
package operations

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/zeebo/errs"
)

const (
	reportInterval    = time.Second
	readHeaderTimeout = 5 * time.Second
)

// Operations holds the metrics of a process and the server that serves them.
type Operations struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	server   *http.Server
}

// New returns the metrics of a process with a role.
func New(role string) *Operations {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "wagtailtray_" + role,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// Metrics about the metrics are of no use to operators.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Operations{scope: scope, closer: closer, reporter: reporter}
}

// Scope returns the scope in which metrics are created.
func (o *Operations) Scope() tally.Scope {
	return o.scope
}

// Serve serves /metrics, /live and /ready on an address. ready returns why the
// process is not ready, or an empty string.
func (o *Operations) Serve(address netip.AddrPort, ready func() string) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return errs.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", o.reporter.HTTPHandler())
	mux.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "live\n")
	})
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if reason := ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	o.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = o.server.Serve(listener) }()
	return nil
}

// Close stops the server and the metrics reporter.
func (o *Operations) Close() {
	if o.server != nil {
		_ = o.server.Close()
	}
	_ = o.closer.Close()
}
