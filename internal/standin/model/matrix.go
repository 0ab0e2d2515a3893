package model

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// FaultKind says which flows a fault may break.
type FaultKind string

// Kinds of faults.
const (
	// Planned changes and lost updates break no flow.
	Planned FaultKind = "planned"
	// Sudden faults break the flows of one target and no others.
	Sudden FaultKind = "sudden"
)

// Fault is one row of the fault matrix.
type Fault struct {
	Name string
	Kind FaultKind
	// Options are added to the world's options. Inject and Revert are commands;
	// %s is the target.
	Options, Inject, Revert string
	// ToleratedBy says why flows survive the fault.
	ToleratedBy string
}

// Step is one column of the fault matrix: the state of flows when the fault is
// injected.
type Step struct {
	Name string
	// Before and After are the commands before and after the fault.
	Before, After string
}

// Faults returns the rows of the fault matrix.
func Faults() []Fault {
	return []Fault{
		{"a balancer crashes", Planned, "", "balancer leave", "", "no flow depends on state in a balancer; the walk finds the owner"},
		{"a balancer joins", Planned, "", "balancer join", "", "the walk finds the owner without hints"},
		{"a balancer loses its hints", Planned, "", "balancer forget", "", "the walk finds the owner without hints"},
		{"a target drains", Planned, "", "drain %s", "undrain %s", "the agent forwards openings to others at once; its flows stay"},
		{"a target crashes", Sudden, "", "kill %s 1500ms", "", "suspected targets come last in the walk; a second search skips them"},
		{"a target's address is reassigned to another service", Sudden, "", "usurp %s 1500ms", "", "envelopes name service, target and incarnation"},
		{"a target is replaced by another VM", Sudden, "spread=1s", "replace %s 200ms", "", "envelopes name the incarnation; the successor searches before it places a flow"},
		{"a target joins cold", Planned, "ramp=5s", "add t9", "", "openings to a cold target are limited by its warmth"},
		{"a target sheds load", Planned, "", "shed %s", "unshed %s", "the home places flows elsewhere; a target that declines an opening returns it"},
		{"an agent restarts", Planned, "spread=1s", "restart %s 100ms", "", "the ledger keeps flows and local ports; the successor searches before it places a flow"},
		{"an agent restarts twice", Planned, "spread=2s", "restart %s 100ms\nrun 300ms\nrestart %s 100ms", "", "the ledger; only the highest incarnation is addressed"},
		{"updates arrive late and at different times", Planned, "spread=5s", "drain %s\nadd t9", "undrain %s", "no placement depends on a balancer's view; agents forward openings to the home"},
		{"a balancer receives no updates", Planned, "spread=200ms", "balancer deaf\ndrain %s\nadd t9", "", "no placement depends on a balancer's view"},
		{"a target is suspected falsely", Planned, "spread=500ms", "suspect %s", "trust %s", "the walk includes suspected targets; homes search before they place a flow"},
		{"an agent is paused for two seconds", Planned, "spread=500ms", "pause %s\nrun 1s\nsuspect %s\nrun 1s\nwake %s", "trust %s", "the walk includes suspected targets"},
		{pathStateLoss, Planned, "", "forgetpaths %s", "cut none", "the balancer changes its port when an owner does not answer"},
		{addressChange, Planned, "", "move 20", "", "the owner knows the connection ID"},
		{"load reports are false", Planned, "lie=yes", "run 1s", "", "a report only reduces the count of silent flows"},
		{lossyNetwork, Planned, "loss=0.01 duplicate=0.02 jitter=30ms", "run 1s", "", "retransmitted openings reach the owner of the first copy"},
		{domainPartition, Sudden, "spread=500ms", "apart %s\nrun 3m", "together %s", "its flows are unreachable; new ones open elsewhere; both sides remove each other and merge again"},
		{"a target is unreachable for two seconds", Planned, "", "cut %s\nrun 2s\ncut none", "", "no other target adopts its flows meanwhile"},
	}
}

// Steps returns the columns of the fault matrix.
func Steps() []Step {
	return []Step{
		{"open", "open 40\nrun 4ms", "run 1s"},
		{"resend", "open 40\nrun 500ms\nresend\nrun 4ms", "run 1s\nresend"},
		{"established", "open 40\nrun 3s", "open 20"},
		{"draining", "open 40\nrun 3s\ndrain t2", "open 20\nrun 2s\nundrain t2"},
		{"closing", "open 40\nrun 3s\nend\nopen 20", "open 20"},
		{"hand-over", "open 40\nrun 3s\nrestart t2 400ms\nrun 100ms", "open 20"},
	}
}

// Cell is the result of injecting faults at a step.
type Cell struct {
	Faults  []string
	Step    string
	Verdict Verdict
	// Passed reports whether the guarantees for these faults held.
	Passed bool
	// Exception says why a guarantee cannot hold, and what the effect is.
	Exception string
}

