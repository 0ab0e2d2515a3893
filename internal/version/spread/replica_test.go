package spread_test

import (
	"fmt"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/wagtailtray/wagtailtray/internal/version/config"
	"github.com/wagtailtray/wagtailtray/internal/version/spread"
)

// newHistory returns versions 0 to n of a configuration, each with one service changed.
func newHistory(n int) []*config.State {
	states := []*config.State{{Records: map[string]*config.Service{}}}
	for v := 1; v <= n; v++ {
		base := states[v-1]
		s := &config.State{Root: base.Root, Records: map[string]*config.Service{}}
		s.Root.Services = nil
		for i := range 3 {
			r := &config.Service{Name: fmt.Sprintf("s%d", i), Number: uint32(i + 1), MaxFlows: 1 + (v-i)/3}
			name := config.NameOf(r)
			s.Records[name] = r
			s.Root.Services = append(s.Root.Services, config.Entry{Name: r.Name, Number: r.Number, RecordName: name})
		}
		s.Root.SetNextVersion(&base.Root, config.Change{ID: fmt.Sprint(v)})
		states = append(states, s)
	}
	return states
}

// Versions reach a process late, duplicated and in any order, as deltas from peers
// and as whole states from a relay with stale reads of the platform. The version must
// never decrease, and the state must be that of its version.
func TestNeverReverts(t *testing.T) {
	const versions = 8
	states := newHistory(versions)
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	properties.Property("versions only increase", prop.ForAll(func(updates []int) string {
		replica := spread.NewReplica()
		for _, n := range updates {
			before := replica.Version()
			from, to := n%versions, n/versions%versions+1
			if n%2 == 0 {
				replica.Replace(states[to])
			} else if from < to {
				replica.ApplyDelta(config.Diff(states[from], states[to]))
			}
			now := replica.Version()
			if now < before {
				return fmt.Sprintf("version %d after %d", now, before)
			}
			if lines := config.Compare(states[now], replica.State()); len(lines) > 0 {
				return fmt.Sprintf("the state differs from version %d: %v", now, lines)
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, versions*versions-1))))
	properties.TestingRun(t)
}

// A peer that is behind by a few versions gets the deltas that bring it to the current
// version. A delta that starts beyond its version must be reported as a gap.
func TestCatchUp(t *testing.T) {
	states := newHistory(6)
	ahead := spread.NewReplica()
	for v := 1; v < len(states); v++ {
		ahead.ApplyDelta(config.Diff(states[v-1], states[v]))
	}
	behind := spread.NewReplica()
	behind.Replace(states[2])
	deltas, ok := ahead.DeltasSince(behind.Version())
	if !ok {
		t.Fatal("the deltas are not retained")
	}
	for _, d := range deltas {
		behind.ApplyDelta(d)
	}
	if behind.Version() != ahead.Version() {
		t.Errorf("version %d, want %d", behind.Version(), ahead.Version())
	}
	if _, missing := behind.ApplyDelta(&config.Delta{From: 9, To: 10}); !missing {
		t.Error("a gap is not reported")
	}
}
