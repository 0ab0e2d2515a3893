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

// Options of a run.
type Options struct {
	Deployment string
	Seed       uint64
	For        time.Duration
	// Sessions is the number of sessions that are open at a time.
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
	// Delays are the milliseconds from each approval until it was in force
	// in every failure domain.
	Delays  []float64 `json:"delays"`
	Seconds float64   `json:"seconds"`
	// Failed lists changes that could not be made at all.
	Failed []string `json:"failed"`
}

// Kept reports whether every promise held.
func (r *Report) Kept() bool {
	sum := r.Crossed + r.Doubled + r.Lost + r.Partial + r.RanRefused + r.Reverted + r.BrokenPlanned + r.Late
	return sum == 0 && len(r.Failed) == 0
}

// Progress is told what happens, a line at a time.
type Progress func(format string, args ...any)

const (
	defaultSessions = 300
	startLimit      = 20 * time.Second
	inForceLimit    = 10 * time.Second
	sampleEvery     = 250 * time.Millisecond
)

// run is one trial under way.
type run struct {
	world    *World
	options  Options
	progress Progress
	random   *rand.Rand
	started  time.Time
	balance  *balance
	report   Report
	sessions sync.WaitGroup
}

func durationOf(d answers.Duration) time.Duration {
	return time.Duration(d)
}

// Run runs one trial.
func Run(ctx context.Context, o Options, progress Progress) (*Report, error) {
	if o.Sessions <= 0 {
		o.Sessions = defaultSessions
	}
	w, err := NewWorld(o.Deployment, o.Seed, o.Log)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	r := &run{
		world: w, options: o, progress: progress, random: rand.New(rand.NewPCG(o.Seed, 2)),
		balance: newBalance(), report: Report{Deployment: o.Deployment, Seed: o.Seed, Failed: []string{}, Delays: []float64{}},
	}
	r.shorten()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	r.work(ctx)
	return r.finish(), nil
}

// idle is the idle time of a trial. Its sessions are hundreds of times shorter
// than the deployments' own, and so is the time after which a silent one ends.
const idle = 5 * time.Second

func (r *run) shorten() {
	for i := range r.world.answers.Services {
		r.world.answers.Services[i].Idle = answers.Duration(idle)
	}
}

// start brings the deployment up: configuration, balancers, targets.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	w := r.world
	if err := r.approve(ctx, "first configuration", false); err != nil {
		return err
	}
	for i := range w.answers.Services {
		if err := w.fabric.Listen(w.answers.Services[i].Address.AddrPort); err != nil {
			return err
		}
	}
	for _, d := range w.answers.Domains {
		for range balancersPerDomain {
			if _, err := w.StartBalancer(context.WithoutCancel(ctx), d.Name); err != nil {
				return err
			}
		}
	}
	r.progress("%d balancers in %d failure domains", len(w.balancers), len(w.answers.Domains))
	return r.startTargets(ctx)
}

func (r *run) startTargets(ctx context.Context) error {
	w := r.world
	started := make(chan error, firstTargets+secondTargets)
	for i, count := range []int{firstTargets, secondTargets} {
		service := w.answers.Services[i].Name
		for n := range count {
			name := fmt.Sprintf("%s-%d", service, n+1)
			domain := w.answers.Domains[n%len(w.answers.Domains)].Name
			go func() {
				started <- w.StartTarget(context.WithoutCancel(ctx), service, name, domain, byte(i), byte(n+1))
			}()
		}
	}
	for range firstTargets + secondTargets {
		select {
		case err := <-started:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return errs.New("not all targets have started within %s", startLimit)
		}
	}
	r.progress("%d targets announced themselves", len(w.targets))
	return w.ready(ctx)
}

// work keeps sessions open while the changes are made.
func (r *run) work(ctx context.Context) {
	r.started = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opening, stop := context.WithCancel(ctx)
	defer stop()
	var loops sync.WaitGroup
	loops.Go(func() { r.keepSessions(opening, ctx) })
	loops.Go(func() { r.sample(opening) })
	// All changes are made, also where the machine is too slow for their times.
	r.changes(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(r.options.For - time.Since(r.started)):
	}
	stop()
	loops.Wait()
	r.progress("no new sessions; waiting for the open ones to end")
	r.sessions.Wait()
}

