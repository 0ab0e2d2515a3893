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

// Trouble is what goes wrong while changes are approved.
type Trouble struct {
	Name string
	// Lost is the share of calls between balancers that fail, half of them
	// after they ran.
	Lost float64
	// Relays kills one relay of each failure domain right before the first
	// approval.
	Relays bool
	// Platform is how the platform behaves.
	Platform standin.Faults
	// Outage stops the platform right after each approval.
	Outage bool
	// Replaced ends every balancer right after each approval, and starts new
	// ones.
	Replaced bool
}

// Troubles are the rows of the page.
func Troubles() []Trouble {
	return []Trouble{
		{Name: "nothing"},
		{Name: "one relay of each failure domain is dead", Relays: true},
		{Name: "5 % of the calls between balancers fail", Lost: 0.05},
		{Name: "both", Relays: true, Lost: 0.05},
		{Name: "every answer of the platform takes 500 ms", Platform: standin.Faults{DelayMillis: 500}},
		{Name: "the platform goes down for 2 s after each approval", Outage: true},
		{Name: "every balancer is replaced at once after each approval", Replaced: true},
	}
}

// Spreading is how long approvals took under one trouble.
type Spreading struct {
	Trouble Trouble
	// Delays are milliseconds from the approval's answer until the version
	// was in force in every balancer, sorted.
	Delays []float64
	// Reverted counts balancers that went to a lower version.
	Reverted int64
}

// outageTime is how long an outage lasts that follows an approval.
const outageTime = 2 * time.Second

// lostAfter is when a lost call is given up: after one try to send it again.
const lostAfter = 200 * time.Millisecond

var errLost = errs.New("capacity: the call was lost")

// lossy loses calls: one half of them before they run, the other half after.
type lossy struct {
	balancer.ControlClient
	share float64
}

func (l *lossy) Call(ctx context.Context, to netip.AddrPort, m control.Method, request, reply any) error {
	if rand.Float64() >= l.share {
		return l.ControlClient.Call(ctx, to, m, request, reply)
	}
	if rand.IntN(2) == 0 {
		_ = l.ControlClient.Call(ctx, to, m, request, reply)
	}
	select {
	case <-ctx.Done():
	case <-time.After(lostAfter):
	}
	return errLost
}

// Approvals approves changes in a fleet under each trouble.
func Approvals(ctx context.Context, size FleetSize, progress func(string, ...any)) ([]Spreading, error) {
	var all []Spreading
	for _, t := range Troubles() {
		s, err := ApproveUnder(ctx, size, t)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", t.Name, err)
		}
		progress("%s: %v ms", t.Name, s.Delays)
		all = append(all, s)
	}
	return all, nil
}

// ApproveUnder approves changes in a fleet of its own under one trouble. With a
// window the fleet's start is over before the first approval.
func ApproveUnder(ctx context.Context, size FleetSize, t Trouble) (Spreading, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := newFleet(size)
	f.lost = t.Lost
	stop, err := f.prepare(ctx)
	if err != nil {
		return Spreading{}, err
	}
	defer stop()
	if err := f.start(ctx); err != nil {
		return Spreading{}, err
	}
	defer f.kill()
	if size.Window > 0 {
		f.settle()
	}
	if t.Relays {
		f.killRelays()
	}
	out := Spreading{Trouble: t}
	for i := range size.Approvals {
		f.platform.SetFaults(t.Platform)
		took, err := f.approveOnce(ctx, i, func() error { return f.afterwards(ctx, t) })
		if err != nil {
			return out, err
		}
		out.Delays = append(out.Delays, took)
		// The next approval must not meet what is left of this outage.
		f.outage.Wait()
	}
	slices.Sort(out.Delays)
	out.Reverted = f.reverted.Load()
	return out, nil
}

// killRelays ends one of the balancers of each domain that watch the platform.
func (f *fleet) killRelays() {
	done := map[string]bool{}
	for i, b := range f.balancers {
		domain := domainOf(i)
		if !done[domain] && b.IsRelay() {
			done[domain] = true
			b.Kill()
			f.dead[i] = true
		}
	}
}

// afterwards is what happens right after an approval.
func (f *fleet) afterwards(ctx context.Context, t Trouble) error {
	if t.Outage {
		f.platform.SetFaults(standin.Faults{Down: true})
		f.outage.Go(func() {
			time.Sleep(outageTime)
			f.platform.SetFaults(standin.Faults{})
		})
	}
	if !t.Replaced {
		return nil
	}
	f.kill()
	for i := range f.versions {
		// The new ones have nothing but the platform.
		f.versions[i].Store(0)
	}
	f.state = nil
	return f.start(ctx)
}

// ApprovalsPage writes the page of approvals under trouble.
func ApprovalsPage(size FleetSize, all []Spreading) string {
	var b strings.Builder
	fmt.Fprintf(&b, approvalsIntro, size.Balancers, domains, size.Targets, size.Services, size.Approvals)
	b.WriteString("| trouble | least | median | most | balancers that reverted |\n| --- | --- | --- | --- | --- |\n")
	for _, s := range all {
		n := len(s.Delays)
		fmt.Fprintf(&b, "| %s | %.0f | %.0f | %.0f | %d |\n", s.Trouble.Name, s.Delays[0], s.Delays[n/2], s.Delays[n-1], s.Reverted)
	}
	return b.String()
}

const approvalsIntro = `# Approvals under trouble

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
