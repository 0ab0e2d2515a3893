package try

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/standin/caller"
	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/pkg/answers"
)

// Options configure a run.
type Options struct {
	Deployment string
	Seed       uint64
	Duration   time.Duration
	// Sessions is the approximate number of concurrent sessions.
	Sessions int
	Log      zerolog.Logger
}

// Report is the outcome of a run.
type Report struct {
	Deployment    string             `json:"deployment"`
	Seed          uint64             `json:"seed"`
	Flows         int                `json:"flows"`
	Opened        int                `json:"opened"`
	Refused       int                `json:"refused"`
	Requests      int                `json:"requests"`
	Broken        int                `json:"broken"`
	BrokenPlanned int                `json:"brokenplanned"`
	Crossed       int                `json:"crossed"`
	Doubled       int                `json:"doubled"`
	Lost          int                `json:"lost"`
	Partial       int                `json:"partial"`
	RanRefused    int                `json:"ranrefused"`
	Late          int                `json:"late"`
	Reverted      int                `json:"reverted"`
	Imbalance     map[string]float64 `json:"imbalance"`
	Versions      uint64             `json:"versions"`
	// Delays holds, for each measured approval, the milliseconds until it was in
	// force in every failure domain.
	Delays  []float64 `json:"delays"`
	Seconds float64   `json:"seconds"`
	// Failed lists the changes that failed.
	Failed []string `json:"failed"`
}

// Passed reports whether the run violated no guarantee and all changes succeeded.
func (r *Report) Passed() bool {
	sum := r.Crossed + r.Doubled + r.Lost + r.Partial + r.RanRefused + r.Reverted + r.BrokenPlanned + r.Late
	return sum == 0 && len(r.Failed) == 0
}

// Progress is called with a line of text for each step of the run.
type Progress func(format string, args ...any)

const (
	defaultSessions = 300
	startTimeout    = 20 * time.Second
	inForceTimeout  = 10 * time.Second
	sampleInterval  = 250 * time.Millisecond
)

// run is the state of one run.
type run struct {
	env       *Environment
	options   Options
	progress  Progress
	random    *rand.Rand
	startedAt time.Time
	imbalance *imbalanceMean
	report    Report
	sessions  sync.WaitGroup
}

func durationOf(d answers.Duration) time.Duration {
	return time.Duration(d)
}

// Run runs a deployment and returns what callers and upstreams observed.
func Run(ctx context.Context, o Options, progress Progress) (*Report, error) {
	if o.Sessions <= 0 {
		o.Sessions = defaultSessions
	}
	e, err := NewEnvironment(o.Deployment, o.Seed, o.Log)
	if err != nil {
		return nil, err
	}
	defer e.Close()
	r := &run{
		env: e, options: o, progress: progress, random: rand.New(rand.NewPCG(o.Seed, 2)),
		imbalance: newImbalanceMean(), report: Report{Deployment: o.Deployment, Seed: o.Seed, Failed: []string{}, Delays: []float64{}},
	}
	r.shortenIdleTimeouts()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	r.runWorkload(ctx)
	return r.finish(), nil
}

// idleTimeout is the idle timeout during a run. Sessions are hundreds of times
// shorter than those of the deployments, and the idle timeout is reduced with them.
const idleTimeout = 5 * time.Second

func (r *run) shortenIdleTimeouts() {
	for i := range r.env.answers.Services {
		r.env.answers.Services[i].Idle = answers.Duration(idleTimeout)
	}
}

// start starts the deployment: configuration, balancers, targets.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	e := r.env
	if err := r.approveConfiguration(ctx, "first configuration", false); err != nil {
		return err
	}
	for i := range e.answers.Services {
		if err := e.fabric.Listen(e.answers.Services[i].Address.AddrPort); err != nil {
			return err
		}
	}
	for _, d := range e.answers.Domains {
		for range balancersPerDomain {
			if _, err := e.StartBalancer(context.WithoutCancel(ctx), d.Name); err != nil {
				return err
			}
		}
	}
	r.progress("%d balancers in %d failure domains", len(e.balancers), len(e.answers.Domains))
	return r.startTargets(ctx)
}

func (r *run) startTargets(ctx context.Context) error {
	e := r.env
	started := make(chan error, firstServiceTargets+secondServiceTargets)
	for i, count := range []int{firstServiceTargets, secondServiceTargets} {
		service := e.answers.Services[i].Name
		for n := range count {
			name := fmt.Sprintf("%s-%d", service, n+1)
			domain := e.answers.Domains[n%len(e.answers.Domains)].Name
			go func() {
				started <- e.StartTarget(context.WithoutCancel(ctx), service, name, domain, byte(i), byte(n+1))
			}()
		}
	}
	for range firstServiceTargets + secondServiceTargets {
		select {
		case err := <-started:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return errs.New("not all targets started within %s", startTimeout)
		}
	}
	r.progress("%d targets started", len(e.targets))
	return e.waitUntilReady(ctx)
}