func (r *run) keepSessions(opening, ctx context.Context) {
	mean := meanLength(r.options.For)
	gap := mean / time.Duration(r.options.Sessions)
	ticker := time.NewTicker(max(gap, time.Millisecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-opening.Done():
			return
		case <-ticker.C:
		}
		plan := r.plan(n, mean)
		r.sessions.Go(func() {
			if err := caller.RunSession(ctx, plan, r.world.oracle); err != nil {
				r.endedEarly(&plan, err)
			}
		})
	}
}

// endedEarly logs a session with the address that the product knows its flow by, and the
// target that has served it.
func (r *run) endedEarly(p *caller.Plan, err error) {
	line := r.world.log.Warn().Str("event", "session").Str("service", p.Service)
	var early *caller.SessionError
	if errors.As(err, &early) {
		seen, _ := r.world.fabric.MappedAddress(p.Address.Port(), early.Caller)
		line = line.Uint64("session", early.Session).Stringer("caller", seen).Str("target", r.world.oracle.ServedBy(early.Session))
	}
	line.Err(err).Msg("session ended early")
}

// meanLength is that of a session: a fifth of the run, so that each target
// sees several generations of sessions and every change meets open ones.
func meanLength(total time.Duration) time.Duration {
	return max(total/5, time.Second)
}

// sessionsOfFirst is how many of ten sessions are of the first service.
const sessionsOfFirst = 7

// plan draws what the n'th session does: every third one watches a feed, and
// those of the second service fetch a download.
func (r *run) plan(n int, mean time.Duration) caller.Plan {
	service := &r.world.answers.Services[0]
	if n%10 >= sessionsOfFirst {
		service = &r.world.answers.Services[1]
	}
	length := time.Duration(min(r.random.ExpFloat64(), 3) * float64(mean))
	p := caller.Plan{
		Service: service.Name, Address: service.Address.AddrPort, Local: r.world.address(octetCaller, byte(1+n%200)),
		Duration: length, RevisionDelay: 300 * time.Millisecond,
	}
	if n%3 == 0 {
		p.FeedIntervalMillis = 100
		p.FeedTicks = int(length / (100 * time.Millisecond))
	}
	if service != &r.world.answers.Services[0] {
		p.DownloadBytes = 64 << 10
	}
	return p
}

// approve generates the configuration and approves it, and measures how long
// it takes to be in force everywhere.
func (r *run) approve(ctx context.Context, what string, measure bool) error {
	w := r.world
	base, err := approval.Load(ctx, w.store)
	if err != nil {
		return err
	}
	return r.commit(ctx, approval.NewPlan(base, w.generate(base), "try", time.Now().UTC().Format(time.RFC3339)), what, measure)
}

func (r *run) commit(ctx context.Context, p *approval.Plan, what string, measure bool) error {
	state, err := approval.Commit(ctx, r.world.store, p)
	if err != nil {
		return err
	}
	r.report.Versions = state.Root.Version
	if !measure {
		return nil
	}
	took, ok := r.world.watch.wait(state.Root.Version, inForceLimit)
	if !ok {
		return errs.New("version %d not in force everywhere after %s", state.Root.Version, inForceLimit)
	}
	r.report.Delays = append(r.report.Delays, float64(took.Microseconds())/1000)
	r.progress("version %d (%s) in force everywhere after %s", state.Root.Version, what, took.Round(time.Millisecond))
	return nil
}

func (r *run) finish() *Report {
	v := r.world.oracle.Verdict()
	rep := &r.report
	rep.Flows, rep.Opened, rep.Refused, rep.Requests = v.Flows, v.Opened, v.Refused, v.Requests
	rep.Broken, rep.BrokenPlanned, rep.Crossed = v.Broken, v.Planned, v.Crossed
	rep.Doubled, rep.Lost, rep.Partial = v.Doubled, v.Lost, v.Partial
	rep.RanRefused, rep.Late = v.RanRefused, v.Late
	rep.Reverted = r.world.watch.revertedCount()
	rep.Imbalance = r.balance.mean()
	rep.Seconds = time.Since(r.started).Seconds()
	return rep
}
