// Package status summarizes the state that the balancers of a deployment report,
// for operators.
//
// # Usage
//
//	s, err := status.Collect(ctx, client, peers)
//
// Collect gets the list of balancers from the first peer that answers, then asks
// each of them for its own state and the targets that announce themselves to it.
package status

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailtray/wagtailtray/internal/process/control"
	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// ErrNoAnswer is returned if no balancer answered.
var ErrNoAnswer = errs.New("status: no balancer answered")

const (
	// maxConcurrentCalls bounds the balancers that are asked at the same time.
	maxConcurrentCalls = 32
	callTimeout        = 2 * time.Second
)

// Domain is the status of one failure domain.
type Domain struct {
	Name               string `json:"name"`
	OldestVersion      uint64 `json:"oldestversion"`
	NewestVersion      uint64 `json:"newestversion"`
	Balancers          int    `json:"balancers"`
	SuspectedBalancers int    `json:"suspectedbalancers"`
	// Silent is the number of balancers that are not suspected and did not answer.
	Silent           int    `json:"silent"`
	Targets          int    `json:"targets"`
	Draining         int    `json:"draining"`
	SuspectedTargets int    `json:"suspectedtargets"`
	Flows            uint64 `json:"flows"`
	// Imbalance is the number of flows of the most loaded target divided by the
	// mean, over the targets that accept flows; 0 without flows.
	Imbalance float64 `json:"imbalance"`
}

// Service is the status of one service. Imbalance is as for a Domain, over the
// targets of the service; 0 without flows.
type Service struct {
	Name      string  `json:"name"`
	Targets   int     `json:"targets"`
	Flows     uint64  `json:"flows"`
	Imbalance float64 `json:"imbalance"`
}

// Status is the status of a deployment.
type Status struct {
	Version  uint64    `json:"version"`
	Domains  []Domain  `json:"domains"`
	Services []Service `json:"services"`
	Suspects []string  `json:"suspects"`
}

// Collect asks the balancers and summarizes their answers.
func Collect(ctx context.Context, client *control.Client, peers []netip.AddrPort) (*Status, error) {
	first, err := firstStatus(ctx, client, peers)
	if err != nil {
		return nil, err
	}
	members, err := membersFromWire(first.Members)
	if err != nil {
		return nil, err
	}
	return Summarize(members, fetchAll(ctx, client, members)), nil
}

func firstStatus(ctx context.Context, client *control.Client, peers []netip.AddrPort) (*wire.Status, error) {
	failures := []error{ErrNoAnswer}
	for _, p := range peers {
		s, err := fetchStatus(ctx, client, p)
		if err == nil {
			return s, nil
		}
		failures = append(failures, err)
	}
	return nil, errs.Combine(failures...)
}