// runWorkload keeps sessions open while the changes are made.
func (r *run) runWorkload(ctx context.Context) {
	r.startedAt = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening, stop := context.WithCancel(ctx)
	defer stop()
	var loops sync.WaitGroup
	loops.Go(func() { r.openSessions(opening, ctx) })
	loops.Go(func() { r.sampleImbalance(opening) })
	// All changes are made, even if the machine is too slow for their start times.
	r.makeChanges(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(r.options.Duration - time.Since(r.startedAt)):
	}
	stop()
	loops.Wait()
	r.progress("no new sessions; waiting for open sessions to end")
	r.sessions.Wait()
}

func (r *run) openSessions(opening, ctx context.Context) {
	mean := meanSessionLength(r.options.Duration)
	gap := mean / time.Duration(r.options.Sessions)
	ticker := time.NewTicker(max(gap, time.Millisecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-opening.Done():
			return
		case <-ticker.C:
		}
		plan := r.sessionPlan(n, mean)
		r.sessions.Go(func() {
			if err := caller.RunSession(ctx, plan, r.env.oracle); err != nil {
				r.logEarlyEnd(&plan, err)
			}
		})
	}
}

// logEarlyEnd logs a session that ended early, with the caller address that the
// balancers see and the target that served it.
func (r *run) logEarlyEnd(p *caller.Plan, err error) {
	line := r.env.log.Warn().Str("event", "session").Str("service", p.Service)
	var early *caller.SessionError
	if errors.As(err, &early) {
		seen, _ := r.env.fabric.MappedAddress(p.Address.Port(), early.Caller)
		line = line.Uint64("session", early.Session).Stringer("caller", seen).Str("target", r.env.oracle.ServedBy(early.Session))
	}
	line.Err(err).Msg("session ended early")
}

// meanSessionLength returns a fifth of the run, so that each target serves several
// generations of sessions and sessions are open during every change.
func meanSessionLength(total time.Duration) time.Duration {
	return max(total/5, time.Second)
}

// firstServicePer10 is the number of sessions of the first service per 10 sessions.
const firstServicePer10 = 7

// sessionPlan draws the n-th session: every third one reads a feed, and those of
// the second service also fetch a download.
func (r *run) sessionPlan(n int, mean time.Duration) caller.Plan {
	service := &r.env.answers.Services[0]
	if n%10 >= firstServicePer10 {
		service = &r.env.answers.Services[1]
	}
	length := time.Duration(min(r.random.ExpFloat64(), 3) * float64(mean))
	p := caller.Plan{
		Service: service.Name, Address: service.Address.AddrPort, Local: r.env.address(octetCaller, byte(1+n%200)),
		Duration: length, RevisionDelay: 300 * time.Millisecond,
	}
	if n%3 == 0 {
		p.FeedIntervalMillis = 100
		p.FeedTicks = int(length / (100 * time.Millisecond))
	}
	if service != &r.env.answers.Services[0] {
		p.DownloadBytes = 64 << 10
	}
	return p
}

// approveConfiguration generates and approves the configuration. If measure is set,
// it records how long it takes to be in force everywhere.
func (r *run) approveConfiguration(ctx context.Context, what string, measure bool) error {
	e := r.env
	base, err := approval.Load(ctx, e.store)
	if err != nil {
		return err
	}
	return r.commit(ctx, approval.NewPlan(base, e.generate(base), "try", time.Now().UTC().Format(time.RFC3339)), what, measure)
}

func (r *run) commit(ctx context.Context, p *approval.Plan, what string, measure bool) error {
	state, err := approval.Commit(ctx, r.env.store, p)
	if err != nil {
		return err
	}
	r.report.Versions = state.Root.Version
	if !measure {
		return nil
	}
	took, ok := r.env.versions.waitUntilInForce(state.Root.Version, inForceTimeout)
	if !ok {
		return errs.New("version %d is not in force everywhere after %s", state.Root.Version, inForceTimeout)
	}
	r.report.Delays = append(r.report.Delays, float64(took.Microseconds())/1000)
	r.progress("version %d (%s) in force everywhere after %s", state.Root.Version, what, took.Round(time.Millisecond))
	return nil
}

func (r *run) finish() *Report {
	v := r.env.oracle.Verdict()
	rep := &r.report
	rep.Flows, rep.Opened, rep.Refused, rep.Requests = v.Flows, v.Opened, v.Refused, v.Requests
	rep.Broken, rep.BrokenPlanned, rep.Crossed = v.Broken, v.Planned, v.Crossed
	rep.Doubled, rep.Lost, rep.Partial = v.Doubled, v.Lost, v.Partial
	rep.RanRefused, rep.Late = v.RanRefused, v.Late
	rep.Reverted = r.env.versions.revertedCount()
	rep.Imbalance = r.imbalance.perService()
	rep.Seconds = time.Since(r.startedAt).Seconds()
	return rep
}
