package measures

import (
	"fmt"

	"github.com/wagtailtray/wagtailtray/internal/standin/model"
	"github.com/wagtailtray/wagtailtray/pkg/clock"
)

// suspectTimeout is the time until a crashed target is suspected, as generated from the answers.
const suspectTimeout = 2712 * clock.Millis(1)

// modelActions applies the changes of a scenario to the model.
type modelActions struct {
	world       *model.World
	generator   *model.Generator
	crashLosses *int
}

func (c *modelActions) schedule(d clock.Millis, do func()) {
	c.world.After(d, do)
}

func targetName(target int) string {
	return fmt.Sprintf("t%d", target)
}

func (c *modelActions) drain(target int, on bool) {
	c.world.Drain(targetName(target), on)
}

// replace restarts the agent of the drained target with its ledger, since its flows
// outlast the rolling replacement and none may break. Then it ends the drain.
func (c *modelActions) replace(target int) {
	c.world.Restart(targetName(target), 200)
	c.world.After(clock.Second, func() { c.world.Drain(targetName(target), false) })
}

func (c *modelActions) restartBalancer(n int) {
	c.world.AddBalancer()
	c.world.Balancers[n].Dead = true
}

func (c *modelActions) kill(target int) {
	*c.crashLosses += c.world.ConnsOf(targetName(target))
	c.world.Kill(targetName(target), suspectTimeout)
}

func (c *modelActions) addTarget() {
	c.world.Add("joined")
}

func (c *modelActions) burst(flows int) {
	for range flows {
		c.generator.Open()
	}
}
