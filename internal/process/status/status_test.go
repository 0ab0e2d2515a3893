package status_test

import (
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/process/member"
	"github.com/wagtailtray/wagtailtray/internal/process/status"
	"github.com/wagtailtray/wagtailtray/pkg/wire"
)

// One balancer of three has an older version, one does not answer, and a target drains
// with flows. The status must show all of that, and the imbalance must not include the
// draining target.
func TestSummarize(t *testing.T) {
	var members []member.Member
	for _, name := range []string{"b1", "b2", "b3"} {
		members = append(members, member.Member{Key: member.Key{Kind: member.Balancer, Name: name}, Domain: "a", State: member.Alive})
	}
	states := map[string]member.State{"t1": member.Alive, "t2": member.Alive, "t3": member.Draining}
	flows := map[string]uint32{"t1": 30, "t2": 10, "t3": 500}
	var targets []*wire.Reported
	for _, name := range []string{"t1", "t2", "t3"} {
		m := member.Member{Key: member.Key{Kind: member.Target, Service: "web", Name: name}, Domain: "a", State: states[name]}
		members = append(members, m)
		targets = append(targets, &wire.Reported{Member: m.Wire(), Flows: flows[name]})
	}
	s := status.Summarize(members, []*wire.Status{
		{Self: members[0].Wire(), Version: 7, Targets: targets},
		{Self: members[1].Wire(), Version: 6, Targets: targets[:1]},
	})
	d := s.Domains[0]
	if s.Version != 7 || d.OldestVersion != 6 || d.Silent != 1 || d.Flows != 540 || d.Draining != 1 || d.Imbalance != 1.5 {
		t.Errorf("%+v", d)
	}
	if v := s.Services[0]; v.Imbalance != 1.5 || v.Flows != 540 {
		t.Errorf("%+v", v)
	}
}
