package model

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// ErrScript is wrapped by every error about a scenario's text.
var ErrScript = errs.New("model: scenario")

// Script runs scenarios written as text, one command per line:
//
//	world targets=3 balancers=2 seed=1 delay=3ms loss=0.01 spread=2s
//	open 10          # ten callers open flows that stay open
//	run 2s           # advance the clock
//	drain t1         # also: undrain, suspect, trust, shed, unshed, pause, wake
//	kill t1 1500ms   # crash, suspected after that time
//	restart t1 100ms # planned restart of the agent, down for that time
//	replace t1 100ms # replacement on another VM with an empty upstream
//	usurp t1 1500ms  # crash; an agent of another service gets its address
//	forgetpaths t1   # the current paths to t1 lose their state, new ones work
//	add t9           # a new target
//	balancer join    # also: leave, forget (drop hints), deaf (no updates)
//	apart t1         # partition the failure domain of t1 and a balancer
//	together t1      # end the partition
//	cut t1           # drop all datagrams to t1; cut all, cut none
//	resend           # every caller that has not ended sends its opening again
//	move 3           # the first three callers get a new address
//	end              # all callers end their flows
//	verdict          # print what callers and upstreams observed
//
// A line that starts with # is a comment.
type Script struct {
	world   *World
	callers []*Caller
	out     strings.Builder
}

// RunScript runs a scenario and returns what it printed.
func RunScript(text string) (string, error) {
	s := &Script{}
	for n, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.run(words); err != nil {
			return "", fmt.Errorf("%w: line %d: %w", ErrScript, n+1, err)
		}
	}
	return s.out.String(), nil
}

func (s *Script) run(words []string) error {
	if words[0] == "world" {
		o, err := parseOptions(words[1:])
		if err != nil {
			return err
		}
		s.world = New(o)
		return nil
	}
	if s.world == nil {
		return errs.New("the first command must be world")
	}
	if len(words) == 1 {
		return s.runSimple(words[0])
	}
	return s.runWithArgument(words[0], words[1], words[2:])
}

// runSimple runs a command without arguments.
func (s *Script) runSimple(command string) error {
	switch command {
	case "verdict":
		fmt.Fprintln(&s.out, s.world.Verdict().String())
	case "resend":
		for _, c := range s.callers {
			if !c.Ended {
				c.SendOpening()
			}
		}
	case "end":
		for _, c := range s.callers {
			c.End()
		}
	default:
		return errs.New("unknown command %q without arguments", command)
	}
	return nil
}

// runWithArgument runs a command with arguments.
func (s *Script) runWithArgument(command, argument string, rest []string) error {
	switch command {
	case "open", "move":
		return s.runForCallers(command, argument)
	case "run":
		d, err := parseMillis(argument)
		if err == nil {
			s.world.Run(d)
		}
		return err
	case "balancer":
		return s.runBalancer(argument)
	case "add":
		s.world.Add(argument)
		return nil
	case "cut":
		return s.runCut(argument)
	default:
		return s.runForTarget(command, argument, rest)
	}
}

func (s *Script) runForCallers(command, argument string) error {
	n, err := strconv.Atoi(argument)
	if err != nil {
		return errs.Wrap(err)
	}
	for i := range n {
		if command == "open" {
			s.callers = append(s.callers, s.world.Open(0))
		} else if i < len(s.callers) && !s.callers[i].Ended {
			s.callers[i].ChangeAddress()
		}
	}
	return nil
}

func (s *Script) runBalancer(action string) error {
	switch action {
	case "join":
		s.world.AddBalancer()
	case "deaf":
		s.world.Balancers[0].UpdatesBlocked = true
	case "leave":
		for _, b := range s.world.Balancers {
			if !b.Dead {
				b.Dead = true
				return nil
			}
		}
	case "forget":
		for _, b := range s.world.Balancers {
			b.DropHints()
		}
	default:
		return errs.New("balancer %q: want join, leave, forget or deaf", action)
	}
	return nil
}

