package model_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wagtailtray/wagtailtray/internal/golden"
	"github.com/wagtailtray/wagtailtray/internal/standin/model"
)

func TestMatrix(t *testing.T) {
	for _, step := range model.Steps() {
		for _, f := range model.Faults() {
			t.Run(step.Name+"/"+f.Name, func(t *testing.T) {
				t.Parallel()
				c, err := model.RunCell(1, step, f)
				if err != nil {
					t.Fatal(err)
				}
				if !c.Passed {
					t.Error(c.Observed())
				}
			})
		}
	}
}

// Guards against a safeguard whose absence no check detects. Each scenario has no
// violations with its safeguard, and has some when the safeguard is disabled.
func TestSafeguardsAreNecessary(t *testing.T) {
	for _, b := range model.SafeguardTests() {
		t.Run(string(b.Disabled), func(t *testing.T) {
			with := run(t, fmt.Sprintf(b.Scenario, ""))
			without := run(t, fmt.Sprintf(b.Scenario, "without="+string(b.Disabled)))
			if strings.Contains(with, b.Violation) {
				t.Errorf("with the safeguard: %s", with)
			}
			if !strings.Contains(without, b.Violation) {
				t.Errorf("no %s without the safeguard: %s", b.Violation, without)
			}
		})
	}
}

func run(t *testing.T, script string) string {
	out, err := model.RunScript(script)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// The generated fault page must be up to date, complete and without a cell that
// has not passed.
func TestFaultPage(t *testing.T) {
	page, err := model.FaultPage()
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(page, "NOT MET") {
		t.Error("a cell has not passed")
	}
	golden.CompareFile(t, "../../../docs/FAULTS.md", page)
}
