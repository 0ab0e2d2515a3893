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

// ErrScript is in the chain of every error about a scenario's text.
var ErrScript = errs.New("model: scenario")

// Script runs scenarios written as text, one command a line:
//
//	world targets=3 balancers=2 seed=1 delay=3ms loss=0.01 spread=2s
//	open 10          # ten callers open flows that stay open
//	run 2s           # let time pass
//	drain t1         # also: undrain, suspect, trust, shed, unshed, pause, wake
//	kill t1 1500ms   # dead, and suspected after that time
//	restart t1 100ms # planned restart of the agent; the gap between the two
//	replace t1 100ms # another VM with an upstream that knows nothing
//	usurp t1 1500ms  # an agent of another service at its address
//	forgetpaths t1   # the present paths to t1 are dead, new ones work
//	add t9           # a new target
//	balancer join    # also: leave, forget, deaf
//	apart t1         # the failure domain of t1 and a balancer is cut off
//	together t1      # no more
//	cut t1           # nothing reaches t1; cut all, cut none
//	resend           # every open caller sends its opening datagram again
//	move 3           # three callers get a new address
//	end              # all callers end their flows
//	verdict          # print what the two ends saw
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
		if err := s.command(words); err != nil {
			return "", fmt.Errorf("%w: line %d: %w", ErrScript, n+1, err)
		}
	}
	return s.out.String(), nil
}

func (s *Script) command(words []string) error {
	if words[0] == "world" {
		o, err := options(words[1:])
		if err != nil {
			return err
		}
		s.world = New(o)
		return nil
	}
	if s.world == nil {
		return errs.New("the first command is world")
	}
	if len(words) == 1 {
		return s.plain(words[0])
	}
	return s.with(words[0], words[1], words[2:])
}

// plain runs a command without arguments.
func (s *Script) plain(command string) error {
	switch command {
	case "verdict":
		fmt.Fprintln(&s.out, s.world.Verdict().String())
	case "resend":
		for _, c := range s.callers {
			if !c.Ended {
				c.Resend()
			}
		}
	case "end":
		for _, c := range s.callers {
			c.End()
		}
	default:
		return errs.New("no command %q without arguments", command)
	}
	return nil
}

// with runs a command with arguments.
func (s *Script) with(command, argument string, rest []string) error {
	switch command {
	case "open", "move":
		return s.many(command, argument)
	case "run":
		d, err := millis(argument)
		if err == nil {
			s.world.Run(d)
		}
		return err
	case "balancer":
		return s.balancer(argument)
	case "add":
		s.world.Add(argument)
		return nil
	case "cut":
		return s.cut(argument)
	default:
		return s.target(command, argument, rest)
	}
}

func (s *Script) many(command, argument string) error {
	n, err := strconv.Atoi(argument)
	if err != nil {
		return errs.Wrap(err)
	}
	for i := range n {
		if command == "open" {
			s.callers = append(s.callers, s.world.Open(0))
		} else if i < len(s.callers) && !s.callers[i].Ended {
			s.callers[i].Move()
		}
	}
	return nil
}

func (s *Script) balancer(what string) error {
	switch what {
	case "join":
		s.world.AddBalancer()
	case "deaf":
		s.world.Balancers[0].Deaf = true
	case "leave":
		for _, b := range s.world.Balancers {
			if !b.Dead {
				b.Dead = true
				return nil
			}
		}
	case "forget":
		for _, b := range s.world.Balancers {
			b.Forget()
		}
	default:
		return errs.New("balancer %q: want join, leave, forget or deaf", what)
	}
	return nil
}

func (s *Script) target(command, name string, rest []string) error {
	t := s.world.find(name)
	if t == nil {
		return errs.New("no target %q", name)
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
			return errs.New("apart %s: there is no balancer to cut off with it", name)
		}
		s.world.Apart(name)
	case "together":
		s.world.Together()
	case "forgetpaths":
		s.world.ForgetPaths(name)
	case "pause", "wake":
		t.Paused = command == "pause"
	default:
		return s.timed(command, name, rest)
	}
	return nil
}

// timed runs a command that takes a time.
func (s *Script) timed(command, name string, rest []string) error {
	if len(rest) != 1 {
		return errs.New("%s %s: want a time", command, name)
	}
	d, err := millis(rest[0])
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
		s.world.Usurp(name, d)
	default:
		return errs.New("no command %q", command)
	}
	return nil
}

func millis(s string) (clock.Millis, error) {
	d, err := time.ParseDuration(s)
	return clock.FromDuration(d), errs.Wrap(err)
}

// options reads the sizes of a world.
func options(words []string) (Options, error) {
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
	numbers := map[string]*int{"targets": &o.Targets, "balancers": &o.Balancers, "flows": &o.Flows}
	shares := map[string]*float64{"loss": &o.Loss, "duplicate": &o.Duplicate}
	times := map[string]*clock.Millis{
		"delay": &o.Delay, "jitter": &o.Jitter, "spread": &o.Spread, "digest": &o.Digest,
		"resend": &o.Resend, "idle": &o.Idle, "ramp": &o.Ramp,
	}
	var err error
	switch {
	case numbers[name] != nil:
		*numbers[name], err = strconv.Atoi(value)
	case shares[name] != nil:
		*shares[name], err = strconv.ParseFloat(value, 64)
	case times[name] != nil:
		*times[name], err = millis(value)
	case name == "seed":
		o.Seed, err = strconv.ParseUint(value, 10, 64)
	case name == "lie":
		o.Lie = value == "yes"
	case name == "without":
		o.Without = Safeguard(value)
	default:
		err = errs.New("no such option")
	}
	return errs.Wrap(err)
}

// String gives the counts that are not zero.
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

// cut keeps datagrams from reaching a target, or all of them.
func (s *Script) cut(name string) error {
	if name == "none" {
		s.world.Cut = nil
		return nil
	}
	if name == "all" {
		s.world.Cut = func(_, to netip.AddrPort) bool { return s.world.at(to) != nil }
		return nil
	}
	t := s.world.find(name)
	if t == nil {
		return errs.New("no target %q", name)
	}
	s.world.Cut = func(_, to netip.AddrPort) bool { return to == t.tunnel }
	return nil
}
