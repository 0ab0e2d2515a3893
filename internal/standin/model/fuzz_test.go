package model_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// change is one planned change or loss of hints, as a gopter command.
type change struct {
	name string
	do   func(w *model.World)
}

func (c change) String() string                            { return c.name }
func (c change) NextState(s commands.State) commands.State { return s }
func (c change) PreCondition(commands.State) bool          { return true }
func (c change) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*model.World)
	c.do(w)
	for range 5 {
		w.Open(8 * clock.Second)
	}
	w.Run(700)
	return w.Verdict()
}

// PostCondition checks that the guarantees hold for callers and upstreams after any
// sequence of planned changes.
func (c change) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	v := result.(model.Verdict)
	if v.Broken+v.Doubled+v.Stray+v.RanRefused+v.Foreign+v.Late > 0 {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{v.String()}}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func changes(target int) []gopter.Gen {
	name := fmt.Sprintf("t%d", target)
	all := []change{
		{"drain " + name, func(w *model.World) { w.Drain(name, true) }},
		{"undrain " + name, func(w *model.World) { w.Drain(name, false) }},
		{"restart " + name, func(w *model.World) { w.Restart(name, 100) }},
		{"suspect " + name, func(w *model.World) { w.Suspect(name, true) }},
		{"trust " + name, func(w *model.World) { w.Suspect(name, false) }},
		{"drop hints", func(w *model.World) { w.Balancers[0].DropHints() }},
		{"balancer joins", func(w *model.World) { w.AddBalancer() }},
		{"wait", func(w *model.World) { w.Run(3 * clock.Second) }},
	}
	var gens []gopter.Gen
	for _, c := range all {
		gens = append(gens, gen.Const(commands.Command(c)))
	}
	return gens
}

// TestFuzz runs random sequences of changes and checks the verdict. The seed is
// fixed in CI; WAGTAILTRAY_FUZZ=N runs N sequences with a random seed, which is
// logged.
func TestFuzz(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261203)
	parameters.MinSuccessfulTests = 25
	parameters.MaxSize = 30
	if n, err := strconv.Atoi(os.Getenv("WAGTAILTRAY_FUZZ")); err == nil {
		parameters = gopter.DefaultTestParameters()
		parameters.MinSuccessfulTests = n
	}
	t.Logf("seed %d", parameters.Seed())
	var gens []gopter.Gen
	for target := range 3 {
		gens = append(gens, changes(target)...)
	}
	worlds := uint64(0)
	property := commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			worlds++
			return model.New(model.Options{
				Seed: worlds, Targets: 4, Balancers: 3, Jitter: 4, Duplicate: 0.02, MaxPropagationDelay: clock.Second,
			})
		},
		InitialStateGen: gen.Const(0),
		GenCommandFunc:  func(commands.State) gopter.Gen { return gen.OneGenOf(gens...) },
	})
	properties := gopter.NewProperties(parameters)
	properties.Property("guarantees hold", property)
	properties.TestingRun(t)
}
