package model

import (
	"fmt"
	"slices"
	"strings"
)

// pairNames are the faults of which two may well come at once.
var pairNames = []string{
	"a balancer dies", "a balancer joins", "a target drains", "an agent restarts", "a target is suspected falsely",
	"a path forgets its flows", "datagrams are lost, doubled and reordered", "a target sheds", "load reports lie",
}

// Pairs returns the pairs of faults that are run together.
func Pairs() [][2]Fault {
	var kept []Fault
	for _, f := range Faults() {
		for _, name := range pairNames {
			if f.Name == name {
				kept = append(kept, f)
			}
		}
	}
	var pairs [][2]Fault
	for i := range kept {
		for j := i + 1; j < len(kept); j++ {
			pairs = append(pairs, [2]Fault{kept[i], kept[j]})
		}
	}
	return pairs
}

// pageSeed is the seed of the page's runs.
const pageSeed = 1

// FaultPage runs the matrix, the pairs and the safeguards' scenarios and writes
// what callers saw.
func FaultPage() (string, error) {
	var b strings.Builder
	b.WriteString(pageIntro)
	if err := singles(&b); err != nil {
		return "", err
	}
	if err := pairs(&b); err != nil {
		return "", err
	}
	if err := bites(&b); err != nil {
		return "", err
	}
	b.WriteString(elsewhere)
	return b.String(), nil
}

func singles(b *strings.Builder) error {
	steps := Steps()
	b.WriteString("## One fault\n\n| fault |")
	for _, s := range steps {
		fmt.Fprintf(b, " %s |", s.Name)
	}
	b.WriteString(" carried by |\n| --- |" + strings.Repeat(" --- |", len(steps)+1) + "\n")
	// notes are in the order of the rows, so that each run gives one page.
	var notes []string
	for _, f := range Faults() {
		fmt.Fprintf(b, "| %s |", f.Name)
		for _, s := range steps {
			c, err := RunCell(pageSeed, s, f)
			if err != nil {
				return err
			}
			seen := c.Seen()
			if c.Excuse != "" && c.Met {
				note := f.Name + ": " + c.Excuse
				if !slices.Contains(notes, note) {
					notes = append(notes, note)
				}
				seen = "see below"
			}
			fmt.Fprintf(b, " %s |", seen)
		}
		fmt.Fprintf(b, " %s |\n", f.Carried)
	}
	for _, n := range notes {
		fmt.Fprintf(b, "\nWhere it says \"see below\" of %s.\n", n)
	}
	b.WriteString("\n")
	return nil
}

func pairs(b *strings.Builder) error {
	b.WriteString("## Two faults at once\n\nThe first hits one target, the second another one, or all.\n\n| faults | open | established |\n| --- | --- | --- |\n")
	for _, p := range Pairs() {
		fmt.Fprintf(b, "| %s; %s |", p[0].Name, p[1].Name)
		for _, s := range []Step{Steps()[0], Steps()[2]} {
			c, err := RunCell(pageSeed, s, p[0], p[1])
			if err != nil {
				return err
			}
			fmt.Fprintf(b, " %s |", c.Seen())
		}
		b.WriteString("\n")
	}
	b.WriteString("\n")
	return nil
}

func bites(b *strings.Builder) error {
	b.WriteString("## What the checks see without a safeguard\n\n| without | meaning | the scenario with it | without it |\n| --- | --- | --- | --- |\n")
	for _, bite := range Bites() {
		with, err := RunScript(fmt.Sprintf(bite.Scenario, ""))
		if err != nil {
			return err
		}
		without, err := RunScript(fmt.Sprintf(bite.Scenario, "without="+string(bite.Without)))
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s |\n", bite.Without, bite.What, strings.TrimSpace(with), strings.TrimSpace(without))
	}
	b.WriteString("\n")
	return nil
}

const pageIntro = `# Faults

What a caller sees of each fault at each step of its flow. Made by

    go run ./cmd/experiment faults --write docs

and compared with that in CI. The decisions are those of the daemons, run over
the model's queue of datagrams with four targets and three balancers. "nothing"
means that every flow was opened and answered to its end, at one target, and that
no other service's target and no drained one got anything of it.

A target that dies takes its flows with it; that is the one loss that callers
see, and no other target's flows are touched.

`

const elsewhere = `## Faults beside the flows

| fault | what is seen | test |
| --- | --- | --- |
| the platform is down | configuration and flows stay; approvals are refused and say that nothing is written; an agent that restarts leaves its flows with a peer | cmd/wagtailtray/testdata/lost.txtar, internal/try |
| an answer of the platform is lost after the write | approving the same plan again changes nothing twice | internal/version/approval TestLostAnswers, lost.txtar |
| the platform is too slow at any one call of an approval, and the write takes effect or not | the operator is told the truth; the same plan approved again makes the change once | internal/version/approval TestSlowAtEachStep |
| an approval comes while relays are dead, calls fail, the platform is down, or every balancer is replaced | it comes into force everywhere and nowhere goes back | internal/capacity TestApprovalsUnderTrouble |
| operators race | one wins; the others are told what changed | TestRace, race.txtar |
| news of versions come late, twice, in any order, from a stale relay | the version in force only grows | internal/version/spread TestNeverReverts |
| a lease lapses while its holder is paused and it wakes | it serves nothing until a heartbeat sent after the pause is answered, and ends if it has a successor | internal/process/agent TestWokenHolderIsFenced |
| a balancer is paused and wakes | it suspects nobody for its own pause | internal/process/balancer TestOwnPauseSuspectsNobody |
| a load endpoint lies | after one idle time the agent goes by its own count | internal/connection/owner TestLyingReport |
| two processes forget a dead one at different times | it stays forgotten | internal/process/member TestForgottenStaysForgotten |

A domain that is cut off for an hour is internal/standin/model/testdata/domain-cut.txtar;
after two minutes both sides have forgotten each other and nothing changes until
they meet again.

Not proved yet: a region that keeps its own callers while it is cut off.
`
