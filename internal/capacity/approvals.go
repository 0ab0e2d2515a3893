package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/process/balancer"
	"github.com/wagtailtray/wagtailtray/internal/process/control"
	standin "github.com/wagtailtray/wagtailtray/internal/standin/platform"
)

// Scenario is a set of faults injected while configuration changes are approved.
type Scenario struct {
	Name string
	// CallLossRate is the share of calls between balancers that fail, half of
	// them after the callee has executed the call.
	CallLossRate float64
	// KillRelays kills one relay of each failure domain right before the first
	// approval.
	KillRelays bool
	// PlatformFaults are the faults of the platform stand-in.
	PlatformFaults standin.Faults
	// PlatformOutage makes the platform unavailable right after each approval.
	PlatformOutage bool
	// ReplaceBalancers kills every balancer right after each approval, and
	// starts new ones.
	ReplaceBalancers bool
}

// Scenarios returns the scenarios in the order of the page's rows.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "nothing"},
		{Name: "one relay of each failure domain is dead", KillRelays: true},
		{Name: "5 % of the calls between balancers fail", CallLossRate: 0.05},
		{Name: "both", KillRelays: true, CallLossRate: 0.05},
		{Name: "every answer of the platform takes 500 ms", PlatformFaults: standin.Faults{DelayMillis: 500}},
		{Name: "the platform goes down for 2 s after each approval", PlatformOutage: true},
		{Name: "every balancer is replaced at once after each approval", ReplaceBalancers: true},
	}
}

// ApprovalResult is the propagation delay of approvals in one scenario.
type ApprovalResult struct {
	Scenario Scenario
	// DelayMillis are the times from the response to an approval until its
	// version was in force in every balancer, sorted.
	DelayMillis []float64
	// Reverted counts the times a balancer went back to a lower version.
	Reverted int64
}

// relayStartTime is how long to wait for the relays of a fleet that has started.
const relayStartTime = 10 * time.Second

// outageDuration is the length of a platform outage after an approval.
const outageDuration = 2 * time.Second

// lostCallTimeout is when a lost call fails: after the time for one
// retransmission.
const lostCallTimeout = 200 * time.Millisecond

var errCallLost = errs.New("capacity: simulated call loss")

// lossyCaller fails a share of calls: half of them before they are executed, the
// other half after.
type lossyCaller struct {
	balancer.ControlClient
	lossRate float64
}

func (l *lossyCaller) Call(ctx context.Context, to netip.AddrPort, m control.Method, request, reply any) error {
	if rand.Float64() >= l.lossRate {
		return l.ControlClient.Call(ctx, to, m, request, reply)
	}
	if rand.IntN(2) == 0 {
		_ = l.ControlClient.Call(ctx, to, m, request, reply)
	}
	select {
	case <-ctx.Done():
	case <-time.After(lostCallTimeout):
	}
	return errCallLost
}

// MeasureApprovals runs all scenarios, each with a fleet of its own.
func MeasureApprovals(ctx context.Context, size FleetSize, progress func(string, ...any)) ([]ApprovalResult, error) {
	var all []ApprovalResult
	for _, t := range Scenarios() {
		s, err := RunScenario(ctx, size, t)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", t.Name, err)
		}
		progress("%s: %v ms", t.Name, s.DelayMillis)
		all = append(all, s)
	}
	return all, nil
}

// RunScenario starts a fleet and approves changes in it under the faults of t. If
// size.Window is set, it waits for the traffic of the start to end first.
func RunScenario(ctx context.Context, size FleetSize, t Scenario) (ApprovalResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newFleet(size)
	f.callLossRate = t.CallLossRate
	stop, err := f.startDependencies(ctx)
	if err != nil {
		return ApprovalResult{}, err
	}
	defer stop()
	if err := f.startBalancers(ctx); err != nil {
		return ApprovalResult{}, err
	}
	defer f.killBalancers()
	if size.Window > 0 {
		f.waitSettled()
	}
	if t.KillRelays {
		f.killRelays()
	}
	out := ApprovalResult{Scenario: t}
	for i := range size.Approvals {
		f.platform.SetFaults(t.PlatformFaults)
		delay, err := f.approveOnce(ctx, i, func() error { return f.injectFaults(ctx, t) })
		if err != nil {
			return out, err
		}
		out.DelayMillis = append(out.DelayMillis, delay)
		// This outage must not overlap the next approval.
		f.pendingOutage.Wait()
	}
	slices.Sort(out.DelayMillis)
	out.Reverted = f.reverted.Load()
	return out, nil
}

// killRelays kills one relay of each failure domain. Relays are the balancers that watch the
// platform; they become that soon after their start.
func (f *fleet) killRelays() {
	seen := map[string]bool{}
	for end := time.Now().Add(relayStartTime); len(seen) < min(domains, len(f.balancers)) && time.Now().Before(end); {
		f.killNextRelays(seen)
		time.Sleep(heartbeatInterval)
	}
}

// killNextRelays kills a relay of each failure domain that is not in seen.
func (f *fleet) killNextRelays(seen map[string]bool) {
	for i, b := range f.balancers {
		domain := domainOf(i)
		if !seen[domain] && b.IsRelay() {
			seen[domain] = true
			b.Kill()
			f.killed[i] = true
		}
	}
}

// injectFaults causes the faults that follow an approval in scenario t.
func (f *fleet) injectFaults(ctx context.Context, t Scenario) error {
	if t.PlatformOutage {
		f.platform.SetFaults(standin.Faults{Down: true})
		f.pendingOutage.Go(func() {
			time.Sleep(outageDuration)
			f.platform.SetFaults(standin.Faults{})
		})
	}
	if !t.ReplaceBalancers {
		return nil
	}
	f.killBalancers()
	for i := range f.versions {
		// New balancers have no configuration: they read it from the platform.
		f.versions[i].Store(0)
	}
	f.state = nil
	return f.startBalancers(ctx)
}

// ApprovalsPage returns the page APPROVALS.md.
func ApprovalsPage(size FleetSize, all []ApprovalResult) string {
	var b strings.Builder
	fmt.Fprintf(&b, approvalsIntroText, size.Balancers, domains, size.Targets, size.Services, size.Approvals)
	b.WriteString("| trouble | least | median | most | balancers that reverted |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range all {
		n := len(s.DelayMillis)
		fmt.Fprintf(&b, "| %s | %.0f | %.0f | %.0f | %d |\n", s.Scenario.Name, s.DelayMillis[0], s.DelayMillis[n/2], s.DelayMillis[n-1], s.Reverted)
	}
	return b.String()
}

const approvalsIntroText = `# Approvals under trouble

Written by

    go run ./cmd/experiment approvals --write docs

%d balancers of %d failure domains run in one process with the platform's stand-in,
all over loopback, with records of %d targets and %d services. Each row is a fleet
of its own with %d approvals. The figures are milliseconds from the answer to an
approval until its version is in force in every balancer that lives; at most 4,000
are allowed. They depend on the machine: one process does the work of all. The last
row includes the stop of all balancers and the start of as many in that process,
which a real fleet does on as many VMs; a new balancer serves nothing before it has
a configuration.

`