// addressChangeWhileOpening cannot be handled: until an upstream has answered,
// nothing in an opening datagram identifies the flow.
const addressChangeWhileOpening = "cannot be met: an opening retransmitted from a new address is a new flow to all but its caller. " +
	"The caller completes one of the two handshakes, so no request runs twice; the other connection stays half open until its upstream ends it"

// openedBeforePartition cannot be prevented: a partition cannot be told from a
// crash.
const openedBeforePartition = "cannot be met: an opening that reached the domain right before the partition, and whose answer was lost, is opened again elsewhere, " +
	"because a partition cannot be told from a crash. The caller completes one of the two handshakes, so no request runs twice"

// exceptionFor returns why the guarantees cannot hold for faults at a step, or an
// empty string.
func exceptionFor(step Step, faults []Fault) string {
	opening := step.Name == "open" || step.Name == "resend"
	for _, f := range faults {
		if f.Name == addressChange && opening {
			return addressChangeWhileOpening
		}
		if f.Name == domainPartition && opening {
			return openedBeforePartition
		}
	}
	return lossException(faults)
}

func lossException(faults []Fault) string {
	path, loss := false, false
	for _, f := range faults {
		path = path || f.Name == pathStateLoss
		loss = loss || f.Name == lossyNetwork
	}
	if path && loss {
		return lossWithPathStateLoss
	}
	return ""
}

const (
	domainPartition = "a failure domain is partitioned for three minutes"
	pathStateLoss   = "a network path loses its flow state"
	lossyNetwork    = "datagrams are lost, duplicated and reordered"
)

// lossWithPathStateLoss is the effect of datagram loss on a path that has just
// lost its flow state.
const lossWithPathStateLoss = "not met for one flow: two of its caller's four copies are lost, and the answers to the others take the path without state. " +
	"The caller gives up before it is open and opens another one; nothing of it ran"

// withoutExceptions removes what an exception allows: flows that were opened at two
// targets, and one flow that was never opened.
func (v Verdict) withoutExceptions() Verdict {
	v.Doubled = 0
	v.Unopened = max(v.Unopened-1, 0)
	return v
}

const addressChange = "callers get new addresses"

// faultTargets are the targets that faults are injected at: a single fault at the
// first, the second of a pair at the other.
var faultTargets = []string{"t0", "t1"}

// cellWorld is the command that creates the world of a cell.
const cellWorld = "world targets=4 balancers=3 seed=%d jitter=3ms %s %s"

// RunCell injects faults at one step.
func RunCell(seed uint64, step Step, faults ...Fault) (Cell, error) {
	script, names := cellScript(seed, step, faults)
	s := &Script{}
	for _, line := range strings.Split(script, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.run(words); err != nil {
			return Cell{}, errs.New("%v at %s: %s: %v", names, step.Name, line, err)
		}
	}
	c := Cell{Faults: names, Step: step.Name, Verdict: s.world.Verdict()}
	c.Passed = c.Verdict.passes(faults)
	if c.Passed {
		return c, nil
	}
	if c.Exception = exceptionFor(step, faults); c.Exception != "" {
		c.Passed = c.Verdict.withoutExceptions().passes(faults)
	}
	return c, nil
}

func cellScript(seed uint64, step Step, faults []Fault) (string, []string) {
	var names []string
	lines := []string{""}
	options := []string{"", ""}
	lines = append(lines, step.Before)
	for i, f := range faults {
		names = append(names, f.Name)
		options[i] = f.Options
		lines = append(lines, substituteTarget(f.Inject, faultTargets[i]))
	}
	lines = append(lines, step.After, "run 4s")
	for i, f := range faults {
		lines = append(lines, substituteTarget(f.Revert, faultTargets[i]))
	}
	lines = append(lines, "open 10", "run 25s")
	lines[0] = fmt.Sprintf(cellWorld, seed, options[0], options[1])
	return strings.Join(lines, "\n"), names
}

func substituteTarget(commands, target string) string {
	return strings.ReplaceAll(commands, "%s", target)
}

// passes reports whether the guarantees under the faults held. A sudden fault may
// break only the flows of the target it hits: with four targets that share the
// load, well below half of all flows.
func (v Verdict) passes(faults []Fault) bool {
	if v.Doubled+v.Stray+v.RanRefused+v.Foreign+v.Late+v.Unopened+v.Refused != 0 {
		return false
	}
	sudden := 0
	for _, f := range faults {
		if f.Kind == Sudden {
			sudden++
		}
	}
	return v.Broken <= sudden*v.Flows*2/5
}

// Observed describes what callers observed.
func (c *Cell) Observed() string {
	v := c.Verdict
	switch {
	case c.Exception != "" && c.Passed:
		return c.Exception
	case v.Broken+v.Unopened+v.Doubled+v.Stray+v.RanRefused+v.Foreign+v.Late+v.Refused == 0:
		return "nothing"
	case c.Passed:
		return fmt.Sprintf("%d of %d flows, the target's own, break", v.Broken, v.Flows)
	default:
		return "NOT MET: " + v.String()
	}
}