func (s *Script) runForTarget(command, name string, rest []string) error {
	t := s.world.findTarget(name)
	if t == nil {
		return errs.New("unknown target %q", name)
	}
	switch command {
	case "drain", "undrain":
		s.world.Drain(name, command == "drain")
	case "suspect", "trust":
		s.world.Suspect(name, command == "suspect")
	case "shed", "unshed":
		t.Shedding = command == "shed"
	case "apart":
		if len(s.world.Balancers) == 0 {
			return errs.New("apart %s: the world has no balancer to partition with it", name)
		}
		s.world.Partition(name)
	case "together":
		s.world.Heal()
	case "forgetpaths":
		s.world.DropPathState(name)
	case "pause", "wake":
		t.Paused = command == "pause"
	default:
		return s.runWithDuration(command, name, rest)
	}
	return nil
}

// runWithDuration runs a command that takes a duration.
func (s *Script) runWithDuration(command, name string, rest []string) error {
	if len(rest) != 1 {
		return errs.New("%s %s: want one duration", command, name)
	}
	d, err := parseMillis(rest[0])
	if err != nil {
		return err
	}
	switch command {
	case "kill":
		s.world.Kill(name, d)
	case "restart":
		s.world.Restart(name, d)
	case "replace":
		s.world.Replace(name, d)
	case "usurp":
		s.world.ReuseAddress(name, d)
	default:
		return errs.New("unknown command %q", command)
	}
	return nil
}

func parseMillis(s string) (clock.Millis, error) {
	d, err := time.ParseDuration(s)
	return clock.FromDuration(d), errs.Wrap(err)
}

// parseOptions parses the options of a world.
func parseOptions(words []string) (Options, error) {
	o := Options{Seed: 1, Targets: 3, Balancers: 2}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		if err := o.set(name, value); err != nil {
			return o, fmt.Errorf("world: %s: %w", word, err)
		}
	}
	return o, nil
}

func (o *Options) set(name, value string) error {
	numbers := map[string]*int{"targets": &o.Targets, "balancers": &o.Balancers, "flows": &o.MaxFlows}
	shares := map[string]*float64{"loss": &o.Loss, "duplicate": &o.Duplicate}
	times := map[string]*clock.Millis{
		"delay": &o.Delay, "jitter": &o.Jitter, "spread": &o.MaxPropagationDelay, "digest": &o.DigestInterval,
		"resend": &o.ResendWindow, "idle": &o.IdleTimeout, "ramp": &o.RampTime,
	}
	var err error
	switch {
	case numbers[name] != nil:
		*numbers[name], err = strconv.Atoi(value)
	case shares[name] != nil:
		*shares[name], err = strconv.ParseFloat(value, 64)
	case times[name] != nil:
		*times[name], err = parseMillis(value)
	case name == "seed":
		o.Seed, err = strconv.ParseUint(value, 10, 64)
	case name == "lie":
		o.FalseReports = value == "yes"
	case name == "without":
		o.Disabled = Safeguard(value)
	default:
		err = errs.New("unknown option")
	}
	return errs.Wrap(err)
}

// String formats the counts that are not zero.
func (v Verdict) String() string {
	parts := []string{}
	for _, f := range []struct {
		name  string
		count int
	}{
		{"flows", v.Flows},
		{"opened", v.Opened},
		{"refused", v.Refused},
		{"unopened", v.Unopened},
		{"broken", v.Broken},
		{"doubled", v.Doubled},
		{"stray", v.Stray},
		{"ranrefused", v.RanRefused},
		{"foreign", v.Foreign},
		{"late", v.Late},
	} {
		if f.count != 0 {
			parts = append(parts, fmt.Sprintf("%s %d", f.name, f.count))
		}
	}
	return strings.Join(parts, ", ")
}

// runCut drops the datagrams to one target or to all of them.
func (s *Script) runCut(name string) error {
	if name == "none" {
		s.world.Cut = nil
		return nil
	}
	if name == "all" {
		s.world.Cut = func(_, to netip.AddrPort) bool { return s.world.agentAt(to) != nil }
		return nil
	}
	t := s.world.findTarget(name)
	if t == nil {
		return errs.New("unknown target %q", name)
	}
	s.world.Cut = func(_, to netip.AddrPort) bool { return to == t.tunnel }
	return nil
}