func fetchStatus(ctx context.Context, client *control.Client, p netip.AddrPort) (*wire.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var s wire.Status
	if err := client.Call(ctx, p, control.Status, &wire.Empty{}, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

func membersFromWire(all []*wire.Member) ([]member.Member, error) {
	var out []member.Member
	for _, w := range all {
		m, err := member.FromWire(w)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

// fetchAll returns the answers of the live balancers that answered.
func fetchAll(ctx context.Context, client *control.Client, members []member.Member) []*wire.Status {
	answers := make([]*wire.Status, len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, m := range members {
		if m.Kind != member.Balancer || !m.Live() {
			continue
		}
		group.Go(func() error {
			answers[i], _ = fetchStatus(ctx, client, m.Control)
			return nil
		})
	}
	_ = group.Wait()
	return slices.DeleteFunc(answers, func(s *wire.Status) bool { return s == nil })
}

// Summarize summarizes the answers of balancers.
func Summarize(members []member.Member, answers []*wire.Status) *Status {
	s := &summarizer{domains: map[string]*Domain{}, domainLoads: map[string]*flowLoad{}, flows: map[member.Key]uint64{}, versions: map[string]uint64{}}
	for _, a := range answers {
		s.versions[a.Self.Name] = a.Version
		for _, t := range a.Targets {
			k := member.Key{Kind: member.Target, Service: t.Member.Service, Name: t.Member.Name}
			s.flows[k] = max(s.flows[k], uint64(t.Flows))
		}
	}
	for i := range members {
		s.add(&members[i])
	}
	return s.build(members)
}

type summarizer struct {
	domains     map[string]*Domain
	domainLoads map[string]*flowLoad
	flows       map[member.Key]uint64
	versions    map[string]uint64
	suspects    []string
	version     uint64
}

func (s *summarizer) add(m *member.Member) {
	if m.State == member.Left {
		return
	}
	d := s.domains[m.Domain]
	if d == nil {
		d = &Domain{Name: m.Domain}
		s.domains[m.Domain] = d
	}
	if m.Suspected {
		s.suspects = append(s.suspects, string(m.Kind)+" "+m.Service+"/"+m.Name+" in "+m.Domain)
	}
	if m.Kind == member.Balancer {
		s.addBalancer(d, m)
		return
	}
	d.Targets++
	d.Flows += s.flows[m.Key]
	if m.State == member.Alive && !m.Suspected {
		s.domainLoad(m.Domain).add(s.flows[m.Key])
	}
	if m.State == member.Draining {
		d.Draining++
	}
	if m.Suspected {
		d.SuspectedTargets++
	}
}

func (s *summarizer) addBalancer(d *Domain, m *member.Member) {
	d.Balancers++
	if m.Suspected {
		d.SuspectedBalancers++
		return
	}
	version, ok := s.versions[m.Name]
	if !ok {
		d.Silent++
		return
	}
	s.version = max(s.version, version)
	d.NewestVersion = max(d.NewestVersion, version)
	if d.OldestVersion == 0 || version < d.OldestVersion {
		d.OldestVersion = version
	}
}

func (s *summarizer) build(members []member.Member) *Status {
	out := &Status{Version: s.version, Suspects: append([]string{}, s.suspects...)}
	for name, d := range s.domains {
		d.Imbalance = s.domainLoad(name).imbalance()
		out.Domains = append(out.Domains, *d)
	}
	slices.SortFunc(out.Domains, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	out.Services = s.buildServices(members)
	return out
}

// flowLoad sums the flows of a set of targets.
type flowLoad struct {
	targets, flows, maxFlows uint64
}

func (s *summarizer) domainLoad(name string) *flowLoad {
	l := s.domainLoads[name]
	if l == nil {
		l = &flowLoad{}
		s.domainLoads[name] = l
	}
	return l
}

func (l *flowLoad) add(flows uint64) {
	l.targets++
	l.flows += flows
	l.maxFlows = max(l.maxFlows, flows)
}

func (l *flowLoad) imbalance() float64 {
	if l.flows == 0 {
		return 0
	}
	return float64(l.maxFlows) * float64(l.targets) / float64(l.flows)
}

// buildServices summarizes by service. Draining targets count with their flows, but the
// imbalance covers only targets that accept new ones.
func (s *summarizer) buildServices(members []member.Member) []Service {
	byName := map[string]*Service{}
	accepting := map[string]*flowLoad{}
	for i := range members {
		m := &members[i]
		if m.Kind != member.Target || m.State == member.Left || m.Suspected {
			continue
		}
		v := byName[m.Service]
		if v == nil {
			v = &Service{Name: m.Service}
			byName[m.Service], accepting[m.Service] = v, &flowLoad{}
		}
		v.Targets++
		v.Flows += s.flows[m.Key]
		if m.State == member.Alive {
			accepting[m.Service].add(s.flows[m.Key])
		}
	}
	all := make([]Service, 0, len(byName))
	for name, v := range byName {
		v.Imbalance = accepting[name].imbalance()
		all = append(all, *v)
	}
	slices.SortFunc(all, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
