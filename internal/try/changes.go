package try

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/internal/standin/platform"
	"github.com/wagtailtray/wagtailtray/internal/version/approval"
	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/pkg/answers"
	client "github.com/wagtailtray/wagtailtray/pkg/platform"
)

// change is one change to the deployment during a run.
type change struct {
	// startShare is when the change starts, as a share of the run's duration.
	startShare  float64
	description string
	apply       func(context.Context) error
}

// makeChanges makes the changes one after the other at their start times. A change
// that fails is reported; the run continues.
func (r *run) makeChanges(ctx context.Context) {
	for _, c := range r.changes() {
		wait := time.Duration(c.startShare*float64(r.options.Duration)) - time.Since(r.startedAt)
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(wait, 0)):
		}
		r.progress("%s", c.description)
		if err := c.apply(context.WithoutCancel(ctx)); err != nil {
			r.progress("failed: %s: %v", c.description, err)
			r.report.Failed = append(r.report.Failed, c.description+": "+err.Error())
		}
	}
}

func (r *run) changes() []change {
	first := r.env.answers.Services[0].Name
	second := r.env.answers.Services[1].Name
	domain := r.env.answers.Domains[0].Name
	return []change{
		{0.08, "drain " + first + "-1", func(ctx context.Context) error { return r.setDrain(ctx, first+"-1", true) }},
		{0.15, "restart the agent of " + first + "-2", func(ctx context.Context) error { return r.restartAgent(ctx, first+"-2") }},
		{0.25, "stop a balancer of " + domain, func(ctx context.Context) error { return r.stopBalancer(ctx, domain) }},
		{0.40, "start a balancer in " + domain, func(ctx context.Context) error { return r.startBalancer(ctx, domain) }},
		{0.48, "approve a longer drain limit", r.reconfigure},
		{0.52, "take the platform down", func(context.Context) error { return r.setPlatformDown(true) }},
		{0.55, "restart the agent of " + second + "-1 without the platform", func(ctx context.Context) error { return r.restartAgent(ctx, second+"-1") }},
		{0.60, "check that an approval without the platform is refused", r.expectRefusedApproval},
		{0.64, "bring the platform back", func(context.Context) error { return r.setPlatformDown(false) }},
		{0.70, "replace " + first + "-1 with a new VM", func(ctx context.Context) error { return r.replaceTarget(ctx, first+"-1") }},
		{0.75, "undrain " + first + "-1", func(ctx context.Context) error { return r.setDrain(ctx, first+"-1", false) }},
		{0.85, "restart the agent of " + second + "-2", func(ctx context.Context) error { return r.restartAgent(ctx, second+"-2") }},
	}
}

func (r *run) setDrain(ctx context.Context, name string, on bool) error {
	e := r.env
	base, err := approval.Load(ctx, e.store)
	if err != nil {
		return err
	}
	t := e.target(name)
	next := config.WithDrain(base, config.Drain{Service: t.service, Target: name}, on)
	plan := approval.NewPlan(base, next, "try", time.Now().UTC().Format(time.RFC3339))
	if on {
		t.upstream.Drain()
		e.setDraining(t, true)
	}
	if err := r.commit(ctx, plan, "drain", true); err != nil {
		return err
	}
	if !on {
		t.upstream.Undrain()
		e.setDraining(t, false)
	}
	return nil
}

func (e *Environment) target(name string) *targetInstance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.targets[name]
}

func (e *Environment) setDraining(t *targetInstance, on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.draining = on
}

// restartAgent stops a target's agent gracefully and starts another one, which
// takes over its flows.
func (r *run) restartAgent(ctx context.Context, name string) error {
	t := r.env.target(name)
	open := t.upstream.Conns()
	t.agent.Stop(ctx)
	if err := r.env.startAgent(ctx, t); err != nil {
		return err
	}
	r.progress("the new agent of %s holds %d flows; %d connections were open", name, t.agent.Flows(), open)
	return nil
}

// replaceTarget stops a drained target and starts a new one of the same name on
// another VM. It first waits for the drained target's flows to end, for up to
// Options.Duration. It does not wait for connections that only the upstream still
// counts: their closing datagrams were lost, their callers are gone, and the agent
// has removed their flows as idle.
func (r *run) replaceTarget(ctx context.Context, name string) error {
	t := r.env.target(name)
	deadline := time.Now().Add(r.options.Duration)
	for t.upstream.Conns() > 0 && t.agent.Flows() > 0 {
		if time.Now().After(deadline) {
			return errs.New("the drained target still has %d open flows", t.agent.Flows())
		}
		time.Sleep(sampleInterval)
	}
	t.agent.Stop(ctx)
	t.upstream.Close()
	t.index += 100
	if err := r.env.startUpstream(t); err != nil {
		return err
	}
	t.upstream.Drain()
	return r.env.startAgent(ctx, t)
}

func (r *run) stopBalancer(ctx context.Context, domain string) error {
	e := r.env
	e.mu.Lock()
	name := ""
	for n, b := range e.balancers {
		if b.domain == domain && (name == "" || n < name) {
			name = n
		}
	}
	e.mu.Unlock()
	e.StopBalancer(ctx, name)
	return nil
}

func (r *run) startBalancer(ctx context.Context, domain string) error {
	_, err := r.env.StartBalancer(ctx, domain)
	return err
}

func (r *run) reconfigure(ctx context.Context) error {
	r.env.answers.Services[0].Drain *= 2
	return r.approveConfiguration(ctx, "drain limit", true)
}

func (r *run) setPlatformDown(down bool) error {
	r.env.platform.SetFaults(platform.Faults{Down: down})
	return nil
}

// expectRefusedApproval checks that an approval fails with ErrUnavailable, which
// says that nothing was written.
func (r *run) expectRefusedApproval(ctx context.Context) error {
	r.env.answers.Services[0].Drain += answers.Duration(time.Minute)
	err := r.approveConfiguration(ctx, "during an outage", false)
	r.env.answers.Services[0].Drain -= answers.Duration(time.Minute)
	if errors.Is(err, client.ErrUnavailable) {
		return nil
	}
	return errs.New("an approval without the platform returned %v, want ErrUnavailable", err)
}
